package main

import (
	"math/rand"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// caseLeaver lets an engine leave by DELETE alone, and ends the machine that has just
// acknowledged it. Requests must not reach the engine later than drainMs after that.
func caseLeaver(c *cluster, trouble bool) (bool, error) {
	return leaveWith(c, func(leaving *engine, machine *host, acked time.Time) (time.Time, error) {
		if !trouble {
			return acked, nil
		}
		// DELAY_MS is for trials with a later kill.
		delay, _ := strconv.Atoi(os.Getenv("DELAY_MS"))
		if delay > 0 {
			time.Sleep(time.Duration(delay) * time.Millisecond)
		}
		kill(machine)
		killed := time.Since(acked)
		c.rec.say("the processes of %s were killed %v after the acknowledgement", machine.name, killed)
		time.Sleep(restartDelay)
		return time.Now(), c.restart(machine)
	})
}

const (
	// coreKilledAfter is the time from the acknowledgement of a DELETE until the processes of
	// the core are killed, and coreDown how long they are down.
	coreKilledAfter = 300 * time.Millisecond
	coreDown        = 800 * time.Millisecond
	// lateBy is how late the last announcement of the engine that leaves arrives.
	lateBy = 3500 * time.Millisecond
)

// caseLate lets an engine leave by DELETE alone. Its last announcement arrives seconds late,
// which is no disruption. The disruption is that all processes of the core are killed before.
func caseLate(c *cluster, trouble bool) (bool, error) {
	return leaveWith(c, func(leaving *engine, _ *host, acked time.Time) (time.Time, error) {
		back := acked
		if trouble {
			time.Sleep(coreKilledAfter)
			for _, h := range c.fronts {
				kill(h)
			}
			c.rec.say("all processes of the core were killed %v after the acknowledgement", time.Since(acked))
			time.Sleep(coreDown)
			for _, h := range c.fronts {
				if err := c.restart(h); err != nil {
					return back, err
				}
			}
			back = time.Now()
		}
		time.Sleep(time.Until(acked.Add(lateBy)))
		status, err := leaving.sendLate()
		c.rec.say("the last announcement of %s, sent before its DELETE, arrived %v after the acknowledgement: answer %d, error %v", leaving.id, time.Since(acked).Round(time.Millisecond), status, err)
		return back, nil
	})
}

func kill(h *host) {
	for _, p := range h.procs {
		p.signal(syscall.SIGKILL)
	}
}

// restart starts the processes of a machine after they have ended.
func (c *cluster) restart(h *host) error {
	for _, role := range []string{"control", "entry"} {
		h.procs[role].wait()
		if err := c.start(h.procs[role]); err != nil {
			return err
		}
	}
	return nil
}

// leaveWith lets one of four engines leave by DELETE alone, and counts the requests that reach
// it although machines in touch took and sent them later than drainMs after the
// acknowledgement. disrupt returns when the last process was started.
func leaveWith(c *cluster, disrupt func(leaving *engine, machine *host, acked time.Time) (time.Time, error)) (bool, error) {
	var engines []*engine
	for i := range 4 {
		e := c.newEngine(1+i, plain, c.fronts[i%3].zone, 6)
		e.work = func(string, string) time.Duration { return 500 * time.Millisecond }
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
	for n := range 24 {
		wait.Go(func() {
			k := newCaller(c.rec, n)
			for {
				s := k.send(g.pick(n, ""), "/lohu930/", 2*time.Second)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(300+rand.Intn(200)) * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	leader := c.controlLeader()
	if leader < 0 {
		close(stop)
		wait.Wait()
		return false, errNoLeader
	}
	leaving, machine := engines[3], c.fronts[leader]
	if err := leaving.leave(c.controlAddress(leader)); err != nil {
		close(stop)
		wait.Wait()
		return false, err
	}
	acked := time.Now()
	back, err := disrupt(leaving, machine, acked)
	c.rec.say("DELETE of %s was acknowledged by %s at %d ms", leaving.id, machine.name, c.rec.at(acked))
	if err != nil {
		close(stop)
		wait.Wait()
		return false, err
	}
	// The engine serves for drainMs after the acknowledgement and some seconds longer.
	time.Sleep(time.Until(acked.Add(drainTime + 8*time.Second)))
	leaving.exit()
	c.rec.say("%s ended %v after the acknowledgement", leaving.id, time.Since(acked).Round(time.Millisecond))
	time.Sleep(time.Second)
	close(stop)
	wait.Wait()
	// Machines are in touch again contactMs after the last event of the core.
	from := acked.Add(drainTime)
	if back.After(acked) {
		from = back.Add(contactTime + 200*time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	taken := make(map[string]sent)
	for _, s := range all {
		taken[s.attempt] = s
	}
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	late, other, cut := 0, 0, 0
	for _, a := range leaving.arrivals {
		s := taken[a.attempt]
		switch {
		case s.at.Before(from):
			continue
		case a.at.After(from):
			late++
			if s.err != nil || s.status/100 != 2 {
				cut++
			}
		}
	}
	for _, e := range engines[:3] {
		e.mu.Lock()
		for _, a := range e.arrivals {
			if a.at.After(from) {
				other++
			}
		}
		e.mu.Unlock()
	}
	c.rec.say("requests that machines in touch took later than %d ms after the acknowledgement: %d reached %s, which had left, and %d the other engines; %d of the former got no answer of an engine",
		from.Sub(acked).Milliseconds(), late, leaving.id, other, cut)
	if other == 0 {
		return false, errNoTraffic
	}
	return late > 0, nil
}
