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

// serverCall is one attempt or load command sent to a server. The event loop owns it, except what writing guards.
type serverCall struct {
	router         *Router
	request        *request // nil: a load command
	attempt        control.AttemptID
	load           control.LoadCommand
	id             binframe.ID
	to             control.ServerID
	message        *binframe.Attempt // nil: a load command
	conn           *serverConn       // nil: none was available
	chosenAt       control.Micros
	endpointsAsOf  control.Micros // when the endpoint list that it was chosen from was complete
	writeBefore    control.Micros // its first byte is not written later
	deadline       control.Micros // its answer is not awaited longer
	clientDeadline control.Micros // the client's deadline: the server is given no longer
	unread         control.Micros // since when the first byte waits for the client's reader; 0: it doesn't
	writing        sync.Mutex     // held from the last check to the first byte
	stage          atomic.Int32   // an attempt.Stage
	writtenWhole   atomic.Bool    // its last byte was written
	progress       attempt.Progress
	result         attemptResult // once it has ended
	timer          *time.Timer
}

// withdraw withdraws a call that is not being written yet, and reports whether it did: it will never be written.
func (call *serverCall) withdraw() bool {
	call.writing.Lock()
	defer call.writing.Unlock()
	return attempt.Transition(&call.stage, attempt.Stage.Withdraw)
}

// address returns the server's address, or the empty string where no connection was found.
func (call *serverCall) address() string {
	if call.conn == nil {
		return ""
	}
	return call.conn.pool.address
}

// currentStage returns how far the call has got. It waits for a first byte that is being written.
func (call *serverCall) currentStage() attempt.Stage {
	call.writing.Lock()
	defer call.writing.Unlock()
	return attempt.Stage(call.stage.Load())
}

// readerWait is how long a first byte waits for its client's reader to process what is in the socket: some scheduling
// delays of a shared core. It guards against a client that sends without pause and so delays others' requests on the
// same server connection.
const readerWait = 100 * time.Millisecond

// begin makes the last check before the first byte, and writes it. It sees without waiting for a step that the client
// has left, or that the endpoint list has grown too old since the choice. What the client has sent but its reader has
// not processed may be a cancellation: the reader comes first.
func (call *serverCall) begin(write func() bool) (withdrawn bool) {
	call.writing.Lock()
	defer call.writing.Unlock()
	unread := call.request != nil && !call.request.client.tracked.upToDate(time.Now())
	wanted := call.request == nil || !call.request.abandoned.Load()
	now := call.router.loop.Now()
	if !unread {
		call.unread = 0
	} else {
		call.unread = cmp.Or(call.unread, now)
		wanted = wanted && now-call.unread < control.Micros(readerWait.Microseconds())
	}
	next, ok := attempt.Stage(call.stage.Load()).BeginWrite(wanted, now, call.writeBefore)
	if !ok {
		call.router.loop.Post(func(now control.Micros) {
			call.withdraw()
			call.router.callEnded(now, call, control.NotSent, nil)
		})
		return true
	}
	if unread {
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

// frame encodes the attempt's frame as of now: it states the time left.
func (call *serverCall) frame() []byte {
	call.message.Timeout = call.clientDeadline - call.router.loop.Now()
	return call.message.Frame()
}

// wrote records that a write has ended, and whether it was complete.
func (call *serverCall) wrote(whole bool) {
	call.writtenWhole.Store(whole)
	if !whole {
		call.conn.partialWrite.Store(true)
	}
}

// dispatch queues a call on a connection and starts its timeout. frame is a load command's; an attempt's is encoded
// at its first byte.
func (r *Router) dispatch(now control.Micros, call *serverCall, frame []byte) {
	var sc *serverConn
	if server := r.fleet.Get(call.to); server != nil && server.State == control.Ready {
		sc = r.connFor(now, call)
	}
	call.timer = time.AfterFunc(duration(max(0, call.deadline-now)), func() {
		r.loop.Post(func(now control.Micros) { r.deadlinePassed(now, call) })
	})
	if sc != nil {
		call.conn = sc
		sc.open[call.id] = call
		if sc.writes.post(call.queued(frame)) {
			return
		}
		delete(sc.open, call.id)
	}
	// Never sent; reported in the next step, since the core is still deciding in this one.
	r.loop.Post(func(now control.Micros) { r.callEnded(now, call, control.NotSent, nil) })
}

// queued returns the call as a frame for a write queue.
func (call *serverCall) queued(data []byte) queuedFrame {
	frame := queuedFrame{data: data, begin: call.begin, wrote: call.wrote}
	if call.message != nil {
		frame.encode, frame.size = call.frame, call.message.Size()
	}
	return frame
}

// alreadyUsed reports whether an earlier attempt of the same request was written to a connection.
func (call *serverCall) alreadyUsed(sc *serverConn) bool {
	return call.request != nil && slices.ContainsFunc(call.request.attempts, func(earlier *serverCall) bool {
		return earlier.conn == sc && earlier.currentStage() == attempt.Writing
	})
}

// handleAnswer handles an answer. One that nobody waits for, or a duplicate, is dropped without harm to others.
func (r *Router) handleAnswer(now control.Micros, sc *serverConn, answer *binframe.Answer) {
	call := sc.open[answer.ID]
	if call == nil || answer.Probe {
		return
	}
	if call.currentStage() != attempt.Writing {
		return // an answer to a call that was not written yet
	}
	r.callEnded(now, call, answer.Result, answer)
}

// deadlinePassed handles a call's timeout.
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

// abandon tells the server that nobody waits for a call. The answer may be on its way, or never come, so its
// connection takes no new calls.
func (r *Router) abandon(call *serverCall) {
	if call.conn == nil || call.progress.Ended {
		return
	}
	if call.request != nil && r.config.Deployment.SupportsCancel {
		call.conn.writes.post(queuedFrame{data: binframe.CancelFrame(call.id)})
	}
	call.conn.retired = true
	call.conn.closesBecause(serverAbandoned)
}

// callEnded handles the end of a call, once: later ends are ignored.
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
				replicas = call.load.Replicas // an answer without a number: all replicas that were asked for
			}
		}
		r.core.HandleLoadResult(now, call.to, call.load.Function, result, duration, replicas)
		return
	}
	outcome := control.Outcome{Attempt: call.attempt, Server: call.to, Result: result, Duration: duration}
	if answer != nil {
		outcome.CacheStatus, outcome.Report = answer.CacheStatus, r.report(answer)
	}
	r.attemptEnded(now, call, outcome, answer)
}

// report returns an answer's load report in the order of fields that the settings give.
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

// reportNames maps the settings' field names to the simulator's, which the answers use.
var reportNames = map[string]string{"cpu_share": "util", "x0": "x0", "x1": "x1"}
