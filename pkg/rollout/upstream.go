package rollout

import (
	"context"
	"io"
)

// HeaderField is an HTTP header field that is forwarded unchanged.
type HeaderField struct {
	Name, Value string
}

// UpstreamRequest is a request to an upstream.
type UpstreamRequest struct {
	// Address and Instance identify the upstream. Another instance at the same
	// address must refuse the request.
	Address  string
	Instance string
	Method   string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header []HeaderField
	// AttemptID is echoed in the response.
	AttemptID string
	// Account is empty if no API key was required.
	Account string
	// BudgetMS is the time that the upstream has for the request. It is
	// positive.
	BudgetMS Millis
	Body     []byte
	// WeightVersion is the version that the engine must serve, or 0 for any.
	WeightVersion uint64
	// NewConnection is true if the request must not go over a connection that was used before.
	// An upstream that has failed the same AttemptID may send that answer again, late.
	NewConnection bool
	// ResumeAfter is the ID of the last event that the caller has received, or
	// empty.
	ResumeAfter string
}

// RateLimit is the limit that a response of an upstream names. The zero value means that
// it names none.
type RateLimit struct {
	// Limited is true if there is a limit.
	Limited bool
	// PerSecond is the number of requests a second from all hosts together.
	PerSecond float64
}

// UpstreamResponse is the response of an upstream.
type UpstreamResponse struct {
	Status int
	Header []HeaderField
	// NotRun is true if the upstream states that it did not process the
	// request.
	NotRun bool
	// Misdirected is true if another instance or weight version is at the
	// address.
	Misdirected bool
	// Closing is true if the upstream accepts no more requests on the
	// connection.
	Closing bool
	// Leaving is true if the upstream is about to end. It is also set beside an error
	// that concerns the rest of the response.
	Leaving bool
	// Limit is what the upstream takes from all hosts together.
	Limit RateLimit
	// Stamp is the upstream's signature of the response. It is not among Header.
	Stamp string
	// WeightVersion is the version that generates the first event, or 0.
	WeightVersion uint64
	// Streaming is true if the body is an event stream.
	Streaming bool
	// Body must be closed by the caller.
	Body io.ReadCloser
}

// StreamEvent is one event of a stream.
type StreamEvent struct {
	// ID increases within a stream.
	ID   uint64
	Data []byte
	// WeightVersion is set on the first event that a new version generated.
	WeightVersion uint64
}

// WeightOrder tells an engine to load a weight version of a model and serve it.
type WeightOrder struct {
	Address  string
	Instance string
	Model    string
	Version  uint64
	// Holder and Fencing identify the leader that sends the order.
	Holder  string
	Fencing uint64
	// Accepted is the number of weight orders that the engine must have accepted
	// before this one. Otherwise the outcome is WeightOrderConflict.
	Accepted uint64
	// Drain lets running requests finish before the swap.
	Drain bool
}

// WeightOrderOutcome is an engine's response to a WeightOrder.
type WeightOrderOutcome uint8

// The outcomes of a weight order.
const (
	// WeightOrderUnknown means that the order may be executed now or later.
	WeightOrderUnknown WeightOrderOutcome = iota
	// WeightOrderStarted means that the order is being executed.
	WeightOrderStarted
	// WeightOrderAlreadyServed means that the engine already serves the version.
	WeightOrderAlreadyServed
	// WeightOrderConflict means that the engine has accepted another order first.
	WeightOrderConflict
	// WeightOrderFenced means that a newer leader has sent orders.
	WeightOrderFenced
	// WeightOrderRefused means that the engine cannot execute the order.
	WeightOrderRefused
)

// WeightOrderReply is an engine's reply to a weight order.
type WeightOrderReply struct {
	Outcome WeightOrderOutcome
	// Leaving is true if the engine is about to end.
	Leaving bool
	Limit   RateLimit
}

// String returns the name of the outcome.
func (o WeightOrderOutcome) String() string {
	names := [...]string{"Unknown", "Started", "Holds", "Conflict", "Fenced", "Refused"}
	if int(o) < len(names) {
		return names[o]
	}
	return names[WeightOrderUnknown]
}

// EngineReport is the state that an engine reports.
type EngineReport struct {
	Instance string
	Busy     bool
	// Accepted is the number of weight orders accepted since the engine started.
	Accepted uint64
	// Leaving is true if the engine is about to end.
	Leaving bool
	Limit   RateLimit
	// Versions holds the weight version of each model that the engine serves.
	Versions map[string]uint64
}

// UpstreamClient sends requests and weight orders to upstreams. An *Error with
// NotRun set means that no byte of the request was sent.
type UpstreamClient interface {
	// SendRequest sends a request and returns the head of the response with its
	// unread body. The head of an invalid response is returned beside the error.
	SendRequest(ctx context.Context, req UpstreamRequest) (UpstreamResponse, error)
	// ReadEvents reads a stream and calls handle for each complete event. It
	// returns nil only if the stream was not truncated.
	ReadEvents(body io.Reader, handle func(StreamEvent)) error
	// ReadRawEvents is ReadEvents with each event as received, which is valid until handle
	// returns. It ends with the first error of handle.
	ReadRawEvents(body io.Reader, handle func(id uint64, raw []byte) error) error
	SendWeightOrder(ctx context.Context, o WeightOrder) (WeightOrderReply, error)
	FetchReport(ctx context.Context, address string) (EngineReport, error)
	// IsListening reports whether a process accepts connections at an address. It
	// fails if the host does not respond.
	IsListening(ctx context.Context, address string) (bool, error)
}

// WindowReport is the number of requests in a closed usage window. It is sent to
// a UsageSink; UsageReport is the form that a Platform accepts.
type WindowReport struct {
	Window uint64
	// Requests is the number of requests of each client account.
	Requests map[string]uint64
	// Holder and Fencing identify the leader that sends the report.
	Holder  string
	Fencing uint64
}

// UsageSink accepts the reports of closed usage windows.
type UsageSink interface {
	SendWindow(ctx context.Context, r WindowReport) error
}
