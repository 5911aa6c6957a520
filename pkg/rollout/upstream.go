package rollout

import (
	"context"
	"io"
)

// HeaderField is one header line that passes through unread.
type HeaderField struct {
	Name, Value string
}

// Exchange is one request to one upstream.
type Exchange struct {
	// Address and Instance name the upstream. Another instance at the address
	// must refuse the request.
	Address  string
	Instance string
	Method   string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header []HeaderField
	// AttemptID comes back with the answer.
	AttemptID string
	// Account is empty when no key was asked for.
	Account string
	// BudgetMS is how long the upstream may work. It is positive.
	BudgetMS Millis
	Body     []byte
	// WeightVersion is the version that the engine must hold, or 0 for any.
	WeightVersion uint64
	// ResumeAfter is the last event that the caller has, or empty.
	ResumeAfter string
}

// ExchangeResponse is the head of an upstream's answer.
type ExchangeResponse struct {
	Status int
	Header []HeaderField
	// NotRun is true when the upstream says that it did not run the request.
	NotRun bool
	// Misdirected is true when another instance or weight version stands at
	// the address.
	Misdirected bool
	// Closing is true when the upstream will take no more on the connection.
	Closing bool
	// Stamp is the upstream's signature of the answer.
	Stamp string
	// WeightVersion is the version at the first event, or 0.
	WeightVersion uint64
	// Streaming is true when the body is a series of events.
	Streaming bool
	// Body must be closed.
	Body io.ReadCloser
}

// StreamEvent is one event of a stream.
type StreamEvent struct {
	// ID rises within a stream.
	ID   uint64
	Data []byte
	// WeightVersion is set at an event that a new version has made.
	WeightVersion uint64
}

// WeightOrder tells an engine to serve a version of a model.
type WeightOrder struct {
	Address  string
	Instance string
	Model    string
	Version  uint64
	// Holder and Fencing name the leader that gives the order.
	Holder  string
	Fencing uint64
	// Accepted is the number of orders that the engine must have accepted.
	Accepted uint64
	// Drain lets running requests end before the change.
	Drain bool
}

// OrderOutcome is what an engine says of an order.
type OrderOutcome uint8

// The outcomes of an order.
const (
	// OrderUnknown orders may be carried out, also later.
	OrderUnknown OrderOutcome = iota
	// OrderStarted orders are being carried out.
	OrderStarted
	// OrderHolds means that the engine serves the version already.
	OrderHolds
	// OrderConflict means that another order came before.
	OrderConflict
	// OrderFenced means that a newer leader has given orders.
	OrderFenced
	// OrderRefused means that the engine cannot carry the order out.
	OrderRefused
)

// String returns the name of the outcome.
func (o OrderOutcome) String() string {
	names := [...]string{"Unknown", "Started", "Holds", "Conflict", "Fenced", "Refused"}
	if int(o) < len(names) {
		return names[o]
	}
	return names[OrderUnknown]
}

// EngineReport is what an engine says of itself.
type EngineReport struct {
	Instance string
	Busy     bool
	// Accepted is the number of orders accepted since the engine's start.
	Accepted uint64
	Versions map[string]uint64
}

// Upstreams carries requests and orders to upstreams. An *Error whose NotRun
// is set means that no byte of the request was sent.
type Upstreams interface {
	Open(ctx context.Context, x Exchange) (ExchangeResponse, error)
	// Events reads a stream and calls take for each whole event. It returns
	// nil only when the stream has ended whole.
	Events(body io.Reader, take func(StreamEvent)) error
	Order(ctx context.Context, o WeightOrder) (OrderOutcome, error)
	Report(ctx context.Context, address string) (EngineReport, error)
}

// WindowReport is a closed usage window.
type WindowReport struct {
	Window uint64
	// Requests counts the requests of each client account.
	Requests map[string]uint64
	Holder   string
	Fencing  uint64
}

// UsageSink accepts usage windows.
type UsageSink interface {
	SendWindow(ctx context.Context, r WindowReport) error
}
