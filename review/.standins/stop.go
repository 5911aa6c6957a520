package main

import (
	"sync"
	"syscall"
	"time"
)

const (
	// longWork is what a request of caseStop takes at its engine. It is under the time-out of
	// the route, and engines start on it at once.
	longWork = 4500 * time.Millisecond
	// callerPeriod is the time between two requests of a client.
	callerPeriod = 8 * time.Second
	callers      = 400
	// sentLate is the time after a SIGTERM up to which a request may be cut off in the last
	// sixth of the grace period.
	sentLate = 3 * time.Second
)

// caseStop stops a machine as planned while clients send requests on kept connections. No
// request that it has read and passed on may end without an answer, but for what the rule
// excuses.
func caseStop(c *cluster, trouble bool) (bool, error) {
	var engines []*engine
	for i := range 6 {
		e := c.newEngine(1+i, plain, c.fronts[i%3].zone, 48)
		e.work = func(string, string) time.Duration { return longWork }
		engines = append(engines, e)
		if err := e.start(); err != nil {
			return false, err
		}
	}
	if err := c.operator("PUT", "/api/config", configuration(3)); err != nil {
		return false, err
	}
	if err := c.waitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	g := newIngress(c)
	time.Sleep(1500 * time.Millisecond)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	var all []sent
	begin := time.Now()
	for n := range callers {
		wait.Go(func() {
			k := newCaller(c.rec, n)
			next := begin.Add(time.Duration(n) * callerPeriod / callers)
			entry := ""
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Until(next)):
				}
				if entry == "" {
					entry = g.pick(n, "")
				}
				s, closed := k.sendKept(entry, "/lohu930/", 10*time.Second, func() string { return g.pick(n, "") })
				entry = s.entry
				if closed || s.err != nil {
					entry = ""
				}
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				next = next.Add(callerPeriod)
			}
		})
	}
	time.Sleep(20 * time.Second)
	target := c.fronts[0]
	termAt := time.Now()
	if trouble {
		for _, p := range target.procs {
			p.signal(syscall.SIGTERM)
		}
		c.rec.say("SIGTERM to %s at %d ms", target.name, c.rec.at(termAt))
		for _, p := range target.procs {
			go func() {
				time.Sleep(graceTime)
				p.signal(syscall.SIGKILL)
			}()
		}
		target.procs["entry"].wait()
		c.rec.say("the entry ended %v after SIGTERM", time.Since(termAt).Round(time.Millisecond))
		time.Sleep(restartDelay)
		for _, role := range []string{"control", "entry"} {
			target.procs[role].wait()
			if err := c.start(target.procs[role]); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(termAt.Add(graceTime + 2*time.Second)))
	close(stop)
	wait.Wait()
	runs := make(map[string]*arrival)
	for _, e := range engines {
		e.mu.Lock()
		for _, a := range e.arrivals {
			runs[a.attempt] = a
		}
		e.mu.Unlock()
	}
	served, lost, excused := 0, 0, 0
	for _, s := range all {
		a := runs[s.attempt]
		switch {
		case s.status/100 == 2 && s.err == nil:
			served++
		case s.entry != target.ip || a == nil || s.err == nil:
		case s.answered.Before(termAt) || s.answered.After(termAt.Add(graceTime+time.Second)):
		case s.wrote.Sub(termAt) <= sentLate && s.answered.Sub(termAt) >= graceTime*5/6:
			excused++
		default:
			lost++
			c.rec.say("%s was sent %d ms after SIGTERM on a kept connection (%v), ran from %d ms on, and its connection ended without an answer at %d ms: %v",
				s.attempt, s.wrote.Sub(termAt).Milliseconds(), s.reused, a.at.Sub(termAt).Milliseconds(), s.answered.Sub(termAt).Milliseconds(), s.err)
		}
	}
	c.rec.say("%d requests, %d served, %d cut off in the last sixth of the grace period and excused, %d lost", len(all), served, excused, lost)
	if served == 0 {
		return false, errNoTraffic
	}
	return lost > 0, nil
}
