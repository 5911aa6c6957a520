package replica

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
)

// transferWait is how long a leaving host serves on after it has given the
// lead away, so that the next leader is in charge before it goes.
const transferWait = 1_500 * time.Millisecond

// Service is a replica with what its process does beside it.
type Service struct {
	Listener net.Listener
	Secret   string
	// Register adds the calls that the process answers.
	Register func(mux *fabric.Mux)
	// Founders names the hosts that begin the quorum. Empty on a host that may
	// only join it.
	Founders Founders
	// KnownHosts returns addresses of hosts that may know the leader.
	KnownHosts func() []string
	// Background runs until its context ends.
	Background func(ctx context.Context) error
	// BeforeTransfer is called before the lead is given away. It may be nil.
	BeforeTransfer func(ctx context.Context)
}

// Serve runs a service until the context ends. Then it gives the lead away. A
// host without a disk never joins the quorum.
func (r *Replica) Serve(ctx context.Context, s Service) error {
	inner, err := r.Handler()
	if err != nil {
		return err
	}
	mux := fabric.NewMux(inner)
	r.Register(mux)
	s.Register(mux)
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	group, run := errgroup.WithContext(run)
	group.Go(func() error { return r.Run(run) })
	group.Go(func() error { return link.NewServer(s.Listener, s.Secret, mux, r.opts.Log).Serve(run) })
	if r.opts.Dir != "" {
		group.Go(func() error { return r.Introduce(run, r.opts.Client, s.Founders, s.KnownHosts) })
	}
	group.Go(func() error { return s.Background(run) })
	group.Go(func() error {
		defer cancel()
		if !r.stay(ctx, run, s.BeforeTransfer) {
			return nil
		}
		r.opts.Log.Info("Leaving")
		r.giveLead(run, s.BeforeTransfer)
		select {
		case <-run.Done():
		case <-time.After(transferWait):
		}
		return nil
	})
	return group.Wait()
}

// stay gives the lead away whenever the roster asks for it. It returns true
// when the host is to leave and false when the replica has ended.
func (r *Replica) stay(ctx, run context.Context, leave func(context.Context)) bool {
	for {
		select {
		case <-run.Done():
			return false
		case <-ctx.Done():
			return true
		case <-r.leave:
			r.giveLead(run, leave)
		}
	}
}

func (r *Replica) giveLead(ctx context.Context, leave func(context.Context)) {
	if leave != nil {
		leave(ctx)
	}
	r.Transfer()
}
