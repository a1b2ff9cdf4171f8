package gateway

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// accept serves a listener until it is closed.
func (g *Gateway) accept(l net.Listener, admin bool) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // this router stops
			for _, nc := range drainListener(l) {
				g.serveClient(nc, admin)
			}
			return
		}
		if err != nil { // out of descriptors, say: connections will end
			g.log.Warn().Err(err).Msg("a connection could not be accepted")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		g.serveClient(nc, admin)
	}
}

// welcomed serves a connection that was accepted.
func (g *Gateway) serveClient(nc net.Conn, admin bool) {
	if !admin && g.clientCount.Load() >= int64(g.config.MaxClientConns) {
		g.metrics.connsRejected.Inc()
		if g.certStores[clientConnections] != nil {
			nc.Close() // a handshake would cost more than it may: no connection stands, and nothing was taken
			return
		}
		go rejectConn(nc, g.config.Deployment.MaxRetryAfter)
		return
	}
	g.clientCount.Add(1)
	g.clientReaders.Add(1)
	if !admin && g.overload != nil {
		g.post(func(now control.Micros) { g.overload.Connected(now) })
	}
	go func() {
		defer g.clientReaders.Done()
		defer g.clientCount.Add(-1)
		if !admin {
			var err error
			if nc, err = g.clientHandshake(nc); err != nil {
				return
			}
		}
		g.readLoop(nc, admin)
	}()
}

// turnAway answers a connection beyond the bound before it has asked for anything: nothing was taken, so trying again
// is harmless.
func rejectConn(nc net.Conn, stayAway control.Micros) {
	limits := rest.Limits{WriteTimeout: time.Second}
	c := rest.NewConn(nc, &limits, nil)
	p := rejection("too many connections", stayAway)
	p.Close = true
	c.WriteResponse(p)
	c.Close()
}

// converse answers one connection's requests, each in its turn.
func (g *Gateway) readLoop(nc net.Conn, admin bool) {
	limits := rest.DefaultLimits
	limits.MaxBody, limits.IdleTimeout = g.config.MaxBody, g.config.ClientIdleTimeout
	limits.HeaderTimeout, limits.BodyTimeout = g.config.HeaderTimeout, g.config.BodyTimeout
	reserved := 0
	c := rest.NewConn(nc, &limits, func(n int) bool {
		if g.bodyBytes.Add(int64(n)) > int64(g.config.MaxBodyBytes) {
			g.bodyBytes.Add(int64(-n))
			return false
		}
		reserved += n
		return true
	})
	free := func() { g.bodyBytes.Add(int64(-reserved)); reserved = 0 }
	defer func() {
		free()
		g.clientConns.Delete(c)
		c.Close()
	}()
	g.clientConns.Store(c, nil)
	held := g.config.shutdownTimes().readUntil
	if g.isStopping() {
		c.SetIdleDeadline(g.afterStop(held))
	}
	for {
		q, err := c.ReadRequest()
		if err != nil {
			var distrusted *rest.PeerUntrustedError
			if errors.As(err, &distrusted) {
				p := rejection(distrusted.Error(), 0)
				p.Close = true
				c.WriteResponse(p)
			}
			var refused *rest.MessageError
			if errors.As(err, &refused) {
				p := errorResponse(refused.Status, refused.Reason)
				if refused.Status == 503 {
					p = rejection(refused.Reason, g.config.Deployment.MaxRetryAfter)
				}
				p.Close = true
				c.WriteResponse(p)
			}
			return
		}
		p, left := g.respond(c, q, admin)
		free()
		state := attempt.ClientConnection{Stopping: g.isStopping()}
		state.More = (left || state.Stopping) && c.HasPending() && (!state.Stopping || time.Now().Before(g.afterStop(held)))
		p.Close = state.CloseAfter(p.Close, q.Close, left)
		if c.WriteResponse(p) != nil || p.Close {
			return
		}
	}
}

// respond answers one request; left tells that its client has closed its side.
func (g *Gateway) respond(c *rest.Conn, q *rest.Request, admin bool) (p *rest.Response, left bool) {
	if admin && strings.HasPrefix(q.Target, "/metrics") {
		return g.metrics.response(), false
	}
	if admin && strings.HasPrefix(q.Target, "/router/") {
		return g.serveAdmin(q), false
	}
	call, err := kserve.ReadTarget(q.Method, q.Target)
	switch {
	case errors.Is(err, kserve.ErrMethod):
		return errorResponse(405, err.Error()), false
	case err != nil:
		return errorResponse(404, "no such call: "+q.Target), false
	}
	pattern, known := g.config.Match(call.Model)
	switch call.Kind {
	case kserve.ServerLive:
		return jsonResponse(200, []byte(`{"live":true}`)), false
	case kserve.ServerReady:
		if !g.ready.Load() {
			return jsonResponse(503, []byte(`{"ready":false}`)), false
		}
		return jsonResponse(200, []byte(`{"ready":true}`)), false
	case kserve.ServerMetadata:
		return jsonResponse(200, []byte(`{"name":"hollymast","version":"2","extensions":["binary_tensor_data"]}`)), false
	case kserve.ModelReady, kserve.ModelMetadata:
		if !known {
			return errorResponse(404, "no workload is told for "+call.Model), false
		}
		if call.Kind == kserve.ModelMetadata {
			return jsonResponse(200, fmt.Appendf(nil, `{"name":%q,"platform":"hollymast","inputs":[],"outputs":[]}`, call.Model)), false
		}
		return jsonResponse(200, fmt.Appendf(nil, `{"name":%q,"ready":%t}`, call.Model, g.ready.Load())), false
	case kserve.RepositoryIndex, kserve.RepositoryLoad, kserve.RepositoryUnload:
		return errorResponse(405, "copies are loaded as jobs need them, not by clients"), false
	}
	if !known {
		return errorResponse(404, "no workload is told for "+call.Model), false
	}
	if admin {
		return errorResponse(404, "jobs are taken at the other address"), false
	}
	return g.infer(c, q, call, pattern)
}

const tenantHeader = "X-Tenant"

// infer takes a job and waits for its one answer.
func (g *Gateway) infer(c *rest.Conn, q *rest.Request, call kserve.Call, pattern Pattern) (*rest.Response, bool) {
	ask, err := kserve.ReadInfer(q.Header, q.Body)
	if err != nil {
		return errorResponse(400, err.Error()), false
	}
	if !g.ready.Load() {
		why := errNoEndpoints.Error()
		if g.isStopping() {
			why = "this router is stopping"
		}
		return rejection(why, g.config.Deployment.MaxRetryAfter), false
	}
	seen := g.now()
	if c.PeerClosed() { // after a stall of this process, say: its time may be long over
		return rejection("the client closed its side of the connection", 0), true
	}
	tenant, ok := g.config.Tenants[q.Header.Get(tenantHeader)]
	if !ok {
		tenant = control.TenantID(len(g.config.Deployment.Quotas)) // of no told share
	}
	j := &request{function: call.Model, tenant: g.config.tenantName(tenant), call: call, message: q, client: c, response: make(chan *rest.Response, 1)}
	j.clientCheckedAt.Store(int64(seen))
	g.post(func(now control.Micros) {
		g.handleRequest(now, j, pattern, tenant, ask, micros(time.Since(q.ArrivedAt)))
	})
	gone, stop := c.WatchClose()
	left := false
	select {
	case p := <-j.response:
		stop()
		return p, false
	case <-gone:
		left = true
		g.post(func(now control.Micros) { g.handleClientClosed(now, j) })
	case <-g.loopEnded:
	}
	stop()
	select {
	case p := <-j.response:
		return p, left
	case <-g.loopEnded:
	}
	select { // the last turn is over: what has no answer now was never taken
	case p := <-j.response:
		return p, left
	default:
		return rejection("this router is stopping", g.config.Deployment.MaxRetryAfter), left
	}
}

func jsonResponse(status int, body []byte) *rest.Response {
	return &rest.Response{Status: status, Header: rest.Header{"Content-Type": {"application/json"}}, Body: body}
}

func errorResponse(status int, why string) *rest.Response {
	return jsonResponse(status, kserve.Fault{Error: why}.Body())
}

// pushedBack is the answer that promises that trying again is harmless.
func rejection(why string, stayAway control.Micros) *rest.Response {
	return overloadRejection(why, stayAway, "")
}

// refusal is one that names the kind of storm that it is for.
func overloadRejection(why string, stayAway control.Micros, kind string) *rest.Response {
	p := jsonResponse(503, kserve.Fault{Error: why, Answer: "pushed back", Storm: kind, RetryAfter: int64(stayAway)}.Body())
	if stayAway > 0 {
		p.Header["Retry-After"] = []string{strconv.FormatInt((int64(stayAway)+999_999)/1_000_000, 10)}
	}
	return p
}

// killed is the answer that promises nothing.
func failure(why string) *rest.Response {
	return jsonResponse(504, kserve.Fault{Error: why, Answer: "killed"}.Body())
}
