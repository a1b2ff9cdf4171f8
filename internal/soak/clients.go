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

// client sends requests on one connection after the other, to whichever router the front gives it. It goes on sending on an
// open connection whatever the router does, until that closes.
type client struct {
	run    *run
	random *rand.Rand
}

// clientConn is a client's connection to a router.
type clientConn struct {
	client *client
	router *router
	conn   net.Conn

	mu     sync.Mutex
	open   map[uint32]*requestRecord
	ended  map[uint32]*requestRecord // answered, or cancelled
	last   uint32
	closed bool
}

// How clients behave.
const (
	clientsPerRouter = 4
	maxOpen          = 32    // on a connection, by the protocol
	departShare      = 0.002 // close their connection with requests open
	retryShare       = 0.7   // of rejected requests, sent again after the pause that was asked for
	maxRetries       = 2
	bodySize         = 64
)

// serve sends requests until the run's traffic ends.
func (c *client) serve() {
	for !c.run.trafficOver() {
		router := c.run.front(c.random)
		if router == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.connect(router)
	}
}

// connect sends on one connection until it closes, or its time is up.
func (c *client) connect(router *router) {
	if !c.converse(router, c.send) {
		time.Sleep(20 * time.Millisecond)
	}
}

// converse opens a connection to a router, has send use it, waits for what is open then, and closes it. It returns false if there
// is no connection.
func (c *client) converse(router *router, send func(*clientConn)) bool {
	conn, err := net.Dial("tcp", router.address)
	if err != nil {
		return false
	}
	cc := &clientConn{client: c, router: router, conn: conn, open: map[uint32]*requestRecord{}, ended: map[uint32]*requestRecord{}}
	var reading sync.WaitGroup
	reading.Go(cc.readAnswers)
	send(cc)
	cc.finish()
	reading.Wait()
	return true
}

// send sends at the traffic's rate. It returns when the connection has closed, the traffic is over, or after a while: clients
// open new connections all the time. A router that stops is sent requests until its end.
func (c *client) send(cc *clientConn) {
	until := time.Now().Add(spanBetween(c.random, 3*time.Second, 10*time.Second))
	for {
		rate := c.run.rate() / float64(clientsPerRouter*c.run.scenario.Routers)
		pause := time.Duration(-math.Log(1-c.random.Float64()) / max(rate, 0.01) * float64(time.Second))
		time.Sleep(min(pause, time.Second))
		stopping := !cc.router.isReady()
		if c.run.trafficOver() || cc.isClosed() || time.Now().After(until) && !stopping {
			return
		}
		if pause > time.Second {
			continue
		}
		if c.random.Float64() < departShare {
			cc.depart()
			return
		}
		cc.sendRequest(c.run.drawRequest(c.random), 0)
	}
}

// isClosed reports whether the connection has closed.
func (cc *clientConn) isClosed() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.closed
}

// depart closes the connection with requests open.
func (cc *clientConn) depart() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.closed = true
	for _, r := range cc.open {
		cc.client.run.ledger.noteDeparted(r, time.Now())
	}
	clear(cc.open)
	cc.conn.Close()
}

// finish waits for what is open and closes the connection.
func (cc *clientConn) finish() {
	for begin := time.Now(); time.Since(begin) < cc.client.run.longestWait(); time.Sleep(5 * time.Millisecond) {
		cc.mu.Lock()
		done := cc.closed || len(cc.open) == 0
		cc.mu.Unlock()
		if done {
			break
		}
	}
	cc.depart()
}

// sendRequest sends a request; retry counts how often its client has sent it before.
func (cc *clientConn) sendRequest(draft requestDraft, retry int) {
	run := cc.client.run
	id := run.newRequestID()
	body := bytes.Repeat([]byte{byte(id)}, bodySize)
	fields := map[string]string{"ref": fmt.Sprintf("%016x", id), "allow": fmt.Sprint(draft.timeout.Milliseconds()), "project": tenant,
		"lookup": fmt.Sprintf("%016x", draft.function), "spec": "memory_mb:512;lanes:2"}
	if draft.class.Semantics == IdempotentByKey {
		fields["replay"] = draft.key
	}
	if retry > 0 {
		fields["dup"] = "1"
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed || len(cc.open) >= maxOpen {
		return
	}
	cc.last++
	number := cc.last
	text, err := msgpack.Marshal([]any{0, number, draft.class.Name, []any{fields, body}})
	if err != nil {
		panic(err) // plain values
	}
	now := time.Now()
	r := &requestRecord{requestDraft: draft, id: id, body: body, retry: retry, router: cc.router.number, sentAt: now,
		deadline: now.Add(draft.timeout)}
	run.ledger.add(r)
	if _, err := cc.conn.Write(text); err != nil {
		run.ledger.noteDeparted(r, now) // not taken
		return
	}
	cc.open[number] = r
	if run.chance() < run.scenario.CancelShare {
		after := time.Duration(run.chance() * float64(draft.timeout))
		time.AfterFunc(after, func() { cc.cancel(number, r) })
	}
}

// cancel tells the router that the client no longer waits for a request.
func (cc *clientConn) cancel(number uint32, r *requestRecord) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.open[number] != r || cc.closed {
		return
	}
	delete(cc.open, number)
	cc.ended[number] = r
	cc.client.run.ledger.noteDeparted(r, time.Now())
	text, err := msgpack.Marshal([]any{2, "forget", []any{number}})
	if err != nil {
		panic(err) // plain values
	}
	cc.conn.Write(text)
}

// readAnswers reads answers until the connection ends.
func (cc *clientConn) readAnswers() {
	answers := msgpack.NewDecoder(cc.conn)
	for {
		answer, err := answers.DecodeSlice()
		at := time.Now()
		if err != nil {
			cc.noteEnd(at)
			return
		}
		if len(answer) < 4 {
			cc.client.run.ledger.report(at, RuleOneResponse, "n%d sent a message of %d parts", cc.router.number, len(answer))
			continue
		}
		var number uint32
		fmt.Sscan(fmt.Sprint(answer[1]), &number)
		cc.handleAnswer(at, number, answer[2], answer[3])
	}
}

// noteEnd records the end of the connection under what is open.
func (cc *clientConn) noteEnd(at time.Time) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed {
		return
	}
	cc.closed = true
	cc.conn.Close()
	alone := true // but for requests that crossed the close
	for _, r := range cc.open {
		alone = alone && at.Sub(r.sentAt) <= resendWindow
	}
	for _, r := range cc.open {
		cc.client.run.ledger.noteClosed(r, at, cc.router.whyClosed(at, r.sentAt), alone)
	}
}

// handleAnswer records an answer, and has a rejected request sent again.
func (cc *clientConn) handleAnswer(at time.Time, number uint32, fault, result any) {
	cc.mu.Lock()
	r := cc.open[number]
	if r == nil {
		r = cc.ended[number] // an answer that crossed a cancellation, or a second one
	} else {
		delete(cc.open, number)
		cc.ended[number] = r
	}
	cc.mu.Unlock()
	if r == nil {
		return
	}
	run := cc.client.run
	kind, pause := readFault(fault)
	run.ledger.noteAnswer(r, at, kind)
	if kind == answeredServed {
		if parts, ok := result.([]any); !ok || len(parts) < 1 || !bytes.Equal(asBytes(parts[0]), r.body) {
			run.ledger.report(at, RuleRequestIntegrity, "request %016x was served another body", r.id)
		}
	}
	if kind == answeredRejected && r.retry < maxRetries && run.chance() < retryShare {
		time.AfterFunc(pause, func() { run.sendAgain(r.requestDraft, r.retry+1) })
	}
}

// asBytes returns a value that msgpack decoded as bytes.
func asBytes(v any) []byte {
	b, _ := v.([]byte)
	return b
}

// readFault reads the error part of an answer, and for how long a rejected client is to stay away.
func readFault(fault any) (kind answerKind, pause time.Duration) {
	parts, ok := fault.([]any)
	switch {
	case fault == nil:
		return answeredServed, 0
	case !ok || len(parts) == 0 || parts[0] != "TryLater":
		return answeredFailed, 0
	}
	milliseconds := 0
	if len(parts) > 1 {
		if fields, ok := parts[1].(map[string]any); ok {
			fmt.Sscan(fmt.Sprint(fields["cooldown"]), &milliseconds)
		}
	}
	return answeredRejected, time.Duration(milliseconds) * time.Millisecond
}
