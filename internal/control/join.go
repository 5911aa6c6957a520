package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/disk"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/settings"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

const (
	helloInterval = 200 * time.Millisecond
	helloTimeout  = time.Second
	// joinerExpiryMS is how long a blank host counts after its last hello.
	joinerExpiryMS = 3_000
)

// joiner is a host with a blank data folder that wants to become a member.
type joiner struct {
	address string
	seenMS  rollout.Millis
}

// greeter says hello to the other control hosts while the own data folder is
// blank. Only when all configured hosts are blank does the one with the
// lowest address begin a new quorum; a host that lost its disk finds others
// that are not blank, and joins them under its new ID.
type greeter struct {
	cfg    settings.Control
	member quorum.MemberID
	dialer *link.Dialer
	log    *zap.Logger
}

// run returns the members of a new quorum, or nothing when the context ends
// or the host is no longer blank.
func (g *greeter) run(ctx context.Context, blank func() bool) (quorum.Members, bool) {
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	for blank() {
		members, allBlank := g.round(ctx)
		if allBlank && g.isLowest() {
			return members, true
		}
		select {
		case <-ctx.Done():
			return quorum.Members{}, false
		case <-ticker.C:
		}
	}
	return quorum.Members{}, false
}

func (g *greeter) isLowest() bool { return slices.Min(g.cfg.Control) == g.cfg.Address }

// round says hello to each host and returns all as members. The second result
// tells whether each answered that it is blank.
func (g *greeter) round(ctx context.Context) (quorum.Members, bool) {
	members := quorum.Members{Voters: []quorum.Member{{ID: g.member, Address: g.cfg.Address}}}
	allBlank := true
	for _, address := range g.cfg.Control {
		if address == g.cfg.Address {
			continue
		}
		reply, err := g.hello(ctx, address)
		if err != nil || !reply.Blank {
			allBlank = false
			continue
		}
		members.Voters = append(members.Voters, quorum.Member{ID: quorum.MemberID(reply.Member), Address: address})
	}
	return members, allBlank
}

func (g *greeter) hello(ctx context.Context, address string) (*wire.HelloReply, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	client := wire.NewDRPCControlClient(g.dialer.Conn(ctx, address))
	return client.Hello(ctx, &wire.HelloRequest{Member: string(g.member), Address: g.cfg.Address, Blank: true})
}

// bootstrap stores the first entry of a new quorum.
func bootstrap(store *disk.Store, members quorum.Members) (quorum.SavedState, error) {
	saved := quorum.Bootstrap(members)
	return saved, store.Append(&saved.HardState, saved.Entries)
}

// noteJoiner remembers a blank host that said hello to the leader.
func (t *thread) noteJoiner(now rollout.Millis, id quorum.MemberID, address string) {
	if !slices.Contains(t.cfg.Control, address) {
		t.log.Warn("JoinRefused", zap.String("Member", string(id)), zap.String("Address", address))
		return
	}
	t.joiners[id] = joiner{address: address, seenMS: now}
}

// replaceMembers takes the next step for a host that came back with a blank
// disk: it becomes a learner, catches up, the old member of its address is
// removed, and only then it votes.
func (t *thread) replaceMembers(now rollout.Millis) {
	for _, l := range t.node.Members().Learners {
		if t.node.CaughtUp(l.ID) {
			t.promote(now, l)
			return
		}
	}
	for id, j := range t.joiners {
		if now-j.seenMS > joinerExpiryMS {
			delete(t.joiners, id)
			continue
		}
		if _, ok := t.node.Members().Find(id); !ok {
			t.changeMembers(now, "LearnerAdded", id, t.node.Members().WithLearner(quorum.Member{ID: id, Address: j.address}))
			return
		}
	}
}

func (t *thread) promote(now rollout.Millis, l quorum.Member) {
	members := t.node.Members()
	for _, v := range members.Voters {
		if v.Address == l.Address {
			t.changeMembers(now, "MemberRemoved", v.ID, members.Without(v.ID))
			return
		}
	}
	t.changeMembers(now, "MemberPromoted", l.ID, members.WithVoter(l))
}

func (t *thread) changeMembers(now rollout.Millis, event string, id quorum.MemberID, m quorum.Members) {
	if err := t.node.ProposeMembers(now, m); err != nil {
		t.log.Debug("MemberChangeWaits", zap.Error(err))
		return
	}
	t.peers.LearnAll(m)
	t.log.Info(event, zap.String("Member", string(id)), zap.Int("Voters", len(m.Voters)), zap.Int("Learners", len(m.Learners)))
}
