package gateway

import (
	"context"
	"strconv"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/document"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/origin"
)

// takeUp is a request to go on with a stream that broke off.
type takeUp struct {
	// attempt is the attempt of the caller that brought the first event.
	attempt string
	// after is the ID of the last event that the caller has received, or 0.
	after uint64
}

// takeUp returns what the request says of a stream that it goes on with. The result is
// empty if it begins a stream.
func (in Inbound) takeUp() (takeUp, error) {
	if len(in.Resumes) > 1 || len(in.LastEventID) > 1 {
		return takeUp{}, rollout.NewError(rollout.KindInvalidInput, "the request names %d attempts and %d events to go on after, at most one of each is allowed", len(in.Resumes), len(in.LastEventID)).WithNotRun()
	}
	var t takeUp
	for _, attempt := range in.Resumes {
		t.attempt = attempt
	}
	for _, id := range in.LastEventID {
		if id == "" {
			continue
		}
		after, err := strconv.ParseUint(id, 10, 64)
		if err != nil {
			return takeUp{}, rollout.NewError(rollout.KindInvalidInput, "the ID %q of the last event is not a number", id).WithCause(err).WithNotRun()
		}
		t.after = after
	}
	return t, nil
}

// resume restricts a request to the upstreams that can go on with its stream, if it takes
// one up. It fails if they are unknown, as then any upstream might be the wrong one.
func (g *Gateway) resume(ctx context.Context, in Inbound, route document.Route, req *balance.Request) error {
	if !route.Streaming {
		if len(in.LastEventID) > 0 {
			req.UpstreamRequest.ResumeAfter = in.LastEventID[0]
		}
		return nil
	}
	t, err := in.takeUp()
	if err != nil || (t == takeUp{}) {
		return err
	}
	if !route.Resumable {
		return rollout.NewError(rollout.KindInvalidInput, "streams of route %s cannot be taken up", route.Name).WithNotRun()
	}
	if t.attempt == "" {
		return rollout.NewError(rollout.KindNotResumable, "the request names no attempt that began its stream; the stream has to begin anew").WithNotRun()
	}
	if err := g.confirmUpstreams(ctx); err != nil {
		g.metrics.streams.WithLabelValues("NotTakenUp").Inc()
		return err
	}
	found, err := g.origins.Find(ctx, origin.Key{Account: req.UpstreamRequest.Account, Attempt: t.attempt})
	if err != nil {
		g.metrics.streams.WithLabelValues("NotTakenUp").Inc()
		return err
	}
	if found.Software == "" {
		g.metrics.streams.WithLabelValues("NotTakenUp").Inc()
		return rollout.NewError(rollout.KindNotResumable, "the software version that began the stream of attempt %s is uncertain; the stream has to begin anew", t.attempt).WithNotRun()
	}
	if !route.HasPool(found.Pool) {
		return rollout.NewError(rollout.KindNotResumable, "route %s does not lead to pool %s any more, where the stream of attempt %s began", route.Name, found.Pool, t.attempt).WithNotRun()
	}
	req.Pool, req.Software = found.Pool, found.Software
	if t.after > 0 {
		req.UpstreamRequest.ResumeAfter = strconv.FormatUint(t.after, 10)
	}
	g.metrics.streams.WithLabelValues("TakenUp").Inc()
	g.opts.Log.Info("StreamTakenUp", zap.String("Request", in.AttemptID), zap.String("Resumes", t.attempt), zap.String("Pool", found.Pool),
		zap.String("Software", found.Software), zap.Uint64("After", t.after))
	return nil
}

// recordOrigin records where the stream of a request began, so that its caller can take it
// up at any entry.
func (g *Gateway) recordOrigin(ctx context.Context, req balance.Request) {
	g.origins.Record(ctx, origin.Record{
		Key:    origin.Key{Account: req.UpstreamRequest.Account, Attempt: req.UpstreamRequest.AttemptID},
		Origin: origin.Origin{Pool: req.Pool, Software: req.Software},
	})
}
