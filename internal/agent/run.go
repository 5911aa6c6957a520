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
	// crashReportTimeout limits how long an attempt whose connection broke waits
	// for the crash to be reported.
	crashReportTimeout = 2 * time.Second
	// attachTimeout is how long a request that attaches to an attempt waits for
	// the attempt to begin.
	attachTimeout      = time.Second
	attachPollInterval = 10 * time.Millisecond
	// maxMergedBytes limits the data of a message that holds several chunks.
	maxMergedBytes = 1 << 20
	// defaultDeadline limits a request that has no deadline of its own.
	defaultDeadline = 10 * time.Minute
)

// target is the part of an upstream's state that request handlers read without a
// lock.
type target struct {
	url      string
	pool     string
	engine   bool
	versions map[string]uint64
}

// Run begins an attempt or joins one that has begun, and streams its answer. An
// attempt whose answer is not cached runs on the goroutine of the call.
func (a *agent) Run(req *wire.RunRequest, stream wire.DRPCAgent_RunStream) error {
	ctx := stream.Context()
	verdict, ans, err := a.begin(ctx, req)
	switch {
	case err != nil:
		return stream.Send(errorChunk(req.Attempt, err))
	case verdict == gate.VerdictRun && !req.Keep:
		return a.execute(ctx, req, stream.Send)
	case verdict == gate.VerdictRun:
		a.background.Go(func() {
			kept := a.responses.Open()
			defer kept.Release()
			_ = a.execute(ctx, req, func(c *wire.RunChunk) error {
				if err := kept.Take(len(c.Data)); err != nil {
					if c.End == nil {
						return err
					}
					c.Data, c.End.Error = nil, callerErrorText(c.End.Error, err)
				}
				return ans.Add(c)
			})
			a.answers.Finish(req.Attempt)
		})
	}
	return relayAnswer(ans, stream)
}

// relayAnswer streams an answer that another goroutine writes.
func relayAnswer(ans *answer.Answer, stream wire.DRPCAgent_RunStream) error {
	from := 0
	for {
		chunks, ended, err := ans.Next(stream.Context(), from)
		if err != nil {
			return err
		}
		for rest := chunks; len(rest) > 0; {
			n := mergeable(rest)
			if err := stream.Send(mergeChunks(rest[:n])); err != nil {
				return err
			}
			rest = rest[n:]
		}
		from += len(chunks)
		if ended {
			return nil
		}
	}
}

// mergeable returns the number of chunks, at least one, that fit into one message.
func mergeable(chunks []*wire.RunChunk) int {
	size := len(chunks[0].Data)
	for i, c := range chunks[1:] {
		if size += len(c.Data); size > maxMergedBytes {
			return i + 1
		}
	}
	return len(chunks)
}

// mergeChunks merges consecutive chunks into one, to send fewer messages.
func mergeChunks(chunks []*wire.RunChunk) *wire.RunChunk {
	if len(chunks) == 1 {
		return chunks[0]
	}
	merged := &wire.RunChunk{Attempt: chunks[0].Attempt}
	for _, c := range chunks {
		if c.Head != nil {
			merged.Head = c.Head
		}
		if c.End != nil {
			merged.End = c.End
		}
		merged.Data = append(merged.Data, c.Data...)
	}
	return merged
}

// begin checks the authority of the agent and passes the request through the
// gate. If the answer of the attempt is cached, begin returns it too.
func (a *agent) begin(ctx context.Context, req *wire.RunRequest) (gate.Verdict, *answer.Answer, *rollout.Error) {
	if !req.Attach && req.Account != "" && !a.renewer.Valid() {
		return 0, nil, rollout.NewError(rollout.KindNoAuthority, "agent %s has no authority", a.cfg.Name).WithNotRun()
	}
	verdict, ans, err := a.enterGate(ctx, req)
	if err != nil {
		a.log.Info("AttemptRefused", zap.String("Attempt", req.Attempt), zap.String("Upstream", req.Upstream), zap.Error(err))
		return 0, nil, rollout.AsError(err)
	}
	if verdict == gate.VerdictAttach {
		if ans = a.answers.Find(req.Attempt); ans == nil {
			return 0, nil, rollout.NewError(rollout.KindOutcomeUnknown, "attempt %s has run and its answer is no longer cached", req.Attempt)
		}
	}
	return verdict, ans, nil
}

// enterGate passes a request through the gate. If a request attaches to an
// attempt that has not begun, enterGate retries until attachTimeout has passed
// and only then bars the attempt, because the request that holds the claim may
// still be in transit.
func (a *agent) enterGate(ctx context.Context, req *wire.RunRequest) (gate.Verdict, *answer.Answer, error) {
	barTime := time.Now().Add(attachTimeout)
	for {
		bar := time.Now().After(barTime)
		verdict, ans, err := a.tryGate(req, bar)
		if err == nil || !req.Attach || bar || rollout.AsError(err).Kind != rollout.KindNotFound {
			return verdict, ans, err
		}
		select {
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		case <-time.After(attachPollInterval):
		}
	}
}

// tryGate passes a request through the gate once. It adds an answer to the cache
// if it begins an attempt whose answer is to be cached.
func (a *agent) tryGate(req *wire.RunRequest, bar bool) (gate.Verdict, *answer.Answer, error) {
	a.trafficMu.Lock()
	defer a.trafficMu.Unlock()
	verdict, err := a.gate.Begin(a.clock.Now(), gate.Request{
		Attempt: req.Attempt, Upstream: req.Upstream, Incarnation: req.Incarnation, Fingerprint: req.Fingerprint,
		Suspect: req.Suspect, Claimed: req.Keep, Attach: req.Attach, Bar: bar,
	})
	if verdict == gate.VerdictRun && req.Keep {
		return verdict, a.answers.Begin(req.Attempt), nil
	}
	return verdict, nil, err
}

// execute sends the request of an attempt to its upstream and writes the answer
// to sink. A detached attempt continues after its caller has disconnected; it is
// sent without connection reuse, so that the HTTP client does not resend it.
func (a *agent) execute(caller context.Context, req *wire.RunRequest, sink upstream.Sink) error {
	deadline := time.Duration(req.DeadlineMs) * time.Millisecond
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	parent, client := caller, a.client
	if req.Detached {
		parent, client = context.WithoutCancel(caller), a.noReuseClient
	}
	ctx, cancel := context.WithTimeout(parent, deadline)
	defer cancel()
	t := (*a.targets.Load())[req.Upstream]
	obs := &upstream.Observer{}
	start := a.clock.Now()
	held := a.responses.Open()
	defer held.Release()
	outcome := upstream.Call(ctx, client, t.url, req, sink, obs, held)
	end := a.finishAttempt(req, t, obs, outcome, a.clock.Now()-start)
	a.metrics.attempts.WithLabelValues(outcomeLabel(outcome.Err)).Inc()
	last := &wire.RunChunk{Attempt: req.Attempt}
	if n := len(outcome.Buffered); n > 0 {
		for _, c := range outcome.Buffered[:n-1] {
			if err := sink(c); err != nil {
				end.Error = callerErrorText(end.Error, err)
				return sink(&wire.RunChunk{Attempt: req.Attempt, End: end})
			}
		}
		last = outcome.Buffered[n-1]
	}
	last.End = end
	return sink(last)
}

// callerErrorText returns the error of an answer that the caller has not taken: the first one.
func callerErrorText(text string, err error) string {
	if text != "" {
		return text
	}
	return rollout.AsError(err).Error()
}

// finishAttempt removes an attempt from the gate, meters it and returns its end
// marker. If the connection to the upstream broke, it first waits for a crash to
// be reported.
func (a *agent) finishAttempt(req *wire.RunRequest, t target, obs *upstream.Observer, outcome upstream.Outcome, took rollout.Millis) *wire.End {
	end := &wire.End{
		Length: outcome.Bytes, Versions: a.producingVersions(req, t, obs),
		InputTokens: obs.InputTokens, OutputTokens: obs.OutputTokens, Crashed: outcome.ConnectionBroken && !outcome.Err.NotRun,
	}
	if outcome.Err != nil {
		end.Error, end.NotRun = outcome.Err.Error(), outcome.Err.NotRun
	}
	a.trafficMu.Lock()
	running := a.gate.RunningFingerprints(req.Upstream)
	a.gate.Finish(req.Attempt)
	end.Running = int32(a.gate.Running(req.Upstream))
	if !end.NotRun {
		a.meter.Add(usage.Subject{Account: req.Account, Pool: t.pool}, usage.Figures{
			Requests: 1, InputTokens: obs.InputTokens, OutputTokens: obs.OutputTokens, UpstreamMS: uint64(took),
		})
	}
	a.trafficMu.Unlock()
	if outcome.ConnectionBroken {
		a.log.Warn("UpstreamConnectionBroken", zap.String("Upstream", req.Upstream), zap.String("Attempt", req.Attempt), zap.Error(outcome.Err))
		a.awaitCrashReport(req.Upstream, running)
	}
	return end
}

// awaitCrashReport waits until the leader has accepted the crash that broke the
// connection of an attempt, or until it is known that there was none. Otherwise
// the request could be retried before it is known to be a suspect. The wait is
// limited by crashReportTimeout.
func (a *agent) awaitCrashReport(id string, running map[string]bool) {
	settled := make(chan struct{})
	a.enqueue(func(rollout.Millis) { a.recordBrokenConnection(id, running, settled) })
	select {
	case <-settled:
	case <-time.After(crashReportTimeout):
	}
}

// producingVersions returns the weight versions that produced an answer: those
// that the engine named in the answer or, if it named none, those in its status
// before and after the attempt.
func (a *agent) producingVersions(req *wire.RunRequest, before target, obs *upstream.Observer) []uint64 {
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

// errorChunk returns the only chunk of an attempt that failed before it began. Its
// number of running requests is unknown, which is written as -1.
func errorChunk(attempt string, err *rollout.Error) *wire.RunChunk {
	return &wire.RunChunk{Attempt: attempt, End: &wire.End{Error: err.Error(), NotRun: err.NotRun, Running: -1}}
}

func outcomeLabel(err *rollout.Error) string {
	if err == nil {
		return "ok"
	}
	return err.Kind.String()
}
