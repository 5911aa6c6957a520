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

// execute runs an operator's statement.
func (t *thread) execute(now rollout.Millis, req *wire.ExecuteRequest, done func(*wire.ExecuteReply, error)) {
	if !t.inCharge(now) || !t.leading {
		done(nil, t.notLeader())
		return
	}
	st, err := language.Parse(req.Statement)
	if err != nil {
		done(nil, err)
		return
	}
	if st.Change != nil {
		t.executeChange(now, st.Change, req, done)
		return
	}
	answer, err := t.query(now, st, req)
	t.finish(answer, err, done)
}

func (t *thread) query(now rollout.Millis, st *language.Statement, req *wire.ExecuteRequest) (language.Answer, error) {
	switch {
	case st.Show != nil:
		table, err := show.Table(show.Source{State: t.state, Fleet: t.fleet, Node: t.node}, now, st.Show)
		return language.Answer{Table: table}, err
	case st.Wait != nil:
		behind, complete := t.fleet.Behind(now, st.Wait.Version)
		inForce := complete && len(behind) == 0 && st.Wait.Version <= t.state.Applied
		return language.Answer{Behind: behind, InForce: inForce}, nil
	default:
		return t.explain(st.Explain, req)
	}
}

// explain says what a change would do and changes nothing.
func (t *thread) explain(ch *language.Change, req *wire.ExecuteRequest) (language.Answer, error) {
	cmd, err := language.Build(ch, req.KeyDigest, t.state)
	if err != nil {
		return language.Answer{}, err
	}
	cmd.Expected = req.Expected
	if err := t.state.Check(cmd); err != nil {
		return language.Answer{}, err
	}
	raw, err := json.Marshal(cmd)
	return language.Answer{Message: fmt.Sprintf("would apply %s", raw)}, err
}

// executeChange commits a change. A command ID that was seen gets its first
// answer.
func (t *thread) executeChange(now rollout.Millis, ch *language.Change, req *wire.ExecuteRequest, done func(*wire.ExecuteReply, error)) {
	if req.CommandId == "" {
		done(nil, rollout.NewError(rollout.KindInvalidInput, "a change needs a command ID"))
		return
	}
	if first, ok := t.state.Answers[req.CommandId]; ok {
		t.finishChange(ch, first, done)
		return
	}
	if ch.Verb == "remove" && ch.Noun == "member" {
		t.removeMember(now, quorum.MemberID(ch.Name), done)
		return
	}
	cmd, err := language.Build(ch, req.KeyDigest, t.state)
	if err != nil {
		done(nil, err)
		return
	}
	cmd.ID, cmd.Expected = req.CommandId, req.Expected
	t.propose(func(results []ledger.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		t.log.Info("ConfigurationChanged", zap.String("Verb", ch.Verb), zap.String("Noun", ch.Noun), zap.String("Name", ch.Name),
			zap.Uint64("Version", results[0].Index), zap.String("Error", results[0].Error))
		t.finishChange(ch, results[0], done)
	}, cmd)
}

func (t *thread) finishChange(ch *language.Change, r ledger.Result, done func(*wire.ExecuteReply, error)) {
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
	t.finish(a, nil, done)
}

func (t *thread) finish(a language.Answer, err error, done func(*wire.ExecuteReply, error)) {
	if err != nil {
		done(nil, err)
		return
	}
	if a.Version == 0 {
		a.Version = t.state.ConfigVersion
	}
	done(&wire.ExecuteReply{Result: marshal(t.log, a)}, nil)
}

// removeMember takes a voter out, for a host that will not come back.
func (t *thread) removeMember(now rollout.Millis, id quorum.MemberID, done func(*wire.ExecuteReply, error)) {
	if _, ok := t.node.Members().Find(id); !ok {
		done(nil, rollout.NewError(rollout.KindNotFound, "no member %q", id))
		return
	}
	if err := t.node.ProposeMembers(now, t.node.Members().Without(id)); err != nil {
		done(nil, err)
		return
	}
	t.finish(language.Answer{Message: fmt.Sprintf("removing member %s", id)}, nil, done)
}
