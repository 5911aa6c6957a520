package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/weights"
)

const (
	fetchTimeout = 10 * time.Second
	swapTimeout  = 10 * time.Second
	// weightChunkBytes is the maximum data size of one message when an agent
	// copies weights from another.
	weightChunkBytes = 256 << 10
	// storedVersionReportMS is how long a fetched weight version is reported to the
	// leader in any case.
	storedVersionReportMS = 30_000
)

// fetchedBlob is the data of a weight version that this agent has fetched.
type fetchedBlob struct {
	data      []byte
	fetchedMS rollout.Millis
}

// Weights streams the data of a weight version to another agent.
func (a *agent) Weights(req *wire.WeightsRequest, stream wire.DRPCAgent_WeightsStream) error {
	a.blobMu.Lock()
	b, ok := a.blobs[weights.Blob{Group: req.Group, Version: req.Version}]
	a.blobMu.Unlock()
	if !ok {
		return rollout.NewError(rollout.KindNotFound, "agent %s has no weights of group %s version %d", a.cfg.Name, req.Group, req.Version)
	}
	for rest := b.data; len(rest) > 0; {
		n := min(len(rest), weightChunkBytes)
		if err := stream.Send(&wire.WeightsChunk{Data: rest[:n]}); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return stream.Send(&wire.WeightsChunk{Total: uint64(len(b.data))})
}

// startTasks starts the fetches and swaps that the leader requests. It runs on the
// goroutine of runEventLoop.
func (a *agent) startTasks(tasks weights.Tasks) {
	for _, f := range tasks.Fetches {
		a.startFetch(f)
	}
	for _, s := range tasks.Swaps {
		a.startSwap(s)
	}
}

func (a *agent) startFetch(f weights.Fetch) {
	if a.fetching[f.Blob] {
		return
	}
	a.fetching[f.Blob] = true
	a.background.Go(func() {
		data, err := a.fetchWeights(f)
		a.enqueue(func(now rollout.Millis) { a.recordFetch(now, f, data, err) })
	})
}

// recordFetch records the result of a fetch. On success it deletes the data of
// versions of the group older than the previous one.
func (a *agent) recordFetch(now rollout.Millis, f weights.Fetch, data []byte, err error) {
	delete(a.fetching, f.Blob)
	if err != nil {
		a.log.Warn("WeightFetchFailed", zap.String("Group", f.Group), zap.Uint64("Version", f.Version), zap.String("Source", f.Source), zap.Error(err))
		a.fetchFailures = append(a.fetchFailures, fleet.FetchFailure{Group: f.Group, Version: f.Version, Source: f.Source})
		a.renewer.Wake()
		return
	}
	a.blobMu.Lock()
	for old := range a.blobs {
		if old.Group == f.Group && old.Version+1 < f.Version {
			delete(a.blobs, old)
		}
	}
	a.blobs[f.Blob] = fetchedBlob{data: data, fetchedMS: now}
	a.blobMu.Unlock()
	a.log.Info("WeightFetched", zap.String("Group", f.Group), zap.Uint64("Version", f.Version), zap.Int("Bytes", len(data)))
	a.renewer.Wake()
}

// fetchWeights fetches the data of a weight version from another agent, or from
// the weight store if no source is given.
func (a *agent) fetchWeights(f weights.Fetch) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if f.Source == "" {
		return a.fetchFromStore(ctx, f)
	}
	client := wire.NewDRPCAgentClient(a.dialer.Conn(ctx, f.Source))
	stream, err := client.Weights(ctx, &wire.WeightsRequest{Group: f.Group, Version: f.Version})
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	var data []byte
	for {
		c, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		if int64(len(data)+len(c.Data)) > a.cfg.WeightsBytes() {
			return nil, a.weightsTooLong(f)
		}
		data = append(data, c.Data...)
		if c.Total > 0 && c.Total == uint64(len(data)) {
			return data, nil
		}
		if c.Total > 0 {
			return nil, rollout.NewError(rollout.KindTruncated, "weights of group %s version %d truncated: got %d of %d bytes", f.Group, f.Version, len(data), c.Total)
		}
	}
}

func (a *agent) fetchFromStore(ctx context.Context, f weights.Fetch) ([]byte, error) {
	url := fmt.Sprintf("%s/weights/%s/%d", a.cfg.WeightStoreURL, f.Group, f.Version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, rollout.NewError(rollout.KindUnavailable, "weight store returned HTTP status %d for group %s version %d", resp.StatusCode, f.Group, f.Version)
	}
	limit := a.cfg.WeightsBytes()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, a.weightsTooLong(f)
	}
	return data, err
}

func (a *agent) weightsTooLong(f weights.Fetch) error {
	return rollout.NewError(rollout.KindTruncated, "weights of group %s version %d are longer than %d bytes", f.Group, f.Version, a.cfg.WeightsBytes())
}

// startSwap starts a swap. A swap that the leader allowed before an evacuation is
// reported as failed, so that another engine may swap.
func (a *agent) startSwap(s weights.Swap) {
	l := a.upstreams[s.Upstream]
	a.blobMu.Lock()
	b, ok := a.blobs[s.Blob]
	a.blobMu.Unlock()
	if l == nil || !ok || l.swapping {
		return
	}
	if l.evacuated {
		a.recordSwap(s, rollout.NewError(rollout.KindNoUpstream, "the failure domain of upstream %s is evacuated", s.Upstream).WithNotRun())
		return
	}
	l.swapping = true
	url, fencing := l.announced.URL, a.renewer.View().Version
	a.background.Go(func() {
		err := a.sendSwap(url, s, fencing, b.data)
		a.enqueue(func(rollout.Millis) { a.recordSwap(s, err) })
	})
}

// sendSwap requests an engine to load a weight version. It sends the request only
// while the agent has authority.
func (a *agent) sendSwap(url string, s weights.Swap, fencing uint64, data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), swapTimeout)
	defer cancel()
	target := fmt.Sprintf("%s/weights?Group=%s&Version=%d&Fencing=%d", url, s.Group, s.Version, fencing)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(data))
	if err != nil {
		return err
	}
	if !a.renewer.Valid() {
		return rollout.NewError(rollout.KindNoAuthority, "agent %s has no authority to swap the weights of upstream %s", a.cfg.Name, s.Upstream).WithNotRun()
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if resp.StatusCode != http.StatusOK {
		return rollout.NewError(rollout.KindUpstreamFailed, "engine returned HTTP status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	return nil
}

// recordSwap records the outcome of a swap and polls the engine. The version that
// the engine serves is always read from its status, never assumed from the
// request.
func (a *agent) recordSwap(s weights.Swap, err error) {
	if l := a.upstreams[s.Upstream]; l != nil {
		l.swapping = false
	}
	a.swapOutcomes = append(a.swapOutcomes, fleet.SwapOutcome{Upstream: s.Upstream, Group: s.Group, Version: s.Version, Failed: err != nil})
	if err != nil {
		a.log.Warn("WeightSwapFailed", zap.String("Upstream", s.Upstream), zap.String("Group", s.Group), zap.Uint64("Version", s.Version), zap.Error(err))
	}
	a.poll(s.Upstream)
	a.renewer.Wake()
}
