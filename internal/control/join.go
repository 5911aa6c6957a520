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
	// joinCandidateTimeoutMS is how long a join candidate is kept after its last
	// Hello call.
	joinCandidateTimeoutMS = 3_000
)

// joinCandidate is a host with an empty log that asks to become a member.
type joinCandidate struct {
	address string
	seenMS  rollout.Millis
}

// bootstrapper calls Hello on the other control hosts while the local log is
// empty. A new quorum is created only if the logs of all configured hosts are
// empty, and only by the host with the lowest address. A host that lost its disk
// finds hosts whose logs are not empty and joins them under its new ID.
type bootstrapper struct {
	cfg    settings.Control
	member quorum.MemberID
	dialer *link.Dialer
	log    *zap.Logger
}

// run returns the members of a new quorum and true if this host has to create it.
// It returns false if the context ends or the local log is no longer empty.
func (b *bootstrapper) run(ctx context.Context, hasEmptyLog func() bool) (quorum.Members, bool) {
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	for hasEmptyLog() {
		members, allEmpty := b.probeHosts(ctx)
		if allEmpty && b.hasLowestAddress() {
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

func (b *bootstrapper) hasLowestAddress() bool { return slices.Min(b.cfg.Control) == b.cfg.Address }

// probeHosts calls Hello on the other configured hosts. It returns this host and
// those with an empty log as voters, and whether all hosts answered and have an
// empty log.
func (b *bootstrapper) probeHosts(ctx context.Context) (quorum.Members, bool) {
	members := quorum.Members{Voters: []quorum.Member{{ID: b.member, Address: b.cfg.Address}}}
	allEmpty := true
	for _, address := range b.cfg.Control {
		if address == b.cfg.Address {
			continue
		}
		reply, err := b.hello(ctx, address)
		if err != nil || !reply.Blank {
			allEmpty = false
			continue
		}
		members.Voters = append(members.Voters, quorum.Member{ID: quorum.MemberID(reply.Member), Address: address})
	}
	return members, allEmpty
}

func (b *bootstrapper) hello(ctx context.Context, address string) (*wire.HelloReply, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	client := wire.NewDRPCControlClient(b.dialer.Conn(ctx, address))
	return client.Hello(ctx, &wire.HelloRequest{Member: string(b.member), Address: b.cfg.Address, Blank: true})
}

// saveBootstrapState stores the first log entry of a new quorum.
func saveBootstrapState(store *disk.Store, members quorum.Members) (quorum.SavedState, error) {
	saved := quorum.Bootstrap(members)
	return saved, store.Append(&saved.HardState, saved.Entries)
}

// recordJoinCandidate records a host with an empty log that called Hello on the
// leader. Addresses outside the configuration are refused.
func (l *eventLoop) recordJoinCandidate(now rollout.Millis, id quorum.MemberID, address string) {
	if !slices.Contains(l.cfg.Control, address) {
		l.log.Warn("JoinRefused", zap.String("Member", string(id)), zap.String("Address", address))
		return
	}
	l.joinCandidates[id] = joinCandidate{address: address, seenMS: now}
}

// advanceMemberReplacement takes the next step for a host that restarted with an
// empty disk: the host becomes a learner and catches up, then the old member at
// its address is removed, and only then the learner becomes a voter.
func (l *eventLoop) advanceMemberReplacement(now rollout.Millis) {
	for _, learner := range l.node.Members().Learners {
		if l.node.CaughtUp(learner.ID) {
			l.promoteLearner(now, learner)
			return
		}
	}
	for id, candidate := range l.joinCandidates {
		if now-candidate.seenMS > joinCandidateTimeoutMS {
			delete(l.joinCandidates, id)
			continue
		}
		if _, ok := l.node.Members().Find(id); !ok {
			l.proposeMembers(now, "LearnerAdded", id, l.node.Members().WithLearner(quorum.Member{ID: id, Address: candidate.address}))
			return
		}
	}
}

// promoteLearner makes a learner a voter, or first removes the voter that has the
// same address.
func (l *eventLoop) promoteLearner(now rollout.Millis, learner quorum.Member) {
	members := l.node.Members()
	for _, v := range members.Voters {
		if v.Address == learner.Address {
			l.proposeMembers(now, "MemberRemoved", v.ID, members.Without(v.ID))
			return
		}
	}
	l.proposeMembers(now, "MemberPromoted", learner.ID, members.WithVoter(learner))
}

func (l *eventLoop) proposeMembers(now rollout.Millis, event string, id quorum.MemberID, m quorum.Members) {
	if err := l.node.ProposeMembers(now, m); err != nil {
		l.log.Debug("MembershipChangeDeferred", zap.Error(err))
		return
	}
	l.peers.SetAddresses(m)
	l.log.Info(event, zap.String("Member", string(id)), zap.Int("Voters", len(m.Voters)), zap.Int("Learners", len(m.Learners)))
}
