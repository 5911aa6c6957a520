package rollout

import (
	"errors"
	"fmt"
	"strings"
)

// Kind is an error kind. The set of kinds is fixed.
type Kind uint8

// The error kinds.
const (
	KindInternal Kind = iota
	KindInvalidInput
	KindUnauthenticated
	KindForbidden
	KindNotFound
	KindConflict
	// KindOutcomeUnknown means that the request or command may have been executed.
	KindOutcomeUnknown
	KindOverloaded
	// KindNoAuthority means that the host must not serve the request: it has no
	// valid lease or no configuration, or another writer has replaced it.
	KindNoAuthority
	// KindNoUpstream means that no upstream can take the request.
	KindNoUpstream
	KindUnavailable
	KindUpstreamFailed
	// KindTruncated means that a response or a transfer ended early.
	KindTruncated
	KindDeadlineExceeded
	// KindPoisoned means that upstreams crashed while they ran the request, so
	// that it is refused.
	KindPoisoned
	// KindWithdrawn means that the API key has been withdrawn.
	KindWithdrawn
	KindNotLeader
	// KindStorage means that data could not be stored or that stored data could
	// not be read.
	KindStorage
	// KindNotResumable means that a stream cannot be taken up and must begin anew.
	KindNotResumable
	// KindRegionNotAllowed means that only hosts in regions that the route and the client
	// account do not allow could take the request.
	KindRegionNotAllowed
	// KindBodyTooLarge and KindHeaderTooLarge mean that a request exceeds the limits of the
	// configuration.
	KindBodyTooLarge
	KindHeaderTooLarge
	kindCount
)

// ErrorResponse is the response that a caller gets for an error of a kind.
type ErrorResponse struct {
	// Name identifies the kind in responses and logs. It is stable.
	Name string
	// Status is the HTTP status code.
	Status int
	// RetryAfter is the default delay before a retry. Zero means that a retry
	// of the same request will fail again.
	RetryAfter Millis
}

var responses = [kindCount]ErrorResponse{
	KindInternal:         {"Internal", 500, 1_000},
	KindInvalidInput:     {"InvalidInput", 400, 0},
	KindUnauthenticated:  {"Unauthenticated", 401, 0},
	KindForbidden:        {"Forbidden", 403, 0},
	KindNotFound:         {"NotFound", 404, 0},
	KindConflict:         {"Conflict", 409, 0},
	KindOutcomeUnknown:   {"OutcomeUnknown", 502, 0},
	KindOverloaded:       {"Overloaded", 429, 1_000},
	KindNoAuthority:      {"NoAuthority", 503, 2_000},
	KindNoUpstream:       {"NoUpstream", 503, 2_000},
	KindUnavailable:      {"Unavailable", 503, 1_000},
	KindUpstreamFailed:   {"UpstreamFailed", 502, 1_000},
	KindTruncated:        {"Truncated", 502, 1_000},
	KindDeadlineExceeded: {"DeadlineExceeded", 504, 1_000},
	KindPoisoned:         {"Poisoned", 422, 600_000},
	KindWithdrawn:        {"Withdrawn", 401, 0},
	KindNotLeader:        {"NotLeader", 503, 500},
	KindStorage:          {"Storage", 507, 10_000},
	KindNotResumable:     {"NotResumable", 503, 0},
	KindRegionNotAllowed: {"RegionNotAllowed", 503, 2_000},
	KindBodyTooLarge:     {"BodyTooLarge", 413, 0},
	KindHeaderTooLarge:   {"HeaderTooLarge", 431, 0},
}

// Response returns the response for the kind. An unknown kind gets the response
// for KindInternal.
func (k Kind) Response() ErrorResponse {
	if k >= kindCount {
		return responses[KindInternal]
	}
	return responses[k]
}

// String returns the name of the kind.
func (k Kind) String() string { return k.Response().Name }

// KindByName returns the kind with the given name, or KindInternal if there is
// none.
func KindByName(name string) Kind {
	for k := range kindCount {
		if responses[k].Name == name {
			return k
		}
	}
	return KindInternal
}

// Error is an error with a kind.
type Error struct {
	Kind Kind
	// Message says what went wrong and where, in one line.
	Message string
	// NotRun is true only if no upstream has started to process the request.
	NotRun bool
	// RetryAfter is the delay before a retry. Zero selects the default of the
	// kind.
	RetryAfter Millis
	// Cause may be nil.
	Cause error
}

// NewError returns an error of a kind with a formatted message.
func NewError(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// AsError returns err as an *Error. An error of another type is wrapped with
// KindInternal.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: KindInternal, Message: err.Error(), Cause: err}
}

// ParseError parses an error that was sent as text in the format of
// Error.Error. Text in another format gives an error of KindUnavailable.
func ParseError(text string) *Error {
	name, message, found := strings.Cut(text, ": ")
	if !found {
		return NewError(KindUnavailable, "%s", text)
	}
	k := KindByName(name)
	if k == KindInternal && name != KindInternal.String() {
		return NewError(KindUnavailable, "%s", text)
	}
	return NewError(k, "%s", message)
}

// Error returns the kind, the message and, if it adds something, the cause.
func (e *Error) Error() string {
	if e.Cause != nil && e.Cause.Error() != e.Message {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Message, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// RetryDelay returns the delay before a retry.
func (e *Error) RetryDelay() Millis {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Kind.Response().RetryAfter
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithCause returns a copy of the error with a cause.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// WithNotRun returns a copy of the error with NotRun set.
func (e *Error) WithNotRun() *Error {
	c := *e
	c.NotRun = true
	return &c
}

// WithRetryAfter returns a copy of the error with a delay before a retry.
func (e *Error) WithRetryAfter(d Millis) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}
