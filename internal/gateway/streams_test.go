package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/origins"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/discovery"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/origin"
)

const (
	simPool = "engines"
	// simEvents is the number of events of a stream, and simPauseAfter the event after
	// which streams wait until the fault has happened.
	simEvents, simPauseAfter = 12, 5
	simSlots                 = 12
	// simStreamsPerEntry leaves the engines about half full.
	simStreamsPerEntry = 6
	// minGoneOn is the share of the streams taken up that must go on.
	minGoneOn = 0.9
)

var errSimDead = errors.New("connection reset")

// simEngine is an engine of a software version. Its events name that version.
type simEngine struct {
	software string
	running  int
	dead     chan struct{}
}

// simFleet is a fleet of engines and of hosts that hold records, without a network.
type simFleet struct {
	rollout.UpstreamClient
	mu      sync.Mutex
	engines map[string]*simEngine
	holders map[string]*origin.Log
	// resume is closed when streams go on after simPauseAfter.
	resume chan struct{}
	// events counts the events that engines generated.
	events int
}

// simBody is the body of a stream from an event on. Each line is an event.
type simBody struct {
	fleet  *simFleet
	engine *simEngine
	lastID int
	ctx    context.Context
	once   sync.Once
}

// Read implements io.Reader.
func (b *simBody) Read(p []byte) (int, error) {
	if b.lastID == simEvents {
		return 0, io.EOF
	}
	if b.lastID == simPauseAfter {
		select {
		case <-b.fleet.resume:
		case <-b.engine.dead:
		case <-b.ctx.Done():
		}
	}
	select {
	case <-b.engine.dead:
		return 0, errSimDead
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	default:
	}
	b.lastID++
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.fleet.events++
	return copy(p, fmt.Sprintf("%d %s\n", b.lastID, b.engine.software)), nil
}

// Close implements io.Closer.
func (b *simBody) Close() error {
	b.once.Do(func() {
		b.fleet.mu.Lock()
		defer b.fleet.mu.Unlock()
		b.engine.running--
	})
	return nil
}

// SendRequest implements rollout.UpstreamClient.
func (f *simFleet) SendRequest(ctx context.Context, r rollout.UpstreamRequest) (rollout.UpstreamResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[r.Instance]
	select {
	case <-e.dead:
		return rollout.UpstreamResponse{}, rollout.NewError(rollout.KindNoUpstream, "connection refused").WithNotRun()
	default:
	}
	if e.running >= simSlots {
		return rollout.UpstreamResponse{Status: 503, NotRun: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	e.running++
	after, _ := strconv.Atoi(r.ResumeAfter)
	return rollout.UpstreamResponse{Status: 200, Streaming: true, Body: &simBody{fleet: f, engine: e, lastID: after, ctx: ctx}}, nil
}

// ReadRawEvents implements rollout.UpstreamClient. The data of an event is the version.
func (f *simFleet) ReadRawEvents(body io.Reader, handle func(uint64, []byte) error) error {
	return readLineEvents(body, handle)
}

// IsListening implements rollout.UpstreamClient.
func (f *simFleet) IsListening(context.Context, string) (bool, error) { return false, nil }

// Call implements origins.Caller with the records in memory. A holder without a log is dead.
func (f *simFleet) Call(_ context.Context, address, method string, in, out any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	log := f.holders[address]
	if log == nil {
		return rollout.NewError(rollout.KindUnavailable, "dial %s", address).WithNotRun()
	}
	switch method {
	case origins.MethodRecord:
		for _, r := range in.(origins.RecordRequest).Records {
			log.Add(0, r)
		}
	case origins.MethodFind:
		o, known := log.Find(0, in.(origins.FindRequest).Key)
		*out.(*origins.FindReply) = origins.FindReply{Known: known, Origin: o}
	}
	return nil
}

// view returns the engines as control knows them.
func (f *simFleet) view() map[string]discovery.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	us := make(map[string]discovery.Upstream)
	for id, e := range f.engines {
		us[id] = discovery.Upstream{ID: id, Pool: simPool, Address: id, State: discovery.StateReady, Slots: simSlots, Born: 1, Software: e.software}
	}
	return us
}

// release replaces a share of the engines of the first version by ones of the second. At
// least two of each version remain.
func (f *simFleet) release(share float64, engines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	replaced := min(int(share*float64(engines)), engines-4)
	if share > 0 {
		replaced = max(replaced, 4)
	}
	for i := range replaced {
		f.engines[fmt.Sprintf("e%d", i)].software = "v2"
	}
}

// simEntry is an entry that can be killed.
type simEntry struct {
	gateway *Gateway
	ctx     context.Context
	kill    context.CancelFunc
}

// simStream is what a client has of a stream.
type simStream struct {
	id       string
	events   []string
	complete bool
	// takenUp is true once the client has taken the stream up at another entry.
	takenUp bool
	// ended is closed when the first attempt has ended.
	ended chan struct{}
}

// request sends the request of a stream to an entry, or takes it up there.
func (s *simStream) request(ctx context.Context, e simEntry, attempt string, resumes bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(e.ctx, cancel)
	defer stop()
	in := Inbound{AttemptID: attempt, Method: "POST", URI: "/c/x", Path: "/c/x", Host: "h", Received: time.Now(), BudgetMS: 60_000}
	if resumes {
		in.Resumes, in.LastEventID = []string{s.id}, []string{strconv.Itoa(len(s.events))}
	}
	route := document.Route{Name: "chat", Streaming: true, Resumable: true, MaxAttempts: 6, Split: []document.Share{{Pool: simPool, Weight: 1}}}
	resp, err := e.gateway.forward(ctx, in, route, "farm")
	if err != nil {
		return
	}
	defer resp.Close()
	s.complete = resp.CopyStream(func(data []byte) error {
		s.events = append(s.events, string(data))
		return ctx.Err()
	}) == nil
}

// versions returns the number of software versions in the events.
func (s *simStream) versions() int {
	seen := make(map[string]bool)
	for _, v := range s.events {
		seen[v] = true
	}
	return len(seen)
}

// simResult is what became of the streams of a simulation.
type simResult struct{ takenUp, goneOn, mixed, gaps, recomputed, begun, wanted int }

// simulate runs streams over entries, kills a share of entries and engines at once while a
// release may go on, and lets the clients of killed entries take their streams up at others.
func simulate(t *testing.T, entries, controls int, released float64, inProgress bool, killed float64, seed uint64) simResult {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	fleet := &simFleet{engines: make(map[string]*simEngine), holders: make(map[string]*origin.Log), resume: make(chan struct{})}
	engines := max(entries, 12)
	for i := range engines {
		fleet.engines[fmt.Sprintf("e%d", i)] = &simEngine{software: "v1", dead: make(chan struct{})}
	}
	fleet.release(released, engines)
	var hosts []string
	for i := range controls {
		hosts = append(hosts, fmt.Sprintf("h%d", i))
		fleet.holders[hosts[i]] = origin.NewLog()
	}
	view := fleet.view()
	var all []simEntry
	for range entries {
		g := New(Options{Log: zap.NewNop(), Registry: prometheus.NewRegistry(), WindowMS: 1_000, Controls: func() []string { return nil }, Upstreams: fleet})
		g.origins = origins.NewClient(origins.Options{Client: fleet, Clock: clock.Boottime{}, Log: zap.NewNop(), Hosts: func() []string { return hosts }})
		syncUpstreams(g, view)
		ctx, kill := context.WithCancel(t.Context())
		all = append(all, simEntry{g, ctx, kill})
	}
	streams := make([]*simStream, entries*simStreamsPerEntry)
	var running sync.WaitGroup
	for i := range streams {
		s := &simStream{id: fmt.Sprintf("s%d", i), ended: make(chan struct{})}
		streams[i] = s
		running.Go(func() {
			defer close(s.ended)
			s.request(t.Context(), all[i%entries], s.id, false)
		})
	}
	for end := time.Now().Add(time.Minute); ; time.Sleep(5 * time.Millisecond) {
		fleet.mu.Lock()
		paused := fleet.events >= len(streams)*simPauseAfter
		fleet.mu.Unlock()
		if paused || time.Now().After(end) {
			break
		}
	}
	var r simResult
	if inProgress {
		// Engines that start now are known to every other entry only.
		for i := range engines / 4 {
			fleet.mu.Lock()
			fleet.engines[fmt.Sprintf("n%d", i)] = &simEngine{software: "v2", dead: make(chan struct{})}
			fleet.mu.Unlock()
		}
		view = fleet.view()
		for i, e := range all {
			if i%2 == 0 {
				syncUpstreams(e.gateway, view)
			}
		}
	}
	order := random.Perm(entries)
	dead := make(map[int]bool)
	for _, i := range order[:int(killed*float64(entries))] {
		dead[i] = true
		// The first entries share their machines with control hosts. One holder is left, as
		// without one no host is in touch.
		if i < controls-1 {
			fleet.mu.Lock()
			fleet.holders[hosts[i]] = nil
			fleet.mu.Unlock()
		}
	}
	for i := range engines {
		if i%4 != 0 && random.Float64() < killed {
			close(fleet.engines[fmt.Sprintf("e%d", i)].dead)
		}
	}
	for i := range dead {
		all[i].kill()
	}
	for i, s := range streams {
		if dead[i%entries] {
			<-s.ended
		}
	}
	close(fleet.resume)
	running.Wait()
	var alive []int
	for i := range all {
		if !dead[i] {
			alive = append(alive, i)
		}
	}
	for i, s := range streams {
		if s.complete || len(s.events) == 0 || !dead[i%entries] {
			continue
		}
		r.takenUp++
		s.takenUp = true
		running.Go(func() {
			for try := range 2 {
				if s.complete {
					return
				}
				s.request(t.Context(), all[alive[(i+try)%len(alive)]], fmt.Sprintf("%s-%d", s.id, try), true)
			}
		})
	}
	running.Wait()
	for _, s := range streams {
		if s.versions() > 1 {
			r.mixed++
		}
		if s.complete && len(s.events) != simEvents {
			r.gaps++
		}
		if s.takenUp && s.complete {
			r.goneOn++
		}
		if len(s.events) > 0 {
			r.recomputed -= len(s.events)
		}
	}
	r.recomputed += fleet.events
	for i := range 200 {
		s := &simStream{id: fmt.Sprintf("new%d", i)}
		r.wanted++
		s.request(t.Context(), all[alive[i%len(alive)]], s.id, false)
		if len(s.events) > 0 {
			r.begun++
		}
	}
	return r
}

// Guards against streams of two software versions, and against streams that are lost, when
// entries and engines die together while versions serve side by side.
func TestStreamsTakenUpWhileVersionsServeSideBySide(t *testing.T) {
	for _, size := range []struct{ entries, controls int }{{8, 3}, {100, 5}, {300, 7}} {
		for _, released := range []float64{0, 0.3, 0.5, 0.97} {
			for _, killed := range []float64{0.2, 0.35, 0.5} {
				if size.entries == 300 && killed != 0.35 {
					continue
				}
				for _, inProgress := range []bool{false, true} {
					name := fmt.Sprintf("%d entries, %.0f%% released, in progress %v, %.0f%% killed", size.entries, 100*released, inProgress, 100*killed)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						r := simulate(t, size.entries, size.controls, released, inProgress, killed, 1)
						t.Logf("taken up %d, gone on %d, mixed %d, with gaps %d, events computed again %d, new streams begun %d of %d",
							r.takenUp, r.goneOn, r.mixed, r.gaps, r.recomputed, r.begun, r.wanted)
						if r.mixed > 0 || r.gaps > 0 {
							t.Errorf("%d streams of two versions and %d with gaps, want none", r.mixed, r.gaps)
						}
						if r.takenUp == 0 || float64(r.goneOn) < minGoneOn*float64(r.takenUp) {
							t.Errorf("%d of %d streams taken up went on, want nine tenths", r.goneOn, r.takenUp)
						}
					})
				}
			}
		}
	}
}
