package soak

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// client opens one connection after the other, each to a router that pickRouter chooses, and sends requests on it. It keeps using
// an open connection, even if the router is stopping, until that connection closes.
type client struct {
	run    *run
	random *rand.Rand
}

// clientConn is a client's connection to a router. The maps are keyed by message number.
type clientConn struct {
	client *client
	router *router
	conn   net.Conn

	mu         sync.Mutex
	inFlight   map[uint32]*requestRecord
	ended      map[uint32]*requestRecord // answered or cancelled
	lastNumber uint32
	closed     bool
}

// Client behaviour.
const (
	clientsPerRouter = 4
	maxInFlight      = 32    // requests in flight on one connection, as limited by the protocol
	disconnectShare  = 0.002 // per request: probability that the client disconnects with requests in flight
	retryShare       = 0.7   // share of rejected requests that are retried after the delay the router asked for
	maxRetries       = 2
	bodySize         = 64
)

// serve sends requests until the traffic of the run ends.
func (c *client) serve() {
	for !c.run.trafficEnded() {
		router := c.run.pickRouter(c.random)
		if router == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.serveConnection(router)
	}
}

// serveConnection opens one connection and sends traffic on it. If the router cannot be reached, it waits briefly.
func (c *client) serveConnection(router *router) {
	if !c.withConnection(router, c.sendTraffic) {
		time.Sleep(20 * time.Millisecond)
	}
}

// withConnection opens a connection to a router, lets send use it, waits for the responses still due and closes it. It returns
// false if the router cannot be reached.
func (c *client) withConnection(router *router, send func(*clientConn)) bool {
	conn, err := net.Dial("tcp", router.address)
	if err != nil {
		return false
	}
	cc := &clientConn{client: c, router: router, conn: conn, inFlight: map[uint32]*requestRecord{}, ended: map[uint32]*requestRecord{}}
	var reading sync.WaitGroup
	reading.Go(cc.readResponses)
	send(cc)
	cc.awaitAndClose()
	reading.Wait()
	return true
}

// sendTraffic sends requests at the current rate until the connection closes, the traffic ends or a random time has passed, since
// clients reconnect regularly. If the router is stopping, the client ignores that time limit and keeps sending until the
// connection closes.
func (c *client) sendTraffic(cc *clientConn) {
	until := time.Now().Add(uniformDuration(c.random, 3*time.Second, 10*time.Second))
	for {
		rate := c.run.currentRate() / float64(clientsPerRouter*c.run.scenario.Routers)
		pause := time.Duration(-math.Log(1-c.random.Float64()) / max(rate, 0.01) * float64(time.Second))
		time.Sleep(min(pause, time.Second))
		stopping := !cc.router.isReady()
		if c.run.trafficEnded() || cc.isClosed() || time.Now().After(until) && !stopping {
			return
		}
		if pause > time.Second {
			continue
		}
		if c.random.Float64() < disconnectShare {
			cc.disconnect()
			return
		}
		cc.sendRequest(c.run.drawRequest(c.random), 0)
	}
}

func (cc *clientConn) isClosed() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.closed
}

// disconnect closes the connection and records the requests in flight as abandoned.
func (cc *clientConn) disconnect() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.closed = true
	for _, r := range cc.inFlight {
		cc.client.run.ledger.recordAbandoned(r, time.Now())
	}
	clear(cc.inFlight)
	cc.conn.Close()
}

// awaitAndClose waits for the responses to requests in flight, up to a limit, and closes the connection.
func (cc *clientConn) awaitAndClose() {
	for begin := time.Now(); time.Since(begin) < cc.client.run.maxResponseWait(); time.Sleep(5 * time.Millisecond) {
		cc.mu.Lock()
		done := cc.closed || len(cc.inFlight) == 0
		cc.mu.Unlock()
		if done {
			break
		}
	}
	cc.disconnect()
}

// sendRequest sends a request; retry counts how often the client has sent it before.
func (cc *clientConn) sendRequest(params requestParams, retry int) {
	run := cc.client.run
	id := run.newRequestID()
	body := bytes.Repeat([]byte{byte(id)}, bodySize)
	fields := map[string]string{"ref": fmt.Sprintf("%016x", id), "allow": fmt.Sprint(params.timeout.Milliseconds()), "project": tenant,
		"lookup": fmt.Sprintf("%016x", params.function), "spec": "memory_mb:512;lanes:2"}
	if params.class.Semantics == IdempotentByKey {
		fields["replay"] = params.key
	}
	if retry > 0 {
		fields["dup"] = "1"
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed || len(cc.inFlight) >= maxInFlight {
		return
	}
	cc.lastNumber++
	number := cc.lastNumber
	message, err := msgpack.Marshal([]any{0, number, params.class.Name, []any{fields, body}})
	if err != nil {
		panic(err) // cannot fail: only strings, numbers and bytes
	}
	now := time.Now()
	r := &requestRecord{requestParams: params, id: id, body: body, retry: retry, router: cc.router.number, sentAt: now,
		deadline: now.Add(params.timeout)}
	run.ledger.add(r)
	if _, err := cc.conn.Write(message); err != nil {
		run.ledger.recordAbandoned(r, now) // the router did not receive it whole
		return
	}
	cc.inFlight[number] = r
	if run.randomFloat() < run.scenario.CancelShare {
		after := time.Duration(run.randomFloat() * float64(params.timeout))
		time.AfterFunc(after, func() { cc.cancel(number, r) })
	}
}

// cancel tells the router that the client no longer waits for a request.
func (cc *clientConn) cancel(number uint32, r *requestRecord) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.inFlight[number] != r || cc.closed {
		return
	}
	delete(cc.inFlight, number)
	cc.ended[number] = r
	cc.client.run.ledger.recordAbandoned(r, time.Now())
	message, err := msgpack.Marshal([]any{2, "forget", []any{number}})
	if err != nil {
		panic(err) // cannot fail: only strings and numbers
	}
	cc.conn.Write(message)
}

// readResponses handles responses until the connection closes.
func (cc *clientConn) readResponses() {
	decoder := msgpack.NewDecoder(cc.conn)
	for {
		response, err := decoder.DecodeSlice()
		at := time.Now()
		if err != nil {
			cc.recordClose(at)
			return
		}
		if len(response) < 4 {
			cc.client.run.ledger.report(at, RuleOneResponse, "n%d sent a response of %d elements, want at least 4", cc.router.number, len(response))
			continue
		}
		var number uint32
		fmt.Sscan(fmt.Sprint(response[1]), &number)
		cc.handleResponse(at, number, response[2], response[3])
	}
}

// recordClose records, for every request in flight, that the connection closed.
func (cc *clientConn) recordClose(at time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed {
		return
	}
	cc.closed = true
	cc.conn.Close()
	idle := true // apart from requests sent just before the close
	for _, r := range cc.inFlight {
		idle = idle && at.Sub(r.sentAt) <= resendWindow
	}
	for _, r := range cc.inFlight {
		cc.client.run.ledger.recordClose(r, at, cc.router.closeCause(at, r.sentAt), idle)
	}
}

// handleResponse records a response and may schedule a retry of a rejected request.
func (cc *clientConn) handleResponse(at time.Time, number uint32, errorPart, result any) {
	cc.mu.Lock()
	r := cc.inFlight[number]
	if r == nil {
		r = cc.ended[number] // a response that crossed a cancellation, or a second response
	} else {
		delete(cc.inFlight, number)
		cc.ended[number] = r
	}
	cc.mu.Unlock()
	if r == nil {
		return
	}
	run := cc.client.run
	kind, retryAfter := parseError(errorPart)
	run.ledger.recordResponse(r, at, kind)
	if kind == responseServed {
		if parts, ok := result.([]any); !ok || len(parts) < 1 || !bytes.Equal(asBytes(parts[0]), r.body) {
			run.ledger.report(at, RuleRequestIntegrity, "request %016x was served with a different body", r.id)
		}
	}
	if kind == responseRejected && r.retry < maxRetries && run.randomFloat() < retryShare {
		time.AfterFunc(retryAfter, func() { run.retryRequest(r.requestParams, r.retry+1) })
	}
}

// asBytes returns a value decoded by msgpack as bytes; nil if it has another type.
func asBytes(v any) []byte {
	b, _ := v.([]byte)
	return b
}

// parseError interprets the error element of a response. retryAfter is how long the client of a rejected request should wait
// before a retry.
func parseError(errorPart any) (kind responseKind, retryAfter time.Duration) {
	parts, ok := errorPart.([]any)
	switch {
	case errorPart == nil:
		return responseServed, 0
	case !ok || len(parts) == 0 || parts[0] != "TryLater":
		return responseFailed, 0
	}
	milliseconds := 0
	if len(parts) > 1 {
		if fields, ok := parts[1].(map[string]any); ok {
			fmt.Sscan(fmt.Sprint(fields["cooldown"]), &milliseconds)
		}
	}
	return responseRejected, time.Duration(milliseconds) * time.Millisecond
}
