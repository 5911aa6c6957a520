package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// catchUpTime, recoveryTime and finishTime are catchUpS, recoveryS and finishS of the settings.
	catchUpTime  = 4900 * time.Millisecond
	recoveryTime = 12 * time.Second
	finishTime   = 10 * time.Second
	// wipedTime is how long a host that loses its disk is down.
	wipedTime = time.Second
	// wipes is how many hosts lose their disks, one after the other, the leader last.
	wipes = 3
	// wipeMargin is added to catchUpTime before the next host loses its disk.
	wipeMargin = 1600 * time.Millisecond

	// The trainers submit a step each four seconds, with prompts of some thousand tokens.
	loadTrainers = 15
	loadItems    = 92
	loadBytes    = 30 << 10
	loadTime     = 4 * time.Second
	// keptItems are the items of a job that its trainer never ends.
	keptItems    = 40
	keptBytes    = 600
	keptInterval = time.Second
	warmUp       = 9 * time.Second
	readTime     = 15 * time.Second
)

// keptJobs holds the jobs that were accepted and are never ended.
type keptJobs struct {
	mu  sync.Mutex
	ids []string
}

func (k *keptJobs) add(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ids = append(k.ids, id)
}

// wipe kills a store process, removes its data and starts it again.
func (c *cluster) wipe(i int) {
	p := c.processes["store-"+c.storeIP(i)]
	c.rec.line("%s is killed and loses its data", p.name)
	_ = p.cmd.Process.Kill()
	<-p.exited
	must(os.RemoveAll(c.dataDir("store", c.storeIP(i))))
	time.Sleep(wipedTime)
	c.start("store", c.storeIP(i), i, false)
	c.rec.line("%s is started again with an empty folder", p.name)
}

// storeLeader returns the store host that was the last one to log that it leads.
func (c *cluster) storeLeader() int {
	leader, newest := 0, ""
	for i := range 3 {
		if at := lastLogged(c.processes["store-"+c.storeIP(i)].log, "Event=LeadershipAcquired"); at > newest {
			leader, newest = i, at
		}
	}
	return leader
}

// wiped lets the store hosts lose their disks, each later than catchUpTime after the one before is
// back, while jobs with long bodies arrive. It counts the accepted jobs that cannot be read at the
// end.
func wiped(rec *record, trouble bool) (int, error) {
	c, err := newCluster(rec)
	if err != nil {
		return 0, err
	}
	defer c.close()
	for range 3 {
		if _, err := c.addEngine(&engine{service: "huvo11a", slots: 12, queue: 36, model: model, serve: streamEvents(10, 50*time.Millisecond)}); err != nil {
			return 0, err
		}
	}
	if err := c.putConfig(fmt.Sprintf(jobConfig, 3)); err != nil {
		return 0, err
	}
	if err := c.awaitReady(); err != nil {
		return 0, err
	}
	kept := &keptJobs{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range loadTrainers {
		clients.Go(func() { c.train(i, stop) })
	}
	clients.Go(func() { c.keep(kept, stop) })
	time.Sleep(warmUp)
	leader := c.storeLeader()
	for i := 1; i <= wipes; i++ {
		if trouble {
			c.wipe((leader + i) % 3)
		}
		time.Sleep(catchUpTime + wipeMargin)
	}
	close(stop)
	clients.Wait()
	rec.line("the trainers leave")
	time.Sleep(recoveryTime + finishTime - catchUpTime - wipeMargin)
	broken := c.readAll(rec, kept)
	id := fmt.Sprintf("%08xeeee", rand.Uint32())
	resp, data, err := do(newRequest("POST", "http://"+c.entry(0)+"/pule252/"+id, newJob(id, 4, keptBytes), c.jobHeader(id)), 5*time.Second)
	if err == nil {
		rec.line("a new job is answered %d %.200s", resp.StatusCode, data)
	}
	return broken, nil
}

// keep submits a job each keptInterval, until stop is closed.
func (c *cluster) keep(kept *keptJobs, stop chan struct{}) {
	for n := 0; ; n++ {
		id := fmt.Sprintf("%08xff%04x", rand.Uint32(), n)
		body := newJob(id, keptItems, keptBytes)
		for !c.submitOnce(id, body) {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
		c.rec.line("job %s is answered 202", id)
		kept.add(id)
		select {
		case <-stop:
			return
		case <-time.After(keptInterval):
		}
	}
}

// submitOnce reports whether a job was accepted.
func (c *cluster) submitOnce(id, body string) bool {
	resp, _, err := do(newRequest("POST", "http://"+c.entry(rand.IntN(3))+"/pule252/"+id, body, c.jobHeader(id)), 5*time.Second)
	return err == nil && resp.StatusCode == http.StatusAccepted
}

// train submits a job each loadTime and ends it then, until stop is closed.
func (c *cluster) train(trainer int, stop chan struct{}) {
	time.Sleep(time.Duration(rand.Int64N(int64(loadTime))))
	for n := 0; ; n++ {
		id := fmt.Sprintf("%08x%02x%04x", rand.Uint32(), trainer, n)
		body := newJob(id, loadItems, loadBytes)
		for !c.submitOnce(id, body) {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(loadTime):
		}
		c.end(id)
	}
}

// readAll reads the accepted jobs from the start, again after each failure, and counts those of
// which an item is neither listed nor gives its body.
func (c *cluster) readAll(rec *record, kept *keptJobs) int {
	var mu sync.Mutex
	var group sync.WaitGroup
	broken := 0
	end := time.Now().Add(readTime)
	for _, id := range kept.ids {
		group.Go(func() {
			last := ""
			for try := 0; time.Now().Before(end); try++ {
				last = c.readWhole(try%3, id)
				if last == "" {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			broken++
			if broken <= 20 {
				rec.line("job %s, which was answered 202, cannot be read: %s", id, last)
			}
		})
	}
	group.Wait()
	rec.line("%d accepted jobs were read at the end, %d of them could not be read", len(kept.ids), broken)
	return broken
}

// readWhole reads a job: each item is listed, or gives its body. It returns what failed.
func (c *cluster) readWhole(entry int, id string) string {
	listed := map[string]bool{}
	for len(listed) < keptItems {
		status, p := c.read(entry, id, len(listed))
		if status != http.StatusOK {
			return fmt.Sprintf("%d of %d results come, the read at position %d is answered %d", len(listed), keptItems, len(listed), status)
		}
		if len(p.Results) == 0 {
			break
		}
		for _, r := range p.Results {
			listed[r.ID] = true
		}
	}
	for i := range keptItems {
		item := itemID(id, i)
		if listed[item] {
			continue
		}
		resp, data, err := do(newRequest("GET", "http://"+c.entry(entry)+"/api/items/"+id+"?id="+item, "", c.jobHeader("")), 6*time.Second)
		if err != nil {
			return fmt.Sprintf("the body of item %s: %v", item, err)
		}
		if resp.StatusCode != http.StatusOK || len(data) != keptBytes {
			return fmt.Sprintf("the body of item %s is answered %d with %d bytes", item, resp.StatusCode, len(data))
		}
	}
	return ""
}
