package soak

import (
	"net"
	"strconv"
	"strings"
	"time"

	"hollymast/internal/platformtest"
)

// How a model server handles an attempt: it loads the function if necessary, queues the attempt, executes it and sends the
// response.

// execution is the state of an attempt at a model server.
type execution struct {
	link      *serverLink
	id        uint64
	body      []byte
	request   *requestRecord
	attempt   int
	remark    string // response field: whether the function was loaded
	depth     int    // response field: executions of the function in progress at arrival
	started   bool
	cancelled bool // cancelled by the router, its connection closed, or the server stopped
}

// loadedFunction is a function that is loaded or loading.
type loadedFunction struct {
	loading  bool
	waiting  []*execution
	active   int // executions that wait or run
	lastUsed time.Time
}

// queueLimitPerCore is how many executions a server queues per core; further ones are rejected.
const queueLimitPerCore = 8

// accept queues an attempt, after loading its function if necessary.
func (s *modelServer) accept(x *execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	if !time.Now().Before(x.request.deadline) {
		if !s.run.scenario.DropsExpired {
			s.respondLocked(x, expiredCode, "")
		}
		return
	}
	f := s.functions[x.request.function]
	if f != nil {
		x.depth = f.active
		f.lastUsed = time.Now()
	}
	x.link.executions[x.id] = x
	switch {
	case f == nil:
		x.remark = "booted"
		s.startLoad(x.request.function, x)
	case f.loading:
		x.remark = "rode"
		f.active++
		f.waiting = append(f.waiting, x)
	default:
		x.remark = "resident"
		f.active++
		s.enqueue(x)
	}
}

// startLoad starts loading a function. x waits for the load; it is nil for a load command. The lock is held.
func (s *modelServer) startLoad(function uint64, x *execution) {
	f := &loadedFunction{loading: true, lastUsed: time.Now()}
	if x != nil {
		f.active, f.waiting = 1, []*execution{x}
	}
	s.evict()
	s.functions[function] = f
	listener := s.listener
	duration := s.run.loadTime(function)
	time.AfterFunc(duration, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.listener != listener || !s.up { // the server has been stopped or restarted since
			return
		}
		f.loading = false
		for _, waiting := range f.waiting {
			s.enqueue(waiting)
		}
		f.waiting = nil
	})
}

// evict unloads the least recently used idle function if the server holds MaxLoadedFunctions. If none is idle, it unloads nothing.
// The lock is held.
func (s *modelServer) evict() {
	if len(s.functions) < s.run.scenario.MaxLoadedFunctions {
		return
	}
	var candidateID uint64
	var candidate *loadedFunction
	for id, f := range s.functions {
		if !f.loading && f.active == 0 && (candidate == nil || f.lastUsed.Before(candidate.lastUsed)) {
			candidateID, candidate = id, f
		}
	}
	if candidate != nil {
		delete(s.functions, candidateID)
	}
}

// enqueue queues an execution whose function is loaded, or rejects it if the queue is full. The lock is held.
func (s *modelServer) enqueue(x *execution) {
	if x.cancelled {
		s.release(x)
		return
	}
	if len(s.queue) >= queueLimitPerCore*s.run.scenario.Cores {
		s.release(x)
		s.respondLocked(x, fullCode, "")
		return
	}
	s.queue = append(s.queue, x)
	s.startNext()
}

// release ends an execution's use of its function. The lock is held.
func (s *modelServer) release(x *execution) {
	if f := s.functions[x.request.function]; f != nil {
		f.active = max(0, f.active-1)
	}
}

// startNext starts queued executions while cores are free. The lock is held.
func (s *modelServer) startNext() {
	scenario := s.run.scenario
	for s.running < scenario.Cores && len(s.queue) > 0 {
		x := s.queue[0]
		s.queue = s.queue[1:]
		if x.cancelled {
			s.release(x)
			continue
		}
		x.started = true
		s.running++
		capacity := 1.0
		if !s.startedAt.IsZero() {
			capacity = scenario.slowStartCapacity(time.Since(s.startedAt))
		}
		duration := time.Duration(float64(x.request.work) / s.speed / capacity)
		listener := s.listener
		time.AfterFunc(duration, func() { s.finish(x, listener) })
	}
}

// finish responds to an execution that has run. It does nothing if the server has been stopped or restarted since.
func (s *modelServer) finish(x *execution, listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != listener || !s.up {
		return
	}
	s.running--
	s.release(x)
	s.respondLocked(x, okCode, x.remark)
	s.startNext()
}

// respondLocked sends the response to an attempt, or withholds it while the server hangs. The lock is held.
func (s *modelServer) respondLocked(x *execution, code byte, remark string) {
	delete(x.link.executions, x.id)
	if x.cancelled {
		return
	}
	if code == fullCode || code == expiredCode {
		s.run.ledger.recordNotRun(x.request, x.attempt)
	}
	var fields []string
	if remark != "" {
		fields = append(fields, "remark="+remark)
	}
	if x.depth > 0 {
		fields = append(fields, "depth="+strconv.Itoa(x.depth))
	}
	frame := platformtest.AnswerFrame(code, x.id, strings.Join(fields, ","), x.body)
	send := func() { s.run.deliverResponse(x.link, frame, code == okCode) }
	if s.hung {
		s.withheld = append(s.withheld, send)
		return
	}
	s.run.goroutines.Go(send)
}
