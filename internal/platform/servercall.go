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
	p              *Router
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

func (s *serverCall) withdraw() bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	return attempt.Step(&s.stage, attempt.Stage.Withdraw)
}

// address is where it goes; empty where no connection was to be had.
func (s *serverCall) address() string {
	if s.conn == nil {
		return ""
	}
	return s.conn.pool.address
}

// currentStage is how far it has got.
func (s *serverCall) currentStage() attempt.Stage {
	s.writing.Lock()
	defer s.writing.Unlock()
	return attempt.Stage(s.stage.Load())
}

// readerWait is how long a first byte waits for its client's reader to take in what lies in the socket: some turns of a shared core.
// Guards against a client that sends without a pause, and holds up what others sent on the same connection to a server.
const readerWait = 100 * time.Millisecond

// begin is the last check before the first byte, and writes it. That its client has left is seen here without waiting for a
// turn, and so is a list that has grown too old since the choice. What the client has sent and nobody has read yet may be that it
// leaves: its reader comes first.
func (s *serverCall) begin(write func() bool) (withdrawn bool) {
	s.writing.Lock()
	defer s.writing.Unlock()
	unread := s.request != nil && !s.request.client.tracked.upToDate(time.Now())
	wanted := s.request == nil || !s.request.abandoned.Load()
	now := s.p.now()
	if !unread {
		s.unread = 0
	} else {
		s.unread = cmp.Or(s.unread, now)
		wanted = wanted && now-s.unread < control.Micros(readerWait.Microseconds())
	}
	next, ok := attempt.Stage(s.stage.Load()).Write(wanted, now, s.writeBefore)
	if !ok {
		s.p.queue.Post(func(now control.Micros) {
			s.withdraw()
			s.p.callEnded(now, s, control.NotSent, nil)
		})
		return true
	}
	if unread {
		return false
	}
	if write() {
		s.stage.Store(int32(next))
		s.p.oldestEndpoints.record(int64(now - s.endpointsAsOf))
		if s.conn != nil {
			s.conn.pool.firstByte.record(int64(now))
		}
	}
	return false
}

// frame gives a request's frame as of now: it tells what is left of its time.
func (s *serverCall) frame() []byte {
	s.message.Timeout = s.clientDeadline - s.p.now()
	return s.message.Frame()
}

func (s *serverCall) wrote(whole bool) {
	s.writtenWhole.Store(whole)
	if !whole {
		s.conn.partialWrite.Store(true)
	}
}

// dispatch hands a sending to a connection. The frame is an order's; a request's is encoded at its first byte.
func (p *Router) dispatch(now control.Micros, s *serverCall, frame []byte) {
	var l *serverConn
	if server := p.fleet.Get(s.to); server != nil && server.State == control.Ready {
		l = p.connFor(now, s)
	}
	s.timer = time.AfterFunc(duration(max(0, s.deadline-now)), func() {
		p.queue.Post(func(now control.Micros) { p.deadlinePassed(now, s) })
	})
	if l != nil {
		s.conn = l
		l.open[s.id] = s
		if l.writes.post(s.queued(frame)) {
			return
		}
		delete(l.open, s.id)
	}
	// Never sent; told in the next turn, since this one is still asking.
	p.queue.Post(func(now control.Micros) { p.callEnded(now, s, control.NotSent, nil) })
}

func (s *serverCall) queued(frame []byte) queuedFrame {
	p := queuedFrame{data: frame, begin: s.begin, wrote: s.wrote}
	if s.message != nil {
		p.encode, p.size = s.frame, s.message.Size()
	}
	return p
}

// alreadyUsed tells whether an earlier execution of the same job was written to a connection.
func (s *serverCall) alreadyUsed(l *serverConn) bool {
	return s.request != nil && slices.ContainsFunc(s.request.attempts, func(earlier *serverCall) bool {
		return earlier.conn == l && earlier.currentStage() == attempt.Writing
	})
}

// handleAnswer takes in an answer. One that nobody waits for, or a second one, is dropped: it harms nothing else.
func (p *Router) handleAnswer(now control.Micros, l *serverConn, a *binframe.Answer) {
	s := l.open[a.ID]
	if s == nil || a.Probe {
		return
	}
	if s.currentStage() != attempt.Writing {
		return // an answer to what was not asked yet
	}
	p.callEnded(now, s, a.Result, a)
}

// deadlinePassed takes in that a sending's time is up.
func (p *Router) deadlinePassed(now control.Micros, s *serverCall) {
	if s.progress.Ended {
		return
	}
	if s.withdraw() {
		p.callEnded(now, s, control.NotSent, nil)
		return
	}
	p.abandon(s)
	p.callEnded(now, s, control.TimedOut, nil)
}

// abandon tells the server that nobody waits. The answer may be on its way, or never come: its connection takes nothing
// new.
func (p *Router) abandon(s *serverCall) {
	if s.conn == nil || s.progress.Ended {
		return
	}
	if s.request != nil && p.config.Deployment.SupportsCancel {
		s.conn.writes.post(queuedFrame{data: binframe.CancelFrame(s.id)})
	}
	s.conn.retired = true
}

// callEnded takes in the end of a sending, once.
func (p *Router) callEnded(now control.Micros, s *serverCall, result control.Result, a *binframe.Answer) {
	if !s.progress.End() {
		return
	}
	s.timer.Stop()
	if l := s.conn; l != nil && l.open[s.id] == s {
		delete(l.open, s.id)
		p.connsByIdle.MoveToBack(l.idlePlace)
		if l.idleSince = now; l.retired && len(l.open) == 0 {
			p.removeConn(l)
		}
	}
	if s.progress.Cancelled && result != control.Succeeded && !result.ProvesNotRun() {
		result = control.Cancelled
	}
	p.logAttempt(now, s, result, a)
	took := now - s.chosenAt
	if s.request == nil {
		copies := 0
		if a != nil && result == control.Succeeded {
			if copies = a.Replicas; copies < 0 {
				copies = s.load.Replicas // an answer that tells no number has done what was asked
			}
		}
		p.core.HandleLoadResult(now, s.to, s.load.Function, result, took, copies)
		return
	}
	o := control.Outcome{Attempt: s.attempt, Server: s.to, Result: result, Duration: took}
	if a != nil {
		o.CacheStatus, o.Report = a.CacheStatus, p.report(a)
	}
	p.attemptEnded(now, s, o, a)
}

// report puts what an answer reports in the order that the settings name.
func (p *Router) report(a *binframe.Answer) *control.LoadReport {
	if a.Reports == nil {
		return nil
	}
	values := make([]float32, len(p.config.reportFields))
	for i, name := range p.config.reportFields {
		v, told := a.Reports[reportNames[name]]
		if !told {
			v = -1
		}
		values[i] = float32(v)
	}
	return config.Report(p.config.reportFields, values)
}

// reportNames maps what the settings name to the simulator's names, which the answers use.
var reportNames = map[string]string{"cpu_share": "util", "x0": "x0", "x1": "x1"}
