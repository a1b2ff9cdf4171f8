package gateway

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/pacing"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// clientConn is one connection from a client, owned by the goroutine that reads it.
type clientConn struct {
	gateway  *Gateway
	role     listenerRole
	limits   rest.Limits
	conn     *rest.Conn
	reserved int // bytes of the current request body, included in Gateway.bodyBytes
	pacer    *pacing.Pacer
	served   bool // the current request was inferred by a server
}

// newClientConn returns the state of a client connection.
func (g *Gateway) newClientConn(conn net.Conn, role listenerRole) *clientConn {
	c := &clientConn{gateway: g, role: role, limits: rest.DefaultLimits, pacer: pacing.New(g.clientRate)}
	c.limits.MaxBody, c.limits.IdleTimeout = g.config.MaxBody, g.config.ClientIdleTimeout
	c.limits.HeaderTimeout, c.limits.BodyTimeout = g.config.HeaderTimeout, g.config.BodyTimeout
	c.conn = rest.NewConn(conn, &c.limits, c.reserve)
	return c
}

// reserve adds to the count of request body bytes in memory. It returns false, and adds nothing, if that would exceed
// the limit.
func (c *clientConn) reserve(bytes int) bool {
	if c.gateway.bodyBytes.Add(int64(bytes)) > int64(c.gateway.config.MaxBodyBytes) {
		c.gateway.bodyBytes.Add(int64(-bytes))
		return false
	}
	c.reserved += bytes
	return true
}

// releaseBody subtracts from the count what reserve has added.
func (c *clientConn) releaseBody() {
	c.gateway.bodyBytes.Add(int64(-c.reserved))
	c.reserved = 0
}

// readLoop reads and answers requests one by one until the connection ends.
func (c *clientConn) readLoop() {
	g := c.gateway
	defer func() {
		c.releaseBody()
		g.clientConns.Delete(c.conn)
		c.conn.Close()
	}()
	g.clientConns.Store(c.conn, nil)
	readUntil := g.config.shutdownTimes().readUntil
	if g.isStopping() { // beginStop may have set the deadlines before this connection was stored
		c.conn.SetIdleDeadline(g.afterStop(readUntil))
	}
	for c.pace() {
		msg, err := c.conn.ReadRequest()
		if err != nil {
			c.respondToReadError(err)
			return
		}
		c.served = false
		resp, clientClosed := c.respond(msg)
		c.releaseBody()
		if !c.served {
			c.pacer.Charge(len(msg.Body))
		}
		state := attempt.ClientConnection{Stopping: g.isStopping()}
		state.Pipelined = (clientClosed || state.Stopping) && c.conn.HasPendingInput() &&
			(!state.Stopping || time.Now().Before(g.afterStop(readUntil)))
		resp.Close = state.CloseAfterResponse(resp.Close, msg.Close, clientClosed)
		if c.conn.WriteResponse(resp) != nil || resp.Close {
			return
		}
	}
}

// respondToReadError answers a request that could not be read, if a response can still be sent.
func (c *clientConn) respondToReadError(err error) {
	var resp *rest.Response
	var untrusted *rest.PeerUntrustedError
	var invalid *rest.MessageError
	switch {
	case errors.As(err, &untrusted):
		resp = rejection(untrusted.Error(), 0)
	case errors.As(err, &invalid) && invalid.Status == 503:
		resp = rejection(invalid.Reason, c.gateway.config.Deployment.MaxRetryAfter)
	case errors.As(err, &invalid):
		resp = errorResponse(invalid.Status, invalid.Reason)
	default:
		return
	}
	resp.Close = true
	c.conn.WriteResponse(resp)
}

// respond returns the response to one request, and whether the client has closed its side of the connection.
func (c *clientConn) respond(msg *rest.Request) (resp *rest.Response, clientClosed bool) {
	g := c.gateway
	if c.role == adminListener && strings.HasPrefix(msg.Target, "/metrics") {
		return g.metrics.response(), false
	}
	if c.role == adminListener && strings.HasPrefix(msg.Target, "/router/") {
		return g.serveAdmin(msg), false
	}
	call, err := kserve.ParseTarget(msg.Method, msg.Target)
	switch {
	case errors.Is(err, kserve.ErrMethodNotAllowed):
		return errorResponse(405, err.Error()), false
	case err != nil:
		return errorResponse(404, "no such call: "+msg.Target), false
	}
	pattern, known := g.config.MatchFunction(call.Model)
	if call.Operation != kserve.Infer {
		return g.serveMetadata(call, known), false
	}
	if !known {
		return errorResponse(404, "no workload is told for "+call.Model), false
	}
	if c.role == adminListener {
		return errorResponse(404, "jobs are taken at the other address"), false
	}
	resp, clientClosed = c.infer(msg, call, pattern)
	c.served = resp.Status < firstErrorStatus
	return resp, clientClosed
}

// firstErrorStatus is the lowest HTTP status of a request that was not served.
const firstErrorStatus = 300

// pace waits until the next request may be read: clients could otherwise send metadata calls, invalid requests and those that are
// rejected as fast as one processor answers them. It returns false if the client has closed the connection meanwhile. Nothing
// waits on the admin listener, nor once the gateway stops.
func (c *clientConn) pace() bool {
	wait, left := c.pacer.Settle(time.Now()), false
	if c.role == adminListener {
		return true
	}
	pacing.Pause(wait, func() bool {
		left = c.conn.PeerClosed()
		return left || c.gateway.isStopping()
	})
	return !left || c.gateway.isStopping()
}

// serveMetadata answers the KServe calls other than inference; no server is involved.
func (g *Gateway) serveMetadata(call kserve.Call, known bool) *rest.Response {
	switch call.Operation {
	case kserve.ServerLive:
		return jsonResponse(200, []byte(`{"live":true}`))
	case kserve.ServerReady:
		if !g.ready.Load() {
			return jsonResponse(503, []byte(`{"ready":false}`))
		}
		return jsonResponse(200, []byte(`{"ready":true}`))
	case kserve.ServerMetadata:
		return jsonResponse(200, []byte(`{"name":"hollymast","version":"2","extensions":["binary_tensor_data"]}`))
	case kserve.ModelReady, kserve.ModelMetadata:
		if !known {
			return errorResponse(404, "no workload is told for "+call.Model)
		}
		if call.Operation == kserve.ModelMetadata {
			return jsonResponse(200, fmt.Appendf(nil, `{"name":%q,"platform":"hollymast","inputs":[],"outputs":[]}`, call.Model))
		}
		return jsonResponse(200, fmt.Appendf(nil, `{"name":%q,"ready":%t}`, call.Model, g.ready.Load()))
	}
	return errorResponse(405, "copies are loaded as jobs need them, not by clients")
}

// tenantHeader is the header with the name of a request's tenant.
const tenantHeader = "X-Tenant"

// reasonClientClosed is the error text for a client that has closed its side of the connection.
const reasonClientClosed = "the client closed its side of the connection"

// infer posts a request to the event loop and waits for its answer.
func (c *clientConn) infer(msg *rest.Request, call kserve.Call, pattern FunctionPattern) (resp *rest.Response, clientClosed bool) {
	g := c.gateway
	params, err := kserve.ParseInferRequest(msg.Header, msg.Body)
	if err != nil {
		return errorResponse(400, err.Error()), false
	}
	if !g.ready.Load() {
		reason := errNoEndpoints.Error()
		if g.isStopping() {
			reason = reasonStopping
		}
		return rejection(reason, g.config.Deployment.MaxRetryAfter), false
	}
	checkedAt := g.loop.Now()
	if c.conn.PeerClosed() { // possibly long ago, if this process was stalled
		return rejection(reasonClientClosed, 0), true
	}
	tenant, ok := g.config.Tenants[msg.Header.Get(tenantHeader)]
	if !ok {
		tenant = control.TenantID(len(g.config.Deployment.Quotas)) // one past the last tenant with a quota
	}
	req := &request{
		function: call.Model, call: call, message: msg, params: params, pattern: pattern, tenant: tenant, client: c.conn,
		response: make(chan *rest.Response, 1),
	}
	req.clientCheckedAt.Store(int64(checkedAt))
	g.loop.Post(func(now control.Micros) { g.handleRequest(now, req) })
	return c.awaitAnswer(req)
}

// awaitAnswer waits for a request's answer, and meanwhile detects that the client closes its side.
func (c *clientConn) awaitAnswer(req *request) (resp *rest.Response, clientClosed bool) {
	g := c.gateway
	closed, stopWatching := c.conn.WatchClose()
	select {
	case resp := <-req.response:
		stopWatching()
		return resp, false
	case <-closed:
		clientClosed = true
		g.loop.Post(func(now control.Micros) { g.handleClientClosed(now, req) })
	case <-g.loopEnded:
	}
	stopWatching()
	select {
	case resp := <-req.response:
		return resp, clientClosed
	case <-g.loopEnded:
	}
	select { // the last step is over: a request without an answer by now never reached the core
	case resp := <-req.response:
		return resp, clientClosed
	default:
		return rejection(reasonStopping, g.config.Deployment.MaxRetryAfter), clientClosed
	}
}
