package modelserver

import (
	"hollymast/control"
	"hollymast/internal/invariant"
)

// Reasons for rejections, as sent to clients.
const (
	reasonFull           = "full"
	reasonNoRoom         = "no room"
	reasonNotLoaded      = "not loaded"
	reasonOriginalNotRun = "its first execution did not run"
)

// execution is a request that the server has received.
type execution struct {
	record   invariant.Record
	replicas *replicas
	exchange uint64
	status   control.CacheStatus
	key      string
	keyEntry *keyEntry // nil: its idempotency key is not remembered
	injected injectedFaults
}

// injectedFaults are the faults drawn when a request arrives.
type injectedFaults struct {
	slowdown     float64
	resetBefore  bool // the connection is reset before the request runs
	lostResponse bool // the request is never answered
	resetAfter   bool // the connection is reset after the request ran
}

// drawFaults draws all faults in a fixed order, so that a simulation with the same seed is reproducible.
func (s *Server) drawFaults() injectedFaults {
	return injectedFaults{slowdown: s.faults.Slowdown, resetBefore: s.drawBool(s.faults.ResetBefore), lostResponse: s.drawBool(s.faults.LostResponses),
		resetAfter: s.drawBool(s.faults.ResetAfter)}
}

func (s *Server) drawBool(share float64) bool { return share > 0 && s.random.Float64() < share }

// Infer runs a request or rejects it. It calls respond once, possibly before it returns. An unresponsive server, or one that loses
// the response, calls it only when it is killed.
func (s *Server) Infer(request Request, respond func(Response)) {
	exec := &execution{key: request.IdempotencyKey, status: control.CacheHit,
		record: invariant.Record{Server: s.config.Number, Request: request.ID, Effect: request.Effect, Router: request.Router}}
	s.logExecution(exec, invariant.AttemptReceived)
	exec.injected = s.drawFaults()
	exec.exchange = s.openExchange(respond)
	switch {
	case s.collapsesAtArrival():
		s.logExecution(exec, invariant.ServerCollapsed)
		s.Kill()
	case s.faults.Unresponsive:
	case exec.injected.resetBefore:
		s.endExchange(exec.exchange, Response{Result: ConnectionReset})
	case s.faults.Overloaded:
		s.logExecution(exec, invariant.AttemptRefused)
		s.endExchange(exec.exchange, Response{Result: Overloaded, Reason: reasonFull})
	case s.isDuplicate(exec):
		s.logExecution(exec, invariant.AttemptDeduplicated)
		s.awaitOriginal(exec)
	default:
		s.admit(exec, request.Function)
	}
}

// admit queues an execution for a replica of its function and starts loading one if there is none, or rejects the execution.
func (s *Server) admit(exec *execution, function string) {
	r := s.functions[function]
	if s.config.LoadCommandsOnly && r == nil {
		s.reject(exec, NotLoaded, reasonNotLoaded)
		return
	}
	switch {
	case r == nil:
		if r = s.reserve(function, 1); r == nil {
			s.reject(exec, Overloaded, reasonNoRoom)
			return
		}
		exec.status = control.CacheMiss
		s.startLoad(r, 1, func() {})
	case r.loaded == 0:
		exec.status = control.CacheLoading
	}
	if s.waiting >= s.config.QueueLimit {
		s.reject(exec, Overloaded, reasonNoRoom)
		return
	}
	s.waiting++
	r.busy++
	exec.replicas = r
	r.queue = append(r.queue, exec)
	s.dispatch(r)
}

// reject answers an execution that did not run, and the duplicates that wait for it.
func (s *Server) reject(exec *execution, result Result, reason string) {
	s.forgetKey(exec)
	s.logExecution(exec, invariant.AttemptRefused)
	s.endExchange(exec.exchange, Response{Result: result, Reason: reason})
}

// dispatch assigns free lanes of a function's replicas, and free cores, to waiting executions.
func (s *Server) dispatch(r *replicas) {
	for r.freeLanes > 0 && len(r.queue) > 0 {
		r.freeLanes--
		s.runnable = append(s.runnable, r.queue[0])
		r.queue = r.queue[1:]
	}
	for s.running < s.config.Cores && len(s.runnable) > 0 {
		exec := s.runnable[0]
		s.runnable = s.runnable[1:]
		s.waiting--
		s.running++
		s.logExecution(exec, invariant.AttemptStarted)
		s.after(s.drawExecutionTime(exec.injected.slowdown), func() { s.complete(exec) })
	}
}

// complete ends an execution that has run, and answers the duplicates that wait for it.
func (s *Server) complete(exec *execution) {
	s.running--
	exec.replicas.freeLanes++
	exec.replicas.busy--
	exec.replicas.lastUsed = s.clock.Now()
	s.logExecution(exec, invariant.AttemptEnded)
	if exec.keyEntry != nil {
		exec.keyEntry.ended = true
		s.endDuplicates(exec.keyEntry, Response{CacheStatus: control.CacheHit})
	}
	switch {
	case exec.injected.lostResponse:
	case exec.injected.resetAfter:
		s.endExchange(exec.exchange, Response{Result: ConnectionReset})
	default:
		s.endExchange(exec.exchange, Response{CacheStatus: exec.status})
	}
	s.dispatch(exec.replicas)
}

// drawExecutionTime returns a random time from 0.6 to 1.4 times the mean, longer in slow start.
func (s *Server) drawExecutionTime(slowdown float64) control.Micros {
	const least, spread = 0.6, 0.8
	d := float64(s.config.ExecutionTime) * (least + spread*s.random.Float64())
	if age := s.clock.Now() - s.startedAt; s.startMode == SlowStart && age < s.config.SlowStartDuration {
		d /= s.slowStartShare(age)
	}
	return control.Micros(d * max(1, slowdown))
}

func (s *Server) logExecution(exec *execution, kind invariant.Kind) {
	exec.record.Kind = kind
	s.log(exec.record)
}
