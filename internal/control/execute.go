package control

import (
	"encoding/json"
	"fmt"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/language"
	"github.com/coltsfootspoke/coltsfootspoke/internal/show"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/quorum"
)

// execute parses and runs an operator's statement.
func (l *eventLoop) execute(now rollout.Millis, req *wire.ExecuteRequest, done func(*wire.ExecuteReply, error)) {
	if !l.holdsLease(now) || !l.leading {
		done(nil, l.notLeaderError())
		return
	}
	st, err := language.Parse(req.Statement)
	if err != nil {
		done(nil, err)
		return
	}
	if st.Change != nil {
		l.executeChange(now, st.Change, req, done)
		return
	}
	answer, err := l.query(now, st, req)
	l.reply(answer, err, done)
}

func (l *eventLoop) query(now rollout.Millis, st *language.Statement, req *wire.ExecuteRequest) (language.Answer, error) {
	switch {
	case st.Show != nil:
		table, err := show.Table(show.Source{State: l.state, Fleet: l.fleet, Node: l.node}, now, st.Show)
		return language.Answer{Table: table}, err
	case st.Wait != nil:
		behind, complete := l.fleet.Behind(now, st.Wait.Version)
		inForce := complete && len(behind) == 0 && st.Wait.Version <= l.state.Applied
		return language.Answer{Behind: behind, InForce: inForce}, nil
	default:
		return l.explain(st.Explain, req)
	}
}

// explain validates a change and describes it without applying it.
func (l *eventLoop) explain(ch *language.Change, req *wire.ExecuteRequest) (language.Answer, error) {
	cmd, err := language.BuildCommand(ch, req.KeyDigest, l.state)
	if err != nil {
		return language.Answer{}, err
	}
	cmd.Expected = req.Expected
	l.setHasHost(&cmd)
	if err := l.state.Check(cmd); err != nil {
		return language.Answer{}, err
	}
	raw, err := json.Marshal(cmd)
	return language.Answer{Message: fmt.Sprintf("would apply %s", raw)}, err
}

// executeChange proposes a change. If the command ID was applied before, it
// replies with the stored result.
func (l *eventLoop) executeChange(now rollout.Millis, ch *language.Change, req *wire.ExecuteRequest, done func(*wire.ExecuteReply, error)) {
	if req.CommandId == "" {
		done(nil, rollout.NewError(rollout.KindInvalidInput, "a change requires a command ID"))
		return
	}
	if stored, ok := l.state.Answers[req.CommandId]; ok {
		l.replyChange(ch, stored, done)
		return
	}
	if ch.Verb == "remove" && ch.Noun == "member" {
		l.removeMember(now, quorum.MemberID(ch.Name), done)
		return
	}
	cmd, err := language.BuildCommand(ch, req.KeyDigest, l.state)
	if err != nil {
		done(nil, err)
		return
	}
	cmd.ID, cmd.Expected = req.CommandId, req.Expected
	l.setHasHost(&cmd)
	l.propose(func(results []ledger.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		l.log.Info("ConfigurationChanged", zap.String("Verb", ch.Verb), zap.String("Noun", ch.Noun), zap.String("Name", ch.Name),
			zap.Uint64("Version", results[0].Index), zap.String("Error", results[0].Error))
		l.replyChange(ch, results[0], done)
	}, cmd)
}

// setHasHost sets HasHost of a command that begins or ends an evacuation.
func (l *eventLoop) setHasHost(c *ledger.Command) {
	switch {
	case c.Evacuate != nil:
		c.Evacuate.HasHost = l.fleet.HasDomain(c.Evacuate.FailureDomain)
	case c.EndEvacuation != nil:
		c.EndEvacuation.HasHost = l.fleet.HasDomain(c.EndEvacuation.FailureDomain)
	}
}

func (l *eventLoop) replyChange(ch *language.Change, r ledger.Result, done func(*wire.ExecuteReply, error)) {
	if err := r.Err(); err != nil {
		done(nil, err)
		return
	}
	a := language.Answer{Version: r.Index, Message: fmt.Sprintf("%s %s %s", ch.Verb, ch.Noun, ch.Name)}
	if ch.Verb == "grant" {
		if k, err := ledger.Decode[catalog.Key](r); err == nil {
			a.KeyDigest = k.Digest
		}
	}
	l.reply(a, nil, done)
}

func (l *eventLoop) reply(a language.Answer, err error, done func(*wire.ExecuteReply, error)) {
	if err != nil {
		done(nil, err)
		return
	}
	if a.Version == 0 {
		a.Version = l.state.ConfigVersion
	}
	done(&wire.ExecuteReply{Result: marshal(l.log, a)}, nil)
}

// removeMember removes a member whose host is permanently lost.
func (l *eventLoop) removeMember(now rollout.Millis, id quorum.MemberID, done func(*wire.ExecuteReply, error)) {
	if _, ok := l.node.Members().Find(id); !ok {
		done(nil, rollout.NewError(rollout.KindNotFound, "no member %q", id))
		return
	}
	if err := l.node.ProposeMembers(now, l.node.Members().Without(id)); err != nil {
		done(nil, err)
		return
	}
	l.reply(language.Answer{Message: fmt.Sprintf("removing member %s", id)}, nil, done)
}
