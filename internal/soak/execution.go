package soak

import (
	"net"
	"strconv"
	"strings"
	"time"

	"hollymast/internal/platformtest"
)

// What a model server does with an attempt: its function is loaded first if need be, then it is queued, executed and answered.

// job is an attempt at a model server.
type job struct {
	link    *serverLink
	id      uint64
	body    []byte
	request *requestRecord
	attempt int
	remark  string
	depth   int
	started bool
	over    bool // cancelled, or its server has ended
}

// loadedFunction is a function that is loaded or being loaded.
type loadedFunction struct {
	loading bool
	waiting []*job
	open    int
	usedAt  time.Time
}

// serverQueue is how many requests a server queues for each core.
const serverQueue = 8

// begin takes an attempt: its function is loaded first if need be.
func (s *modelServer) begin(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	if !time.Now().Before(j.request.deadline) {
		if !s.run.scenario.DropsExpired {
			s.answerLocked(j, overCode, "")
		}
		return
	}
	f := s.functions[j.request.function]
	if f != nil {
		j.depth = f.open
		f.usedAt = time.Now()
	}
	j.link.jobs[j.id] = j
	switch {
	case f == nil:
		j.remark = "booted"
		s.startLoad(j.request.function, j)
	case f.loading:
		j.remark = "rode"
		f.open++
		f.waiting = append(f.waiting, j)
	default:
		j.remark = "resident"
		f.open++
		s.enqueue(j)
	}
}

// startLoad loads a function, for an attempt unless that is nil. The lock is held.
func (s *modelServer) startLoad(function uint64, j *job) {
	f := &loadedFunction{loading: true, usedAt: time.Now()}
	if j != nil {
		f.open, f.waiting = 1, []*job{j}
	}
	s.evict()
	s.functions[function] = f
	listener := s.listener
	takes := s.run.loadTime(function)
	time.AfterFunc(takes, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.listener != listener || !s.up { // another incarnation
			return
		}
		f.loading = false
		for _, waiting := range f.waiting {
			s.enqueue(waiting)
		}
		f.waiting = nil
	})
}

// evict makes room for one more function. The lock is held.
func (s *modelServer) evict() {
	if len(s.functions) < s.run.scenario.MaxLoadedFunctions {
		return
	}
	var oldest uint64
	var found *loadedFunction
	for id, f := range s.functions {
		if !f.loading && f.open == 0 && (found == nil || f.usedAt.Before(found.usedAt)) {
			oldest, found = id, f
		}
	}
	if found != nil {
		delete(s.functions, oldest)
	}
}

// enqueue queues an attempt whose function is loaded. The lock is held.
func (s *modelServer) enqueue(j *job) {
	if j.over {
		s.release(j)
		return
	}
	if len(s.queue) >= serverQueue*s.run.scenario.Cores {
		s.release(j)
		s.answerLocked(j, fullCode, "")
		return
	}
	s.queue = append(s.queue, j)
	s.startNext()
}

// release ends an attempt's use of its function. The lock is held.
func (s *modelServer) release(j *job) {
	if f := s.functions[j.request.function]; f != nil {
		f.open = max(0, f.open-1)
	}
}

// startNext starts queued attempts while cores are free. The lock is held.
func (s *modelServer) startNext() {
	scenario := s.run.scenario
	for s.running < scenario.Cores && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.over {
			s.release(j)
			continue
		}
		j.started = true
		s.running++
		capacity := 1.0
		if !s.startedAt.IsZero() {
			capacity = scenario.capacity(time.Since(s.startedAt))
		}
		takes := time.Duration(float64(j.request.work) / s.speed / capacity)
		listener := s.listener
		time.AfterFunc(takes, func() { s.finish(j, listener) })
	}
}

// finish answers an attempt that was executed by an incarnation.
func (s *modelServer) finish(j *job, listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != listener || !s.up {
		return
	}
	s.running--
	s.release(j)
	s.answerLocked(j, okCode, j.remark)
	s.startNext()
}

// answerLocked answers an attempt. The lock is held.
func (s *modelServer) answerLocked(j *job, code byte, remark string) {
	delete(j.link.jobs, j.id)
	if j.over {
		return
	}
	if code == fullCode || code == overCode {
		s.run.ledger.noteNotRun(j.request, j.attempt)
	}
	var fields []string
	if remark != "" {
		fields = append(fields, "remark="+remark)
	}
	if j.depth > 0 {
		fields = append(fields, "depth="+strconv.Itoa(j.depth))
	}
	frame := platformtest.AnswerFrame(code, j.id, strings.Join(fields, ","), j.body)
	send := func() { s.run.deliver(j.link, frame, code == okCode) }
	if s.hung {
		s.withheld = append(s.withheld, send)
		return
	}
	s.run.goes.Go(send)
}
