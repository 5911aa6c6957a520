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

// latencyCmd measures what an entry and an agent add to a call.
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
	var direct, through []time.Duration
	for range c.Calls {
		d, err := timeCall(ctx, "http://"+l.Upstreams[0].Address, "")
		if err != nil {
			return err
		}
		t, err := timeCall(ctx, l.EntryURLs[0], "cfs_farm")
		if err != nil {
			return err
		}
		direct, through = append(direct, d), append(through, t)
	}
	slices.Sort(direct)
	slices.Sort(through)
	fmt.Printf("Event=latency Calls=%d DirectP50US=%d DirectP99US=%d ThroughP50US=%d ThroughP99US=%d AddedP50US=%d AddedP99US=%d\n",
		c.Calls, quantile(direct, 50), quantile(direct, 99), quantile(through, 50), quantile(through, 99),
		quantile(through, 50)-quantile(direct, 50), quantile(through, 99)-quantile(direct, 99))
	return nil
}

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
		return 0, fmt.Errorf("%s answered %d", url, resp.StatusCode)
	}
	return time.Since(start), nil
}

func quantile(sorted []time.Duration, percent int) int64 {
	return sorted[len(sorted)*percent/100].Microseconds()
}
