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
	x := &execution{key: request.IdempotencyKey, status: control.CacheHit,
		record: invariant.Record{Server: s.config.Number, Request: request.ID, Effect: request.Effect, Router: request.Router}}
	s.logExecution(x, invariant.AttemptReceived)
	x.injected = s.drawFaults()
	x.exchange = s.openExchange(respond)
	switch {
	case s.collapsesAtArrival():
		s.logExecution(x, invariant.ServerCollapsed)
		s.Kill()
	case s.faults.Unresponsive:
	case x.injected.resetBefore:
		s.endExchange(x.exchange, Response{Result: ConnectionReset})
	case s.faults.Overloaded:
		s.logExecution(x, invariant.AttemptRefused)
		s.endExchange(x.exchange, Response{Result: Overloaded, Reason: reasonFull})
	case s.isDuplicate(x):
		s.logExecution(x, invariant.AttemptDeduplicated)
		s.awaitOriginal(x)
	default:
		s.admit(x, request.Function)
	}
}

// admit queues an execution for a replica of its function and starts loading one if there is none, or rejects the execution.
func (s *Server) admit(x *execution, function string) {
	r := s.functions[function]
	if s.config.LoadCommandsOnly && r == nil {
		s.reject(x, NotLoaded, reasonNotLoaded)
		return
	}
	switch {
	case r == nil:
		if r = s.reserve(function, 1); r == nil {
			s.reject(x, Overloaded, reasonNoRoom)
			return
		}
		x.status = control.CacheMiss
		s.startLoad(r, 1, func() {})
	case r.loaded == 0:
		x.status = control.CacheLoading
	}
	if s.waiting >= s.config.QueueLimit {
		s.reject(x, Overloaded, reasonNoRoom)
		return
	}
	s.waiting++
	r.busy++
	x.replicas = r
	r.queue = append(r.queue, x)
	s.dispatch(r)
}

// reject answers an execution that did not run, and the duplicates that wait for it.
func (s *Server) reject(x *execution, result Result, reason string) {
	s.forgetKey(x)
	s.logExecution(x, invariant.AttemptRefused)
	s.endExchange(x.exchange, Response{Result: result, Reason: reason})
}

// dispatch assigns free lanes of a function's replicas, and free cores, to waiting executions.
func (s *Server) dispatch(r *replicas) {
	for r.freeLanes > 0 && len(r.queue) > 0 {
		r.freeLanes--
		s.runnable = append(s.runnable, r.queue[0])
		r.queue = r.queue[1:]
	}
	for s.running < s.config.Cores && len(s.runnable) > 0 {
		x := s.runnable[0]
		s.runnable = s.runnable[1:]
		s.waiting--
		s.running++
		s.logExecution(x, invariant.AttemptStarted)
		s.after(s.drawExecutionTime(x.injected.slowdown), func() { s.complete(x) })
	}
}

// complete ends an execution that has run, and answers the duplicates that wait for it.
func (s *Server) complete(x *execution) {
	s.running--
	x.replicas.freeLanes++
	x.replicas.busy--
	x.replicas.lastUsed = s.clock.Now()
	s.logExecution(x, invariant.AttemptEnded)
	if x.keyEntry != nil {
		x.keyEntry.ended = true
		s.endDuplicates(x.keyEntry, Response{CacheStatus: control.CacheHit})
	}
	switch {
	case x.injected.lostResponse:
	case x.injected.resetAfter:
		s.endExchange(x.exchange, Response{Result: ConnectionReset})
	default:
		s.endExchange(x.exchange, Response{CacheStatus: x.status})
	}
	s.dispatch(x.replicas)
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

func (s *Server) logExecution(x *execution, kind invariant.Kind) {
	x.record.Kind = kind
	s.log(x.record)
}
