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

// pendingRenewal is a renewal held as a long poll until the configuration changes.
type pendingRenewal struct {
	sinceMS rollout.Millis
	req     *wire.RenewRequest
	done    func(*wire.RenewReply, error)
}

// renew renews the lease of a daemon. Commands from its report are committed
// before the reply. If the daemon asks for a long poll, has nothing to report and
// has the current catalog version, the reply is delayed until the next change that
// affects the daemon, for at most authority.LongPollMS. The lease still starts
// when the daemon sent the request.
func (l *eventLoop) renew(now rollout.Millis, req *wire.RenewRequest, done func(*wire.RenewReply, error)) {
	if !l.holdsLease(now) || !l.leading {
		done(nil, l.notLeaderError())
		return
	}
	var report *fleet.Report
	if len(req.Report) > 0 {
		report = &fleet.Report{}
		if err := json.Unmarshal(req.Report, report); err != nil {
			done(nil, rollout.NewError(rollout.KindInvalidInput, "malformed report of daemon %s", req.Daemon).WithCause(err))
			return
		}
	}
	l.metrics.renewals.WithLabelValues(req.Kind).Inc()
	cmds := commandsFromReport(req, report)
	if report == nil && req.Hold && req.Version == l.state.Catalog.Version {
		l.fleet.SetVersion(req.Daemon, req.Incarnation, req.Version)
		l.pendingRenewals = append(l.pendingRenewals, pendingRenewal{sinceMS: now, req: req, done: done})
		return
	}
	if len(cmds) == 0 {
		done(l.confirmRenewal(now, req, report), nil)
		return
	}
	l.propose(func(_ []ledger.Result, err error) {
		now := l.clock.Now()
		if err == nil && !l.holdsLease(now) {
			err = l.notLeaderError()
		}
		if err != nil {
			done(nil, err)
			return
		}
		done(l.confirmRenewal(now, req, report), nil)
	}, cmds...)
}

// answerPendingRenewals answers the long polls that have expired or whose daemon is
// affected by a catalog change. A daemon that a change does not affect is recorded
// as having the new version, since no update exists for it. If this host is no
// longer the leader, all long polls fail.
func (l *eventLoop) answerPendingRenewals(now rollout.Millis) {
	if len(l.pendingRenewals) == 0 {
		return
	}
	changed := l.pendingRenewalsVersion != l.state.Catalog.Version
	l.pendingRenewalsVersion = l.state.Catalog.Version
	holdsLease := l.leading && l.holdsLease(now)
	remaining := l.pendingRenewals[:0]
	for _, h := range l.pendingRenewals {
		switch {
		case !holdsLease:
			h.done(nil, l.notLeaderError())
		case now-h.sinceMS >= authority.LongPollMS, changed && l.hasUpdate(h.req):
			h.done(l.confirmRenewal(now, h.req, nil), nil)
		default:
			l.fleet.SetVersion(h.req.Daemon, h.req.Incarnation, l.state.Catalog.Version)
			remaining = append(remaining, h)
		}
	}
	clear(l.pendingRenewals[len(remaining):])
	l.pendingRenewals = remaining
}

// hasUpdate reports whether the catalog has changes for a daemon since its
// version.
func (l *eventLoop) hasUpdate(req *wire.RenewRequest) bool {
	u := l.state.Catalog.Since(req.Version, interestOf(req))
	return u.Full || len(u.Changes) > 0
}

func interestOf(req *wire.RenewRequest) catalog.Interest {
	if fleet.Kind(req.Kind) == fleet.KindAgent {
		return catalog.AgentInterest(req.Upstreams)
	}
	return catalog.EntryInterest()
}

// confirmRenewal records a renewal and returns the reply. The caller must have
// checked that this host is the leader and holds its lease.
func (l *eventLoop) confirmRenewal(now rollout.Millis, req *wire.RenewRequest, report *fleet.Report) *wire.RenewReply {
	kind := fleet.Kind(req.Kind)
	l.fleet.Renew(now, fleet.Daemon{
		Name: req.Daemon, Kind: kind, Incarnation: req.Incarnation, Address: req.Address,
		FailureDomain: req.FailureDomain, Version: req.Version,
	}, report)
	reply := &wire.RenewReply{LeaseMs: authority.LeaseMS, Version: l.state.Catalog.Version}
	if u := l.state.Catalog.Since(req.Version, interestOf(req)); u.Full || len(u.Changes) > 0 {
		reply.Update = marshal(l.log, u)
	}
	if kind == fleet.KindAgent {
		reply.Tasks = l.weightTasks(now, req, report)
	}
	return reply
}

func (l *eventLoop) weightTasks(now rollout.Millis, req *wire.RenewRequest, report *fleet.Report) []byte {
	agent := weights.Agent{Name: req.Daemon, Address: req.Address, FailureDomain: req.FailureDomain}
	for _, id := range req.Upstreams {
		if u, ok := l.state.Catalog.Upstreams[id]; ok {
			agent.Upstreams = append(agent.Upstreams, u)
		}
	}
	if report != nil {
		l.recordWeightReport(agent, report)
	}
	tasks := l.weights.NextTasks(now, agent, l.state.Catalog.Groups, l.countUpstreams())
	for _, f := range tasks.Fetches {
		l.log.Info("WeightFetchAssigned", zap.String("Agent", agent.Name), zap.String("Group", f.Group),
			zap.Uint64("Version", f.Version), zap.String("Source", sourceName(f.Source)))
	}
	for _, s := range tasks.Swaps {
		l.log.Info("WeightSwapAllowed", zap.String("Upstream", s.Upstream), zap.String("Group", s.Group),
			zap.Uint64("Version", s.Version))
	}
	if len(tasks.Fetches)+len(tasks.Swaps) == 0 {
		return nil
	}
	return marshal(l.log, tasks)
}

func (l *eventLoop) recordWeightReport(agent weights.Agent, report *fleet.Report) {
	for _, f := range report.Fetched {
		l.weights.FetchFailed(agent.Name, weights.Blob{Group: f.Group, Version: f.Version}, f.Source)
	}
	for _, h := range report.Holdings {
		l.weights.AddHolder(agent, weights.Blob{Group: h.Group, Version: h.Version})
	}
	for _, s := range report.Swapped {
		l.weights.FinishSwap(weights.Swap{Blob: weights.Blob{Group: s.Group, Version: s.Version}, Upstream: s.Upstream})
		if s.Failed {
			l.log.Warn("WeightSwapFailed", zap.String("Upstream", s.Upstream), zap.String("Group", s.Group), zap.Uint64("Version", s.Version))
		}
	}
}

// countUpstreams returns the number of upstreams in each pool that are not
// evacuated, cached until the catalog changes.
func (l *eventLoop) countUpstreams() map[string]int {
	if l.upstreamsPerPoolVersion == l.state.Catalog.Version && l.upstreamsPerPool != nil {
		return l.upstreamsPerPool
	}
	l.upstreamsPerPool = make(map[string]int)
	for _, u := range l.state.Catalog.Upstreams {
		if !u.Evacuated {
			l.upstreamsPerPool[u.Pool]++
		}
	}
	l.upstreamsPerPoolVersion = l.state.Catalog.Version
	return l.upstreamsPerPool
}

// commandsFromReport returns the commands that a report requires.
func commandsFromReport(req *wire.RenewRequest, r *fleet.Report) []ledger.Command {
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

// marshal encodes a value as JSON. It logs an error and returns nil if that fails.
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
