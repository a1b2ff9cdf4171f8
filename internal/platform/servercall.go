package platform

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/binframe"
	"hollymast/internal/config"
)

// serverCall is one attempt or load command sent to a server. The event loop owns it, except for the fields that are
// atomic or guarded by writing.
type serverCall struct {
	router         *Router
	request        *request // nil for a load command
	attempt        control.AttemptID
	load           control.LoadCommand
	id             binframe.ID
	server         control.ServerID
	message        *binframe.Attempt // nil for a load command
	conn           *serverConn       // nil if no connection was available
	chosenAt       control.Micros
	endpointsAsOf  control.Micros // when the endpoint list that it was chosen from was last complete
	writeBefore    control.Micros // its first byte must not be written later
	deadline       control.Micros // its answer is not awaited any longer
	clientDeadline control.Micros // the client's deadline, which bounds the timeout stated to the server
	unreadSince    control.Micros // since when the first byte waits for the client's reader; 0 if it does not wait
	writing        sync.Mutex     // held from the last check until the first byte is written
	stage          atomic.Int32   // an attempt.Stage
	writtenWhole   atomic.Bool    // its last byte has been written
	progress       attempt.Progress
	result         attemptResult // set when it has ended
	timer          *time.Timer
}

// withdraw withdraws a call of which no byte has been written yet, so that it is never written, and reports whether
// it did so.
func (call *serverCall) withdraw() bool {
	call.writing.Lock()
	defer call.writing.Unlock()
	return attempt.Transition(&call.stage, attempt.Stage.Withdraw)
}

// address returns the server's address, or the empty string if no connection was available.
func (call *serverCall) address() string {
	if call.conn == nil {
		return ""
	}
	return call.conn.pool.address
}

// currentStage returns the stage of the call. If its first byte is just being written, currentStage waits for that.
func (call *serverCall) currentStage() attempt.Stage {
	call.writing.Lock()
	defer call.writing.Unlock()
	return attempt.Stage(call.stage.Load())
}

// maxReaderWait is how long a first byte waits for its client's reader to process what is in the socket: a few
// scheduling delays of a shared core. The bound prevents a client that sends without pause from delaying the requests
// of others on the same server connection.
const maxReaderWait = 100 * time.Millisecond

// checkAndWrite makes the last check before the first byte and then writes that byte. The check does not wait for an
// event-loop step: it notices that the client has abandoned the request or closed its connection, or that the endpoint
// list has become too old since the server was chosen. Input that the client's reader has not processed yet may be a cancellation, so the
// reader gets time to process it first.
func (call *serverCall) checkAndWrite(write func() bool) (withdrawn bool) {
	call.writing.Lock()
	defer call.writing.Unlock()
	hasUnread := call.request != nil && !call.request.client.tracked.upToDate(time.Now())
	mayWrite := call.request == nil || !call.request.abandoned.Load() && !call.request.client.tracked.peerClosed()
	now := call.router.loop.Now()
	if !hasUnread {
		call.unreadSince = 0
	} else {
		call.unreadSince = cmp.Or(call.unreadSince, now)
		mayWrite = mayWrite && now-call.unreadSince < control.Micros(maxReaderWait.Microseconds())
	}
	next, ok := attempt.Stage(call.stage.Load()).BeginWrite(mayWrite, now, call.writeBefore)
	if !ok {
		call.router.loop.Post(func(now control.Micros) {
			call.withdraw()
			call.router.callEnded(now, call, control.NotSent, nil)
		})
		return true
	}
	if hasUnread {
		return false
	}
	if write() {
		call.stage.Store(int32(next))
		call.router.oldestEndpoints.record(int64(now - call.endpointsAsOf))
		if call.conn != nil {
			call.conn.pool.firstByte.record(int64(now))
		}
	}
	return false
}

// frame encodes the attempt's frame, which states the time left as of now.
func (call *serverCall) frame() []byte {
	call.message.Timeout = call.clientDeadline - call.router.loop.Now()
	return call.message.Frame()
}

// writeEnded records that a write has ended and whether the frame was written completely.
func (call *serverCall) writeEnded(whole bool) {
	call.writtenWhole.Store(whole)
	if !whole {
		call.conn.partialWrite.Store(true)
	}
}

// dispatch queues a call on a connection and starts its timeout. frame is the encoded load command; it is nil for an
// attempt, whose frame is encoded when its first byte is written.
func (r *Router) dispatch(now control.Micros, call *serverCall, frame []byte) {
	var sc *serverConn
	if server := r.fleet.Get(call.server); server != nil && server.State == control.Ready {
		sc = r.connFor(now, call)
	}
	call.timer = time.AfterFunc(duration(max(0, call.deadline-now)), func() {
		r.loop.Post(func(now control.Micros) { r.deadlinePassed(now, call) })
	})
	if sc != nil {
		call.conn = sc
		sc.open[call.id] = call
		if sc.writes.post(call.queueEntry(frame)) {
			return
		}
		delete(sc.open, call.id)
	}
	// The call was never sent. This is reported in the next step, because the core is still making its decisions in
	// this one.
	r.loop.Post(func(now control.Micros) { r.callEnded(now, call, control.NotSent, nil) })
}

// queueEntry returns the call as an entry of a write queue. data is the encoded load command; nil for an attempt.
func (call *serverCall) queueEntry(data []byte) queuedFrame {
	frame := queuedFrame{data: data, checkAndWrite: call.checkAndWrite, writeEnded: call.writeEnded}
	if call.message != nil {
		frame.encode, frame.size = call.frame, call.message.Size()
	}
	return frame
}

// hasUsed reports whether an earlier attempt of the same request was written to the connection.
func (call *serverCall) hasUsed(sc *serverConn) bool {
	return call.request != nil && slices.ContainsFunc(call.request.attempts, func(earlier *serverCall) bool {
		return earlier.conn == sc && earlier.currentStage() == attempt.Writing
	})
}

// handleAnswer handles a server's answer. Duplicates and answers that no call waits for are dropped; the connection
// stays open.
func (r *Router) handleAnswer(now control.Micros, sc *serverConn, answer *binframe.Answer) {
	call := sc.open[answer.ID]
	if call == nil || answer.Probe || call.currentStage() != attempt.Writing { // not written: this can't be its answer
		if sc.unsolicited.Add(1) == tolerableUnsolicited {
			sc.setCloseReason(serverCloseUnsolicited)
			r.retire(sc)
		}
		return
	}
	r.callEnded(now, call, answer.Result, answer)
}

// deadlinePassed handles the timeout of a call.
func (r *Router) deadlinePassed(now control.Micros, call *serverCall) {
	if call.progress.Ended {
		return
	}
	if call.withdraw() {
		r.callEnded(now, call, control.NotSent, nil)
		return
	}
	r.abandon(call)
	r.callEnded(now, call, control.TimedOut, nil)
}

// abandon tells the server that its answer to a call is no longer awaited. The answer may still arrive, or never, so
// the connection takes no new calls.
func (r *Router) abandon(call *serverCall) {
	if call.conn == nil || call.progress.Ended {
		return
	}
	if call.request != nil && r.config.Deployment.SupportsCancel {
		call.conn.writes.post(queuedFrame{data: binframe.CancelFrame(call.id)})
	}
	call.conn.retired = true
	call.conn.setCloseReason(serverCloseAbandoned)
}

// callEnded handles the end of a call. Only the first end of a call counts.
func (r *Router) callEnded(now control.Micros, call *serverCall, result control.Result, answer *binframe.Answer) {
	if !call.progress.End() {
		return
	}
	call.timer.Stop()
	if sc := call.conn; sc != nil && sc.open[call.id] == call {
		delete(sc.open, call.id)
		r.connsByIdle.MoveToBack(sc.idlePlace)
		if sc.idleSince = now; sc.retired && len(sc.open) == 0 {
			r.removeConn(sc)
		}
	}
	if call.progress.Cancelled && result != control.Succeeded && !result.ProvesNotRun() {
		result = control.Cancelled
	}
	call.result = attemptResult(result)
	if call.request != nil {
		r.attemptEnds.add(call.result)
	}
	r.logAttempt(now, call, result, answer)
	duration := now - call.chosenAt
	if call.request == nil {
		replicas := 0
		if answer != nil && result == control.Succeeded {
			if replicas = answer.Replicas; replicas < 0 {
				replicas = call.load.Replicas // an answer without a count means all requested replicas
			}
		}
		r.core.HandleLoadResult(now, call.server, call.load.Function, result, duration, replicas)
		return
	}
	outcome := control.Outcome{Attempt: call.attempt, Server: call.server, Result: result, Duration: duration}
	if answer != nil {
		outcome.CacheStatus, outcome.Report = answer.CacheStatus, r.report(answer)
	}
	r.attemptEnded(now, call, outcome, answer)
}

// report returns the load report of an answer, in the order of fields given by the settings.
func (r *Router) report(answer *binframe.Answer) *control.LoadReport {
	if answer.Reports == nil {
		return nil
	}
	values := make([]float32, len(r.config.reportFields))
	for i, name := range r.config.reportFields {
		v, known := answer.Reports[reportNames[name]]
		if !known {
			v = -1
		}
		values[i] = float32(v)
	}
	return config.LoadReport(r.config.reportFields, values)
}

// reportNames maps the field names of the settings to those of the simulator, which the answers use.
var reportNames = map[string]string{"cpu_share": "util", "x0": "x0", "x1": "x1"}
