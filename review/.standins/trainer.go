package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"
)

// groupItems is the number of items of a group.
const groupItems = 4

// trainItem is an item of a batch job of caseTexts.
type trainItem struct {
	id, group string
	events    int
}

// newGroup returns a group of items whose texts have some numbers of events.
func newGroup(events func() int) []trainItem {
	group := "g" + newAttempt()
	var items []trainItem
	for range groupItems {
		items = append(items, trainItem{newAttempt(), group, events()})
	}
	return items
}

func jobText(step, minVersion, desired int, items []trainItem) string {
	var requests []any
	for _, it := range items {
		requests = append(requests, map[string]any{
			"id": it.id, "path": "/pule252/3/" + it.id, "headers": map[string]string{"X-Coltsfootspoke-Model": modelName, "X-Coltsfootspoke-Token-Usage": "255,4000"},
			"body": base64.StdEncoding.EncodeToString([]byte("prompt of " + it.group)), "tokens": 4255, "group": it.group,
			"scorer": map[string]any{"id": fmt.Sprintf("s%d-%s", step, it.id), "host": hostName, "path": "/pufi791/5e07", "body": base64.StdEncoding.EncodeToString([]byte(it.id))},
		})
	}
	data, _ := json.Marshal(map[string]any{"step": step, "model": modelName, "minVersion": minVersion, "desired": desired, "requests": requests})
	return string(data)
}

type jobResult struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Output   string   `json:"output"`
	Versions []uint64 `json:"versions"`
}

// readJob reads the results of a batch job from a position on.
func readJob(c *cluster, entry, id string, after int) (results []jobResult, err error) {
	status, data, err := jobCall(entry, "GET", fmt.Sprintf("/api/lots/%s?after=%d", id, after), "", "", 2500*time.Millisecond)
	if err != nil || status != 200 {
		return nil, fmt.Errorf("status %d: %v", status, err)
	}
	var page struct{ Results []jobResult }
	err = json.Unmarshal(data, &page)
	return page.Results, err
}

// submitJob submits a batch job to entries in turn until one accepts it.
func submitJob(c *cluster, first int, id, body string) error {
	for i := range 30 {
		status, _, err := jobCall(c.fronts[(first+i)%3].ip, "POST", "/pule252/"+id, id, body, 2*time.Second)
		c.rec.add("batch job %s: status %d, error %v", id, status, err)
		if status == 202 {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("batch job %s was not accepted", id)
}
