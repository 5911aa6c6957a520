package control

import (
	"encoding/json"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/authority"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/fleet"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/weights"
)

// heldRenewal is a renewal that waits for a change of the configuration.
type heldRenewal struct {
	since rollout.Millis
	req   *wire.RenewRequest
	done  func(*wire.RenewReply, error)
}

// renew confirms a daemon. What it reports is committed before the answer. A
// daemon that has nothing to tell and lacks nothing is answered with the next
// change, or after authority.LongPollMS; its lease runs from the sending all the same.
func (t *thread) renew(now rollout.Millis, req *wire.RenewRequest, done func(*wire.RenewReply, error)) {
	if !t.inCharge(now) || !t.leading {
		done(nil, t.notLeader())
		return
	}
	var report *fleet.Report
	if len(req.Report) > 0 {
		report = &fleet.Report{}
		if err := json.Unmarshal(req.Report, report); err != nil {
			done(nil, rollout.NewError(rollout.KindInvalidInput, "report of %s", req.Daemon).WithCause(err))
			return
		}
	}
	t.metrics.renewals.WithLabelValues(req.Kind).Inc()
	cmds := reportCommands(req, report)
	if report == nil && req.Hold && req.Version == t.state.Catalog.Version {
		t.fleet.SetVersion(req.Daemon, req.Incarnation, req.Version)
		t.held = append(t.held, heldRenewal{since: now, req: req, done: done})
		return
	}
	if len(cmds) == 0 {
		done(t.confirm(now, req, report), nil)
		return
	}
	t.propose(func(_ []ledger.Result, err error) {
		now := t.clock.Now()
		if err == nil && !t.inCharge(now) {
			err = t.notLeader()
		}
		if err != nil {
			done(nil, err)
			return
		}
		done(t.confirm(now, req, report), nil)
	}, cmds...)
}

// answerHeld answers the held renewals that a change concerns or that have
// waited for long enough. A daemon that a change does not concern lacks
// nothing of the newer version.
func (t *thread) answerHeld(now rollout.Millis) {
	if len(t.held) == 0 {
		return
	}
	changed := t.heldVersion != t.state.Catalog.Version
	t.heldVersion = t.state.Catalog.Version
	inCharge := t.leading && t.inCharge(now)
	rest := t.held[:0]
	for _, h := range t.held {
		switch {
		case !inCharge:
			h.done(nil, t.notLeader())
		case now-h.since >= authority.LongPollMS, changed && t.concerns(h.req):
			h.done(t.confirm(now, h.req, nil), nil)
		default:
			t.fleet.SetVersion(h.req.Daemon, h.req.Incarnation, t.state.Catalog.Version)
			rest = append(rest, h)
		}
	}
	clear(t.held[len(rest):])
	t.held = rest
}

// concerns tells whether a daemon follows something that has changed since
// its version.
func (t *thread) concerns(req *wire.RenewRequest) bool {
	u := t.state.Catalog.Since(req.Version, interestOf(req))
	return u.Full || len(u.Changes) > 0
}

func interestOf(req *wire.RenewRequest) catalog.Interest {
	if fleet.Kind(req.Kind) == fleet.KindAgent {
		return catalog.AgentInterest(req.Upstreams)
	}
	return catalog.EntryInterest()
}

// confirm returns the answer of a leader in charge.
func (t *thread) confirm(now rollout.Millis, req *wire.RenewRequest, report *fleet.Report) *wire.RenewReply {
	kind := fleet.Kind(req.Kind)
	t.fleet.Renew(now, fleet.Daemon{
		Name: req.Daemon, Kind: kind, Incarnation: req.Incarnation, Address: req.Address,
		FailureDomain: req.FailureDomain, Version: req.Version,
	}, report)
	reply := &wire.RenewReply{LeaseMs: authority.LeaseMS, Version: t.state.Catalog.Version}
	if u := t.state.Catalog.Since(req.Version, interestOf(req)); u.Full || len(u.Changes) > 0 {
		reply.Update = marshal(t.log, u)
	}
	if kind == fleet.KindAgent {
		reply.Tasks = t.weightTasks(now, req, report)
	}
	return reply
}

func (t *thread) weightTasks(now rollout.Millis, req *wire.RenewRequest, report *fleet.Report) []byte {
	agent := weights.Agent{Name: req.Daemon, Address: req.Address, FailureDomain: req.FailureDomain}
	for _, id := range req.Upstreams {
		if u, ok := t.state.Catalog.Upstreams[id]; ok {
			agent.Upstreams = append(agent.Upstreams, u)
		}
	}
	if report != nil {
		t.noteWeights(agent, report)
	}
	tasks := t.weights.Next(now, agent, t.state.Catalog.Groups, t.poolSizes())
	for _, f := range tasks.Fetches {
		t.log.Info("WeightFetchPlaced", zap.String("Agent", agent.Name), zap.String("Group", f.Group),
			zap.Uint64("Version", f.Version), zap.String("Source", sourceName(f.Source)))
	}
	for _, s := range tasks.Swaps {
		t.log.Info("WeightSwapAllowed", zap.String("Upstream", s.Upstream), zap.String("Group", s.Group),
			zap.Uint64("Version", s.Version))
	}
	if len(tasks.Fetches)+len(tasks.Swaps) == 0 {
		return nil
	}
	return marshal(t.log, tasks)
}

func (t *thread) noteWeights(agent weights.Agent, report *fleet.Report) {
	for _, f := range report.Fetched {
		t.weights.FetchFailed(agent.Name, weights.Blob{Group: f.Group, Version: f.Version}, f.Source)
	}
	for _, h := range report.Holdings {
		t.weights.AddHolder(agent, weights.Blob{Group: h.Group, Version: h.Version})
	}
	for _, s := range report.Swapped {
		t.weights.FinishSwap(weights.Swap{Blob: weights.Blob{Group: s.Group, Version: s.Version}, Upstream: s.Upstream})
		if s.Failed {
			t.log.Warn("WeightSwapFailed", zap.String("Upstream", s.Upstream), zap.String("Group", s.Group), zap.Uint64("Version", s.Version))
		}
	}
}

// poolSizes counts the engines of each pool. The count is kept until the
// catalog changes.
func (t *thread) poolSizes() map[string]int {
	if t.sizesVersion == t.state.Catalog.Version && t.sizes != nil {
		return t.sizes
	}
	t.sizes = make(map[string]int)
	for _, u := range t.state.Catalog.Upstreams {
		t.sizes[u.Pool]++
	}
	t.sizesVersion = t.state.Catalog.Version
	return t.sizes
}

// reportCommands returns what of a report must be committed.
func reportCommands(req *wire.RenewRequest, r *fleet.Report) []ledger.Command {
	if r == nil {
		return nil
	}
	var cmds []ledger.Command
	for _, u := range r.Upstreams {
		cmds = append(cmds, ledger.Command{PutUpstream: &u})
	}
	for _, id := range r.Gone {
		cmds = append(cmds, ledger.Command{LoseUpstream: &ledger.LoseUpstream{ID: id, Incarnation: req.Incarnation}})
	}
	for _, c := range r.Crashes {
		cmds = append(cmds, ledger.Command{Crash: &ledger.Crash{ID: c.ID, Upstream: c.Upstream, Fingerprints: c.Fingerprints, Suspects: c.Suspects}})
	}
	if r.Usage != nil {
		cmds = append(cmds, ledger.Command{AddUsage: r.Usage})
	}
	return cmds
}

func marshal(log *zap.Logger, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		log.Error("EncodeFailed", zap.Error(err))
	}
	return data
}

func sourceName(source string) string {
	if source == "" {
		return "store"
	}
	return source
}
