package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/payload"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/stream"
)

const (
	trainerPrefix = "/v1/rollouts/"
	defaultMax    = 64
	maxPull       = 1_024
	maxWaitMS     = 30_000
	// pullInterval is the time between looks at an empty stream.
	pullInterval = 200 * time.Millisecond
)

// stepRequest asks for the samples of a step.
type stepRequest struct {
	Step    string
	Samples int
	// Prompts are used in turn, one for each sample.
	Prompts   []string
	MaxTokens int
}

// stepAnswer tells who runs a step.
type stepAnswer struct {
	Step    string
	Samples int
	Missing int
	Entry   string
}

// weightsRequest announces a new weight version.
type weightsRequest struct{ Version uint64 }

// handedSample is one sample as a trainer gets it.
type handedSample struct {
	Position uint64
	Step     string
	Index    int
	Versions []uint64
	Score    float64
	Text     string
	// Void tells why the position has no sample.
	Void string `json:",omitempty"`
}

// pullAnswer is the answer to a pull.
type pullAnswer struct {
	Samples      []handedSample
	Acknowledged uint64
	OpenSteps    []stepAnswer
}

// trainerHandler returns the handler of a trainer's request, or nil.
func trainerHandler(x *exchange) func(*entry, *exchange) error {
	path, ok := strings.CutPrefix(string(x.rc.Path()), trainerPrefix)
	if !ok {
		return nil
	}
	group, what, _ := strings.Cut(path, "/")
	x.group = group
	switch {
	case what == "steps" && x.rc.IsPost():
		return (*entry).handleStep
	case what == "samples" && x.rc.IsGet():
		return (*entry).handlePull
	case what == "weights" && x.rc.IsPost():
		return (*entry).handleWeights
	default:
		return func(*entry, *exchange) error {
			return rollout.NewError(rollout.KindNotFound, "want POST steps, GET samples or POST weights").WithNotRun()
		}
	}
}

// trainer authenticates a trainer and returns its group.
func (e *entry) trainer(x *exchange) (catalog.Group, error) {
	if err := x.readTimeout(e); err != nil {
		return catalog.Group{}, err
	}
	if err := e.authenticate(x); err != nil {
		return catalog.Group{}, err
	}
	g, ok := x.view.Groups[x.group]
	if !ok {
		return g, rollout.NewError(rollout.KindNotFound, "no trainer group %q", x.group).WithNotRun()
	}
	return g, nil
}

func (e *entry) handleStep(x *exchange) error {
	g, err := e.trainer(x)
	if err != nil {
		return err
	}
	var req stepRequest
	if err := json.Unmarshal(x.rc.PostBody(), &req); err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "body: %v", err).WithNotRun()
	}
	if req.Step == "" || len(req.Prompts) == 0 {
		return rollout.NewError(rollout.KindInvalidInput, "body: Step and Prompts are needed").WithNotRun()
	}
	step, err := propose[stream.Step](x.ctx, e, ledger.Command{OpenStep: &stream.OpenStep{
		Group: g.Name, Step: req.Step, Size: req.Samples, Entry: e.cfg.Name,
	}})
	if err != nil {
		return err
	}
	if step.Entry == e.cfg.Name && !step.Settled {
		e.steps.start(x, g.Name, req, step)
	}
	return writeJSON(x.rc, stepAnswerOf(step))
}

func (e *entry) handleWeights(x *exchange) error {
	g, err := e.trainer(x)
	if err != nil {
		return err
	}
	var req weightsRequest
	if err := json.Unmarshal(x.rc.PostBody(), &req); err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "body: %v", err).WithNotRun()
	}
	after, err := propose[catalog.Group](x.ctx, e, ledger.Command{PublishWeights: &ledger.PublishWeights{Group: g.Name, Version: req.Version}})
	if err != nil {
		return err
	}
	return writeJSON(x.rc, weightsRequest{Version: after.Version})
}

// handlePull hands samples over. The cursor After acknowledges all positions
// up to it.
func (e *entry) handlePull(x *exchange) error {
	g, err := e.trainer(x)
	if err != nil {
		return err
	}
	args := x.rc.QueryArgs()
	after, err := strconv.ParseUint(string(args.Peek("After")), 10, 64)
	if err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "After: want the last position received, or 0").WithNotRun()
	}
	limit := min(args.GetUintOrZero("Max"), maxPull)
	if limit == 0 {
		limit = defaultMax
	}
	wait := e.clock.Now() + rollout.Millis(min(args.GetUintOrZero("WaitMS"), maxWaitMS))
	for {
		answer, err := e.pull(x.ctx, g, after, limit)
		if err != nil {
			return err
		}
		if len(answer.Samples) > 0 || e.clock.Now() >= wait || e.stopping.Load() {
			e.log.Debug("SamplesHanded", zap.String("Group", g.Name), zap.Uint64("After", after), zap.Int("Samples", len(answer.Samples)))
			return writeJSON(x.rc, answer)
		}
		select {
		case <-x.ctx.Done():
			return rollout.AsError(context.Cause(x.ctx))
		case <-time.After(pullInterval):
		}
	}
}

// pull asks for the samples after a cursor and fetches their payloads. A
// sample whose payload is gone is made void, and the pull begins again.
func (e *entry) pull(ctx context.Context, g catalog.Group, after uint64, limit int) (pullAnswer, error) {
	handed, err := propose[stream.HandoverResult](ctx, e, ledger.Command{Handover: &stream.Handover{Group: g.Name, After: after, Max: limit}})
	if err != nil {
		return pullAnswer{}, err
	}
	answer := pullAnswer{Acknowledged: handed.Acknowledged, Samples: []handedSample{}}
	for _, s := range handed.OpenSteps {
		answer.OpenSteps = append(answer.OpenSteps, stepAnswerOf(s))
	}
	for _, s := range handed.Samples {
		out := handedSample{Position: s.Position, Step: s.Step, Index: s.Index, Versions: s.Versions, Score: s.Score, Void: s.Void}
		if s.Void == "" {
			data, err := e.payload(ctx, g.Name, s)
			if err != nil {
				return e.cutShort(answer, err)
			}
			out.Text = payload.Text(data)
		}
		answer.Samples = append(answer.Samples, out)
	}
	e.payloads.Forget(g.Name, handed.Acknowledged)
	return answer, nil
}

// cutShort hands over what came before a sample whose payload is missing.
func (e *entry) cutShort(answer pullAnswer, err error) (pullAnswer, error) {
	if len(answer.Samples) > 0 {
		return answer, nil
	}
	return answer, err
}

// propose commits one command and decodes its answer.
func propose[V any](ctx context.Context, e *entry, c ledger.Command) (V, error) {
	results, err := e.control.Propose(ctx, c)
	if err != nil {
		var zero V
		return zero, err
	}
	return ledger.Decode[V](results[0])
}

func stepAnswerOf(s stream.Step) stepAnswer {
	return stepAnswer{Step: s.ID, Samples: s.Size, Missing: len(s.Missing()), Entry: s.Entry}
}

func writeJSON(rc *fasthttp.RequestCtx, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return rollout.NewError(rollout.KindInternal, "encode answer").WithCause(err)
	}
	rc.Response.Header.SetContentType("application/json")
	rc.Response.SetBodyRaw(data)
	return nil
}
