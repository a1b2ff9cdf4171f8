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

// serverCall is one execution or order on its way.
type serverCall struct {
	router         *Router
	request        *request // nil of an order
	attempt        control.AttemptID
	load           control.LoadCommand
	id             binframe.ID
	to             control.ServerID
	message        *binframe.Attempt // nil of an order
	conn           *serverConn       // nil: none was had
	chosenAt       control.Micros
	endpointsAsOf  control.Micros // as of when the list was complete that it was chosen from
	writeBefore    control.Micros // it is not written later
	deadline       control.Micros // it is not waited for longer
	clientDeadline control.Micros // its client's time is up: the server is told no more
	unread         control.Micros // since when the first byte waits for its client's reader; 0: it does not
	writing        sync.Mutex     // held from the last check to the first byte
	stage          atomic.Int32   // an attempt.Stage
	writtenWhole   atomic.Bool    // its last byte was written
	progress       attempt.Progress
	timer          *time.Timer
}

func (call *serverCall) withdraw() bool {
	call.writing.Lock()
	defer call.writing.Unlock()
	return attempt.Step(&call.stage, attempt.Stage.Withdraw)
}

// address is where it goes; empty where no connection was to be had.
func (call *serverCall) address() string {
	if call.conn == nil {
		return ""
	}
	return call.conn.pool.address
}

// currentStage is how far it has got.
func (call *serverCall) currentStage() attempt.Stage {
	call.writing.Lock()
	defer call.writing.Unlock()
	return attempt.Stage(call.stage.Load())
}

// readerWait is how long a first byte waits for its client's reader to take in what lies in the socket: some turns of a shared core.
// Guards against a client that sends without a pause, and holds up what others sent on the same connection to a server.
const readerWait = 100 * time.Millisecond

// begin is the last check before the first byte, and writes it. That its client has left is seen here without waiting for a
// turn, and so is a list that has grown too old since the choice. What the client has sent and nobody has read yet may be that it
// leaves: its reader comes first.
func (call *serverCall) begin(write func() bool) (withdrawn bool) {
	call.writing.Lock()
	defer call.writing.Unlock()
	unread := call.request != nil && !call.request.client.tracked.upToDate(time.Now())
	wanted := call.request == nil || !call.request.abandoned.Load()
	now := call.router.now()
	if !unread {
		call.unread = 0
	} else {
		call.unread = cmp.Or(call.unread, now)
		wanted = wanted && now-call.unread < control.Micros(readerWait.Microseconds())
	}
	next, ok := attempt.Stage(call.stage.Load()).Write(wanted, now, call.writeBefore)
	if !ok {
		call.router.queue.Post(func(now control.Micros) {
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

// frame gives a request's frame as of now: it tells what is left of its time.
func (call *serverCall) frame() []byte {
	call.message.Timeout = call.clientDeadline - call.router.now()
	return call.message.Frame()
}

func (call *serverCall) wrote(whole bool) {
	call.writtenWhole.Store(whole)
	if !whole {
		call.conn.partialWrite.Store(true)
	}
}

// dispatch hands a sending to a connection. The frame is an order's; a request's is encoded at its first byte.
func (r *Router) dispatch(now control.Micros, call *serverCall, frame []byte) {
	var sc *serverConn
	if server := r.fleet.Get(call.to); server != nil && server.State == control.Ready {
		sc = r.connFor(now, call)
	}
	call.timer = time.AfterFunc(duration(max(0, call.deadline-now)), func() {
		r.queue.Post(func(now control.Micros) { r.deadlinePassed(now, call) })
	})
	if sc != nil {
		call.conn = sc
		sc.open[call.id] = call
		if sc.writes.post(call.queued(frame)) {
			return
		}
		delete(sc.open, call.id)
	}
	// Never sent; told in the next turn, since this one is still asking.
	r.queue.Post(func(now control.Micros) { r.callEnded(now, call, control.NotSent, nil) })
}

func (call *serverCall) queued(data []byte) queuedFrame {
	frame := queuedFrame{data: data, begin: call.begin, wrote: call.wrote}
	if call.message != nil {
		frame.encode, frame.size = call.frame, call.message.Size()
	}
	return frame
}

// alreadyUsed tells whether an earlier execution of the same job was written to a connection.
func (call *serverCall) alreadyUsed(sc *serverConn) bool {
	return call.request != nil && slices.ContainsFunc(call.request.attempts, func(earlier *serverCall) bool {
		return earlier.conn == sc && earlier.currentStage() == attempt.Writing
	})
}

// handleAnswer takes in an answer. One that nobody waits for, or a second one, is dropped: it harms nothing else.
func (r *Router) handleAnswer(now control.Micros, sc *serverConn, answer *binframe.Answer) {
	call := sc.open[answer.ID]
	if call == nil || answer.Probe {
		return
	}
	if call.currentStage() != attempt.Writing {
		return // an answer to what was not asked yet
	}
	r.callEnded(now, call, answer.Result, answer)
}

// deadlinePassed takes in that a sending's time is up.
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

// abandon tells the server that nobody waits. The answer may be on its way, or never come: its connection takes nothing
// new.
func (r *Router) abandon(call *serverCall) {
	if call.conn == nil || call.progress.Ended {
		return
	}
	if call.request != nil && r.config.Deployment.SupportsCancel {
		call.conn.writes.post(queuedFrame{data: binframe.CancelFrame(call.id)})
	}
	call.conn.retired = true
}

// callEnded takes in the end of a sending, once.
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
	r.logAttempt(now, call, result, answer)
	duration := now - call.chosenAt
	if call.request == nil {
		replicas := 0
		if answer != nil && result == control.Succeeded {
			if replicas = answer.Replicas; replicas < 0 {
				replicas = call.load.Replicas // an answer that tells no number has done what was asked
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

// report puts what an answer reports in the order that the settings name.
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
	return config.Report(r.config.reportFields, values)
}

// reportNames maps what the settings name to the simulator's names, which the answers use.
var reportNames = map[string]string{"cpu_share": "util", "x0": "x0", "x1": "x1"}
