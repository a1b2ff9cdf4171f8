package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/netfail"
	"hollymast/internal/rest"
)

// serverConn is one connection to a server. A goroutine of its own owns it, and carries one call at a time.
type serverConn struct {
	gateway   *Gateway
	address   string
	calls     chan *serverCall            // holds one; closed by the event loop when no more come
	idleSince control.Micros              // the event loop's
	client    atomic.Pointer[rest.Client] // nil: not connected
}

// serverLimits bound responses. Servers are trusted more than clients: their headers may be larger, and their bodies of
// any size that fits.
var serverLimits = rest.Limits{MaxLine: 16 << 10, MaxHeaders: 128, MaxHeaderBytes: 64 << 10, MaxBody: 64 << 20}

// run carries calls until none come, or the connection breaks.
func (sc *serverConn) run() {
	for call := range sc.calls {
		result := sc.exchange(call)
		call.cancel()
		sc.gateway.loop.Post(func(now control.Micros) { sc.gateway.callEnded(now, call, result) })
		if !result.connOpen {
			return
		}
	}
	if client := sc.client.Load(); client != nil {
		client.Close()
	}
}

// exchange carries one call, measures its duration, and finds whether the connection can be used again.
func (sc *serverConn) exchange(call *serverCall) callResult {
	begun := time.Now()
	result := sc.send(call)
	result.duration, result.connOpen = time.Since(begun), sc.client.Load() != nil
	return result
}

// send connects if need be, makes the last check before the first byte, writes the call and reads its response. The
// connection stays open only where it can be used again.
func (sc *serverConn) send(call *serverCall) callResult {
	g := sc.gateway
	client := sc.client.Load()
	if client != nil && client.Stale() { // closed while it was idle: nothing of this call was on it
		sc.close(client)
		client = nil
	}
	if client == nil {
		var err error
		if client, err = sc.dial(call); err != nil {
			local := errors.Is(err, errNotDialled) || netfail.IsLocal(err)
			return callResult{result: attempt.UnconnectedResult(attempt.Stage(call.stage.Load()), local)}
		}
		sc.client.Store(client)
	}
	allowed := call.awaitJournal(g.loop.Now()) && g.clientWaits(call.request) && call.stateTimeLeft()
	if !attempt.Transition(&call.stage, func(stage attempt.Stage) (attempt.Stage, bool) {
		return stage.BeginWrite(allowed, g.loop.Now(), call.writeBefore)
	}) {
		return callResult{result: control.NotSent}
	}
	resp, progress, err := client.Do(call.message, call.deadline)
	if err != nil || resp.Close {
		sc.close(client)
	}
	switch {
	case err != nil:
		return callResult{result: BrokenExchangeResult(progress, err)}
	case call.request == nil:
		return callResult{result: loadResult(resp), response: resp}
	}
	return callResult{result: attemptResult(resp), response: resp}
}

// close closes a connection that can't be used again.
func (sc *serverConn) close(client *rest.Client) {
	client.Close()
	sc.client.Store(nil)
}

// errNotDialled is the error of a call that ended while it waited to dial: nothing is known about the server.
var errNotDialled = errors.New("withdrawn")

// dial connects, as soon as one more connection may be dialled. Failures that say nothing about the server are retried until
// the dial timeout.
func (sc *serverConn) dial(call *serverCall) (*rest.Client, error) {
	g := sc.gateway
	ctx, cancel := context.WithTimeout(call.ctx, min(g.config.DialTimeout, time.Until(call.deadline)))
	defer cancel()
	select {
	case g.dialing <- struct{}{}:
		defer func() { <-g.dialing }()
	case <-ctx.Done():
		return nil, errNotDialled
	}
	return netfail.Dial(ctx, func() (*rest.Client, error) { return g.dial(ctx, sc.address) },
		func(error) netfail.RetryTiming { return netfail.RetryAfterPause })
}
