// Package gate is the admission check of an agent before it sends a request to
// an upstream. Each attempt begins at most once, and a barred attempt never
// begins. Requests to upstreams that are leaving, evacuated or full are rejected. The gate
// also tracks which requests run on each upstream, so that the suspects of a
// crash are known.
package gate

import (
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// overcommit is the maximum ratio of running requests to slots of an
	// upstream. It exceeds 1 so that a freed slot always has a next request.
	overcommit = 1.25
	// attemptRetentionMS is how long an attempt is retained. It exceeds the
	// retention time of claims.
	attemptRetentionMS = 24 * 60 * 60 * 1_000
	// maxRetainedAttempts is the number of retained attempts above which the
	// oldest is dropped early, unless it is still running.
	maxRetainedAttempts = 200_000
)

// Request is a request to begin or attach to an attempt.
type Request struct {
	Attempt     string
	Upstream    string
	Incarnation string
	Fingerprint string
	// Suspect means that the request ran on an upstream when it crashed. An
	// upstream runs at most one suspect request at a time.
	Suspect bool
	// Claimed means that the attempt is retained after it ends, so that it
	// never begins a second time.
	Claimed bool
	// Attach means that the request attaches to an attempt that has begun, and
	// never begins one. If Bar is set too and the attempt has not begun, the
	// attempt is barred: it can never begin.
	Attach, Bar bool
}

// Verdict is the decision on a request that is not rejected.
type Verdict uint8

// The verdicts.
const (
	// VerdictRun begins the attempt.
	VerdictRun Verdict = iota + 1
	// VerdictAttach attaches to an attempt that is running or has ended.
	VerdictAttach
)

// Upstream describes an upstream to the gate.
type Upstream struct {
	ID      string
	Slots   int
	Leaving bool
	// Evacuated is true while the failure domain is evacuated.
	Evacuated bool
}

type attemptState uint8

const (
	attemptRunning attemptState = iota + 1
	attemptEnded
	attemptBarred
)

type attempt struct {
	req   Request
	state attemptState
	atMS  rollout.Millis
}

// Gate holds the attempts of one incarnation of an agent. It is not safe for
// concurrent use.
type Gate struct {
	// incarnation identifies the process of the agent. Requests for another
	// incarnation are rejected.
	incarnation string
	upstreams   map[string]Upstream
	attempts    map[string]*attempt
	// running holds the IDs of the running attempts of each upstream.
	running map[string]map[string]bool
	// retained lists the IDs of the retained attempts, oldest first.
	retained []string
}

// New returns the gate of an incarnation of an agent.
func New(incarnation string) *Gate {
	return &Gate{
		incarnation: incarnation,
		upstreams:   make(map[string]Upstream),
		attempts:    make(map[string]*attempt),
		running:     make(map[string]map[string]bool),
	}
}

// Begin begins the attempt of a request, attaches to an attempt that has
// already begun, or rejects the request.
func (g *Gate) Begin(now rollout.Millis, req Request) (Verdict, error) {
	if req.Incarnation != "" && req.Incarnation != g.incarnation {
		return 0, g.incarnationError(req)
	}
	if a := g.attempts[req.Attempt]; a != nil {
		if a.state == attemptBarred {
			return 0, rollout.NewError(rollout.KindConflict, "attempt %s was barred before it began", req.Attempt).WithNotRun()
		}
		return VerdictAttach, nil
	}
	if req.Attach && !req.Bar {
		return 0, rollout.NewError(rollout.KindNotFound, "attempt %s has not begun", req.Attempt)
	}
	if req.Attach {
		g.retain(now, &attempt{req: req, state: attemptBarred, atMS: now})
		return 0, rollout.NewError(rollout.KindNotFound, "attempt %s has not begun and was barred", req.Attempt).WithNotRun()
	}
	if err := g.admit(req); err != nil {
		return 0, err
	}
	a := &attempt{req: req, state: attemptRunning, atMS: now}
	if req.Claimed {
		g.retain(now, a)
	} else {
		g.attempts[req.Attempt] = a
	}
	if g.running[req.Upstream] == nil {
		g.running[req.Upstream] = make(map[string]bool)
	}
	g.running[req.Upstream][req.Attempt] = true
	return VerdictRun, nil
}

// RunningFingerprints returns the fingerprints of the requests that run on an
// upstream. The value of a fingerprint is true if a request with it runs as a
// suspect.
func (g *Gate) RunningFingerprints(upstream string) map[string]bool {
	suspects := make(map[string]bool)
	for id := range g.running[upstream] {
		if r := g.attempts[id].req; r.Fingerprint != "" {
			suspects[r.Fingerprint] = suspects[r.Fingerprint] || r.Suspect
		}
	}
	return suspects
}

// Finish ends a running attempt. A claimed attempt is retained.
func (g *Gate) Finish(id string) {
	a := g.attempts[id]
	if a == nil {
		return
	}
	delete(g.running[a.req.Upstream], id)
	a.state = attemptEnded
	if !a.req.Claimed {
		delete(g.attempts, id)
	}
}

// Running returns the number of running attempts of an upstream.
func (g *Gate) Running(upstream string) int { return len(g.running[upstream]) }

// RemoveUpstream removes an upstream. Its running attempts stay.
func (g *Gate) RemoveUpstream(upstream string) { delete(g.upstreams, upstream) }

// SetUpstream adds or updates an upstream.
func (g *Gate) SetUpstream(u Upstream) { g.upstreams[u.ID] = u }

// TotalRunning returns the number of running attempts.
func (g *Gate) TotalRunning() int {
	total := 0
	for _, r := range g.running {
		total += len(r)
	}
	return total
}

func (g *Gate) admit(req Request) error {
	u, ok := g.upstreams[req.Upstream]
	if !ok {
		return rollout.NewError(rollout.KindNoUpstream, "agent has no upstream %s", req.Upstream).WithNotRun()
	}
	if u.Leaving {
		return rollout.NewError(rollout.KindNoUpstream, "upstream %s is leaving", req.Upstream).WithNotRun()
	}
	if u.Evacuated {
		return rollout.NewError(rollout.KindNoUpstream, "the failure domain of upstream %s is evacuated", req.Upstream).WithNotRun()
	}
	if float64(len(g.running[req.Upstream])) >= overcommit*float64(u.Slots) {
		return rollout.NewError(rollout.KindOverloaded, "upstream %s is full: %d requests running, %d slots", req.Upstream, len(g.running[req.Upstream]), u.Slots).WithNotRun()
	}
	if req.Suspect && g.hasSuspect(req.Upstream) {
		return rollout.NewError(rollout.KindOverloaded, "upstream %s already runs a suspect request", req.Upstream).WithNotRun()
	}
	return nil
}

func (g *Gate) hasSuspect(upstream string) bool {
	for id := range g.running[upstream] {
		if g.attempts[id].req.Suspect {
			return true
		}
	}
	return false
}

// incarnationError returns the error for a request that is meant for another
// incarnation of the agent. A request to begin an attempt has certainly not run.
// An attempt to attach to may have run in the other incarnation.
func (g *Gate) incarnationError(req Request) error {
	if req.Attach {
		return rollout.NewError(rollout.KindOutcomeUnknown, "agent has restarted: incarnation is %s, not %s; outcome of attempt %s is unknown", g.incarnation, req.Incarnation, req.Attempt)
	}
	return rollout.NewError(rollout.KindNoUpstream, "agent has restarted: incarnation is %s, not %s", g.incarnation, req.Incarnation).WithNotRun()
}

// retain adds an attempt that is kept after it ends, and drops the oldest
// retained attempts that have expired or exceed maxRetainedAttempts. It stops at
// an attempt that is still running.
func (g *Gate) retain(now rollout.Millis, a *attempt) {
	g.attempts[a.req.Attempt] = a
	g.retained = append(g.retained, a.req.Attempt)
	for len(g.retained) > 0 {
		old := g.attempts[g.retained[0]]
		expired := old == nil || now-old.atMS > attemptRetentionMS || len(g.retained) > maxRetainedAttempts
		if !expired || (old != nil && old.state == attemptRunning) {
			return
		}
		delete(g.attempts, g.retained[0])
		g.retained = g.retained[1:]
	}
}
