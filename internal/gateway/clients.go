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
			for _, nc := range closeAccepting(l) {
				g.welcomed(nc, admin)
			}
			return
		}
		if err != nil { // out of descriptors, say: connections will end
			g.log.Warn().Err(err).Msg("a connection could not be accepted")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		g.welcomed(nc, admin)
	}
}

// welcomed serves a connection that was accepted.
func (g *Gateway) welcomed(nc net.Conn, admin bool) {
	if !admin && g.clients.Load() >= int64(g.told.MaxClientConns) {
		g.metrics.turnedAway.Inc()
		if g.rings[fromClients] != nil {
			nc.Close() // a handshake would cost more than it may: no connection stands, and nothing was taken
			return
		}
		go turnAway(nc, g.told.Deployment.MaxRetryAfter)
		return
	}
	g.clients.Add(1)
	g.asked.Add(1)
	if !admin && g.storm != nil {
		g.tell(func(now control.Micros) { g.storm.RecordConnection(now) })
	}
	go func() {
		defer g.asked.Done()
		defer g.clients.Add(-1)
		if !admin {
			var err error
			if nc, err = g.welcome(nc); err != nil {
				return
			}
		}
		g.converse(nc, admin)
	}()
}

// turnAway answers a connection beyond the bound before it has asked for anything: nothing was taken, so trying again
// is harmless.
func turnAway(nc net.Conn, stayAway control.Micros) {
	limits := rest.Limits{WriteTimeout: time.Second}
	c := rest.NewConn(nc, &limits, nil)
	p := pushedBack("too many connections", stayAway)
	p.Close = true
	c.WriteResponse(p)
	c.Close()
}

// converse answers one connection's requests, each in its turn.
func (g *Gateway) converse(nc net.Conn, admin bool) {
	limits := rest.DefaultLimits
	limits.MaxBody, limits.IdleTimeout = g.told.MaxBody, g.told.ClientIdleTimeout
	limits.HeaderTimeout, limits.BodyTimeout = g.told.HeaderTimeout, g.told.BodyTimeout
	reserved := 0
	c := rest.NewConn(nc, &limits, func(n int) bool {
		if g.bytes.Add(int64(n)) > int64(g.told.MaxBodyBytes) {
			g.bytes.Add(int64(-n))
			return false
		}
		reserved += n
		return true
	})
	free := func() { g.bytes.Add(int64(-reserved)); reserved = 0 }
	defer func() {
		free()
		g.conns.Delete(c)
		c.Close()
	}()
	g.conns.Store(c, nil)
	held := g.told.stopTimes().held
	if g.isStopping() {
		c.SetIdleDeadline(g.sinceStop(held))
	}
	for {
		q, err := c.ReadRequest()
		if err != nil {
			var distrusted *rest.PeerUntrustedError
			if errors.As(err, &distrusted) {
				p := pushedBack(distrusted.Error(), 0)
				p.Close = true
				c.WriteResponse(p)
			}
			var refused *rest.MessageError
			if errors.As(err, &refused) {
				p := fault(refused.Status, refused.Reason)
				if refused.Status == 503 {
					p = pushedBack(refused.Reason, g.told.Deployment.MaxRetryAfter)
				}
				p.Close = true
				c.WriteResponse(p)
			}
			return
		}
		p, left := g.respond(c, q, admin)
		free()
		state := attempt.ClientConnection{Stopping: g.isStopping()}
		state.More = (left || state.Stopping) && c.HasPending() && (!state.Stopping || time.Now().Before(g.sinceStop(held)))
		p.Close = state.CloseAfter(p.Close, q.Close, left)
		if c.WriteResponse(p) != nil || p.Close {
			return
		}
	}
}

// respond answers one request; left tells that its client has closed its side.
func (g *Gateway) respond(c *rest.Conn, q *rest.Request, admin bool) (p *rest.Response, left bool) {
	if admin && strings.HasPrefix(q.Target, "/metrics") {
		return g.metrics.page(), false
	}
	if admin && strings.HasPrefix(q.Target, "/router/") {
		return g.operate(q), false
	}
	call, err := kserve.ReadTarget(q.Method, q.Target)
	switch {
	case errors.Is(err, kserve.ErrMethod):
		return fault(405, err.Error()), false
	case err != nil:
		return fault(404, "no such call: "+q.Target), false
	}
	pattern, known := g.told.Match(call.Model)
	switch call.Kind {
	case kserve.ServerLive:
		return object(200, []byte(`{"live":true}`)), false
	case kserve.ServerReady:
		if !g.ready.Load() {
			return object(503, []byte(`{"ready":false}`)), false
		}
		return object(200, []byte(`{"ready":true}`)), false
	case kserve.ServerMetadata:
		return object(200, []byte(`{"name":"hollymast","version":"2","extensions":["binary_tensor_data"]}`)), false
	case kserve.ModelReady, kserve.ModelMetadata:
		if !known {
			return fault(404, "no workload is told for "+call.Model), false
		}
		if call.Kind == kserve.ModelMetadata {
			return object(200, fmt.Appendf(nil, `{"name":%q,"platform":"hollymast","inputs":[],"outputs":[]}`, call.Model)), false
		}
		return object(200, fmt.Appendf(nil, `{"name":%q,"ready":%t}`, call.Model, g.ready.Load())), false
	case kserve.RepositoryIndex, kserve.RepositoryLoad, kserve.RepositoryUnload:
		return fault(405, "copies are loaded as jobs need them, not by clients"), false
	}
	if !known {
		return fault(404, "no workload is told for "+call.Model), false
	}
	if admin {
		return fault(404, "jobs are taken at the other address"), false
	}
	return g.infer(c, q, call, pattern)
}

const tenantHeader = "X-Tenant"

// infer takes a job and waits for its one answer.
func (g *Gateway) infer(c *rest.Conn, q *rest.Request, call kserve.Call, pattern Pattern) (*rest.Response, bool) {
	ask, err := kserve.ReadInfer(q.Header, q.Body)
	if err != nil {
		return fault(400, err.Error()), false
	}
	if !g.ready.Load() {
		why := errNoList.Error()
		if g.isStopping() {
			why = "this router is stopping"
		}
		return pushedBack(why, g.told.Deployment.MaxRetryAfter), false
	}
	seen := g.now()
	if c.PeerClosed() { // after a stall of this process, say: its time may be long over
		return pushedBack("the client closed its side of the connection", 0), true
	}
	tenant, ok := g.told.Tenants[q.Header.Get(tenantHeader)]
	if !ok {
		tenant = control.TenantID(len(g.told.Deployment.Quotas)) // of no told share
	}
	j := &job{name: call.Model, tenant: g.told.tenantName(tenant), call: call, request: q, client: c, answer: make(chan *rest.Response, 1)}
	j.seen.Store(int64(seen))
	g.tell(func(now control.Micros) {
		g.arrived(now, j, pattern, tenant, ask, micros(time.Since(q.ArrivedAt)))
	})
	gone, stop := c.WatchClose()
	left := false
	select {
	case p := <-j.answer:
		stop()
		return p, false
	case <-gone:
		left = true
		g.tell(func(now control.Micros) { g.left(now, j) })
	case <-g.ended:
	}
	stop()
	select {
	case p := <-j.answer:
		return p, left
	case <-g.ended:
	}
	select { // the last turn is over: what has no answer now was never taken
	case p := <-j.answer:
		return p, left
	default:
		return pushedBack("this router is stopping", g.told.Deployment.MaxRetryAfter), left
	}
}

func object(status int, body []byte) *rest.Response {
	return &rest.Response{Status: status, Header: rest.Header{"Content-Type": {"application/json"}}, Body: body}
}

func fault(status int, why string) *rest.Response {
	return object(status, kserve.Fault{Error: why}.Body())
}

// pushedBack is the answer that promises that trying again is harmless.
func pushedBack(why string, stayAway control.Micros) *rest.Response {
	return refusal(why, stayAway, "")
}

// refusal is one that names the kind of storm that it is for.
func refusal(why string, stayAway control.Micros, kind string) *rest.Response {
	p := object(503, kserve.Fault{Error: why, Answer: "pushed back", Storm: kind, RetryAfter: int64(stayAway)}.Body())
	if stayAway > 0 {
		p.Header["Retry-After"] = []string{strconv.FormatInt((int64(stayAway)+999_999)/1_000_000, 10)}
	}
	return p
}

// killed is the answer that promises nothing.
func killed(why string) *rest.Response {
	return object(504, kserve.Fault{Error: why, Answer: "killed"}.Body())
}
