package gateway

import (
	"context"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/persistence"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// serverCall is one attempt or load command for a server. The event loop creates it and handles its end; in between,
// the goroutine of its connection uses it.
type serverCall struct {
	request      *request // nil: a load command
	attempt      control.AttemptID
	load         control.LoadCommand
	server       control.ServerID
	message      *rest.Request
	journalBatch *persistence.Batch // must be in the journal before the first byte is written; nil: not journaled
	writeBefore  control.Micros     // latest time to write the first byte
	deadline     time.Time          // latest time to wait for the response
	ctx          context.Context    // done when the call is withdrawn or ends
	cancel       context.CancelFunc
	stage        atomic.Int32     // an attempt.Stage
	conn         *serverConn      // nil: no connection was available
	progress     attempt.Progress // owned by the event loop
}

// newCall returns a call chosen in this step. timeout counts from the step's time; the first byte must be written
// before the endpoint list that the choice is based on gets too old.
func (g *Gateway) newCall(server control.ServerID, timeout control.Micros) *serverCall {
	call := &serverCall{
		server: server, writeBefore: g.loop.WriteDeadline(), deadline: g.loop.Time(g.loop.StepTime + timeout),
	}
	call.ctx, call.cancel = context.WithCancel(context.Background())
	return call
}

// withdraw prevents a call from being written, unless writing has begun. It reports whether it succeeded.
func (call *serverCall) withdraw() bool {
	if !attempt.Transition(&call.stage, attempt.Stage.Withdraw) {
		return false
	}
	call.cancel()
	return true
}

// abandon stops waiting for a call: it withdraws the call or, if writing has begun, aborts its connection.
func (call *serverCall) abandon() {
	if call.progress.Cancel() && !call.withdraw() && call.conn != nil {
		if client := call.conn.client.Load(); client != nil {
			client.Abort()
		}
	}
}

// dispatch passes a call to an idle connection, or to a new one.
func (g *Gateway) dispatch(call *serverCall) {
	pool := g.poolFor(call.server)
	pool.inFlight[call] = struct{}{}
	header := call.message.Header
	header["Host"] = []string{pool.address}
	header["Via"] = append(slices.Clip(header["Via"]), g.via) // Clip: the array is shared with the client's header
	switch pool.conns.Acquire(g.config.MaxConnsPerServer) {
	case attempt.Reuse:
		last := len(pool.idle) - 1
		call.conn = pool.idle[last]
		pool.idle = pool.idle[:last]
	case attempt.OpenNew:
		call.conn = &serverConn{gateway: g, address: pool.address, calls: make(chan *serverCall, 1)}
		g.serverConns.Go(call.conn.run)
	case attempt.NoneLeft: // report it in the next step: the core is still deciding in this one
		g.loop.Post(func(now control.Micros) { g.callEnded(now, call, callResult{result: control.NotSent}) })
		return
	}
	call.conn.calls <- call
}

// callResult is the result of a call.
type callResult struct {
	result   control.Result
	response *rest.Response // nil: none was read
	duration time.Duration
	reusable bool // the connection can carry another call
}

// clientStillWaits reports whether the client of a request has not closed its side of the connection; it is true for a
// load command, where req is nil. It prevents an attempt from starting while the client's close is still unread in the
// socket, as after a stall of this process.
func (g *Gateway) clientStillWaits(req *request) bool {
	now := g.loop.Now()
	if req == nil || !attempt.MustCheckClient(now-control.Micros(req.clientCheckedAt.Load())) {
		return true
	}
	if req.client.PeerClosed() {
		g.loop.Post(func(now control.Micros) { g.handleClientClosed(now, req) })
		return false
	}
	req.clientCheckedAt.Store(int64(now))
	return true
}

// setRemainingTimeout sets an attempt's timeout header to the time left until its deadline, and reports whether any is
// left. The timeout at the time of the choice would be too long: dialing, the journal or a stall of the process may
// have taken much of it.
func (call *serverCall) setRemainingTimeout() bool {
	left := time.Until(call.deadline).Milliseconds()
	if call.request != nil {
		call.message.Header[kserve.TimeoutHeader] = []string{strconv.FormatInt(left, 10)}
	}
	return left > 0
}

// callEnded handles the end of a call.
func (g *Gateway) callEnded(now control.Micros, call *serverCall, result callResult) {
	pool := g.pools[call.server]
	delete(pool.inFlight, call)
	call.progress.End()
	if call.conn != nil {
		switch keep := pool.conns.Release(result.reusable, g.isListed(call.server)); {
		case keep:
			call.conn.idleSince = now
			pool.idle = append(pool.idle, call.conn)
		case result.reusable:
			close(call.conn.calls)
		}
	}
	if call.request == nil {
		g.loadCommandEnded(now, call, result)
		return
	}
	outcome := control.Outcome{Result: result.result}
	if result.response != nil {
		outcome = OutcomeOf(result.response)
	}
	outcome.Attempt, outcome.Server, outcome.Duration = call.attempt, call.server, micros(result.duration)
	g.attemptEnded(now, call, outcome, result.response)
}

// loadCommandEnded reports the result of a load command to the core.
func (g *Gateway) loadCommandEnded(now control.Micros, call *serverCall, result callResult) {
	g.loadCommandsInFlight--
	replicas := -1
	if result.response != nil {
		replicas = kserve.ParseReplicaCount(result.response.Body)
	}
	if result.result == control.Succeeded && replicas < 0 {
		replicas = call.load.Replicas // the response names no number: assume all replicas that were asked for
	}
	g.core.HandleLoadResult(now, call.load.Server, call.load.Function, result.result, micros(result.duration), replicas)
}

// attemptMessage returns the HTTP request of an attempt: the client's request with the attempt number and the
// idempotency key added.
func (g *Gateway) attemptMessage(req *request, attemptID control.AttemptID) *rest.Request {
	header := forwardedHeader(req.message.Header)
	header[kserve.AttemptHeader] = []string{strconv.Itoa(int(attemptID) + 1)}
	header[kserve.IdempotencyKeyHeader] = []string{req.idempotencyKey}
	return &rest.Request{Method: "POST", Target: req.call.Target(), Header: header, Body: req.message.Body}
}

// forwardedHeader returns the end-to-end fields of a header, without the hop-by-hop ones (RFC 9110, section 7.6.1).
func forwardedHeader(header rest.Header) rest.Header {
	const addedFields = 3 // capacity for fields that the caller adds
	forwarded := make(rest.Header, len(header)+addedFields)
	for name, values := range header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
			"Content-Length", "Expect":
			continue
		}
		forwarded[name] = values
	}
	for _, fields := range header["Connection"] {
		for name := range strings.SplitSeq(fields, ",") {
			delete(forwarded, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return forwarded
}
