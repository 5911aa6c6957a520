// Package gate is the last check before an upstream. It lets each attempt
// begin at most once, bars attempts that were given up, turns work away from
// upstreams that leave or are full, and knows which requests ran on an
// upstream when it crashed.
package gate

import (
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	// overcommit is how far the running requests of an upstream may exceed
	// its slots, so that it always has a next request.
	overcommit = 1.25
	// attemptRetentionMS is how long a finished or barred attempt is
	// remembered. It covers the retention of claims.
	attemptRetentionMS = 24 * 60 * 60 * 1_000
	// attemptLimit bounds the attempts that are remembered.
	attemptLimit = 200_000
)

// Request asks to begin an attempt.
type Request struct {
	Attempt     string
	Upstream    string
	Incarnation string
	Fingerprint string
	// Suspect requests have run on an upstream that crashed. An upstream runs
	// one of them at a time.
	Suspect bool
	// Claimed attempts are remembered after they end, so that they never begin
	// a second time.
	Claimed bool
	// Attach takes part in an attempt that has begun and begins none. With
	// Bar, an attempt that has not begun never will.
	Attach, Bar bool
}

// Verdict tells what to do with a request.
type Verdict uint8

// The verdicts.
const (
	// VerdictRun begins the attempt.
	VerdictRun Verdict = iota + 1
	// VerdictJoin follows the attempt that runs or has run.
	VerdictJoin
)

// Upstream is what the gate must know of an upstream.
type Upstream struct {
	ID      string
	Slots   int
	Leaving bool
}

type attemptState uint8

const (
	attemptRunning attemptState = iota + 1
	attemptDone
	attemptBarred
)

type attempt struct {
	req   Request
	state attemptState
	atMS  rollout.Millis
}

// Gate holds the attempts of one agent run. It is not safe for use by several
// threads.
type Gate struct {
	// incarnation names the agent run. Attempts meant for another are refused.
	incarnation string
	upstreams   map[string]Upstream
	attempts    map[string]*attempt
	// running holds the attempts that run at each upstream.
	running map[string]map[string]bool
	// order lists remembered attempts, oldest first.
	order []string
}

// New returns the gate of an agent run.
func New(incarnation string) *Gate {
	return &Gate{
		incarnation: incarnation,
		upstreams:   make(map[string]Upstream),
		attempts:    make(map[string]*attempt),
		running:     make(map[string]map[string]bool),
	}
}

// Begin decides on a request.
func (g *Gate) Begin(now rollout.Millis, req Request) (Verdict, error) {
	if req.Incarnation != "" && req.Incarnation != g.incarnation {
		return 0, g.refuseIncarnation(req)
	}
	if a := g.attempts[req.Attempt]; a != nil {
		if a.state == attemptBarred {
			return 0, rollout.NewError(rollout.KindConflict, "attempt %s was given up", req.Attempt).WithNotRun()
		}
		return VerdictJoin, nil
	}
	if req.Attach && !req.Bar {
		return 0, rollout.NewError(rollout.KindNotFound, "attempt %s has not begun", req.Attempt)
	}
	if req.Attach {
		g.remember(now, &attempt{req: req, state: attemptBarred, atMS: now})
		return 0, rollout.NewError(rollout.KindNotFound, "attempt %s never began", req.Attempt).WithNotRun()
	}
	if err := g.admit(req); err != nil {
		return 0, err
	}
	a := &attempt{req: req, state: attemptRunning, atMS: now}
	if req.Claimed {
		g.remember(now, a)
	} else {
		g.attempts[req.Attempt] = a
	}
	if g.running[req.Upstream] == nil {
		g.running[req.Upstream] = make(map[string]bool)
	}
	g.running[req.Upstream][req.Attempt] = true
	return VerdictRun, nil
}

// RunningFingerprints returns the fingerprints of the requests that run at an upstream,
// and tells of each whether it runs as a suspect.
func (g *Gate) RunningFingerprints(upstream string) map[string]bool {
	seen := make(map[string]bool)
	for id := range g.running[upstream] {
		if r := g.attempts[id].req; r.Fingerprint != "" {
			seen[r.Fingerprint] = seen[r.Fingerprint] || r.Suspect
		}
	}
	return seen
}

// Finish ends an attempt.
func (g *Gate) Finish(id string) {
	a := g.attempts[id]
	if a == nil {
		return
	}
	delete(g.running[a.req.Upstream], id)
	a.state = attemptDone
	if !a.req.Claimed {
		delete(g.attempts, id)
	}
}

// Running returns the number of attempts that run at an upstream.
func (g *Gate) Running(upstream string) int { return len(g.running[upstream]) }

// Remove forgets an upstream.
func (g *Gate) Remove(upstream string) { delete(g.upstreams, upstream) }

// Set adds or changes an upstream.
func (g *Gate) Set(u Upstream) { g.upstreams[u.ID] = u }

// Total returns the number of attempts that run.
func (g *Gate) Total() int {
	total := 0
	for _, r := range g.running {
		total += len(r)
	}
	return total
}

func (g *Gate) admit(req Request) error {
	u, ok := g.upstreams[req.Upstream]
	if !ok {
		return rollout.NewError(rollout.KindNoUpstream, "no upstream %s here", req.Upstream).WithNotRun()
	}
	if u.Leaving {
		return rollout.NewError(rollout.KindNoUpstream, "upstream %s is leaving", req.Upstream).WithNotRun()
	}
	if float64(len(g.running[req.Upstream])) >= overcommit*float64(u.Slots) {
		return rollout.NewError(rollout.KindOverloaded, "upstream %s is full", req.Upstream).WithNotRun()
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

// refuseIncarnation refuses what was meant for another run of the agent. Only
// a request that does not attach is known not to have run.
func (g *Gate) refuseIncarnation(req Request) error {
	if req.Attach {
		return rollout.NewError(rollout.KindOutcomeUnknown, "the agent has restarted since attempt %s", req.Attempt)
	}
	return rollout.NewError(rollout.KindNoUpstream, "the agent has restarted").WithNotRun()
}

func (g *Gate) remember(now rollout.Millis, a *attempt) {
	g.attempts[a.req.Attempt] = a
	g.order = append(g.order, a.req.Attempt)
	for len(g.order) > 0 {
		old := g.attempts[g.order[0]]
		expired := old == nil || now-old.atMS > attemptRetentionMS || len(g.order) > attemptLimit
		if !expired || (old != nil && old.state == attemptRunning) {
			return
		}
		delete(g.attempts, g.order[0])
		g.order = g.order[1:]
	}
}
