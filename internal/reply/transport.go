package reply

import (
	"net/http"
	"net/http/httptrace"
	"sync"

	"golang.org/x/net/http/httpguts"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

const (
	minStatus = 200
	maxStatus = 599
)

// Transport is an http.RoundTripper whose responses have been judged.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport that sends requests over base, whose connections must come
// from Dial.
func NewTransport(base *http.Transport) *Transport { return &Transport{base} }

// CloseIdleConnections closes the connections that serve no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var exchange exchange
	trace := &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { exchange.begin(info) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { exchange.sent(info.Err) },
	}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Judge(resp); err != nil {
		_ = resp.Body.Close()
		exchange.closeConn()
		return nil, err
	}
	return resp, nil
}

// exchange follows one request over its connections.
type exchange struct {
	mu sync.Mutex
	// conn is the connection that the request is sent over, and end records that it was sent.
	conn *Conn
	end  func(err error)
}

func (x *exchange) begin(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*Conn)
	if !ok {
		return
	}
	end := conn.beginRequest()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn, x.end = conn, end
}

// closeConn closes the connection, on which nothing can be relied on any more.
func (x *exchange) closeConn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

func (x *exchange) sent(err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.end != nil {
		x.end(err)
		x.end = nil
	}
}

// IsFinalStatus reports whether HTTP allows a status as that of a final response.
func IsFinalStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// Judge returns an error if HTTP does not allow the head of a response. net/http accepts some
// of what it judges: statuses below 100, and names of fields with blanks, behind which the
// length of the body may be hidden.
func Judge(resp *http.Response) error {
	if !IsFinalStatus(resp.StatusCode) {
		return rollout.NewError(rollout.KindUpstreamFailed, "response has status %q, want %d to %d", resp.Status, minStatus, maxStatus)
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return rollout.NewError(rollout.KindUpstreamFailed, "response has a header field with the invalid name %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return rollout.NewError(rollout.KindUpstreamFailed, "response has an invalid value in header field %s", name)
			}
		}
	}
	return nil
}
