package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	readyTimeout = 20 * time.Second
	pollPause    = 50 * time.Millisecond
	stepSamples  = 32
	stepTokens   = 20
	// cutLimit is the longest time after which a withdrawn key may still
	// receive.
	cutLimit = 5 * time.Second
	// windowLimit is how long the first usage report may take.
	windowLimit = 20 * time.Second
)

// Result holds what the demo has received.
type Result struct {
	StreamEvents   int
	ServiceStatus  int
	RepeatedRun    int
	Samples        int
	CutAfterMS     int64
	RefusedStatus  int
	UsageWindow    uint64
	UsageRequests  uint64
	KeysSeen       int
	ChangedWindows int
}

// Check runs the whole path against a deployment that has been started.
type Check struct {
	layout   *Layout
	operator *Operator
	client   *http.Client
	result   Result
}

// NewCheck returns a check of a layout.
func NewCheck(l *Layout) *Check {
	return &Check{layout: l, operator: NewOperator(l), client: &http.Client{}}
}

// Layout returns the deployment.
func (c *Check) Layout() *Layout { return c.layout }

// Prepare waits until the deployment serves and configures it.
func (c *Check) Prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, st := range []string{
		"create account farm weight 2", "create account trainers",
		"create route stock pool pedidos open yes repeatable yes",
		"create route orders pool pedidos",
		"create route draft pool redactor",
		"create group drafts account trainers pool redactor staleness 2",
	} {
		if _, err := c.operator.Do(ctx, st); err != nil {
			return fmt.Errorf("%s: %w", st, err)
		}
	}
	if err := c.operator.Grant(ctx, "farm-1", "farm", "cfs_farm"); err != nil {
		return err
	}
	if err := c.operator.Grant(ctx, "trainer-1", "trainers", "cfs_trainer"); err != nil {
		return err
	}
	return c.WaitUpstreams(ctx)
}

// WaitUpstreams waits until each upstream takes work at each entry.
func (c *Check) WaitUpstreams(ctx context.Context) error {
	for ctx.Err() == nil {
		a, err := c.operator.Do(ctx, "show upstreams")
		if err == nil && len(a.Table.Rows) == len(c.layout.Upstreams) {
			w, err := c.operator.Do(ctx, fmt.Sprintf("wait version %d", a.Version))
			if err == nil && w.InForce && c.entriesReady(ctx) {
				return nil
			}
		}
		time.Sleep(pollPause)
	}
	return errors.New("the upstreams did not announce themselves")
}

// entriesReady tells whether each entry serves with authority. The leader
// knows nothing of an entry that has not yet started.
func (c *Check) entriesReady(ctx context.Context) bool {
	for _, admin := range c.layout.EntryAdmins {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, admin+"/readyz", nil)
		if err != nil {
			return false
		}
		resp, err := c.client.Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// Run runs all parts.
func (c *Check) Run(ctx context.Context) (Result, error) {
	defer c.operator.Close()
	for _, part := range []func(context.Context) error{
		c.Prepare, c.streamCompletion, c.callService, c.repeatOrder, c.trainStep, c.withdrawKey, c.awaitUsage, c.lookForKeys,
	} {
		if err := part(ctx); err != nil {
			return c.result, err
		}
	}
	return c.result, nil
}

// Post sends a request with a key to an entry.
func (c *Check) Post(ctx context.Context, entry int, path, key, requestID, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.layout.EntryURLs[entry]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if requestID != "" {
		req.Header.Set("Idempotency-Key", requestID)
	}
	return c.client.Do(req)
}

// PostWithin sends a request that is given up after a time.
func (c *Check) PostWithin(ctx context.Context, entry int, path, key string, within time.Duration, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.layout.EntryURLs[entry]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(within.Milliseconds(), 10))
	return c.client.Do(req)
}

func (c *Check) streamCompletion(ctx context.Context) error {
	resp, err := c.Post(ctx, 0, "/v1/completions", "cfs_farm", "", `{"model":"draft","prompt":"the farmer waits","max_tokens":16,"stream":true}`)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if !bytes.Contains(data, []byte("[DONE]")) {
		return fmt.Errorf("stream answered %d without an end marker: %.200s", resp.StatusCode, data)
	}
	c.result.StreamEvents = bytes.Count(data, []byte("data: {"))
	return nil
}

func (c *Check) callService(ctx context.Context) error {
	resp, err := c.Post(ctx, 1, "/r/stock/levels", "", "", `{}`)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	c.result.ServiceStatus = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("service answered %d: %s", resp.StatusCode, data)
	}
	return nil
}

// repeatOrder sends an order that may run once to both entries.
func (c *Check) repeatOrder(ctx context.Context) error {
	for entry := range c.layout.EntryURLs {
		resp, err := c.Post(ctx, entry, "/r/orders/tags", "cfs_farm", "order-1", `{"Tags":40}`)
		if err != nil {
			return err
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		var a struct{ Run int }
		if err := json.Unmarshal(data, &a); err != nil || a.Run != 1 {
			return fmt.Errorf("entry %d answered %d: %s", entry, resp.StatusCode, data)
		}
		c.result.RepeatedRun = a.Run
	}
	return nil
}

// trainStep pulls one step of samples after publishing a weight version.
func (c *Check) trainStep(ctx context.Context) error {
	t := &Trainer{
		URLs: c.layout.EntryURLs, Key: "cfs_trainer", Group: "drafts",
		Steps: 1, Samples: stepSamples, MaxTokens: stepTokens, Publish: true,
	}
	r, err := t.Run(ctx)
	c.result.Samples = r.Samples
	if err == nil && (r.Samples != stepSamples || r.Repeated > 0 || r.NewestSeen > 1) {
		err = fmt.Errorf("trainer got %+v", r)
	}
	return err
}

// withdrawKey withdraws the key of a running stream and waits for its end.
func (c *Check) withdrawKey(ctx context.Context) error {
	resp, err := c.Post(ctx, 0, "/v1/completions", "cfs_farm", "", `{"model":"draft","prompt":"a long tale","max_tokens":60000,"stream":true}`)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReader(resp.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		return fmt.Errorf("first event: %w", err)
	}
	start := time.Now()
	answer, err := c.operator.Do(ctx, "withdraw key farm-1")
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, reader)
	took := time.Since(start)
	c.result.CutAfterMS = took.Milliseconds()
	if took > cutLimit {
		return fmt.Errorf("the stream went on for %v after the withdrawal", took)
	}
	if err := c.WaitVersion(ctx, answer.Version); err != nil {
		return err
	}
	again, err := c.Post(ctx, 1, "/v1/completions", "cfs_farm", "", `{"model":"draft","prompt":"again"}`)
	if err != nil {
		return err
	}
	_ = again.Body.Close()
	c.result.RefusedStatus = again.StatusCode
	if again.StatusCode != http.StatusUnauthorized {
		return fmt.Errorf("a withdrawn key answered %d", again.StatusCode)
	}
	return nil
}

// WaitVersion waits until a configuration version is in force everywhere.
func (c *Check) WaitVersion(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, cutLimit)
	defer cancel()
	for ctx.Err() == nil {
		a, err := c.operator.Do(ctx, fmt.Sprintf("wait version %d", version))
		if err == nil && a.InForce {
			return nil
		}
		time.Sleep(pollPause)
	}
	return fmt.Errorf("version %d is not in force after %v", version, cutLimit)
}

// awaitUsage waits until the platform has a usage window with requests.
func (c *Check) awaitUsage(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, windowLimit)
	defer cancel()
	for ctx.Err() == nil {
		var state struct {
			Usage []struct {
				Window uint64
				Total  struct{ Requests uint64 }
			}
			Changed int
		}
		if err := c.getJSON(ctx, "http://"+c.layout.Platform+"/state", &state); err == nil {
			c.result.ChangedWindows = state.Changed
			for _, u := range state.Usage {
				if u.Total.Requests > 0 {
					c.result.UsageWindow, c.result.UsageRequests = u.Window, u.Total.Requests
					return nil
				}
			}
		}
		time.Sleep(pollPause)
	}
	return errors.New("no usage window was reported")
}

func (c *Check) lookForKeys(ctx context.Context) error {
	for _, u := range c.layout.Upstreams {
		var st struct{ KeysSeen int }
		if err := c.getJSON(ctx, "http://"+u.Address+"/status", &st); err != nil {
			return err
		}
		c.result.KeysSeen += st.KeysSeen
	}
	if c.result.KeysSeen > 0 {
		return fmt.Errorf("upstreams saw %d requests with a key", c.result.KeysSeen)
	}
	return nil
}

func (c *Check) getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}
