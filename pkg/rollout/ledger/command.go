// Package ledger is the state machine of the replicated log. It applies commands
// to the catalog, the claims, the sample streams, the usage state and the orders.
// It is deterministic: it reads no clock, because each command carries its time.
package ledger

import (
	"encoding/json"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/capacity"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/catalog"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/claim"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/stream"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/usage"
)

// Command is one change of the state. Exactly one of the pointers is set.
type Command struct {
	// ID makes an operator's command idempotent. It is empty for commands of the
	// daemons, whose content makes them idempotent.
	ID string `json:",omitempty"`
	// AtMS is the leader's time at which the command was proposed.
	AtMS rollout.Millis
	// Expected is the configuration version on which the command is based. Zero
	// means any version.
	Expected uint64 `json:",omitempty"`

	PutAccount   *catalog.Account `json:",omitempty"`
	GrantKey     *catalog.Key     `json:",omitempty"`
	WithdrawKey  *WithdrawKey     `json:",omitempty"`
	PutGroup     *PutGroup        `json:",omitempty"`
	PutRoute     *catalog.Route   `json:",omitempty"`
	PutTarget    *catalog.Target  `json:",omitempty"`
	Drop         *Drop            `json:",omitempty"`
	DrainRequest *Drain           `json:",omitempty"`

	Evacuate      *Evacuate      `json:",omitempty"`
	EndEvacuation *EndEvacuation `json:",omitempty"`

	PublishWeights *PublishWeights   `json:",omitempty"`
	PutUpstream    *catalog.Upstream `json:",omitempty"`
	LoseUpstream   *LoseUpstream     `json:",omitempty"`
	Crash          *Crash            `json:",omitempty"`
	CheckPoison    *CheckPoison      `json:",omitempty"`
	Acquit         *ClearSuspect     `json:",omitempty"`

	TakeClaim *claim.Take `json:",omitempty"`
	VoidClaim *claim.Void `json:",omitempty"`
	FindClaim *claim.Find `json:",omitempty"`

	OpenStep     *stream.OpenStep     `json:",omitempty"`
	CommitSample *stream.CommitSample `json:",omitempty"`
	Handover     *stream.Handover     `json:",omitempty"`
	LoseSample   *stream.LoseSample   `json:",omitempty"`

	AddUsage       *usage.Report      `json:",omitempty"`
	CloseWindow    *usage.CloseWindow `json:",omitempty"`
	WindowReported *WindowReported    `json:",omitempty"`

	PlanOrder  *rollout.Order `json:",omitempty"`
	OrderState *OrderState    `json:",omitempty"`
}

// WithdrawKey withdraws a key by its ID.
type WithdrawKey struct{ ID string }

// PutGroup creates or updates a trainer group. It does not change the published
// weight version.
type PutGroup struct {
	Name           string
	Account        string
	Pool           string
	StalenessBound uint64
}

// Drop removes an entity of the configuration.
type Drop struct {
	Kind catalog.EntityKind
	Name string
}

// Drain marks an upstream as leaving, so that it gets no new requests.
type Drain struct{ Upstream string }

// Evacuate orders that the upstreams of a failure domain get no new requests. It
// has no effect if the order is in force.
type Evacuate struct {
	FailureDomain string
	// HasHost is set by the leader if a host is in the failure domain. The ledger
	// knows only the upstreams.
	HasHost bool `json:",omitempty"`
}

// EndEvacuation withdraws the order to evacuate a failure domain. It has no effect
// if the domain is not evacuated.
type EndEvacuation struct {
	FailureDomain string
	// HasHost is as in Evacuate.
	HasHost bool `json:",omitempty"`
}

// PublishWeights publishes a weight version of a trainer group.
type PublishWeights struct {
	Group   string
	Version uint64
}

// LoseUpstream removes an upstream whose agent run was lost.
type LoseUpstream struct {
	ID string
	// Incarnation identifies the lost agent run. The command has no effect if the
	// upstream has registered in another run.
	Incarnation string
}

// Crash reports the requests that were running on an upstream when it crashed.
type Crash struct {
	// ID is the same in all reports of one crash.
	ID           string
	Upstream     string
	Fingerprints []string
	// Suspects lists those of Fingerprints that the entry already knew as
	// suspects when it sent them.
	Suspects []string `json:",omitempty"`
}

// ClearSuspect clears a suspect request that has run to completion.
type ClearSuspect struct{ Fingerprint string }

// CheckPoison queries the recorded crashes of a request. It changes nothing; it
// goes through the log so that the answer is up to date.
type CheckPoison struct{ Fingerprint string }

// WindowReported records that the platform has accepted a usage window.
type WindowReported struct{ Number uint64 }

// OrderState sets the state of an order.
type OrderState struct {
	ID    string
	State capacity.OrderState
}

// Result is the result of a command.
type Result struct {
	// Index is the index of the log entry with the command.
	Index uint64
	// Error is the text of a rollout.Error. It is empty if the command succeeded.
	Error string `json:",omitempty"`
	// NotRun is the field of that rollout.Error.
	NotRun bool `json:",omitempty"`
	// Value is the result in JSON. Its type depends on the command.
	Value json.RawMessage `json:",omitempty"`
}

// Err returns the error of the result, or nil if the command succeeded.
func (r Result) Err() error {
	if r.Error == "" {
		return nil
	}
	e := rollout.ParseError(r.Error)
	e.NotRun = r.NotRun
	return e
}

// Decode decodes the value of a result. It returns the error of the result if
// the command failed.
func Decode[V any](r Result) (V, error) {
	var v V
	if err := r.Err(); err != nil {
		return v, err
	}
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return v, rollout.NewError(rollout.KindInternal, "decode command result").WithCause(err)
	}
	return v, nil
}

func newResult(index uint64, value any, err error) Result {
	if err != nil {
		e := rollout.AsError(err)
		return Result{Index: index, Error: e.Error(), NotRun: e.NotRun}
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return Result{Index: index, Error: rollout.AsError(err).Error()}
	}
	return Result{Index: index, Value: raw}
}
