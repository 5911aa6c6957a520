package origins

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/origin"
)

// fakeHolders are holders of records in memory.
type fakeHolders struct {
	mu   sync.Mutex
	logs map[string]*origin.Log
	// silent holds the holders that never answer.
	silent map[string]bool
	// calls counts the calls that record origins, and longest is the most records in one.
	calls, longest int
}

func newFakeHolders(hosts ...string) *fakeHolders {
	f := &fakeHolders{logs: make(map[string]*origin.Log), silent: make(map[string]bool)}
	for _, h := range hosts {
		f.logs[h] = origin.NewLog()
	}
	return f
}

// Call implements Caller.
func (f *fakeHolders) Call(ctx context.Context, address, method string, in, out any) error {
	f.mu.Lock()
	silent := f.silent[address]
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return rollout.NewError(rollout.KindDeadlineExceeded, "no reply to %s from %s", method, address)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r := in.(type) {
	case RecordRequest:
		f.calls++
		f.longest = max(f.longest, len(r.Records))
		for _, record := range r.Records {
			f.logs[address].Add(0, record)
		}
	case FindRequest:
		o, known := f.logs[address].Find(0, r.Key)
		*out.(*FindReply) = FindReply{Known: known, Origin: o}
	}
	return nil
}

func newTestClient(f *fakeHolders) *Client {
	return NewClient(Options{Client: f, Clock: clock.Boottime{}, Log: zap.NewNop(), Hosts: func() []string {
		var hosts []string
		for h := range f.logs {
			hosts = append(hosts, h)
		}
		return hosts
	}})
}

func record(attempt string) origin.Record {
	return origin.Record{Key: origin.Key{Account: "farm", Attempt: attempt}, Origin: origin.Origin{Pool: "p", Software: "v1"}}
}

func assertFinds(t *testing.T, c *Client, r origin.Record) {
	t.Helper()
	if o, err := c.Find(t.Context(), r.Key); err != nil || o != r.Origin {
		t.Fatalf("attempt %s: origin %+v, %v, want %+v", r.Attempt, o, err, r.Origin)
	}
}

func assertRefusal(t *testing.T, err error, kind rollout.Kind) {
	t.Helper()
	if err == nil || rollout.AsError(err).Kind != kind || !rollout.AsError(err).NotRun {
		t.Fatalf("error %v, want one of kind %v that says that nothing ran", err, kind)
	}
}

func TestOtherEntryFindsRecord(t *testing.T) {
	f := newFakeHolders("a", "b", "c", "d", "e")
	newTestClient(f).Record(t.Context(), record("r"))
	assertFinds(t, newTestClient(f), record("r"))
}

// Guards against streams that wait at their start for a holder that does not answer.
func TestSilentHolderDelaysNoStream(t *testing.T) {
	f := newFakeHolders("a", "b", "c")
	f.silent["b"] = true
	c := newTestClient(f)
	c.recordWait = time.Hour
	for i := range 5 {
		c.Record(t.Context(), record(fmt.Sprint(i)))
	}
	assertFinds(t, newTestClient(f), record("4"))
}

func TestUnknownAttemptIsRefused(t *testing.T) {
	f := newFakeHolders("a", "b", "c")
	_, err := newTestClient(f).Find(t.Context(), record("nobody").Key)
	assertRefusal(t, err, rollout.KindNotResumable)
}

// Guards against callers that are told to begin anew while a holder may know their stream.
func TestCallerMayTryAgainWhileHolderDoesNotAnswer(t *testing.T) {
	f := newFakeHolders("a", "b", "c")
	f.silent["b"] = true
	_, err := newTestClient(f).Find(t.Context(), record("nobody").Key)
	assertRefusal(t, err, rollout.KindUnavailable)
	if got := rollout.AsError(err).RetryDelay(); got != retryAfterMS {
		t.Fatalf("retry after %d ms, want %d", got, retryAfterMS)
	}
}

// Guards against one call a stream when many streams begin at an entry at once.
func TestRecordsOfManyStreamsShareCalls(t *testing.T) {
	f := newFakeHolders("a")
	f.mu.Lock()
	c := newTestClient(f)
	var group sync.WaitGroup
	const streams = 500
	for i := range streams {
		group.Go(func() { c.Record(t.Context(), record(fmt.Sprint(i))) })
	}
	for {
		c.mu.Lock()
		queued := len(c.queued["a"])
		c.mu.Unlock()
		if queued > streams/2 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	f.mu.Unlock()
	group.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.longest <= streams/2 {
		t.Fatalf("%d calls, the longest with %d records, want most of %d streams in one", f.calls, f.longest, streams)
	}
}
