package rollout

import "strings"

// The HTTP statuses that the rules below name.
const (
	statusBadRequest         = 400
	statusRequestTimeout     = 408
	statusMisdirectedRequest = 421
	statusTooManyRequests    = 429
	statusBadGateway         = 502
	statusServiceUnavailable = 503
)

// headerRetryAfter names the field that says when a caller may send its request again.
const headerRetryAfter = "Retry-After"

// PromisesNotRun reports whether an HTTP status tells a caller that its request has not run
// and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirectedRequest, statusTooManyRequests, statusServiceUnavailable:
		return true
	default:
		return false
	}
}

// TruthfulStatus returns the status that a caller gets in place of status. A status that
// PromisesNotRun becomes 502 unless it is certain that the request has not run.
func TruthfulStatus(status int, notRun bool) int {
	if PromisesNotRun(status) && !notRun {
		return statusBadGateway
	}
	return status
}

// Status returns the HTTP status that a caller gets for the error.
func (e *Error) Status() int { return TruthfulStatus(e.Kind.Response().Status, e.NotRun) }

// IsRefusal reports whether the response is one with which a server that did not run the
// request would refuse it. Unless NotRun is true, the upstream may have run it all the same.
func (r UpstreamResponse) IsRefusal() bool { return PromisesNotRun(r.Status) }

// IsFailure reports whether the upstream has run the request and failed.
func (r UpstreamResponse) IsFailure() bool { return r.Status >= statusBadRequest && !r.NotRun }

// ForCaller returns the head of the response as the caller gets it. The upstream may have run
// the request unless NotRun is true, so the caller gets neither a status nor a delay that
// invites it to send a request again that may run only once. The stamp vouches for the status
// of the upstream and goes with it.
func (r UpstreamResponse) ForCaller() UpstreamResponse {
	status := TruthfulStatus(r.Status, r.NotRun)
	if status != r.Status {
		r.Status, r.Stamp = status, ""
	}
	if r.NotRun || r.Status < statusBadRequest {
		return r
	}
	var header []HeaderField
	for _, f := range r.Header {
		if !strings.EqualFold(f.Name, headerRetryAfter) {
			header = append(header, f)
		}
	}
	r.Header = header
	return r
}
