package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/payload"
	"github.com/coltsfootspoke/coltsfootspoke/internal/scorer"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/hedge"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/poison"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/routing"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/stream"
)

const (
	statusOK = 200
	// stepCheckInterval is the interval between checks of the running steps.
	stepCheckInterval = 100 * time.Millisecond
	// refreshIntervalMS is the interval between queries for the missing samples
	// of a step.
	refreshIntervalMS = 1_000
	// sampleTimeoutMS bounds one attempt for a sample.
	sampleTimeoutMS = 30 * 60 * 1_000
	// sampleRetryDelay is the time before a failed attempt for a sample is
	// retried.
	sampleRetryDelay = 200 * time.Millisecond
)

// stepRunner runs the steps that this entry owns.
type stepRunner struct {
	entry *entry
	wg    sync.WaitGroup
	mu    sync.Mutex
	// steps holds the running steps by "GROUP/STEP".
	steps map[string]*stepRun
}

// stepRun is a running step.
type stepRun struct {
	account catalog.Account
	// keyID is the key of the latest request for the step. Samples are produced
	// only while this key is valid.
	keyID  string
	group  string
	req    stepRequest
	hedges *hedge.Step
	// running holds the samples that are being produced, by index.
	running     map[int]*sampleRun
	refreshedMS rollout.Millis
	refreshing  bool
}

// sampleRun is a sample that is being produced, with one or two concurrent
// attempts.
type sampleRun struct {
	ctx    context.Context
	cancel context.CancelFunc
	// startedMS is when the latest attempt was sent to an upstream, or zero if
	// none has been sent yet.
	startedMS atomic.Int64
	// tokens counts the tokens that the latest attempt has generated.
	tokens atomic.Int64
	// hedged is true once a second attempt has been started.
	hedged bool
}

func newStepRunner(e *entry) *stepRunner {
	return &stepRunner{entry: e, steps: make(map[string]*stepRun)}
}

// start starts a step if it is not running yet, and the missing samples that are
// not being produced.
func (s *stepRunner) start(x *exchange, group string, req stepRequest, step stream.Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := group + "/" + req.Step
	run := s.steps[key]
	if run == nil {
		run = &stepRun{
			account: x.account, group: group, req: req,
			hedges: hedge.New(hedge.DefaultConfig(), step.Size), running: make(map[int]*sampleRun),
		}
		s.steps[key] = run
		s.entry.log.Info("StepBegun", zap.String("Group", group), zap.String("Step", req.Step), zap.Int("Missing", len(step.MissingIndexes())))
	}
	run.keyID = x.key.ID
	s.startMissing(run, step)
}

// startMissing starts each missing sample that is not being produced.
func (s *stepRunner) startMissing(run *stepRun, step stream.Step) {
	for _, index := range step.MissingIndexes() {
		if run.running[index] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		sr := &sampleRun{ctx: ctx, cancel: cancel}
		run.running[index] = sr
		s.wg.Go(func() { s.produceSample(run, sr, index, nil) })
	}
}

// run checks the steps periodically until the context ends.
func (s *stepRunner) run(ctx context.Context) error {
	ticker := time.NewTicker(stepCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.stop()
			return nil
		case <-ticker.C:
			s.checkSteps(ctx)
		}
	}
}

// stop cancels all samples and waits for their goroutines.
func (s *stepRunner) stop() {
	s.mu.Lock()
	for _, run := range s.steps {
		for _, sr := range run.running {
			sr.cancel()
		}
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// checkSteps hedges stragglers and starts the refreshes that are due.
func (s *stepRunner) checkSteps(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.entry.clock.Now()
	for key, run := range s.steps {
		for index, sr := range run.running {
			if a, ok := sr.progress(now); ok && !sr.hedged && run.hedges.TryHedge(a) {
				sr.hedged = true
				s.entry.log.Info("SampleHedged", zap.String("Group", run.group), zap.String("Step", run.req.Step), zap.Int("Index", index),
					zap.Int64("RunningMS", int64(a.ElapsedMS)), zap.Int("Tokens", a.Tokens))
				s.wg.Go(func() { s.produceSample(run, sr, index, nil) })
			}
		}
		if !run.refreshing && now-run.refreshedMS >= refreshIntervalMS {
			run.refreshing, run.refreshedMS = true, now
			s.wg.Go(func() { s.refresh(ctx, key, run) })
		}
	}
}

// refresh queries the leader for the missing samples of a step and starts them. A
// sample can be missing again after its position became void. A step that is
// settled or that another entry has taken over is removed.
func (s *stepRunner) refresh(ctx context.Context, key string, run *stepRun) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	step, err := propose[stream.Step](ctx, s.entry, ledger.Command{OpenStep: &stream.OpenStep{
		Group: run.group, Step: run.req.Step, Size: run.req.Samples, Entry: s.entry.cfg.Name, Incarnation: s.entry.incarnation,
	}})
	s.mu.Lock()
	defer s.mu.Unlock()
	run.refreshing = false
	if err != nil {
		return
	}
	if step.Settled || step.Entry != s.entry.cfg.Name {
		for _, sr := range run.running {
			sr.cancel()
		}
		delete(s.steps, key)
		s.entry.log.Info("StepEnded", zap.String("Group", run.group), zap.String("Step", run.req.Step), zap.String("Entry", step.Entry), zap.Bool("Settled", step.Settled))
		return
	}
	s.startMissing(run, step)
}

// produceSample makes attempts until the sample is committed, by this goroutine or
// by the one of its hedge.
func (s *stepRunner) produceSample(run *stepRun, sr *sampleRun, index int, tried []string) {
	for sr.ctx.Err() == nil {
		done, upstream, err := s.attemptSample(run, sr, index, tried)
		s.entry.metrics.samples.WithLabelValues(outcomeName(err)).Inc()
		if isPoisoned(err) {
			done, err = s.commitRefused(run, sr, index)
		}
		if done {
			s.finishSample(run, sr, index)
			return
		}
		if err == nil || sr.ctx.Err() != nil {
			continue
		}
		s.entry.log.Info("SampleFailed", zap.String("Group", run.group), zap.String("Step", run.req.Step), zap.Int("Index", index), zap.String("Upstream", upstream), zap.Error(err))
		tried = []string{upstream}
		select {
		case <-sr.ctx.Done():
		case <-time.After(sampleRetryDelay):
		}
		s.waitWhileEvacuated(sr.ctx, run.group)
	}
}

// waitWhileEvacuated waits while all upstreams of a group's pool are evacuated, which
// may take hours. An attempt each time would fill the log.
func (s *stepRunner) waitWhileEvacuated(ctx context.Context, group string) {
	for s.entry.poolEvacuated(s.entry.renewer.View().Groups[group].Pool) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sampleRetryDelay):
		}
	}
}

// commitRefused commits a void sample, because its request crashes engines. The
// trainer gets the reason, and the step can still become complete.
func (s *stepRunner) commitRefused(run *stepRun, sr *sampleRun, index int) (bool, error) {
	_, err := propose[stream.CommitResult](sr.ctx, s.entry, ledger.Command{CommitSample: &stream.CommitSample{
		Group: run.group, Step: run.req.Step, Index: index, Refused: "poisoned",
	}})
	return err == nil, err
}

func isPoisoned(err error) bool {
	return err != nil && rollout.AsError(err).Kind == rollout.KindPoisoned
}

// finishSample ends a sample and cancels its other attempt.
func (s *stepRunner) finishSample(run *stepRun, sr *sampleRun, index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sr.cancel()
	if run.running[index] == sr {
		delete(run.running, index)
	}
	if a, ok := sr.progress(s.entry.clock.Now()); ok {
		run.hedges.RecordSuccess(a)
	}
}

// attemptSample makes one attempt for a sample, scores the response and commits
// the sample.
func (s *stepRunner) attemptSample(run *stepRun, sr *sampleRun, index int, tried []string) (done bool, upstream string, err error) {
	e := s.entry
	if !e.renewer.Valid() {
		return false, "", rollout.NewError(rollout.KindNoAuthority, "the lease of entry %s has expired", e.cfg.Name).WithNotRun()
	}
	x, err := s.sampleExchange(run, sr, index)
	if err != nil {
		return false, "", err
	}
	defer x.cleanUp(e)
	if err := e.admit(x); err != nil {
		return false, "", err
	}
	choice, err := e.route(x, tried)
	if err != nil {
		return false, "", err
	}
	req := e.runRequest(x, choice, newID())
	req.Keep = true
	sr.tokens.Store(0)
	sr.startedMS.Store(int64(e.clock.Now()))
	response, end, err := e.readResponse(x, choice, req, sr.countTokens)
	if err != nil {
		x.upstreamsFull = rollout.AsError(err).Kind == rollout.KindOverloaded
		return false, choice.Upstream.ID, err
	}
	x.tokens = end.InputTokens + end.OutputTokens
	e.clearSuspect(x)
	done, err = s.commit(run, sr, index, choice, req.Attempt, response, end)
	return done, choice.Upstream.ID, err
}

// progress returns the progress of the latest attempt. It returns false if no
// attempt has been sent to an upstream yet.
func (sr *sampleRun) progress(now rollout.Millis) (hedge.Attempt, bool) {
	started := sr.startedMS.Load()
	return hedge.Attempt{ElapsedMS: now - rollout.Millis(started), Tokens: int(sr.tokens.Load())}, started > 0
}

// countTokens adds the tokens in a part of a response. It counts events, because
// an engine sends about one event for each token.
func (sr *sampleRun) countTokens(data []byte) {
	sr.tokens.Add(int64(bytes.Count(data, []byte(payload.EventPrefix))))
}

// readResponse makes an attempt and reads its whole response. It calls observe with
// each part of the body as it arrives.
func (e *entry) readResponse(x *exchange, choice routing.Choice, req *wire.RunRequest, observe func([]byte)) ([]byte, *wire.End, error) {
	s, err := e.openAttempt(x.ctx, choice.Upstream.Address, req)
	if err != nil {
		e.recordOutcome(choice.Upstream.ID, err, s)
		return nil, nil, err
	}
	defer s.Close()
	response, err := s.ReadAll(observe)
	if err == nil && s.Head.Status != statusOK {
		err = rollout.NewError(rollout.KindUpstreamFailed, "engine %s responded with status %d", choice.Upstream.ID, s.Head.Status)
	}
	e.recordOutcome(choice.Upstream.ID, err, s)
	return response, s.End, err
}

// commit scores a finished sample and commits it. It stores the payload first, so
// that the entry has it once the committed sample names the entry as a holder.
func (s *stepRunner) commit(run *stepRun, sr *sampleRun, index int, choice routing.Choice, attempt string, response []byte, end *wire.End) (bool, error) {
	e := s.entry
	score, err := e.scorer.Score(sr.ctx, scorer.Request{Group: run.group, Step: run.req.Step, Index: index, Text: payload.Text(response)})
	if err != nil {
		return false, err
	}
	e.payloads.Put(run.group, attempt, response, 0)
	committed, err := propose[stream.CommitResult](sr.ctx, e, ledger.Command{CommitSample: &stream.CommitSample{
		Group: run.group, Step: run.req.Step, Index: index, Attempt: attempt, Versions: end.Versions,
		Digest: payload.Digest(response), Score: score, Holders: []string{e.cfg.Address, agentHolderPrefix + choice.Upstream.Address},
	}})
	switch {
	case err != nil:
		return false, err
	case committed.Stale:
		e.payloads.Delete(run.group, attempt)
		e.log.Info("SampleStale", zap.String("Group", run.group), zap.String("Step", run.req.Step), zap.Int("Index", index), zap.Uint64s("Versions", end.Versions))
		return false, nil
	case committed.Duplicate:
		e.payloads.Delete(run.group, attempt)
		return true, nil
	default:
		e.payloads.Put(run.group, attempt, response, committed.Position)
		e.log.Info("SampleCommitted", zap.String("Group", run.group), zap.String("Step", run.req.Step), zap.Int("Index", index),
			zap.Uint64("Position", committed.Position), zap.Uint64s("Versions", end.Versions), zap.String("Upstream", choice.Upstream.ID))
		return true, nil
	}
}

// sampleRequest is the completion request of a sample.
type sampleRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// sampleExchange returns the exchange for one attempt at a sample. It is registered
// under the key of the step and cancelled when that key is withdrawn.
func (s *stepRunner) sampleExchange(run *stepRun, sr *sampleRun, index int) (*exchange, error) {
	e := s.entry
	cat := e.renewer.View()
	g, ok := cat.Groups[run.group]
	if !ok {
		return nil, rollout.NewError(rollout.KindNotFound, "no trainer group %q", run.group).WithNotRun()
	}
	prompt := run.req.Prompts[index%len(run.req.Prompts)]
	maxTokens := run.req.MaxTokens
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	body, err := json.Marshal(sampleRequest{Model: g.Name, Prompt: prompt, MaxTokens: maxTokens, Stream: true})
	if err != nil {
		return nil, rollout.NewError(rollout.KindInternal, "encode sample request").WithCause(err)
	}
	x := &exchange{
		catalog: cat, id: newID(), account: run.account, pool: g.Pool, group: g.Name, minVersion: g.OldestUsable(), newestVersion: g.Version,
		repeatable: true, cost: math.Max(1, float64(len(prompt)/bytesPerToken+maxTokens)),
		deadline: e.clock.Now() + sampleTimeoutMS, method: "POST", path: pathCompletions, body: body,
		headers: []*wire.Header{{Name: "Content-Type", Value: "application/json"}},
	}
	x.ctx, x.cancel = context.WithCancelCause(sr.ctx)
	x.withDeadline(e)
	keyID := s.currentKeyID(run)
	x.removeSession = e.sampling.Add(keyID, x.cancel)
	if k, ok := e.renewer.View().Keys[keyID]; !ok || k.Withdrawn {
		x.cleanUp(e)
		return nil, rollout.NewError(rollout.KindWithdrawn, "key %s was withdrawn", keyID).WithNotRun()
	}
	x.prefix = prefixHash([]byte(prompt))
	x.fingerprint = poison.Fingerprint("", x.method, x.path, body)
	if err := e.checkPoison(x); err != nil {
		x.cleanUp(e)
		return nil, err
	}
	return x, nil
}

func (s *stepRunner) currentKeyID(run *stepRun) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return run.keyID
}
