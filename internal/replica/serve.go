package replica

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
)

// transferGracePeriod is how long a host that shuts down continues to serve after
// it has transferred leadership, so that the next leader has taken over before the
// host stops.
const transferGracePeriod = 1_500 * time.Millisecond

// Service describes what a process serves and runs in addition to its replica.
type Service struct {
	Listener net.Listener
	Secret   string
	// Register registers the calls of the process itself.
	Register func(mux *fabric.Mux)
	// Founders lists the hosts that bootstrap the quorum. It is empty on a host
	// that may only join it.
	Founders Founders
	// KnownHosts returns the addresses of hosts that may know the leader.
	KnownHosts func() []string
	// Background runs alongside the replica until its context ends.
	Background func(ctx context.Context) error
	// BeforeTransfer is called before leadership is transferred. It may be nil.
	BeforeTransfer func(ctx context.Context)
}

// Serve runs the replica and its service until the context ends, then transfers
// leadership and shuts down. A host without a disk never joins the quorum.
func (r *Replica) Serve(ctx context.Context, s Service) error {
	handler, err := r.Handler()
	if err != nil {
		return err
	}
	mux := fabric.NewMux(handler)
	r.Register(mux)
	s.Register(mux)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return r.Run(runCtx) })
	group.Go(func() error { return link.NewServer(s.Listener, s.Secret, mux, r.opts.Log).Serve(runCtx) })
	if r.opts.Dir != "" {
		group.Go(func() error { return r.JoinQuorum(runCtx, r.opts.Client, s.Founders, s.KnownHosts) })
	}
	group.Go(func() error { return s.Background(runCtx) })
	group.Go(func() error {
		defer cancel()
		if !r.waitForShutdown(ctx, runCtx, s.BeforeTransfer) {
			return nil
		}
		r.opts.Log.Info("ShutdownStarted")
		r.prepareAndTransferLeadership(runCtx, s.BeforeTransfer)
		select {
		case <-runCtx.Done():
		case <-time.After(transferGracePeriod):
		}
		return nil
	})
	return group.Wait()
}

// waitForShutdown transfers leadership whenever updateMembership requests it. It
// returns true when ctx ends, which shuts the host down, and false when the
// replica has stopped on its own.
func (r *Replica) waitForShutdown(ctx, runCtx context.Context, beforeTransfer func(context.Context)) bool {
	for {
		select {
		case <-runCtx.Done():
			return false
		case <-ctx.Done():
			return true
		case <-r.transferRequests:
			r.prepareAndTransferLeadership(runCtx, beforeTransfer)
		}
	}
}

// prepareAndTransferLeadership calls beforeTransfer, if it is set, and then
// transfers leadership.
func (r *Replica) prepareAndTransferLeadership(ctx context.Context, beforeTransfer func(context.Context)) {
	if beforeTransfer != nil {
		beforeTransfer(ctx)
	}
	r.TransferLeadership(ctx)
}
