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
	// helloInterval is the time between greetings of a host that is to become
	// a member, memberHelloInterval that of a voter.
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
	Blank  bool
	// Leader is the address of the known leader, or empty.
	Leader string
}

// Founders tells which hosts begin a new quorum. It is empty on a host that
// may only join one.
type Founders []string

// delivery takes quorum messages from other members.
type delivery struct {
	*wire.DRPCControlUnimplementedServer
	replica *Replica
}

// Deliver implements the service.
func (d delivery) Deliver(_ context.Context, req *wire.PeerMessages) (*wire.Empty, error) {
	ms := make([]quorum.Message, 0, len(req.Messages))
	for _, w := range req.Messages {
		m, err := peer.FromWire(w)
		if err != nil {
			return nil, rollout.NewError(rollout.KindInvalidInput, "message of a member").WithCause(err)
		}
		ms = append(ms, m)
	}
	d.replica.Deliver(req.Address, ms)
	return &wire.Empty{}, nil
}

// Handler answers the messages of other members.
func (r *Replica) Handler() (drpc.Handler, error) {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, delivery{replica: r}); err != nil {
		return nil, rollout.NewError(rollout.KindInternal, "register the members' service").WithCause(err)
	}
	return mux, nil
}

// Register adds what hosts that want to join ask for.
func (r *Replica) Register(mux *fabric.Mux) {
	fabric.Handle(mux, methodHello, func(_ context.Context, h hello) (helloReply, error) {
		r.Join(quorum.Member{ID: h.Member, Address: h.Address}, h.FailureDomain)
		s := r.Status()
		return helloReply{Member: s.Member, Blank: s.Blank(), Leader: s.Leader.Address}, nil
	})
	fabric.Handle(mux, methodPiece, r.pieceOf)
}

// Introduce greets other members until the context ends, so that the leader
// takes this host in. Among founders that are all blank, the one with the
// lowest address begins the quorum.
func (r *Replica) Introduce(ctx context.Context, client *fabric.Client, founding Founders, known func() []string) error {
	self := quorum.Member{ID: r.Status().Member, Address: r.opts.Address}
	r.Join(self, r.opts.FailureDomain)
	leader := ""
	for ctx.Err() == nil {
		s := r.Status()
		interval := helloInterval
		if s.Members.IsVoter(self.ID) {
			interval = memberHelloInterval
			r.Join(self, r.opts.FailureDomain)
		}
		targets := r.greetingTargets(s, leader, founding, known)
		replies := r.greet(ctx, client, targets)
		leader = ""
		for _, reply := range replies {
			if reply.Leader != "" {
				leader = reply.Leader
			}
		}
		if s.Blank() && len(founding) > 0 && slices.Min(founding) == r.opts.Address {
			r.foundIfAllBlank(self, founding, replies)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
	return nil
}

// greetingTargets returns the leader when it is known, or else all that may
// know it.
func (r *Replica) greetingTargets(s Status, leader string, founding Founders, known func() []string) []string {
	if s.Leader.Address != "" {
		leader = s.Leader.Address
	}
	if leader != "" {
		return without([]string{leader}, r.opts.Address)
	}
	targets := slices.Concat(founding, known())
	for _, m := range s.Members.Voters {
		targets = append(targets, m.Address)
	}
	slices.Sort(targets)
	return without(slices.Compact(targets), r.opts.Address)
}

// greet says hello to all targets at once and returns the replies by address.
func (r *Replica) greet(ctx context.Context, client *fabric.Client, targets []string) map[string]helloReply {
	type answer struct {
		address string
		reply   helloReply
		err     error
	}
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	answers := make(chan answer, len(targets))
	h := hello{Member: r.Status().Member, Address: r.opts.Address, FailureDomain: r.opts.FailureDomain}
	for _, address := range targets {
		go func() {
			a := answer{address: address}
			a.err = client.Call(ctx, address, methodHello, h, &a.reply)
			answers <- a
		}()
	}
	replies := make(map[string]helloReply)
	for range targets {
		if a := <-answers; a.err == nil {
			replies[a.address] = a.reply
		}
	}
	return replies
}

func (r *Replica) foundIfAllBlank(self quorum.Member, founding Founders, replies map[string]helloReply) {
	members := quorum.Members{Voters: []quorum.Member{self}}
	for _, address := range founding {
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

func without(addresses []string, address string) []string {
	return slices.DeleteFunc(addresses, func(a string) bool { return a == address })
}
