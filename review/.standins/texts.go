package main

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// textEventGap is the time between two events at the fastest engine, and textGapStep what
	// each further engine takes longer.
	textEventGap = 20 * time.Millisecond
	textGapStep  = 4 * time.Millisecond
	shortEvents  = 24
	// abandonAfter is the time after which a client gives up an attempt that a daemon has not
	// read.
	abandonAfter = time.Second
	trainingTime = 500 * time.Millisecond
	freezeTime   = 4 * time.Second
)

// caseTexts freezes two machines to which a trainer sends the end of a step first. Meanwhile the
// trainer goes on with the next step, which has the groups that were not complete again. Each text that is
// listed as completed must be the whole output.
func caseTexts(c *cluster, trouble bool) (bool, error) {
	lengths := make(map[string]int)
	var mu sync.Mutex
	for i := range 6 {
		e := c.newEngine(20+i, models, c.fronts[i%3].zone, 12)
		e.model, e.eventGap = modelName, textEventGap+time.Duration(i)*textGapStep
		e.events = func(attempt string) int {
			mu.Lock()
			defer mu.Unlock()
			return lengths[attempt]
		}
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
	if err := c.addThin(5); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	wrong, read := 0, 0
	version := 1
	var spare []trainItem
	// A client retries at other machines. These are the first ones for the DELETE.
	frozen := c.thin[:2]
	order := []*host{frozen[0], frozen[1], c.fronts[0], c.fronts[1]}
	for step := 1; step <= 8; step++ {
		// The groups that come again are half of those that the trainer waits for.
		items, carried := spare, len(spare)/groupItems
		desired := carried + max(carried, 3)
		for range desired - carried {
			items = append(items, newGroup(func() int { return shortEvents + rand.Intn(4) })...)
		}
		want := make(map[string]bool)
		for _, it := range items {
			want[it.id] = true
		}
		spare = nil
		if carried == 0 {
			for range 3 {
				spare = append(spare, newGroup(func() int { return 120 + rand.Intn(28) })...)
			}
			items = append(items, spare...)
		}
		mu.Lock()
		for _, it := range items {
			lengths[it.id] = it.events
		}
		mu.Unlock()
		id := newAttempt()
		if err := submitJob(c, step, id, jobText(step, max(1, version-1), desired, items)); err != nil {
			return false, err
		}
		after := 0
		for end := time.Now().Add(15 * time.Second); len(want) > 0 && time.Now().Before(end); {
			results, err := readJob(c, c.fronts[rand.Intn(3)].ip, id, after)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			after += len(results)
			for _, r := range results {
				delete(want, r.ID)
				read++
				if r.State != "completed" {
					continue
				}
				var whole []string
				for n := 1; n <= lengths[r.ID]; n++ {
					whole = append(whole, eventData(r.ID, n))
				}
				if r.Output != strings.Join(whole, "\n") {
					wrong++
					got := strings.Split(r.Output, "\n")
					c.rec.say("batch job %s: the text of %s has %d events, its output %d: %s", id, r.ID, len(got), len(whole), firstDifference(got, whole))
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.rec.say("step %d: %d items, %d groups of them again, read %d results, %d groups wanted, %d items missing", step, len(items), carried, after, desired, len(want))
		// The trainer ends the step, trains, names the next version and asks for the next step.
		ended := make(chan struct{})
		if trouble && carried == 0 {
			signalAll(frozen, syscall.SIGSTOP)
			c.rec.add("%s and %s are frozen", frozen[0].name, frozen[1].name)
			time.AfterFunc(freezeTime, func() { signalAll(frozen, syscall.SIGCONT) })
		}
		go func() {
			defer close(ended)
			for i := range 20 {
				at := time.Now()
				status, _, err := jobCall(order[i%len(order)].ip, "DELETE", "/api/lots/"+id, "", "", abandonAfter)
				c.rec.add("DELETE of %s: status %d, error %v after %v", id, status, err, time.Since(at))
				if status == 200 {
					return
				}
			}
		}()
		time.Sleep(trainingTime)
		version++
		if err := c.operator("POST", "/api/version-put", fmt.Sprintf(`{"model":%q,"version":%d}`, modelName, version)); err != nil {
			return false, err
		}
		defer func() { <-ended }()
	}
	c.rec.say("%d results were read, %d texts were not the whole output", read, wrong)
	return wrong > 0, nil
}

func signalAll(hosts []*host, sig syscall.Signal) {
	for _, h := range hosts {
		for _, p := range h.procs {
			p.signal(sig)
		}
	}
}

func firstDifference(got, want []string) string {
	for i := range want {
		if i >= len(got) || got[i] != want[i] {
			return fmt.Sprintf("event %d is %q, want %q", i+1, append(got, "nothing")[min(i, len(got))], want[i])
		}
	}
	return fmt.Sprintf("%d events more", len(got)-len(want))
}
