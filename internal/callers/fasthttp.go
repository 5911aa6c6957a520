package callers

import (
	"net"
	"net/http"

	"github.com/valyala/fasthttp"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// LimitFastHTTP makes a fasthttp server keep to the limits of this package, and returns the
// listener that it must serve. It must be called before the server is used. A request is
// passed to the handler of the server with its whole body, of up to MaxRequestBodySize; one
// that is not received is passed to refuse.
func LimitFastHTTP(l net.Listener, server *fasthttp.Server, opts Options, refuse func(*fasthttp.RequestCtx, *rollout.Error)) net.Listener {
	connections := newConnections(l, opts)
	handle := server.Handler
	server.StreamRequestBody = true
	server.ConnState = func(conn net.Conn, state fasthttp.ConnState) {
		if state == fasthttp.StateIdle {
			connections.observe(conn, http.StateIdle)
		}
	}
	server.Handler = func(rc *fasthttp.RequestCtx) {
		c, ok := rc.Conn().(*connection)
		if !ok {
			refuse(rc, rollout.NewError(rollout.KindInternal, "the request was not received over the limited listener"))
			return
		}
		body := rc.RequestBodyStream()
		c.beginServed(body != nil)
		if body == nil {
			handle(rc)
			return
		}
		data, err := c.readBody(rc, body, int64(rc.Request.Header.ContentLength()), BodyOptions{
			MaxBytes: int64(server.MaxRequestBodySize), Copies: connections.opts.BodyCopies,
		})
		if err != nil {
			rc.SetConnectionClose()
			refuse(rc, rollout.AsError(err))
			return
		}
		rc.Request.SetBodyRaw(data)
		handle(rc)
	}
	return connections
}
