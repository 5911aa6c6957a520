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
			return nil, rollout.NewError(rollout.KindInvalidInput, "malformed command").WithCause(err)
		}
		cmds = append(cmds, c)
	}
	return cmds, nil
}

// proposeForDaemon proposes the commands of a daemon and replies with their
// results.
func (l *eventLoop) proposeForDaemon(now rollout.Millis, cmds []ledger.Command, done func(*wire.ProposeReply, error)) {
	if !l.holdsLease(now) || !l.leading {
		done(nil, l.notLeaderError())
		return
	}
	for i := range cmds {
		l.setOwnerGone(now, &cmds[i])
	}
	l.propose(func(results []ledger.Result, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		reply := &wire.ProposeReply{}
		for _, r := range results {
			reply.Results = append(reply.Results, marshal(l.log, r))
		}
		done(reply, nil)
	}, cmds...)
}

// setOwnerGone sets OwnerGone on an OpenStep command if the step belongs to another
// entry daemon whose process is no longer alive. The sender then takes over the step. A
// process that has started again under the name of the owner knows nothing of the step.
func (l *eventLoop) setOwnerGone(now rollout.Millis, c *ledger.Command) {
	if c.OpenStep == nil {
		return
	}
	owner, incarnation := l.state.Streams.StepOwner(c.OpenStep.Group, c.OpenStep.Step)
	c.OpenStep.OwnerGone = owner != "" && owner != c.OpenStep.Entry && !l.fleet.IncarnationAlive(now, owner, incarnation)
	if c.OpenStep.OwnerGone {
		l.log.Info("StepTakenOver", zap.String("Group", c.OpenStep.Group), zap.String("Step", c.OpenStep.Step),
			zap.String("From", owner), zap.String("To", c.OpenStep.Entry))
	}
}
