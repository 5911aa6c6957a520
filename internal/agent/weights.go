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
	// weightChunkBytes is the size of one message of a copy between agents.
	weightChunkBytes = 256 << 10
	// holdingTellMS is how long a holding is told to the leader.
	holdingTellMS = 30_000
)

// blob is the data of a weight version that this agent holds.
type blob struct {
	data    []byte
	sinceMS rollout.Millis
}

// Weights streams the data of a weight version to another agent.
func (a *agent) Weights(req *wire.WeightsRequest, stream wire.DRPCAgent_WeightsStream) error {
	a.blobMu.Lock()
	b, ok := a.blobs[weights.Blob{Group: req.Group, Version: req.Version}]
	a.blobMu.Unlock()
	if !ok {
		return rollout.NewError(rollout.KindNotFound, "no data of %s version %d", req.Group, req.Version)
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

// takeTasks starts what the leader asks for, on the control thread.
func (a *agent) takeTasks(tasks weights.Tasks) {
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
		data, err := a.fetch(f)
		a.do(func(now rollout.Millis) { a.fetched(now, f, data, err) })
	})
}

func (a *agent) fetched(now rollout.Millis, f weights.Fetch, data []byte, err error) {
	delete(a.fetching, f.Blob)
	if err != nil {
		a.log.Warn("WeightFetchFailed", zap.String("Group", f.Group), zap.Uint64("Version", f.Version), zap.String("Source", f.Source), zap.Error(err))
		a.fetchFailures = append(a.fetchFailures, fleet.FetchFailures{Group: f.Group, Version: f.Version, Source: f.Source})
		a.renewer.Wake()
		return
	}
	a.blobMu.Lock()
	for old := range a.blobs {
		if old.Group == f.Group && old.Version+1 < f.Version {
			delete(a.blobs, old)
		}
	}
	a.blobs[f.Blob] = blob{data: data, sinceMS: now}
	a.blobMu.Unlock()
	a.log.Info("WeightFetched", zap.String("Group", f.Group), zap.Uint64("Version", f.Version), zap.Int("Bytes", len(data)))
	a.renewer.Wake()
}

// fetch copies the data of a weight version from an agent or the store.
func (a *agent) fetch(f weights.Fetch) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if f.Source == "" {
		return a.fetchStore(ctx, f)
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
		data = append(data, c.Data...)
		if c.Total > 0 && c.Total == uint64(len(data)) {
			return data, nil
		}
		if c.Total > 0 {
			return nil, rollout.NewError(rollout.KindTruncated, "got %d of %d bytes", len(data), c.Total)
		}
	}
}

func (a *agent) fetchStore(ctx context.Context, f weights.Fetch) ([]byte, error) {
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
		return nil, rollout.NewError(rollout.KindUnavailable, "weight store answered %d", resp.StatusCode)
	}
	return io.ReadAll(resp.Body)
}

func (a *agent) startSwap(s weights.Swap) {
	l := a.locals[s.Upstream]
	a.blobMu.Lock()
	b, ok := a.blobs[s.Blob]
	a.blobMu.Unlock()
	if l == nil || !ok || l.swapping {
		return
	}
	l.swapping = true
	url, fencing := l.announced.URL, a.renewer.View().Version
	a.background.Go(func() {
		err := a.swap(url, s, fencing, b.data)
		a.do(func(rollout.Millis) { a.swapped(s, err) })
	})
}

// swap orders an engine to load a weight version. The order goes out only
// while the agent has authority.
func (a *agent) swap(url string, s weights.Swap, fencing uint64, data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), swapTimeout)
	defer cancel()
	target := fmt.Sprintf("%s/weights?Group=%s&Version=%d&Fencing=%d", url, s.Group, s.Version, fencing)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(data))
	if err != nil {
		return err
	}
	if !a.renewer.Valid() {
		return rollout.NewError(rollout.KindNoAuthority, "no authority").WithNotRun()
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxStatusSize))
	if resp.StatusCode != http.StatusOK {
		return rollout.NewError(rollout.KindUpstreamFailed, "engine answered %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	return nil
}

// swapped notes the end of a swap. Which version the engine serves is read
// from the engine, never from the order.
func (a *agent) swapped(s weights.Swap, err error) {
	if l := a.locals[s.Upstream]; l != nil {
		l.swapping = false
	}
	a.swaps = append(a.swaps, fleet.SwapOutcome{Upstream: s.Upstream, Group: s.Group, Version: s.Version, Failed: err != nil})
	if err != nil {
		a.log.Warn("WeightSwapFailed", zap.String("Upstream", s.Upstream), zap.String("Group", s.Group), zap.Uint64("Version", s.Version), zap.Error(err))
	}
	a.poll(s.Upstream)
	a.renewer.Wake()
}
