package demo

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/coltsfootspoke/coltsfootspoke/internal/daemon"
	"github.com/coltsfootspoke/coltsfootspoke/internal/language"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/internal/wire"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
)

// Operator runs statements of the control language against a deployment.
type Operator struct {
	client      *daemon.Client
	dialer      *link.Dialer
	key         string
	lastCommand int
}

// NewOperator returns an operator for the deployment that a layout describes.
func NewOperator(l *Layout) *Operator {
	dialer := link.NewDialer(l.Secret)
	return &Operator{client: daemon.NewClient(dialer, l.Controls), dialer: dialer, key: l.OperatorKey}
}

// Close closes the connections to the control hosts.
func (o *Operator) Close() { _ = o.dialer.Close() }

// Do runs a statement under a new command ID.
func (o *Operator) Do(ctx context.Context, statement string) (language.Answer, error) {
	o.lastCommand++
	return o.Send(ctx, &wire.ExecuteRequest{Statement: statement, CommandId: fmt.Sprintf("demo-%p-%d", o, o.lastCommand)})
}

// Grant grants a key with the given secret to a client account.
func (o *Operator) Grant(ctx context.Context, name, account, secret string) error {
	o.lastCommand++
	_, err := o.Send(ctx, &wire.ExecuteRequest{
		Statement: fmt.Sprintf("grant key %s account %s", name, account),
		CommandId: fmt.Sprintf("demo-%p-%d", o, o.lastCommand), KeyDigest: catalog.Digest(secret),
	})
	return err
}

// Send sends a request with the operator key and decodes its result. The command
// ID and the expected version are the caller's.
func (o *Operator) Send(ctx context.Context, req *wire.ExecuteRequest) (language.Answer, error) {
	req.OperatorKey = o.key
	var a language.Answer
	reply, err := o.client.Execute(ctx, req)
	if err != nil {
		return a, err
	}
	return a, json.Unmarshal(reply.Result, &a)
}
