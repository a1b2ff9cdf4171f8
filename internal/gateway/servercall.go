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

// serverCall is one attempt or load command sent to a server. The event loop creates it and handles its end; in between
// the goroutine of its connection uses it.
type serverCall struct {
	request      *request // nil: a load command
	attempt      control.AttemptID
	load         control.LoadCommand
	to           control.ServerID
	message      *rest.Request
	journalBatch *persistence.Batch // must be in the journal before the first byte is written; nil: nothing
	writeBefore  control.Micros     // its first byte is not written later
	deadline     time.Time          // its response is not awaited longer
	ctx          context.Context    // ends when it is withdrawn, and at its end
	cancel       context.CancelFunc
	stage        atomic.Int32     // an attempt.Stage
	conn         *serverConn      // nil: none was available
	progress     attempt.Progress // the event loop's
}

// newCall returns a call chosen in this step, to end within timeout, that must not be written later than its endpoint
// list allows.
func (g *Gateway) newCall(to control.ServerID, timeout control.Micros) *serverCall {
	call := &serverCall{
		to: to, writeBefore: g.loop.WriteDeadline(), deadline: g.loop.Time(g.loop.StepTime + timeout),
	}
	call.ctx, call.cancel = context.WithCancel(context.Background())
	return call
}

// withdraw withdraws a call that is not being written yet, and reports whether it did: it will never be written.
func (call *serverCall) withdraw() bool {
	if !attempt.Transition(&call.stage, attempt.Stage.Withdraw) {
		return false
	}
	call.cancel()
	return true
}

// abandon stops waiting for a call. What is written ends with its connection.
func (call *serverCall) abandon() {
	if call.progress.Cancel() && !call.withdraw() && call.conn != nil {
		if client := call.conn.client.Load(); client != nil {
			client.Abort()
		}
	}
}

// dispatch hands a call to an idle connection, or to a new one.
func (g *Gateway) dispatch(call *serverCall) {
	pool := g.poolOf(call.to)
	pool.open[call] = struct{}{}
	header := call.message.Header
	header["Host"] = []string{pool.address}
	header["Via"] = append(slices.Clip(header["Via"]), g.via) // the client's own header shares the array
	switch pool.conns.Acquire(g.config.MaxConnsPerServer) {
	case attempt.Reuse:
		last := len(pool.idle) - 1
		call.conn = pool.idle[last]
		pool.idle = pool.idle[:last]
	case attempt.OpenNew:
		call.conn = &serverConn{gateway: g, address: pool.address, calls: make(chan *serverCall, 1)}
		g.serverConns.Go(call.conn.run)
	case attempt.NoneLeft: // reported in the next step, since the core is still deciding in this one
		g.loop.Post(func(now control.Micros) { g.callEnded(now, call, callResult{result: control.NotSent}) })
		return
	}
	call.conn.calls <- call
}

// callResult is how a call ended.
type callResult struct {
	result   control.Result
	response *rest.Response // nil: none was read
	duration time.Duration
	connOpen bool // its connection can be used again
}

// clientWaits reports whether the client of a request, if there is one, still waits. It guards against an attempt that
// begins while its client's close is unread in the socket, as after a stall of this process.
func (g *Gateway) clientWaits(req *request) bool {
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

// stateTimeLeft has an attempt state the time that is left as of now, and reports whether any is. It guards against a
// timeout from when the attempt was chosen: a dial, the journal or a stall of the process may have taken much of it.
func (call *serverCall) stateTimeLeft() bool {
	left := time.Until(call.deadline).Milliseconds()
	if call.request != nil {
		call.message.Header[kserve.TimeoutHeader] = []string{strconv.FormatInt(left, 10)}
	}
	return left > 0
}

// callEnded handles the end of a call.
func (g *Gateway) callEnded(now control.Micros, call *serverCall, result callResult) {
	pool := g.pools[call.to]
	delete(pool.open, call)
	call.progress.End()
	if call.conn != nil {
		switch keep := pool.conns.Release(result.connOpen, g.isListed(call.to)); {
		case keep:
			call.conn.idleSince = now
			pool.idle = append(pool.idle, call.conn)
		case result.connOpen:
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
	outcome.Attempt, outcome.Server, outcome.Duration = call.attempt, call.to, micros(result.duration)
	g.attemptEnded(now, call, outcome, result.response)
}

// loadCommandEnded reports the result of a load command to the core.
func (g *Gateway) loadCommandEnded(now control.Micros, call *serverCall, result callResult) {
	g.openLoadCommands--
	replicas := -1
	if result.response != nil {
		replicas = kserve.ParseReplicaCount(result.response.Body)
	}
	if result.result == control.Succeeded && replicas < 0 {
		replicas = call.load.Replicas // a response without a number: all replicas that were asked for
	}
	g.core.HandleLoadResult(now, call.load.Server, call.load.Function, result.result, micros(result.duration), replicas)
}

// attemptMessage returns the HTTP request of an attempt: the client's own, with the attempt's number and the
// idempotency key.
func (g *Gateway) attemptMessage(req *request, attemptID control.AttemptID) *rest.Request {
	header := forwardedHeader(req.message.Header)
	header[kserve.AttemptHeader] = []string{strconv.Itoa(int(attemptID) + 1)}
	header[kserve.IdempotencyKeyHeader] = []string{req.idempotencyKey}
	return &rest.Request{Method: "POST", Target: req.call.Target(), Header: header, Body: req.message.Body}
}

// forwardedHeader returns the fields that are meant for the other end, without those for one connection (RFC 9110,
// section 7.6.1).
func forwardedHeader(header rest.Header) rest.Header {
	const own = 3 // fields that the caller may add
	forwarded := make(rest.Header, len(header)+own)
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
