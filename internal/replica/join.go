package replica

import (
	"context"
	"slices"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/peer"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

const (
	methodHello = "Replica.Hello"
	// helloInterval is the time between hellos of a host that is not a voter;
	// voters use memberHelloInterval.
	helloInterval       = 150 * time.Millisecond
	memberHelloInterval = 2 * time.Second
	helloTimeout        = 700 * time.Millisecond
)

type hello struct {
	Member        quorum.MemberID
	Address       string
	FailureDomain string
}

type helloReply struct {
	Member quorum.MemberID
	// Blank is true if the host belongs to no quorum yet.
	Blank bool
	// Leader is the address of the known leader, or empty.
	Leader string
}

// Founders lists the addresses of the hosts that bootstrap a new quorum. It is
// empty on a host that may only join an existing one.
type Founders []string

// controlServer receives quorum messages from other members.
type controlServer struct {
	*wire.DRPCControlUnimplementedServer
	replica *Replica
}

// Deliver implements wire.DRPCControlServer.
func (s controlServer) Deliver(_ context.Context, req *wire.PeerMessages) (*wire.Empty, error) {
	ms := make([]quorum.Message, 0, len(req.Messages))
	for _, w := range req.Messages {
		m, err := peer.FromWire(w)
		if err != nil {
			return nil, rollout.NewError(rollout.KindInvalidInput, "malformed quorum message from %s", req.Address).WithCause(err)
		}
		ms = append(ms, m)
	}
	s.replica.Deliver(req.Address, ms)
	return &wire.Empty{}, nil
}

// Handler returns the DRPC handler for messages from other members.
func (r *Replica) Handler() (drpc.Handler, error) {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, controlServer{replica: r}); err != nil {
		return nil, rollout.NewError(rollout.KindInternal, "register control service").WithCause(err)
	}
	return mux, nil
}

// Register registers the calls for joining hosts and for snapshot transfer.
func (r *Replica) Register(mux *fabric.Mux) {
	fabric.Handle(mux, methodHello, func(_ context.Context, h hello) (helloReply, error) {
		r.AddJoinCandidate(quorum.Member{ID: h.Member, Address: h.Address}, h.FailureDomain)
		s := r.Status()
		return helloReply{Member: s.Member, Blank: s.Blank(), Leader: s.Leader.Address}, nil
	})
	fabric.Handle(mux, methodSnapshotPiece, r.readPiece)
}

// JoinQuorum sends hellos to other hosts until the context ends, so that the
// leader adds this host to the quorum, or keeps it if it is a voter. If all
// founders are blank, the founder with the lowest address bootstraps the quorum.
func (r *Replica) JoinQuorum(ctx context.Context, client *fabric.Client, founders Founders, knownHosts func() []string) error {
	self := quorum.Member{ID: r.Status().Member, Address: r.opts.Address}
	r.AddJoinCandidate(self, r.opts.FailureDomain)
	leader := ""
	for ctx.Err() == nil {
		s := r.Status()
		interval := helloInterval
		if s.Members.IsVoter(self.ID) {
			interval = memberHelloInterval
			r.AddJoinCandidate(self, r.opts.FailureDomain)
		}
		targets := r.helloTargets(s, leader, founders, knownHosts)
		replies := r.sendHellos(ctx, client, targets)
		leader = ""
		for _, reply := range replies {
			if reply.Leader != "" {
				leader = reply.Leader
			}
		}
		if s.Blank() && len(founders) > 0 && slices.Min(founders) == r.opts.Address {
			r.bootstrapIfAllBlank(self, founders, replies)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
	return nil
}

// helloTargets returns the address of the leader if it is known, and otherwise
// the addresses of all hosts that may know it.
func (r *Replica) helloTargets(s Status, leader string, founders Founders, knownHosts func() []string) []string {
	if s.Leader.Address != "" {
		leader = s.Leader.Address
	}
	if leader != "" {
		return removeAddress([]string{leader}, r.opts.Address)
	}
	targets := slices.Concat(founders, knownHosts())
	for _, m := range s.Members.Voters {
		targets = append(targets, m.Address)
	}
	slices.Sort(targets)
	return removeAddress(slices.Compact(targets), r.opts.Address)
}

// sendHellos calls all targets concurrently and returns the replies by address.
// Targets that fail or do not answer within helloTimeout are left out.
func (r *Replica) sendHellos(ctx context.Context, client *fabric.Client, targets []string) map[string]helloReply {
	type result struct {
		address string
		reply   helloReply
		err     error
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	results := make(chan result, len(targets))
	h := hello{Member: r.Status().Member, Address: r.opts.Address, FailureDomain: r.opts.FailureDomain}
	for _, address := range targets {
		go func() {
			res := result{address: address}
			res.err = client.Call(ctx, address, methodHello, h, &res.reply)
			results <- res
		}()
	}
	replies := make(map[string]helloReply)
	for range targets {
		if res := <-results; res.err == nil {
			replies[res.address] = res.reply
		}
	}
	return replies
}

// bootstrapIfAllBlank bootstraps the quorum if every other founder has replied
// and is blank.
func (r *Replica) bootstrapIfAllBlank(self quorum.Member, founders Founders, replies map[string]helloReply) {
	members := quorum.Members{Voters: []quorum.Member{self}}
	for _, address := range founders {
		if address == self.Address {
			continue
		}
		reply, ok := replies[address]
		if !ok || !reply.Blank {
			return
		}
		members.Voters = append(members.Voters, quorum.Member{ID: reply.Member, Address: address})
	}
	r.Bootstrap(members)
}

func removeAddress(addresses []string, address string) []string {
	return slices.DeleteFunc(addresses, func(a string) bool { return a == address })
}
