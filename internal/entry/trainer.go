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
	trainerPathPrefix = "/v1/rollouts/"
	defaultPullLimit  = 64
	maxPullLimit      = 1_024
	maxWaitMS         = 30_000
	// pullPollInterval is the interval at which a pull polls for new samples.
	pullPollInterval = 200 * time.Millisecond
)

// stepRequest requests the samples of a step.
type stepRequest struct {
	Step    string
	Samples int
	// Prompts are assigned to the samples round-robin by index.
	Prompts   []string
	MaxTokens int
}

// stepStatus is the progress of a step and the entry that runs it.
type stepStatus struct {
	Step    string
	Samples int
	Missing int
	Entry   string
}

// weightsRequest publishes a new weight version. The response has the same form
// and contains the version in force.
type weightsRequest struct{ Version uint64 }

// pulledSample is a sample in the response to a pull.
type pulledSample struct {
	Position uint64
	Step     string
	Index    int
	Versions []uint64
	Score    float64
	Text     string
	// Void is the reason why the position has no sample, or empty.
	Void string `json:",omitempty"`
}

// pullResponse is the response to a pull.
type pullResponse struct {
	Samples      []pulledSample
	Acknowledged uint64
	OpenSteps    []stepStatus
}

// trainerHandler returns the handler for a trainer's request and sets its group. It
// returns nil for any other request.
func trainerHandler(x *exchange) func(*entry, *exchange) error {
	path, ok := strings.CutPrefix(string(x.rc.Path()), trainerPathPrefix)
	if !ok {
		return nil
	}
	group, resource, _ := strings.Cut(path, "/")
	x.group = group
	switch {
	case resource == "steps" && x.rc.IsPost():
		return (*entry).handleStep
	case resource == "samples" && x.rc.IsGet():
		return (*entry).handlePull
	case resource == "weights" && x.rc.IsPost():
		return (*entry).handleWeights
	default:
		return func(*entry, *exchange) error {
			return rollout.NewError(rollout.KindNotFound, "unknown trainer request %s %s: want POST steps, GET samples or POST weights", x.rc.Method(), resource).WithNotRun()
		}
	}
}

// authenticateTrainer authenticates a trainer and returns its group.
func (e *entry) authenticateTrainer(x *exchange) (catalog.Group, error) {
	if err := x.parseTimeout(e); err != nil {
		return catalog.Group{}, err
	}
	if err := e.authenticate(x); err != nil {
		return catalog.Group{}, err
	}
	g, ok := x.catalog.Groups[x.group]
	if !ok {
		return g, rollout.NewError(rollout.KindNotFound, "no trainer group %q", x.group).WithNotRun()
	}
	return g, nil
}

func (e *entry) handleStep(x *exchange) error {
	g, err := e.authenticateTrainer(x)
	if err != nil {
		return err
	}
	var req stepRequest
	if err := json.Unmarshal(x.rc.PostBody(), &req); err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "body: %v", err).WithNotRun()
	}
	if req.Step == "" || len(req.Prompts) == 0 {
		return rollout.NewError(rollout.KindInvalidInput, "body: Step and Prompts are required").WithNotRun()
	}
	step, err := propose[stream.Step](x.ctx, e, ledger.Command{OpenStep: &stream.OpenStep{
		Group: g.Name, Step: req.Step, Size: req.Samples, Entry: e.cfg.Name, Incarnation: e.incarnation,
	}})
	if err != nil {
		return err
	}
	if step.Entry == e.cfg.Name && !step.Settled {
		e.stepRunner.start(x, g.Name, req, step)
	}
	return writeJSON(x.rc, newStepStatus(step))
}

func (e *entry) handleWeights(x *exchange) error {
	g, err := e.authenticateTrainer(x)
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

// handlePull delivers samples. The cursor After acknowledges all positions up to
// it. If there are no samples, the request waits for up to WaitMS.
func (e *entry) handlePull(x *exchange) error {
	g, err := e.authenticateTrainer(x)
	if err != nil {
		return err
	}
	args := x.rc.QueryArgs()
	after, err := strconv.ParseUint(string(args.Peek("After")), 10, 64)
	if err != nil {
		return rollout.NewError(rollout.KindInvalidInput, "After: %q: want the position of the last received sample, or 0", args.Peek("After")).WithNotRun()
	}
	limit := min(args.GetUintOrZero("Max"), maxPullLimit)
	if limit == 0 {
		limit = defaultPullLimit
	}
	waitUntil := e.clock.Now() + rollout.Millis(min(args.GetUintOrZero("WaitMS"), maxWaitMS))
	for {
		response, err := e.pull(x.ctx, g, after, limit)
		if err != nil {
			return err
		}
		if len(response.Samples) > 0 || e.clock.Now() >= waitUntil || e.stopping.Load() {
			e.log.Debug("SamplesDelivered", zap.String("Group", g.Name), zap.Uint64("After", after), zap.Int("Samples", len(response.Samples)))
			return writeJSON(x.rc, response)
		}
		select {
		case <-x.ctx.Done():
			return rollout.AsError(context.Cause(x.ctx))
		case <-time.After(pullPollInterval):
		}
	}
}

// pull requests the samples after a cursor and fetches their payloads. A missing
// payload ends the pull; if it is lost, its position is void in the next pull.
func (e *entry) pull(ctx context.Context, g catalog.Group, after uint64, limit int) (pullResponse, error) {
	handover, err := propose[stream.HandoverResult](ctx, e, ledger.Command{Handover: &stream.Handover{Group: g.Name, After: after, Max: limit}})
	if err != nil {
		return pullResponse{}, err
	}
	response := pullResponse{Acknowledged: handover.Acknowledged, Samples: []pulledSample{}}
	for _, s := range handover.OpenSteps {
		response.OpenSteps = append(response.OpenSteps, newStepStatus(s))
	}
	for _, s := range handover.Samples {
		out := pulledSample{Position: s.Position, Step: s.Step, Index: s.Index, Versions: s.Versions, Score: s.Score, Void: s.Void}
		if s.Void == "" {
			data, err := e.loadPayload(ctx, g.Name, s)
			if err != nil {
				return e.partialPull(response, err)
			}
			out.Text = payload.Text(data)
		}
		response.Samples = append(response.Samples, out)
	}
	e.payloads.DeleteAcknowledged(g.Name, handover.Acknowledged)
	return response, nil
}

// partialPull returns the samples before the one whose payload is missing, or the
// error if there are none.
func (e *entry) partialPull(response pullResponse, err error) (pullResponse, error) {
	if len(response.Samples) > 0 {
		return response, nil
	}
	return response, err
}

// propose commits one command and decodes its result.
func propose[V any](ctx context.Context, e *entry, c ledger.Command) (V, error) {
	results, err := e.control.Propose(ctx, c)
	if err != nil {
		var zero V
		return zero, err
	}
	return ledger.Decode[V](results[0])
}

func newStepStatus(s stream.Step) stepStatus {
	return stepStatus{Step: s.ID, Samples: s.Size, Missing: len(s.MissingIndexes()), Entry: s.Entry}
}

func writeJSON(rc *fasthttp.RequestCtx, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return rollout.NewError(rollout.KindInternal, "encode response").WithCause(err)
	}
	rc.Response.Header.SetContentType("application/json")
	rc.Response.SetBodyRaw(data)
	return nil
}
