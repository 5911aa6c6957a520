package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/balance"
	"github.com/coltsfootspoke/coltsfootspoke/internal/view"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/origin"
)

const (
	// maxUpstreamsAgeMS is the age of the copy of the control state up to which an entry
	// relies on the software versions in it. The leader confirms it more often.
	maxUpstreamsAgeMS rollout.Millis = 1_000
	// latestTimeout bounds a question to the leader of control. It spans many round trips
	// between failure domains.
	latestTimeout = 400 * time.Millisecond
	// originTimeout bounds the wait for the confirmation of where a stream began. The leader
	// of control is replaced within 2 s.
	originTimeout = 3 * time.Second
)

// controlNews returns how recent the copy of the control state is. view.Watcher implements it.
type controlNews interface {
	CopyInfo() view.CopyInfo
	Confirm(ctx context.Context, maxAge rollout.Millis) error
	ConfirmSince(ctx context.Context, since rollout.Millis) error
	Latest(ctx context.Context) (view.State, error)
}

// confirmUpstreams returns an error if this host may be out of step with control. An upstream
// may start again under its ID and address with other software, so an old copy may name the
// wrong version.
func (g *Gateway) confirmUpstreams(ctx context.Context) error {
	return g.news.Confirm(ctx, maxUpstreamsAgeMS)
}

// checkSoftware returns an error unless control still knows the upstream of a response, after
// its head has arrived, as the same incarnation with a software version.
func (g *Gateway) checkSoftware(ctx context.Context, r balance.Response, software string) error {
	if r.Software != software {
		return rollout.NewError(rollout.KindUpstreamFailed, "upstream %s has started again with another software version than %s", r.Upstream, software)
	}
	ctx, cancel := context.WithTimeout(ctx, latestTimeout)
	defer cancel()
	latest, err := g.news.Latest(ctx)
	if err != nil {
		return rollout.NewError(rollout.KindUpstreamFailed, "it is not known whether upstream %s still has the software version %s", r.Upstream, software).WithCause(err)
	}
	if u := latest.Upstreams[r.Upstream]; u.Born != r.Born || u.Software != software {
		return rollout.NewError(rollout.KindUpstreamFailed, "upstream %s has the software version %q since %d, want %q since %d", r.Upstream, u.Software, u.Born, software, r.Born)
	}
	return nil
}

// confirmOrigin records where the stream of a request began. If the copy of the control state is
// old, the record is made once it has been confirmed. The returned channel receives whether the
// upstream had the software version of the response.
func (g *Gateway) confirmOrigin(ctx context.Context, req balance.Request, first balance.Response) <-chan bool {
	began := clock.Boottime{}.Now()
	isRecent := g.news.CopyInfo().IsRecent(maxUpstreamsAgeMS)
	if isRecent {
		g.recordOrigin(ctx, req)
	}
	certain := make(chan bool, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), originTimeout)
		defer cancel()
		err := g.news.ConfirmSince(ctx, began)
		isCertain := err == nil && g.balancer.SoftwareOf(first.Upstream, first.Born) == first.Software
		certain <- isCertain || (err != nil && isRecent)
		switch {
		case isCertain && !isRecent:
			g.recordOrigin(ctx, req)
		case !isCertain && err == nil && isRecent:
			g.opts.Log.Warn("StreamOriginUncertain", zap.String("Request", req.UpstreamRequest.AttemptID), zap.String("Upstream", first.Upstream), zap.String("Software", first.Software))
			g.contradictOrigin(ctx, req)
		}
	}()
	return certain
}

// contradictOrigin makes the record of a stream ambiguous, so that nobody takes the stream up. A
// holder that has only this record names no software version.
func (g *Gateway) contradictOrigin(ctx context.Context, req balance.Request) {
	g.origins.Record(ctx, origin.Record{
		Key:    origin.Key{Account: req.UpstreamRequest.Account, Attempt: req.UpstreamRequest.AttemptID},
		Origin: origin.Origin{Pool: req.Pool},
	})
}

// awaitBegun reports whether the software version of the stream is certain, once that is known.
func (s *stream) awaitBegun(giveUp time.Time) bool {
	if s.begun == nil {
		return true
	}
	timeout := time.NewTimer(time.Until(giveUp))
	defer timeout.Stop()
	select {
	case isCertain := <-s.begun:
		if !isCertain {
			s.request.Software = ""
		}
		s.begun = nil
		return isCertain
	case <-timeout.C:
	case <-s.ctx.Done():
	}
	return false
}
