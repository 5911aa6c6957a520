package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/internal/demo"
)

const latencyBody = `{"model":"draft","prompt":"the farmer waits","max_tokens":1}`

// latencyCmd measures the latency that an entry and an agent add to a call. Direct calls and calls
// through the entry alternate.
type latencyCmd struct {
	Dir   string `arg:"" type:"path"`
	Calls int    `default:"3000"`
}

// Run implements the command.
func (c *latencyCmd) Run(ctx context.Context) error {
	l, err := demo.Load(c.Dir)
	if err != nil {
		return err
	}
	check := demo.NewCheck(l)
	if err := check.Prepare(ctx); err != nil {
		return err
	}
	var direct, viaEntry []time.Duration
	for range c.Calls {
		d, err := timeCall(ctx, "http://"+l.Upstreams[0].Address, "")
		if err != nil {
			return err
		}
		e, err := timeCall(ctx, l.EntryURLs[0], "cfs_farm")
		if err != nil {
			return err
		}
		direct, viaEntry = append(direct, d), append(viaEntry, e)
	}
	slices.Sort(direct)
	slices.Sort(viaEntry)
	fmt.Printf("Event=latency Calls=%d DirectP50US=%d DirectP99US=%d ThroughP50US=%d ThroughP99US=%d AddedP50US=%d AddedP99US=%d\n",
		c.Calls, percentile(direct, 50), percentile(direct, 99), percentile(viaEntry, 50), percentile(viaEntry, 99),
		percentile(viaEntry, 50)-percentile(direct, 50), percentile(viaEntry, 99)-percentile(direct, 99))
	return nil
}

// timeCall sends a completion request and returns the time until the whole response is read. An
// empty key sends no Authorization header.
func timeCall(ctx context.Context, url, key string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(latencyBody))
	if err != nil {
		return 0, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("completion request to %s failed with HTTP status %d", url, resp.StatusCode)
	}
	return time.Since(start), nil
}

// percentile returns a percentile of sorted durations in microseconds.
func percentile(sorted []time.Duration, percent int) int64 {
	return sorted[len(sorted)*percent/100].Microseconds()
}
