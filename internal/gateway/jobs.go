package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/jobstore"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/job"
)

const (
	// storeTimeout bounds the search for the leader and the call, without the
	// time that a read may wait; a lost leader is replaced within two seconds.
	storeTimeout = 3 * time.Second
	// storeCallTimeout bounds one call to one host.
	storeCallTimeout = 900 * time.Millisecond
	// leaderPause is the time between two tries to find the leader.
	leaderPause = 60 * time.Millisecond
)

// Submit hands a job to the job store. KindOutcomeUnknown means that it may
// have been taken.
func (g *Gateway) Submit(ctx context.Context, spec job.Spec) error {
	err := callStore(ctx, g, "", jobstore.MethodSubmit, 0, spec, &jobstore.Empty{})
	g.opts.Log.Info("JobHandedOn", zap.String("Job", spec.ID), zap.String("Account", spec.Account), zap.Int("Items", len(spec.Items)), zap.Error(err))
	return err
}

// Read returns results of a job.
func (g *Gateway) Read(ctx context.Context, req jobstore.ReadRequest) (jobstore.Page, error) {
	var page jobstore.Page
	err := callStore(ctx, g, g.nearStore(), jobstore.MethodRead, req.WaitMS, req, &page)
	return page, err
}

// Body returns the body of an item.
func (g *Gateway) Body(ctx context.Context, req jobstore.BodyRequest) ([]byte, error) {
	var body jobstore.Body
	err := callStore(ctx, g, g.nearStore(), jobstore.MethodBody, 0, req, &body)
	return body.Bytes, err
}

// End ends a job.
func (g *Gateway) End(ctx context.Context, req jobstore.EndRequest) error {
	return callStore(ctx, g, "", jobstore.MethodEnd, 0, req, &jobstore.Empty{})
}

// Account returns the client account of a key.
func (g *Gateway) Account(key string) (string, error) {
	x := g.watcher.Copy().Index
	if x == nil {
		return "", rollout.NewError(rollout.KindNoAuthority, "no configuration is known yet").WithNotRun()
	}
	if len(x.Document.Accounts) == 0 {
		return "", nil
	}
	account, ok := x.Account(key)
	if !ok {
		return "", rollout.NewError(rollout.KindUnauthenticated, "the key is not known").WithNotRun()
	}
	return account.Name, nil
}

// callStore calls the leader of the job store, and follows it when it has
// changed. All calls may be repeated; the error tells whether one of them may
// have been carried out.
// The first host to try may be named.
func callStore(ctx context.Context, g *Gateway, first, method string, waitMS rollout.Millis, in, out any) error {
	wait := time.Duration(waitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+wait)
	defer cancel()
	hint, sent := first, false
	failed := make(map[string]bool)
	var last *rollout.Error
	for try := 0; ; try++ {
		address := g.storeAddress(hint, try, failed)
		hint = ""
		callCtx, cancelCall := context.WithTimeout(ctx, storeCallTimeout+wait)
		err := g.client.Call(callCtx, address, method, in, out)
		cancelCall()
		g.metrics.jobCalls.WithLabelValues(method, outcome(err)).Inc()
		if err == nil {
			return nil
		}
		last = rollout.AsError(err)
		switch last.Kind {
		case rollout.KindNotFound, rollout.KindConflict:
			return last
		case rollout.KindNotLeader:
			if next := strings.TrimPrefix(last.Message, "leader is "); next != "" && next != address && !failed[next] {
				hint = next
				continue
			}
		default:
			failed[address] = true
			sent = sent || !last.NotRun
		}
		select {
		case <-ctx.Done():
			if sent {
				return rollout.NewError(rollout.KindOutcomeUnknown, "%s", method).WithCause(last)
			}
			return rollout.NewError(rollout.KindUnavailable, "no host of the job store is in charge").WithCause(last).WithNotRun()
		case <-time.After(leaderPause):
		}
	}
}

// nearStore returns a member of the job store in the own failure domain, or
// an empty string.
func (g *Gateway) nearStore() string {
	f := g.watcher.Copy().Facts
	for _, address := range f.Stores {
		if f.StoreDomains[address] == g.opts.FailureDomain {
			return address
		}
	}
	return ""
}

// storeAddress returns the hinted leader, the one that control knows, or the
// members in turn. Hosts that have failed come last.
func (g *Gateway) storeAddress(hint string, try int, failed map[string]bool) string {
	if hint != "" {
		return hint
	}
	f := g.watcher.Copy().Facts
	if f.StoreLeader != "" && try%2 == 0 && !failed[f.StoreLeader] {
		return f.StoreLeader
	}
	addresses := slices.Clone(f.Stores)
	for _, m := range f.Founders {
		if !slices.Contains(addresses, m.Address) {
			addresses = append(addresses, m.Address)
		}
	}
	if sound := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return failed[a] }); len(sound) > 0 {
		addresses = sound
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[try%len(addresses)]
}
