package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// siteFrontMB and siteStoreMB are memory_mb of the machines of the site.
	siteFrontMB = 134
	siteStoreMB = 164
	// tooOften is how often the processes of a machine may not end by themselves in a day.
	tooOften     = 3
	restartDelay = 500 * time.Millisecond
	memoryPoll   = 5 * time.Millisecond
	memoryTime   = 50 * time.Second
	largeItems   = 80
	// largeBytes makes a job of 31 MiB, which is below maxBodyBytes.
	largeBytes = 303_000
	smallBytes = 600
)

// residentBytes returns the anonymous memory of a process, without the pages of files such as the
// program itself, or 0 if it has ended.
func residentBytes(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(data), "RssAnon:")
	if !found {
		return 0
	}
	kib, _ := strconv.Atoi(strings.Fields(rest)[0])
	return kib << 10
}

// limitMemory does what the platform does: it kills each process that uses more than memoryMb, and
// starts it again after a short delay. It counts the ends by process until stop is closed.
func (c *cluster) limitMemory(stop chan struct{}, ends map[string]int, mu *sync.Mutex, group *sync.WaitGroup) {
	for name, p := range c.processes {
		limit := c.frontMB << 20
		if p.role == "store" {
			limit = c.storeMB << 20
		}
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(memoryPoll):
				}
				bytes := residentBytes(p.cmd.Process.Pid)
				if bytes <= limit {
					continue
				}
				_ = p.cmd.Process.Kill()
				<-p.exited
				mu.Lock()
				ends[name]++
				c.rec.line("%s uses %d bytes, limit %d, and is killed for the %d. time", name, bytes, limit, ends[name])
				mu.Unlock()
				time.Sleep(restartDelay)
				c.run(p)
			}
		})
	}
}

// memory submits one job of the largest length after another, or small ones, and counts the
// machines whose processes exceed their memory tooOften.
func memory(rec *record, trouble bool) (int, error) {
	c, err := newClusterOf(rec, siteFrontMB, siteStoreMB)
	if err != nil {
		return 0, err
	}
	defer c.close()
	for range 3 {
		if _, err := c.addEngine(&engine{service: "huvo11a", slots: 12, queue: 36, model: model, serve: streamEvents(6, 20*time.Millisecond)}); err != nil {
			return 0, err
		}
	}
	if err := c.putConfig(fmt.Sprintf(jobConfig, 3)); err != nil {
		return 0, err
	}
	if err := c.awaitReady(); err != nil {
		return 0, err
	}
	bytes := smallBytes
	if trouble {
		bytes = largeBytes
	}
	ends := map[string]int{}
	var mu sync.Mutex
	stop := make(chan struct{})
	var platform sync.WaitGroup
	c.limitMemory(stop, ends, &mu, &platform)
	accepted, finished := 0, 0
	for end, n := time.Now().Add(memoryTime), 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%08x%04x", rand.Uint32(), n)
		body := newJob(id, largeItems, bytes)
		isAccepted := false
		for try := 0; !isAccepted && time.Now().Before(end); try++ {
			resp, data, err := do(newRequest("POST", "http://"+c.entry(try%3)+"/pule252/"+id, body, c.jobHeader(id)), 6*time.Second)
			switch {
			case err != nil:
				rec.line("job %s of %d bytes: no answer", id, len(body))
			default:
				rec.line("job %s of %d bytes is answered %d %.100s", id, len(body), resp.StatusCode, data)
				isAccepted = resp.StatusCode == http.StatusAccepted
			}
			time.Sleep(200 * time.Millisecond)
		}
		if !isAccepted {
			break
		}
		accepted++
		if len(c.results(id, 7500*time.Millisecond)) == largeItems {
			finished++
		}
		c.end(id)
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	platform.Wait()
	machines := map[string]int{}
	for name, n := range ends {
		_, host, _ := strings.Cut(name, "-")
		machines[host] = max(machines[host], n)
	}
	often := 0
	for _, n := range machines {
		if n >= tooOften {
			often++
		}
	}
	rec.line("%d jobs were accepted, %d of them finished in time; ends of processes: %v", accepted, finished, ends)
	if often < 2 {
		return 0, nil
	}
	return often, nil
}
