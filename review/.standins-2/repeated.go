package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// attempts is maxAttempts of the route.
	attempts = 2
	// greyShare is the share of the requests that one engine of three fails.
	greyShare = 0.45
	// extraShare is the share of the answers that two engines of three send a second time.
	extraShare = 0.03
	events     = 6
)

// failures counts the answers with status 500 by item.
type failures struct {
	mu sync.Mutex
	of map[string]int
	// extra holds the items of which an answer with status 500 was sent a second time.
	extra map[string]int
}

func (f *failures) count(of map[string]int, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	of[id]++
}

// repeatedAnswer lets engines fail some runs, and send some answers a second time, where the
// next response is expected. It counts the items that are given up too early.
func repeatedAnswer(rec *record, trouble bool) (int, error) {
	c, err := newCluster(rec)
	if err != nil {
		return 0, err
	}
	defer c.close()
	f := &failures{of: map[string]int{}, extra: map[string]int{}}
	for i := range 3 {
		e := &engine{service: "huvo11a", slots: 12, queue: 36, model: model}
		e.serve = func(e *engine, r *http.Request, body []byte, out io.Writer) bool {
			id := r.Header.Get(headerID)
			if i == 0 && rand.Float64() < greyShare {
				var answer strings.Builder
				respond(&answer, id, http.StatusInternalServerError, fmt.Sprintf("%s: stamp.%s.%d\r\n", headerStamp, e.id, time.Now().UnixNano()), "")
				_, _ = io.WriteString(out, answer.String())
				f.count(f.of, id)
				rec.line("%s answers %s with 500", e.id, id)
				if trouble && rand.Float64() < extraShare {
					f.count(f.extra, id)
					rec.line("%s will answer %s a second time", e.id, id)
					e.sendLater(out, answer.String())
				}
				return true
			}
			return streamEvents(events, 20*time.Millisecond)(e, r, body, out)
		}
		if _, err := c.addEngine(e); err != nil {
			return 0, err
		}
	}
	if err := c.putConfig(fmt.Sprintf(jobConfig, attempts)); err != nil {
		return 0, err
	}
	if err := c.awaitReady(); err != nil {
		return 0, err
	}
	broken := 0
	items := 0
	for end, n := time.Now().Add(85*time.Second), 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%08x%04x", rand.Uint32(), n)
		if err := c.submit(id, newJob(id, jobItems, 600)); err != nil {
			return 0, err
		}
		results := c.results(id, 15*time.Second)
		items += len(results)
		broken += f.check(rec, results)
		c.end(id)
	}
	rec.line("%d items were listed, %d answers with status 500 were sent a second time", items, len(f.extra))
	return broken, nil
}

const jobItems = 24

// check counts the results that were given up before the engines had failed them as often as
// the route allows.
func (f *failures) check(rec *record, results []result) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	broken := 0
	for _, r := range results {
		if r.State != "abandoned" || f.of[r.ID] >= attempts {
			continue
		}
		broken++
		rec.line("item %s is listed as abandoned after %d answers of 500, of which %d were sent a second time; maxAttempts is %d", r.ID, f.of[r.ID], f.extra[r.ID], attempts)
	}
	return broken
}
