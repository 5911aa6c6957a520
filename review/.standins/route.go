package main

import (
	"math/rand"
	"strings"
	"syscall"
	"time"
)

const (
	routeEventGap = 40 * time.Millisecond
	routeEvents   = 150
	// resultDeadline is resultDeadlineMs of the route.
	resultDeadline = 20 * time.Second
	// absentTime is how long an item must have been at no engine, in steady state.
	absentTime = 5 * time.Second
	storeDown  = 2800 * time.Millisecond
)

// caseRoute gives the route of an open batch job another name, with all else as it was, and
// kills the store machine that leads. The items of the batch job must go on.
func caseRoute(c *cluster, trouble bool) (bool, error) {
	var engines []*engine
	for i := range 6 {
		e := c.newEngine(20+i, models, c.fronts[i%3].zone, 12)
		e.model, e.eventGap = modelName, routeEventGap
		e.events = func(string) int { return routeEvents }
		engines = append(engines, e)
		if err := e.start(); err != nil {
			return false, err
		}
	}
	for i := range 4 {
		if err := c.newEngine(1+i, plain, c.fronts[i%3].zone, 6).start(); err != nil {
			return false, err
		}
	}
	if err := c.operator("PUT", "/api/config", configuration(3)); err != nil {
		return false, err
	}
	if err := c.waitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	var items []trainItem
	for range 4 {
		items = append(items, newGroup(func() int { return routeEvents })...)
	}
	id := newAttempt()
	submitted := time.Now()
	if err := submitJob(c, 0, id, jobText(1, 1, 4, items)); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	if err := c.operator("PUT", "/api/config", strings.Replace(configuration(4), `"r-draft"`, `"r-draft-replies"`, 1)); err != nil {
		return false, err
	}
	c.rec.say("the configuration with the new name was acknowledged %v after the batch job was submitted", time.Since(submitted).Round(time.Millisecond))
	time.Sleep(2 * time.Second)
	calm := time.Now()
	if trouble {
		leader := c.leader(c.stores, metricsPort+2)
		if leader < 0 {
			return false, errNoLeader
		}
		p := c.stores[leader].procs["store"]
		p.signal(syscall.SIGKILL)
		c.rec.say("the store process of %s was killed %v after the batch job was submitted", c.stores[leader].name, time.Since(submitted).Round(time.Millisecond))
		p.wait()
		time.Sleep(storeDown)
		if err := c.start(p); err != nil {
			return false, err
		}
		calm = time.Now().Add(contactTime)
	}
	listed := make(map[string]string)
	for after := 0; len(listed) < len(items) && time.Since(submitted) < resultDeadline; {
		results, err := readJob(c, c.fronts[rand.Intn(3)].ip, id, after)
		if err != nil {
			c.rec.add("read of %s: %v", id, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		after += len(results)
		for _, r := range results {
			listed[r.ID] = r.State
		}
	}
	now := time.Now()
	last, complete := make(map[string]time.Time), make(map[string]bool)
	for _, e := range engines {
		e.mu.Lock()
		for _, a := range e.arrivals {
			at := a.ended
			if at.IsZero() {
				at = now
			}
			if at.After(last[a.attempt]) {
				last[a.attempt] = at
			}
			complete[a.attempt] = complete[a.attempt] || a.complete
		}
		e.mu.Unlock()
	}
	lost := 0
	for _, it := range items {
		since := calm
		if last[it.id].After(since) {
			since = last[it.id]
		}
		if listed[it.id] == "" && !complete[it.id] && now.Sub(since) >= absentTime {
			lost++
			c.rec.add("item %s is not listed at its deadline and was at no engine since %d ms", it.id, c.rec.at(last[it.id]))
		}
	}
	c.rec.say("%v after the batch job was submitted %d of %d items are listed; %d others, which no engine has finished, were at no engine for %v of steady state",
		now.Sub(submitted).Round(time.Millisecond), len(listed), len(items), lost, now.Sub(calm).Round(time.Millisecond))
	if !trouble && len(listed) < len(items) {
		return lost > 0, errNoTraffic
	}
	return lost > 0, nil
}
