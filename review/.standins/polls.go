package main

import (
	"math/rand"
	"sync"
	"time"
)

const (
	// crashTime is how long crashed engines are down.
	crashTime = 4500 * time.Millisecond
	// judgedTime is the span that is judged, after the engines are back.
	judgedTime = 20 * time.Second
)

// casePolls crashes the engines of one zone while clients of a route that was added later send
// the same request again and again. Once the engines are back, that route must be served like
// the first routes.
func casePolls(c *cluster, trouble bool) (bool, error) {
	var engines []*engine
	number := 0
	start := func(zone string) (*engine, error) {
		number++
		e := c.newEngine(number, plain, zone, 12)
		e.work = func(string, string) time.Duration { return 150 * time.Millisecond }
		return e, e.start()
	}
	for i := range 9 {
		e, err := start(c.fronts[i%3].zone)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	if err := c.operator("PUT", "/api/config", configuration(3)); err != nil {
		return false, err
	}
	if err := c.waitReady(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if err := c.operator("PUT", "/api/config", withListRoute(configuration(4))); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	g := newIngress(c)
	time.Sleep(1500 * time.Millisecond)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	var first, added []sent
	client := func(n int, into *[]sent, send func(k *caller) sent) {
		wait.Go(func() {
			k := newCaller(c.rec, n)
			for {
				s := send(k)
				mu.Lock()
				*into = append(*into, s)
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+rand.Intn(200)) * time.Millisecond):
				}
			}
		})
	}
	for n := range 12 {
		client(n, &first, func(k *caller) sent { return k.send(g.pick(n, ""), "/lohu930/", 2*time.Second) })
	}
	for n := range 48 {
		client(100+n, &added, func(k *caller) sent { return k.get(g.pick(n, ""), "/zebu55/list", 2*time.Second) })
	}
	time.Sleep(5 * time.Second)
	crashed := time.Now()
	if trouble {
		zone := c.fronts[1].zone
		for i, e := range engines {
			if e.zone == zone {
				e.crash()
				engines[i] = nil
			}
		}
		c.rec.say("the engines of %s crashed at %d ms", zone, c.rec.at(crashed))
		time.Sleep(crashTime)
		for i, e := range engines {
			if e == nil {
				next, err := start(zone)
				if err != nil {
					return false, err
				}
				engines[i] = next
			}
		}
		c.rec.say("they are back at %d ms", c.rec.now())
	}
	time.Sleep(contactTime + 2*time.Second)
	from := time.Now()
	time.Sleep(judgedTime)
	close(stop)
	wait.Wait()
	count := func(all []sent) (asked, served int, statuses map[int]int) {
		statuses = make(map[int]int)
		for _, s := range all {
			if s.at.Before(from) {
				continue
			}
			asked++
			statuses[s.status]++
			if s.err == nil && s.status/100 == 2 {
				served++
			}
		}
		return asked, served, statuses
	}
	askedFirst, servedFirst, _ := count(first)
	askedAdded, servedAdded, statuses := count(added)
	c.rec.say("steady state, from %.1f s after the crash on: first routes: %d of %d served; route that was added later: %d of %d served, answers %v",
		from.Sub(crashed).Seconds(), servedFirst, askedFirst, servedAdded, askedAdded, statuses)
	if askedFirst == 0 || servedFirst == 0 || askedAdded < 20 {
		return false, errNoTraffic
	}
	return 4*servedAdded*askedFirst < servedFirst*askedAdded, nil
}
