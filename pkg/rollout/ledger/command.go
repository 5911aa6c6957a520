// Package ledger is the state machine behind the log. It applies commands to
// the catalog, the claims, the sample streams, the usage book and the orders.
// It is deterministic: the time of a command is part of the command.
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

// Command is one change. Exactly one of the pointers is set.
type Command struct {
	// ID makes an operator's command idempotent. Empty for the daemons' own
	// commands, which are idempotent by their content.
	ID string `json:",omitempty"`
	// AtMS is the leader's time when it was proposed.
	AtMS rollout.Millis
	// Expected is the configuration version that the command builds on. Zero
	// takes any.
	Expected uint64 `json:",omitempty"`

	PutAccount   *catalog.Account `json:",omitempty"`
	GrantKey     *catalog.Key     `json:",omitempty"`
	WithdrawKey  *WithdrawKey     `json:",omitempty"`
	PutGroup     *PutGroup        `json:",omitempty"`
	PutRoute     *catalog.Route   `json:",omitempty"`
	PutTarget    *catalog.Target  `json:",omitempty"`
	Drop         *Drop            `json:",omitempty"`
	DrainRequest *Drain           `json:",omitempty"`

	PublishWeights *PublishWeights   `json:",omitempty"`
	PutUpstream    *catalog.Upstream `json:",omitempty"`
	LoseUpstream   *LoseUpstream     `json:",omitempty"`
	Crash          *Crash            `json:",omitempty"`
	CheckPoison    *CheckPoison      `json:",omitempty"`
	Acquit         *ClearSuspect     `json:",omitempty"`

	TakeClaim *claim.Take `json:",omitempty"`
	VoidClaim *claim.Void `json:",omitempty"`

	OpenStep     *stream.OpenStep `json:",omitempty"`
	CommitSample *stream.Commit   `json:",omitempty"`
	Handover     *stream.Handover `json:",omitempty"`
	LoseSample   *stream.Lose     `json:",omitempty"`

	AddUsage       *usage.Report   `json:",omitempty"`
	CloseWindow    *usage.Close    `json:",omitempty"`
	WindowReported *WindowReported `json:",omitempty"`

	PlanOrder  *rollout.Order `json:",omitempty"`
	OrderState *OrderState    `json:",omitempty"`
}

// WithdrawKey withdraws a key by its ID.
type WithdrawKey struct{ ID string }

// PutGroup creates or changes a trainer group. It leaves the published weight
// version as it is.
type PutGroup struct {
	Name           string
	Account        string
	Pool           string
	StalenessBound uint64
}

// Drop removes an entity.
type Drop struct {
	Kind catalog.EntityKind
	Name string
}

// Drain marks an upstream as leaving.
type Drain struct{ Upstream string }

// PublishWeights announces a new weight version of a trainer group.
type PublishWeights struct {
	Group   string
	Version uint64
}

// LoseUpstream removes an upstream of one agent run.
type LoseUpstream struct {
	ID string
	// Incarnation is the agent run that was lost. Another run is left alone.
	Incarnation string
}

// Crash reports the requests that ran on an upstream when it crashed.
type Crash struct {
	// ID is the same each time that the crash is reported.
	ID           string
	Upstream     string
	Fingerprints []string
	// Suspects are those of Fingerprints that ran as suspects.
	Suspects []string `json:",omitempty"`
}

// ClearSuspect clears a suspect that has run to its end.
type ClearSuspect struct{ Fingerprint string }

// CheckPoison asks what is known of a request that has crashed an upstream.
type CheckPoison struct{ Fingerprint string }

// WindowReported notes that the platform accepted a usage window.
type WindowReported struct{ Number uint64 }

// OrderState notes how far an order has come.
type OrderState struct {
	ID    string
	State capacity.OrderState
}

// Result is the answer to a command.
type Result struct {
	// Index is the log index that carried the command.
	Index uint64
	// Error is the text of a rollout.Error. Empty when the command succeeded.
	Error  string `json:",omitempty"`
	NotRun bool   `json:",omitempty"`
	// Value is the answer in JSON, of a type that the command sets.
	Value json.RawMessage `json:",omitempty"`
}

// Err returns the error of the result.
func (r Result) Err() error {
	if r.Error == "" {
		return nil
	}
	e := rollout.ParseError(r.Error)
	e.NotRun = r.NotRun
	return e
}

// Decode reads the value of a result that has no error.
func Decode[V any](r Result) (V, error) {
	var v V
	if err := r.Err(); err != nil {
		return v, err
	}
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return v, rollout.NewError(rollout.KindInternal, "decode answer").WithCause(err)
	}
	return v, nil
}

func resultOf(index uint64, value any, err error) Result {
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
