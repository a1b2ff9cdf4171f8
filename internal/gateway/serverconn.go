package gateway

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/rest"
)

// link is one connection to a server; a goroutine of its own owns it.
type serverConn struct {
	gateway   *Gateway
	address   string
	calls     chan *serverCall // holds one
	idleSince control.Micros
	client    atomic.Pointer[rest.Client]
}

func (sc *serverConn) run() {
	defer sc.gateway.serverConns.Done()
	for call := range sc.calls {
		result := sc.exchange(call)
		call.cancel()
		open := sc.client.Load() != nil
		sc.gateway.post(func(now control.Micros) { sc.gateway.callEnded(now, call, result, open) })
		if !open {
			return
		}
	}
	if client := sc.client.Load(); client != nil {
		client.Close()
	}
}

// carry does one exchange. The connection is kept only where it may be used again.
func (sc *serverConn) exchange(call *serverCall) (result callResult) {
	begun := time.Now()
	defer func() { result.duration = time.Since(begun) }()
	client := sc.client.Load()
	if client != nil && client.Stale() { // closed while it was idle: nothing of this job was on it
		client.Close()
		client = nil
		sc.client.Store(nil)
	}
	if client == nil {
		var err error
		if client, err = sc.dial(call); err != nil {
			return callResult{result: attempt.UndialledResult(attempt.Stage(call.stage.Load()), errors.Is(err, errWithdrawn) || rest.LocalFailure(err))}
		}
		sc.client.Store(client)
	}
	kept := call.awaitJournal(sc.gateway.now()) && sc.gateway.clientWaits(call.request) && call.stateTimeLeft()
	if !attempt.Transition(&call.stage, func(st attempt.Stage) (attempt.Stage, bool) {
		return st.Write(kept, sc.gateway.now(), call.writeBefore)
	}) {
		return callResult{result: control.NotSent}
	}
	resp, progress, err := client.Do(call.message, call.deadline)
	if err == nil && !resp.Close {
		return callResult{result: responseResult(resp, call.request == nil), response: resp}
	}
	client.Close()
	sc.client.Store(nil)
	if err == nil {
		return callResult{result: responseResult(resp, call.request == nil), response: resp}
	}
	return callResult{result: BrokenExchangeResult(progress, err)}
}

var errWithdrawn = errors.New("withdrawn")

func (sc *serverConn) dial(call *serverCall) (*rest.Client, error) {
	ctx, cancel := context.WithTimeout(call.ctx, min(sc.gateway.config.DialTimeout, time.Until(call.deadline)))
	defer cancel()
	select {
	case sc.gateway.dialing <- struct{}{}:
		defer func() { <-sc.gateway.dialing }()
	case <-ctx.Done():
		return nil, errWithdrawn // waited for its turn to dial: nothing is known of the server
	}
	var before error // why the try before failed, through no fault of the server's
	for pause := dialPause; ; pause = min(2*pause, maxDialPause) {
		client, err := sc.gateway.dial(ctx, sc.address)
		switch {
		case err == nil:
			return client, nil
		case rest.LocalFailure(err), rest.TransientFailure(err):
		case rest.LocalFailure(before) && os.IsTimeout(err):
			return nil, before // the server had but the rest of the time
		default:
			return nil, err
		}
		before = err
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

// A dial that failed for a moment is tried again after dialPause, doubled up to dialPauseMost: such a moment may be a packet's.
const (
	dialPause    = 2 * time.Millisecond
	maxDialPause = 50 * time.Millisecond
)

// workerLimits bound answers: servers are ours, so their headers may be larger and their bodies any size that fits.
var serverLimits = rest.Limits{MaxLine: 16 << 10, MaxHeaders: 128, MaxHeaderBytes: 64 << 10, MaxBody: 64 << 20}
