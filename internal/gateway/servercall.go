package gateway

import (
	"context"
	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/persistence"
	"hollymast/internal/rest"
	"hollymast/kserve"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// sending is one execution or order on its way.
type serverCall struct {
	request      *request // nil of an order
	attempt      control.AttemptID
	load         control.LoadCommand
	to           control.ServerID
	message      *rest.Request
	journalRound *persistence.Batch // of the journal, in which it must be before it is written; nil: none
	writeBefore  control.Micros     // it is not written later
	deadline     time.Time
	ctx          context.Context
	cancel       context.CancelFunc
	stage        atomic.Int32 // an attempt.Stage
	conn         *serverConn
	progress     attempt.Progress // the turn's
}

func (g *Gateway) newCall(to control.ServerID, timeout control.Micros) *serverCall {
	call := &serverCall{to: to, writeBefore: attempt.WriteUntil(g.endpointsAsOf, micros(g.config.GracePeriod)), deadline: g.startedAt.Add(duration(g.stepTime + timeout - g.epoch))}
	call.ctx, call.cancel = context.WithCancel(context.Background())
	return call
}

// withdraw takes back what is not yet being written; what is goes on.
func (call *serverCall) withdraw() bool {
	if !attempt.Transition(&call.stage, attempt.Stage.Withdraw) {
		return false
	}
	call.cancel()
	return true
}

// callOff also breaks off what was written.
func (call *serverCall) abandon() {
	if call.progress.Cancel() && !call.withdraw() && call.conn != nil {
		if client := call.conn.client.Load(); client != nil {
			client.Abort()
		}
	}
}

// dispatch hands a sending to an idle connection, or opens one.
func (g *Gateway) dispatch(call *serverCall) {
	pool := g.pools[call.to]
	if pool == nil {
		pool = &serverPool{id: call.to, address: g.fleet.Get(call.to).Address, open: map[*serverCall]struct{}{}}
		g.pools[call.to] = pool
	}
	pool.open[call] = struct{}{}
	call.message.Header["Host"] = []string{pool.address}
	call.message.Header["Via"] = append(call.message.Header["Via"][:len(call.message.Header["Via"]):len(call.message.Header["Via"])], g.via)
	switch pool.conns.Acquire(g.config.MaxConnsPerServer) {
	case attempt.Reuse:
		n := len(pool.idle)
		call.conn = pool.idle[n-1]
		pool.idle = pool.idle[:n-1]
	case attempt.OpenNew:
		call.conn = &serverConn{gateway: g, address: pool.address, calls: make(chan *serverCall, 1)}
		g.serverConns.Add(1)
		go call.conn.run()
	case attempt.NoneLeft: // never sent; told in the next turn, since this one is still asking
		g.post(func(now control.Micros) { g.callEnded(now, call, callResult{result: control.NotSent}, false) })
		return
	}
	call.conn.calls <- call
}

// exchange is what came of a sending.
type callResult struct {
	result   control.Result
	response *rest.Response
	duration time.Duration
}

// wanted tells whether the client of a job still waits. Guards against an execution that begins while its client's close lies
// unread in the socket, as after a stop of the process.
func (g *Gateway) clientWaits(req *request) bool {
	now := g.now()
	if req == nil || !attempt.MustCheckClient(now-control.Micros(req.clientCheckedAt.Load())) {
		return true
	}
	if req.client.PeerClosed() {
		g.post(func(now control.Micros) { g.handleClientClosed(now, req) })
		return false
	}
	req.clientCheckedAt.Store(int64(now))
	return true
}

// tellsLeft has an execution tell how long it is waited for; no tells that it has no time left. Guards against a figure from when
// it was chosen: a dial, the journal or a stop of the process may have taken much of it.
func (call *serverCall) stateTimeLeft() bool {
	left := time.Until(call.deadline).Milliseconds()
	if call.request != nil {
		call.message.Header[kserve.TimeoutHeader] = []string{strconv.FormatInt(left, 10)}
	}
	return left > 0
}

// over takes in the end of a sending, and its link back if it can be used again.
func (g *Gateway) callEnded(now control.Micros, call *serverCall, result callResult, open bool) {
	pool := g.pools[call.to]
	delete(pool.open, call)
	call.progress.End()
	if call.conn != nil {
		switch keep := pool.conns.Release(open, g.isListed(call.to)); {
		case keep:
			call.conn.idleSince = now
			pool.idle = append(pool.idle, call.conn)
		case open:
			close(call.conn.calls)
		}
	}
	if call.request == nil {
		copies := -1
		if result.response != nil {
			copies = kserve.Copies(result.response.Body)
		}
		if result.result == control.Succeeded && copies < 0 {
			copies = call.load.Replicas // an answer that tells no number has done what was asked
		}
		g.loadCommandEnded(now, call, result.result, micros(result.duration), copies)
		return
	}
	outcome := control.Outcome{Result: result.result}
	if result.response != nil {
		outcome = OutcomeOf(result.response, false)
	}
	outcome.Attempt, outcome.Server, outcome.Duration = call.attempt, call.to, micros(result.duration)
	g.attemptEnded(now, call, outcome, result.response)
}

// execution is the request of one execution: the client's own, with what is ours to say.
func (g *Gateway) attemptMessage(req *request, attemptID control.AttemptID) *rest.Request {
	h := forwardedHeader(req.message.Header)
	h[kserve.AttemptHeader] = []string{strconv.Itoa(int(attemptID) + 1)}
	h[kserve.RepeatMark] = []string{req.idempotencyKey}
	return &rest.Request{Method: "POST", Target: req.call.Target(), Header: h, Body: req.message.Body}
}

// forwarded copies the fields that are meant for the other end, without those for one connection (RFC 9110, 7.6.1).
func forwardedHeader(h rest.Header) rest.Header {
	to := make(rest.Header, len(h)+3)
	for k, v := range h {
		switch k {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
			"Content-Length", "Expect":
			continue
		}
		to[k] = v
	}
	for _, fields := range h["Connection"] {
		for name := range strings.SplitSeq(fields, ",") {
			delete(to, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return to
}
