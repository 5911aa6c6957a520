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
	readyTimeout    = 20 * time.Second
	pollInterval    = 50 * time.Millisecond
	samplesPerStep  = 32
	tokensPerSample = 20
	// withdrawalTimeout is how long a stream may continue after its key has been
	// withdrawn, and how long a configuration change may take to be in force.
	withdrawalTimeout = 5 * time.Second
	// usageReportTimeout is how long the first usage report with requests may
	// take.
	usageReportTimeout = 20 * time.Second
)

// Result holds the measurements of a check.
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

// Check sends requests of all kinds to a running deployment and verifies the
// responses.
type Check struct {
	layout   *Layout
	operator *Operator
	client   *http.Client
	result   Result
}

// NewCheck returns a check of the deployment that a layout describes.
func NewCheck(l *Layout) *Check {
	return &Check{layout: l, operator: NewOperator(l), client: &http.Client{}}
}

// Layout returns the layout of the deployment.
func (c *Check) Layout() *Layout { return c.layout }

// Prepare configures the deployment and waits until it is ready to serve.
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
	return c.WaitForUpstreams(ctx)
}

// WaitForUpstreams waits until all upstreams are registered, the configuration
// is in force and each entry is ready.
func (c *Check) WaitForUpstreams(ctx context.Context) error {
	for ctx.Err() == nil {
		a, err := c.operator.Do(ctx, "show upstreams")
		if err == nil && len(a.Table.Rows) == len(c.layout.Upstreams) {
			w, err := c.operator.Do(ctx, fmt.Sprintf("wait version %d", a.Version))
			if err == nil && w.InForce && c.entriesReady(ctx) {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return errors.New("timed out waiting for the upstreams to register and the entries to be ready")
}

// entriesReady reports whether each entry is ready and holds authority. A
// configuration version that is in force does not show this, since the leader
// does not know of an entry that has not started yet.
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

// Run runs all parts of the check and stops at the first failure.
func (c *Check) Run(ctx context.Context) (Result, error) {
	defer c.operator.Close()
	for _, part := range []func(context.Context) error{
		c.Prepare, c.streamCompletion, c.callService, c.sendOrderTwice, c.runTrainerStep, c.withdrawKeyDuringStream, c.awaitUsage, c.checkKeysNotForwarded,
	} {
		if err := part(ctx); err != nil {
			return c.result, err
		}
	}
	return c.result, nil
}

// Post sends a request to an entry. The key and the request ID are optional.
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

// PostWithTimeout sends a request with a deadline in X-Request-Timeout-Ms, which
// the deployment enforces.
func (c *Check) PostWithTimeout(ctx context.Context, entry int, path, key string, timeout time.Duration, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.layout.EntryURLs[entry]+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
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
		return fmt.Errorf("stream with status %d ended without [DONE]: %.200s", resp.StatusCode, data)
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
		return fmt.Errorf("service returned status %d: %s", resp.StatusCode, data)
	}
	return nil
}

// sendOrderTwice sends the same order to each entry and checks that it runs
// once.
func (c *Check) sendOrderTwice(ctx context.Context) error {
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
			return fmt.Errorf("entry %d returned status %d: %s", entry, resp.StatusCode, data)
		}
		c.result.RepeatedRun = a.Run
	}
	return nil
}

// runTrainerStep publishes a weight version and pulls the samples of one step.
func (c *Check) runTrainerStep(ctx context.Context) error {
	t := &Trainer{
		URLs: c.layout.EntryURLs, Key: "cfs_trainer", Group: "drafts",
		Steps: 1, Samples: samplesPerStep, MaxTokens: tokensPerSample, Publish: true,
	}
	r, err := t.Run(ctx)
	c.result.Samples = r.Samples
	if err == nil && (r.Samples != samplesPerStep || r.Repeated > 0 || r.NewestSeen > 1) {
		err = fmt.Errorf("trainer received %+v, want %d samples without repeats", r, samplesPerStep)
	}
	return err
}

// withdrawKeyDuringStream withdraws the key of a running stream, waits until the
// stream ends and checks that a new request with the key is rejected.
func (c *Check) withdrawKeyDuringStream(ctx context.Context) error {
	resp, err := c.Post(ctx, 0, "/v1/completions", "cfs_farm", "", `{"model":"draft","prompt":"a long tale","max_tokens":60000,"stream":true}`)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReader(resp.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		return fmt.Errorf("read first event: %w", err)
	}
	start := time.Now()
	answer, err := c.operator.Do(ctx, "withdraw key farm-1")
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, reader)
	took := time.Since(start)
	c.result.CutAfterMS = took.Milliseconds()
	if took > withdrawalTimeout {
		return fmt.Errorf("stream continued for %v after its key was withdrawn, limit %v", took, withdrawalTimeout)
	}
	if err := c.WaitForVersion(ctx, answer.Version); err != nil {
		return err
	}
	again, err := c.Post(ctx, 1, "/v1/completions", "cfs_farm", "", `{"model":"draft","prompt":"again"}`)
	if err != nil {
		return err
	}
	_ = again.Body.Close()
	c.result.RefusedStatus = again.StatusCode
	if again.StatusCode != http.StatusUnauthorized {
		return fmt.Errorf("request with a withdrawn key returned status %d, want 401", again.StatusCode)
	}
	return nil
}

// WaitForVersion waits until a configuration version is in force everywhere.
func (c *Check) WaitForVersion(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, withdrawalTimeout)
	defer cancel()
	for ctx.Err() == nil {
		a, err := c.operator.Do(ctx, fmt.Sprintf("wait version %d", version))
		if err == nil && a.InForce {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("configuration version %d not in force after %v", version, withdrawalTimeout)
}

// awaitUsage waits until the platform has a usage window with requests.
func (c *Check) awaitUsage(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, usageReportTimeout)
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
		time.Sleep(pollInterval)
	}
	return errors.New("timed out waiting for a usage window with requests")
}

// checkKeysNotForwarded checks that no upstream has received a request that
// contains a key.
func (c *Check) checkKeysNotForwarded(ctx context.Context) error {
	for _, u := range c.layout.Upstreams {
		var st struct{ KeysSeen int }
		if err := c.getJSON(ctx, "http://"+u.Address+"/status", &st); err != nil {
			return err
		}
		c.result.KeysSeen += st.KeysSeen
	}
	if c.result.KeysSeen > 0 {
		return fmt.Errorf("upstreams received %d requests that contain a key", c.result.KeysSeen)
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
