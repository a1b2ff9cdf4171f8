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
func (s *modelServer) accept(exec *execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	if !time.Now().Before(exec.request.deadline) {
		if !s.run.scenario.DropsExpired {
			s.respondLocked(exec, expiredCode, "")
		}
		return
	}
	f := s.functions[exec.request.function]
	if f != nil {
		exec.depth = f.active
		f.lastUsed = time.Now()
	}
	exec.link.executions[exec.id] = exec
	switch {
	case f == nil:
		exec.remark = "booted"
		s.startLoad(exec.request.function, exec)
	case f.loading:
		exec.remark = "rode"
		f.active++
		f.waiting = append(f.waiting, exec)
	default:
		exec.remark = "resident"
		f.active++
		s.enqueue(exec)
	}
}

// startLoad starts loading a function. exec waits for the load; it is nil for a load command. The caller holds mu.
func (s *modelServer) startLoad(function uint64, exec *execution) {
	f := &loadedFunction{loading: true, lastUsed: time.Now()}
	if exec != nil {
		f.active, f.waiting = 1, []*execution{exec}
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
// The caller holds mu.
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

// enqueue queues an execution whose function is loaded, or rejects it if the queue is full. The caller holds mu.
func (s *modelServer) enqueue(exec *execution) {
	if exec.cancelled {
		s.release(exec)
		return
	}
	if len(s.queue) >= queueLimitPerCore*s.run.scenario.Cores {
		s.release(exec)
		s.respondLocked(exec, fullCode, "")
		return
	}
	s.queue = append(s.queue, exec)
	s.startNext()
}

// release ends an execution's use of its function. The caller holds mu.
func (s *modelServer) release(exec *execution) {
	if f := s.functions[exec.request.function]; f != nil {
		f.active = max(0, f.active-1)
	}
}

// startNext starts queued executions while cores are free. The caller holds mu.
func (s *modelServer) startNext() {
	scenario := s.run.scenario
	for s.running < scenario.Cores && len(s.queue) > 0 {
		exec := s.queue[0]
		s.queue = s.queue[1:]
		if exec.cancelled {
			s.release(exec)
			continue
		}
		exec.started = true
		s.running++
		capacity := 1.0
		if !s.startedAt.IsZero() {
			capacity = scenario.slowStartCapacity(time.Since(s.startedAt))
		}
		duration := time.Duration(float64(exec.request.work) / s.speed / capacity)
		listener := s.listener
		time.AfterFunc(duration, func() { s.finish(exec, listener) })
	}
}

// finish responds to an execution that has run. It does nothing if the server has been stopped or restarted since.
func (s *modelServer) finish(exec *execution, listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != listener || !s.up {
		return
	}
	s.running--
	s.release(exec)
	s.respondLocked(exec, okCode, exec.remark)
	s.startNext()
}

// respondLocked sends the response to an attempt, or withholds it while the server hangs. The caller holds mu.
func (s *modelServer) respondLocked(exec *execution, code byte, remark string) {
	delete(exec.link.executions, exec.id)
	if exec.cancelled {
		return
	}
	if code == fullCode || code == expiredCode {
		s.run.ledger.recordNotRun(exec.request, exec.attempt)
	}
	var fields []string
	if remark != "" {
		fields = append(fields, "remark="+remark)
	}
	if exec.depth > 0 {
		fields = append(fields, "depth="+strconv.Itoa(exec.depth))
	}
	frame := platformtest.AnswerFrame(code, exec.id, strings.Join(fields, ","), exec.body)
	send := func() { s.run.deliverResponse(exec.link, frame, code == okCode) }
	if s.hung {
		s.withheld = append(s.withheld, send)
		return
	}
	s.run.goroutines.Go(send)
}
