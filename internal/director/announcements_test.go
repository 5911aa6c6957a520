package director

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
)

// fakeLeader records the batches that a control host passes on.
type fakeLeader struct {
	mu      sync.Mutex
	batches []announcementBatch
	err     error
}

func (f *fakeLeader) record(_ context.Context, batch announcementBatch) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return f.err
	}
	f.batches = append(f.batches, batch)
	return nil
}

func (f *fakeLeader) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.batches)
}

func newRunningBatcher(t *testing.T, f *fakeLeader) *announcementBatcher {
	t.Helper()
	b := newAnnouncementBatcher(clock.Boottime{}, f.record)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return b
}

func engineAt(id string, seq uint64) discovery.Upstream {
	return discovery.Upstream{ID: id, Address: id, Pool: "p", State: discovery.StateReady, Slots: 4, Born: 1, Seq: seq}
}

func mustAnnounce(t *testing.T, b *announcementBatcher, us ...discovery.Upstream) {
	t.Helper()
	var wait sync.WaitGroup
	for _, u := range us {
		wait.Go(func() {
			if err := b.announce(t.Context(), u); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
}

// With thousands of engines the leader of control would otherwise get each sign
// of life as a call of its own.
func TestRepeatedAnnouncementsShareCalls(t *testing.T) {
	f := &fakeLeader{}
	b := newRunningBatcher(t, f)
	const engines = 50
	for seq := uint64(1); seq <= 3; seq++ {
		before := f.calls()
		var us []discovery.Upstream
		for i := range engines {
			us = append(us, engineAt(string(rune('A'+i)), seq))
		}
		mustAnnounce(t, b, us...)
		if calls := f.calls() - before; seq > 1 && calls > engines/10 {
			t.Fatalf("%d calls for %d announcements that change nothing, want at most %d", calls, engines, engines/10)
		}
	}
	total := 0
	for _, batch := range f.batches {
		total += len(batch.Upstreams)
	}
	if total != 3*engines {
		t.Fatalf("%d announcements were passed on, want %d", total, 3*engines)
	}
}

func TestDrainingIsPassedOnAtOnce(t *testing.T) {
	f := &fakeLeader{}
	b := newRunningBatcher(t, f)
	mustAnnounce(t, b, engineAt("a", 1))
	draining := engineAt("a", 2)
	draining.State = discovery.StateDraining
	start := time.Now()
	mustAnnounce(t, b, draining)
	if took := time.Since(start); took >= repeatDelay {
		t.Fatalf("passed on after %v, want less than %v", took, repeatDelay)
	}
}

func TestFailedBatchIsReportedToAllAndForgotten(t *testing.T) {
	f := &fakeLeader{err: errors.New("no leader")}
	b := newRunningBatcher(t, f)
	for range 2 {
		if err := b.announce(t.Context(), engineAt("a", 1)); err == nil {
			t.Fatal("an announcement that the leader did not record was acknowledged")
		}
	}
	if len(b.sent) != 0 {
		t.Fatalf("%d announcements count as recorded, want none", len(b.sent))
	}
}
