package gateway

import (
	"errors"
	"fmt"
	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/rest"
	"hollymast/kserve"
	"net"
	"strings"
	"time"
)

// converse answers one connection's requests, each in its turn.
func (g *Gateway) readLoop(conn net.Conn, admin bool) {
	limits := rest.DefaultLimits
	limits.MaxBody, limits.IdleTimeout = g.config.MaxBody, g.config.ClientIdleTimeout
	limits.HeaderTimeout, limits.BodyTimeout = g.config.HeaderTimeout, g.config.BodyTimeout
	reserved := 0
	client := rest.NewConn(conn, &limits, func(n int) bool {
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
		g.clientConns.Delete(client)
		client.Close()
	}()
	g.clientConns.Store(client, nil)
	held := g.config.shutdownTimes().readUntil
	if g.isStopping() {
		client.SetIdleDeadline(g.afterStop(held))
	}
	for {
		msg, err := client.ReadRequest()
		if err != nil {
			var distrusted *rest.PeerUntrustedError
			if errors.As(err, &distrusted) {
				resp := rejection(distrusted.Error(), 0)
				resp.Close = true
				client.WriteResponse(resp)
			}
			var refused *rest.MessageError
			if errors.As(err, &refused) {
				resp := errorResponse(refused.Status, refused.Reason)
				if refused.Status == 503 {
					resp = rejection(refused.Reason, g.config.Deployment.MaxRetryAfter)
				}
				resp.Close = true
				client.WriteResponse(resp)
			}
			return
		}
		resp, left := g.respond(client, msg, admin)
		free()
		state := attempt.ClientConnection{Stopping: g.isStopping()}
		state.More = (left || state.Stopping) && client.HasPending() && (!state.Stopping || time.Now().Before(g.afterStop(held)))
		resp.Close = state.CloseAfter(resp.Close, msg.Close, left)
		if client.WriteResponse(resp) != nil || resp.Close {
			return
		}
	}
}

// respond answers one request; left tells that its client has closed its side.
func (g *Gateway) respond(client *rest.Conn, msg *rest.Request, admin bool) (resp *rest.Response, left bool) {
	if admin && strings.HasPrefix(msg.Target, "/metrics") {
		return g.metrics.response(), false
	}
	if admin && strings.HasPrefix(msg.Target, "/router/") {
		return g.serveAdmin(msg), false
	}
	call, err := kserve.ReadTarget(msg.Method, msg.Target)
	switch {
	case errors.Is(err, kserve.ErrMethod):
		return errorResponse(405, err.Error()), false
	case err != nil:
		return errorResponse(404, "no such call: "+msg.Target), false
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
	return g.infer(client, msg, call, pattern)
}

const tenantHeader = "X-Tenant"

// infer takes a job and waits for its one answer.
func (g *Gateway) infer(client *rest.Conn, msg *rest.Request, call kserve.Call, pattern Pattern) (*rest.Response, bool) {
	ask, err := kserve.ReadInfer(msg.Header, msg.Body)
	if err != nil {
		return errorResponse(400, err.Error()), false
	}
	if !g.ready.Load() {
		reason := errNoEndpoints.Error()
		if g.isStopping() {
			reason = "this router is stopping"
		}
		return rejection(reason, g.config.Deployment.MaxRetryAfter), false
	}
	seen := g.now()
	if client.PeerClosed() { // after a stall of this process, say: its time may be long over
		return rejection("the client closed its side of the connection", 0), true
	}
	tenant, ok := g.config.Tenants[msg.Header.Get(tenantHeader)]
	if !ok {
		tenant = control.TenantID(len(g.config.Deployment.Quotas)) // of no told share
	}
	req := &request{function: call.Model, tenant: g.config.tenantName(tenant), call: call, message: msg, client: client, response: make(chan *rest.Response, 1)}
	req.clientCheckedAt.Store(int64(seen))
	g.post(func(now control.Micros) {
		g.handleRequest(now, req, pattern, tenant, ask, micros(time.Since(msg.ArrivedAt)))
	})
	gone, stop := client.WatchClose()
	left := false
	select {
	case resp := <-req.response:
		stop()
		return resp, false
	case <-gone:
		left = true
		g.post(func(now control.Micros) { g.handleClientClosed(now, req) })
	case <-g.loopEnded:
	}
	stop()
	select {
	case resp := <-req.response:
		return resp, left
	case <-g.loopEnded:
	}
	select { // the last turn is over: what has no answer now was never taken
	case resp := <-req.response:
		return resp, left
	default:
		return rejection("this router is stopping", g.config.Deployment.MaxRetryAfter), left
	}
}
