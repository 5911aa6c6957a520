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
	// stepInterval is the time between looks at the running steps.
	stepInterval = 100 * time.Millisecond
	// settleIntervalMS is the time between questions for void samples.
	settleIntervalMS = 1_000
	// sampleTimeoutMS bounds one attempt for a sample.
	sampleTimeoutMS = 30 * 60 * 1_000
	// samplePause is the time before a failed sample is tried again.
	samplePause = 200 * time.Millisecond
)

// steps runs the steps that this entry owns.
type steps struct {
	entry *entry
	wait  sync.WaitGroup
	mu    sync.Mutex
	byKey map[string]*stepRun
}

// stepRun is one step on its way.
type stepRun struct {
	account catalog.Account
	// keyID is the key under which the step was asked for last. Its samples
	// are made only while the key is valid.
	keyID  string
	group  string
	req    stepRequest
	hedges *hedge.Group
	// running holds the samples that are being made, by index.
	running map[int]*sampleRun
	askedMS rollout.Millis
	asking  bool
}

// sampleRun is one sample on its way, with one attempt or two.
type sampleRun struct {
	ctx    context.Context
	cancel context.CancelFunc
	// beganMS is when the newest attempt went to an upstream. Zero while it
	// waits.
	beganMS atomic.Int64
	// tokens counts what the newest attempt has made.
	tokens atomic.Int64
	// hedged is true once a second attempt was begun.
	hedged bool
}

func newSteps(e *entry) *steps { return &steps{entry: e, byKey: make(map[string]*stepRun)} }

// start begins a step, or takes notice of the samples that it still lacks.
func (s *steps) start(x *exchange, group string, req stepRequest, step stream.Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := group + "/" + req.Step
	run := s.byKey[key]
	if run == nil {
		run = &stepRun{
			account: x.account, group: group, req: req,
			hedges: hedge.New(hedge.DefaultConfig(), step.Size), running: make(map[int]*sampleRun),
		}
		s.byKey[key] = run
		s.entry.log.Info("StepBegun", zap.String("Group", group), zap.String("Step", req.Step), zap.Int("Missing", len(step.Missing())))
	}
	run.keyID = x.key.ID
	s.fill(run, step)
}

// fill begins each missing sample that is not being made.
func (s *steps) fill(run *stepRun, step stream.Step) {
	for _, index := range step.Missing() {
		if run.running[index] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		sr := &sampleRun{ctx: ctx, cancel: cancel}
		run.running[index] = sr
		s.wait.Go(func() { s.makeSample(run, sr, index, nil) })
	}
}

// run looks after the steps until the context ends.
func (s *steps) run(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.stop()
			return nil
		case <-ticker.C:
			s.look(ctx)
		}
	}
}

func (s *steps) stop() {
	s.mu.Lock()
	for _, run := range s.byKey {
		for _, sr := range run.running {
			sr.cancel()
		}
	}
	s.mu.Unlock()
	s.wait.Wait()
}

// look hedges stragglers and asks for samples that were made void.
func (s *steps) look(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.entry.clock.Now()
	for key, run := range s.byKey {
		for index, sr := range run.running {
			if a, ok := sr.progress(now); ok && !sr.hedged && run.hedges.TryHedge(a) {
				sr.hedged = true
				s.entry.log.Info("Hedge", zap.String("Group", run.group), zap.String("Step", run.req.Step), zap.Int("Index", index),
					zap.Int64("RunningMS", int64(a.ElapsedMS)), zap.Int("Tokens", a.Tokens))
				s.wait.Go(func() { s.makeSample(run, sr, index, nil) })
			}
		}
		if !run.asking && now-run.askedMS >= settleIntervalMS {
			run.asking, run.askedMS = true, now
			s.wait.Go(func() { s.settle(ctx, key, run) })
		}
	}
}

// settle asks which samples of a step are missing, and forgets a step that is
// acknowledged or has gone to another entry.
func (s *steps) settle(ctx context.Context, key string, run *stepRun) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	step, err := propose[stream.Step](ctx, s.entry, ledger.Command{OpenStep: &stream.OpenStep{
		Group: run.group, Step: run.req.Step, Size: run.req.Samples, Entry: s.entry.cfg.Name,
	}})
	s.mu.Lock()
	defer s.mu.Unlock()
	run.asking = false
	if err != nil {
		return
	}
	if step.Settled || step.Entry != s.entry.cfg.Name {
		for _, sr := range run.running {
			sr.cancel()
		}
		delete(s.byKey, key)
		s.entry.log.Info("StepEnded", zap.String("Group", run.group), zap.String("Step", run.req.Step), zap.String("Entry", step.Entry), zap.Bool("Settled", step.Settled))
		return
	}
	s.fill(run, step)
}

// makeSample makes attempts until the sample is committed by this thread or
// another.
func (s *steps) makeSample(run *stepRun, sr *sampleRun, index int, tried []string) {
	for sr.ctx.Err() == nil {
		done, upstream, err := s.trySample(run, sr, index, tried)
		s.entry.metrics.samples.WithLabelValues(outcomeName(err)).Inc()
		if isPoison(err) {
			done, err = s.refuse(run, sr, index)
		}
		if done {
			s.finish(run, sr, index)
			return
		}
		if err == nil || sr.ctx.Err() != nil {
			continue
		}
		s.entry.log.Info("SampleFailed", zap.String("Group", run.group), zap.String("Step", run.req.Step), zap.Int("Index", index), zap.String("Upstream", upstream), zap.Error(err))
		tried = []string{upstream}
		select {
		case <-sr.ctx.Done():
		case <-time.After(samplePause):
		}
	}
}

// refuse tells the trainer that a sample cannot be made, since its request
// crashes engines.
func (s *steps) refuse(run *stepRun, sr *sampleRun, index int) (bool, error) {
	_, err := propose[stream.CommitResult](sr.ctx, s.entry, ledger.Command{CommitSample: &stream.Commit{
		Group: run.group, Step: run.req.Step, Index: index, Refused: "poisoned",
	}})
	return err == nil, err
}

func isPoison(err error) bool {
	return err != nil && rollout.AsError(err).Kind == rollout.KindPoisoned
}

func (s *steps) finish(run *stepRun, sr *sampleRun, index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sr.cancel()
	if run.running[index] == sr {
		delete(run.running, index)
	}
	if a, ok := sr.progress(s.entry.clock.Now()); ok {
		run.hedges.Finished(a)
	}
}

// trySample makes one attempt for a sample, scores it and commits it.
func (s *steps) trySample(run *stepRun, sr *sampleRun, index int, tried []string) (done bool, upstream string, err error) {
	e := s.entry
	if !e.renewer.Valid() {
		return false, "", rollout.NewError(rollout.KindNoAuthority, "the entry has no authority").WithNotRun()
	}
	x, err := s.sampleExchange(run, sr, index)
	if err != nil {
		return false, "", err
	}
	defer x.end(e)
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
	sr.beganMS.Store(int64(e.clock.Now()))
	answer, end, err := e.collect(x, choice, req, sr.noteData)
	if err != nil {
		x.full = rollout.AsError(err).Kind == rollout.KindOverloaded
		return false, choice.Upstream.ID, err
	}
	x.tokens = end.InputTokens + end.OutputTokens
	e.acquit(x)
	done, err = s.commit(run, sr, index, choice, req.Attempt, answer, end)
	return done, choice.Upstream.ID, err
}

// progress returns how far the newest attempt has come, and false while it
// waits for its turn.
func (sr *sampleRun) progress(now rollout.Millis) (hedge.Attempt, bool) {
	began := sr.beganMS.Load()
	return hedge.Attempt{ElapsedMS: now - rollout.Millis(began), Tokens: int(sr.tokens.Load())}, began > 0
}

// noteData counts the tokens of an answer as they come.
func (sr *sampleRun) noteData(data []byte) {
	sr.tokens.Add(int64(bytes.Count(data, []byte(payload.EventPrefix))))
}

// collect takes the whole answer of an attempt. Note sees it as it comes.
func (e *entry) collect(x *exchange, choice routing.Choice, req *wire.RunRequest, note func([]byte)) ([]byte, *wire.End, error) {
	s, err := e.open(x.ctx, choice.Upstream.Address, req)
	if err != nil {
		e.finished(choice.Upstream.ID, err, s)
		return nil, nil, err
	}
	defer s.Close()
	answer, err := s.ReadAll(note)
	if err == nil && s.Head.Status != statusOK {
		err = rollout.NewError(rollout.KindUpstreamFailed, "engine answered %d", s.Head.Status)
	}
	e.finished(choice.Upstream.ID, err, s)
	return answer, s.End, err
}

// commit scores a finished sample and commits it. The payload is held before
// the log names this entry as a holder.
func (s *steps) commit(run *stepRun, sr *sampleRun, index int, choice routing.Choice, attempt string, answer []byte, end *wire.End) (bool, error) {
	e := s.entry
	score, err := e.scorer.Score(sr.ctx, scorer.Request{Group: run.group, Step: run.req.Step, Index: index, Text: payload.Text(answer)})
	if err != nil {
		return false, err
	}
	e.payloads.Put(run.group, attempt, answer, 0)
	committed, err := propose[stream.CommitResult](sr.ctx, e, ledger.Command{CommitSample: &stream.Commit{
		Group: run.group, Step: run.req.Step, Index: index, Attempt: attempt, Versions: end.Versions,
		Digest: payload.Digest(answer), Score: score, Holders: []string{e.cfg.Address, agentHolder + choice.Upstream.Address},
	}})
	switch {
	case err != nil:
		return false, err
	case committed.Stale:
		e.payloads.Drop(run.group, attempt)
		e.log.Info("SampleStale", zap.String("Group", run.group), zap.String("Step", run.req.Step), zap.Int("Index", index), zap.Uint64s("Versions", end.Versions))
		return false, nil
	case committed.Duplicate:
		e.payloads.Drop(run.group, attempt)
		return true, nil
	default:
		e.payloads.Put(run.group, attempt, answer, committed.Position)
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

// sampleExchange builds the exchange of one attempt for a sample.
func (s *steps) sampleExchange(run *stepRun, sr *sampleRun, index int) (*exchange, error) {
	e := s.entry
	view := e.renewer.View()
	g, ok := view.Groups[run.group]
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
		view: view, id: newID(), account: run.account, pool: g.Pool, group: g.Name, minVersion: g.OldestUsable(), newest: g.Version,
		repeatable: true, cost: math.Max(1, float64(len(prompt)/bytesPerToken+maxTokens)),
		deadline: e.clock.Now() + sampleTimeoutMS, method: "POST", path: pathCompletions, body: body,
		headers: []*wire.Header{{Name: "Content-Type", Value: "application/json"}},
	}
	x.ctx, x.cancel = context.WithCancelCause(sr.ctx)
	x.withDeadline(e)
	keyID := s.keyOf(run)
	x.forget = e.sampling.Add(keyID, x.cancel)
	if k, ok := e.renewer.View().Keys[keyID]; !ok || k.Withdrawn {
		x.end(e)
		return nil, rollout.NewError(rollout.KindWithdrawn, "key %s was withdrawn", keyID).WithNotRun()
	}
	x.prefix = prefixHash([]byte(prompt))
	x.fingerprint = poison.Fingerprint("", x.method, x.path, body)
	if err := e.checkPoison(x); err != nil {
		x.end(e)
		return nil, err
	}
	return x, nil
}

func (s *steps) keyOf(run *stepRun) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return run.keyID
}
