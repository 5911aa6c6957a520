package agent

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/answer"
	"github.com/coltsfootspoke/coltsfootspoke/internal/upstream"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/gate"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/usage"
)

const (
	// crashReportTimeout bounds how long a broken attempt waits for the report
	// of the crash.
	crashReportTimeout = 2 * time.Second
	// attachPatience is how long a request that attaches waits for its attempt
	// to begin.
	attachPatience = time.Second
	attachPoll     = 10 * time.Millisecond
	// defaultDeadline bounds a request that brings no deadline.
	defaultDeadline = 10 * time.Minute
)

// target is what a traffic thread must know of an upstream.
type target struct {
	url      string
	pool     string
	engine   bool
	versions map[string]uint64
}

// Run begins an attempt or takes part in one, and streams its answer. An
// attempt whose answer is not kept runs on the thread of the call.
func (a *agent) Run(req *wire.RunRequest, stream wire.DRPCAgent_RunStream) error {
	ctx := stream.Context()
	verdict, ans, err := a.begin(ctx, req)
	switch {
	case err != nil:
		return stream.Send(endOf(req.Attempt, err))
	case verdict == gate.VerdictRun && !req.Keep:
		return a.execute(ctx, req, stream.Send)
	case verdict == gate.VerdictRun:
		a.background.Go(func() {
			_ = a.execute(ctx, req, ans.Add)
			a.kept.Finish(req.Attempt)
		})
	}
	return follow(ans, stream)
}

// follow streams an answer that another thread writes.
func follow(ans *answer.Answer, stream wire.DRPCAgent_RunStream) error {
	from := 0
	for {
		chunks, ended, err := ans.Next(stream.Context(), from)
		if err != nil {
			return err
		}
		for _, c := range merge(chunks) {
			if err := stream.Send(c); err != nil {
				return err
			}
		}
		from += len(chunks)
		if ended {
			return nil
		}
	}
}

// merge puts chunks that are ready together into one message.
func merge(chunks []*wire.RunChunk) []*wire.RunChunk {
	if len(chunks) == 1 {
		return chunks
	}
	one := &wire.RunChunk{Attempt: chunks[0].Attempt}
	for _, c := range chunks {
		if c.Head != nil {
			one.Head = c.Head
		}
		if c.End != nil {
			one.End = c.End
		}
		one.Data = append(one.Data, c.Data...)
	}
	return []*wire.RunChunk{one}
}

// begin asks for authority and passes the gate. It returns the answer of an
// attempt that is kept.
func (a *agent) begin(ctx context.Context, req *wire.RunRequest) (gate.Verdict, *answer.Answer, *rollout.Error) {
	if !req.Attach && req.Account != "" && !a.renewer.Valid() {
		return 0, nil, rollout.NewError(rollout.KindNoAuthority, "agent %s has no authority", a.cfg.Name).WithNotRun()
	}
	verdict, ans, err := a.passGate(ctx, req)
	if err != nil {
		a.log.Info("AttemptRefused", zap.String("Attempt", req.Attempt), zap.String("Upstream", req.Upstream), zap.Error(err))
		return 0, nil, rollout.AsError(err)
	}
	if verdict == gate.VerdictJoin {
		if ans = a.kept.Find(req.Attempt); ans == nil {
			return 0, nil, rollout.NewError(rollout.KindOutcomeUnknown, "attempt %s ran and its answer is no longer kept", req.Attempt)
		}
	}
	return verdict, ans, nil
}

// passGate asks the gate. A request that attaches to an attempt that has not
// begun waits for it before it bars it, since the one that holds the claim may
// be on its way.
func (a *agent) passGate(ctx context.Context, req *wire.RunRequest) (gate.Verdict, *answer.Answer, error) {
	bar := time.Now().Add(attachPatience)
	for {
		late := time.Now().After(bar)
		verdict, ans, err := a.askGate(req, late)
		if err == nil || !req.Attach || late || rollout.AsError(err).Kind != rollout.KindNotFound {
			return verdict, ans, err
		}
		select {
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		case <-time.After(attachPoll):
		}
	}
}

func (a *agent) askGate(req *wire.RunRequest, bar bool) (gate.Verdict, *answer.Answer, error) {
	a.traffic.Lock()
	defer a.traffic.Unlock()
	verdict, err := a.gate.Begin(a.clock.Now(), gate.Request{
		Attempt: req.Attempt, Upstream: req.Upstream, Incarnation: req.Incarnation, Fingerprint: req.Fingerprint,
		Suspect: req.Suspect, Claimed: req.Keep, Attach: req.Attach, Bar: bar,
	})
	if verdict == gate.VerdictRun && req.Keep {
		return verdict, a.kept.Begin(req.Attempt), nil
	}
	return verdict, nil, err
}

// execute runs an attempt to its end. A detached attempt goes on when its caller
// has gone.
func (a *agent) execute(caller context.Context, req *wire.RunRequest, out upstream.Sink) error {
	deadline := time.Duration(req.DeadlineMs) * time.Millisecond
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	parent, client := caller, a.client
	if req.Detached {
		parent, client = context.WithoutCancel(caller), a.onceClient
	}
	ctx, cancel := context.WithTimeout(parent, deadline)
	defer cancel()
	t := (*a.targets.Load())[req.Upstream]
	obs := &upstream.Observer{}
	start := a.clock.Now()
	result := upstream.Call(ctx, client, t.url, req, out, obs)
	end := a.endAttempt(req, t, obs, result, a.clock.Now()-start)
	a.metrics.attempts.WithLabelValues(outcomeName(result.Err)).Inc()
	last := result.Whole
	if last == nil {
		last = &wire.RunChunk{Attempt: req.Attempt}
	}
	last.End = end
	return out(last)
}

// endAttempt settles an attempt: the gate, the meter and the end marker.
func (a *agent) endAttempt(req *wire.RunRequest, t target, obs *upstream.Observer, out upstream.Outcome, took rollout.Millis) *wire.End {
	end := &wire.End{
		Length: out.Bytes, Versions: a.versionsOf(req, t, obs),
		InputTokens: obs.Input, OutputTokens: obs.Output, Crashed: out.Broken && !out.Err.NotRun,
	}
	if out.Err != nil {
		end.Error, end.NotRun = out.Err.Error(), out.Err.NotRun
	}
	a.traffic.Lock()
	running := a.gate.RunningFingerprints(req.Upstream)
	a.gate.Finish(req.Attempt)
	end.Running = int32(a.gate.Running(req.Upstream))
	if !end.NotRun {
		a.meter.Add(usage.Subject{Account: req.Account, Pool: t.pool}, usage.Figures{
			Requests: 1, InputTokens: obs.Input, OutputTokens: obs.Output, UpstreamMS: uint64(took),
		})
	}
	a.traffic.Unlock()
	if out.Broken {
		a.log.Warn("UpstreamBroke", zap.String("Upstream", req.Upstream), zap.String("Attempt", req.Attempt), zap.Error(out.Err))
		a.awaitCrash(req.Upstream, running)
	}
	return end
}

// awaitCrash waits until the leader knows of the crash that broke an attempt,
// so that the request is known as a suspect before it can come again.
func (a *agent) awaitCrash(id string, running map[string]bool) {
	settled := make(chan struct{})
	a.do(func(rollout.Millis) { a.broken(id, running, settled) })
	select {
	case <-settled:
	case <-time.After(crashReportTimeout):
	}
}

// versionsOf returns the weight versions that produced an answer: what the
// engine said in it, or else what it reported before and after.
func (a *agent) versionsOf(req *wire.RunRequest, before target, obs *upstream.Observer) []uint64 {
	if req.Group == "" {
		return nil
	}
	if len(obs.Versions) > 0 {
		return obs.Versions
	}
	versions := []uint64{before.versions[req.Group]}
	if after := (*a.targets.Load())[req.Upstream].versions[req.Group]; !slices.Contains(versions, after) {
		versions = append(versions, after)
	}
	return versions
}

func endOf(attempt string, err *rollout.Error) *wire.RunChunk {
	return &wire.RunChunk{Attempt: attempt, End: &wire.End{Error: err.Error(), NotRun: err.NotRun, Running: -1}}
}

func outcomeName(err *rollout.Error) string {
	if err == nil {
		return "ok"
	}
	return err.Kind.String()
}
