package control

import (
	"encoding/json"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/ledger"
)

func decodeCommands(raw [][]byte) ([]ledger.Command, error) {
	cmds := make([]ledger.Command, 0, len(raw))
	for _, data := range raw {
		var c ledger.Command
		if err := json.Unmarshal(data, &c); err != nil {
			return nil, rollout.NewError(rollout.KindInvalidInput, "command").WithCause(err)
		}
		cmds = append(cmds, c)
	}
	return cmds, nil
}

// proposeForDaemon commits commands and answers with their results.
func (t *thread) proposeForDaemon(now rollout.Millis, cmds []ledger.Command, done func(*wire.ProposeReply, error)) {
	if !t.inCharge(now) || !t.leading {
		done(nil, t.notLeader())
		return
	}
	for i := range cmds {
		t.judgeOwner(now, &cmds[i])
	}
	t.propose(func(results []ledger.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		reply := &wire.ProposeReply{}
		for _, r := range results {
			reply.Results = append(reply.Results, marshal(t.log, r))
		}
		done(reply, nil)
	}, cmds...)
}

// judgeOwner lets an entry take a step over from one that is gone.
func (t *thread) judgeOwner(now rollout.Millis, c *ledger.Command) {
	if c.OpenStep == nil {
		return
	}
	owner := t.state.Streams.Owner(c.OpenStep.Group, c.OpenStep.Step)
	c.OpenStep.OwnerGone = owner != "" && owner != c.OpenStep.Entry && !t.fleet.Alive(now, owner)
	if c.OpenStep.OwnerGone {
		t.log.Info("StepTakenOver", zap.String("Group", c.OpenStep.Group), zap.String("Step", c.OpenStep.Step),
			zap.String("From", owner), zap.String("To", c.OpenStep.Entry))
	}
}
