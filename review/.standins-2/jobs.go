package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const model = "daka510000"

const jobConfig = `{"version":7,"routes":[
{"name":"r-jobs","host":"ficu95.example","pathPrefix":"/pule252/","type":"rollout","timeoutMs":10000,"targetLatencyMs":400,"resultDeadlineMs":7500,"maxQueueS":60,"priority":1,"service":"huvo11a","maxAttempts":%[1]d}],
"services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":180,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacity":99183,"kvBytes":18432,"linkMbps":2200000.0,"moves":false,"backups":false,"stride":48,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"daka510000"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["key-of-the-trainer-1"],"priority":1}]}`

type jobItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

type jobText struct {
	Step       int       `json:"step"`
	Model      string    `json:"model"`
	MinVersion int       `json:"minVersion"`
	Desired    int       `json:"desired"`
	Requests   []jobItem `json:"requests"`
}

// newJob returns the body of a job with items of a body length, in groups of four.
func newJob(id string, items, bodyBytes int) string {
	t := jobText{Model: model, Desired: items / 4}
	for i := range items {
		raw := make([]byte, bodyBytes)
		for j := range raw {
			raw[j] = byte(rand.Uint32())
		}
		t.Requests = append(t.Requests, jobItem{
			ID: itemID(id, i), Path: fmt.Sprintf("/pule252/%d", i), Body: base64.StdEncoding.EncodeToString(raw), Tokens: 7600, Group: fmt.Sprintf("g%s%d", id, i/4),
			Headers: map[string]string{"X-Coltsfootspoke-Model": model, "X-Coltsfootspoke-Token-Usage": "7400,200", "X-Coltsfootspoke-Prompt-Prefix": fmt.Sprintf("%x:7000,%x:400", 4096+i/4, 65536+i)},
		})
	}
	data, err := json.Marshal(t)
	must(err)
	return string(data)
}

func (c *cluster) jobHeader(id string) map[string]string {
	h := map[string]string{"Host": hostName, "Authorization": "Token " + key}
	if id != "" {
		h[headerID], h["Content-Type"] = id, "application/json"
	}
	return h
}

// submit submits a job at one entry after another until it is accepted.
func (c *cluster) submit(id, body string) error {
	for end, i := time.Now().Add(20*time.Second), 0; time.Now().Before(end); i++ {
		resp, _, err := do(newRequest("POST", "http://"+c.entry(i%3)+"/pule252/"+id, body, c.jobHeader(id)), 5*time.Second)
		if err == nil && resp.StatusCode == http.StatusAccepted {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: job %s was not accepted", errNotRunnable, id)
}

// end ends a job, as a trainer that has read its results does.
func (c *cluster) end(id string) {
	for i := range 6 {
		resp, _, err := do(newRequest("DELETE", "http://"+c.entry(i%3)+"/api/lots/"+id, "", c.jobHeader("")), 2*time.Second)
		if err == nil && resp.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

type result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// results reads the results of a job until all are listed or the time is up.
func (c *cluster) results(id string, timeout time.Duration) []result {
	var all []result
	for end, i := time.Now().Add(timeout), 0; time.Now().Before(end); i++ {
		h := c.jobHeader("")
		h["X-Coltsfootspoke-Wait-Ms"] = "1000"
		resp, data, err := do(newRequest("GET", fmt.Sprintf("http://%s/api/lots/%s?after=%d", c.entry(i%3), id, len(all)), "", h), 4*time.Second)
		if err != nil || resp.StatusCode != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var page struct {
			Total   int      `json:"total"`
			Results []result `json:"results"`
		}
		if json.Unmarshal([]byte(data), &page) != nil {
			continue
		}
		all = append(all, page.Results...)
		if len(all) == page.Total {
			break
		}
	}
	return all
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// read reads the results of a job from a position on once. The status is 0 if there was no
// answer.
func (c *cluster) read(entry int, id string, after int) (int, page) {
	var p page
	resp, data, err := do(newRequest("GET", fmt.Sprintf("http://%s/api/lots/%s?after=%d", c.entry(entry), id, after), "", c.jobHeader("")), 6*time.Second)
	if err != nil {
		return 0, p
	}
	_ = json.Unmarshal([]byte(data), &p)
	return resp.StatusCode, p
}

// itemID returns the ID of an item of a job.
func itemID(job string, i int) string { return fmt.Sprintf("%s%04x", job, i) }
