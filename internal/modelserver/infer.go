package modelserver

import (
	"hollymast/control"
	"hollymast/internal/invariant"
)

// The reasons of rejections, as clients read them.
const (
	reasonFull      = "full"
	reasonNoRoom    = "no room"
	reasonNotLoaded = "not loaded"
	reasonFirstLost = "its first execution did not run"
)

// execution is one request that the server has accepted.
type execution struct {
	record   invariant.Record
	replicas *replicas
	exchange uint64
	status   control.CacheStatus
	key      string
	keyed    *keyedRequest // nil: its idempotency key is not kept
	injected injectedFaults
}

// injectedFaults are the faults drawn at a request's arrival.
type injectedFaults struct {
	slowdown    float64
	resetBefore bool // the connection breaks before it runs
	lostAnswer  bool // it is never answered
	resetAfter  bool // the connection breaks once it ran
}

// drawFaults draws in a fixed order, so that a day of one seed is always the same.
func (s *Server) drawFaults() injectedFaults {
	return injectedFaults{slowdown: s.faults.Slowdown, resetBefore: s.happens(s.faults.ResetBefore), lostAnswer: s.happens(s.faults.LostResponses),
		resetAfter: s.happens(s.faults.ResetAfter)}
}

func (s *Server) happens(share float64) bool { return share > 0 && s.random.Float64() < share }

// Infer runs one request or rejects it; respond is called once, perhaps within this call, unless the server stays silent until it
// is killed.
func (s *Server) Infer(request Request, respond func(Response)) {
	x := &execution{key: request.IdempotencyKey, status: control.CacheHit,
		record: invariant.Record{Server: s.config.Number, Request: request.ID, Effect: request.Effect, Router: request.Router}}
	s.logExecution(x, invariant.AttemptReceived)
	x.injected = s.drawFaults()
	x.exchange = s.open(respond)
	switch {
	case s.crashesAtArrival():
		s.logExecution(x, invariant.ServerCollapsed)
		s.Kill()
	case s.faults.Unresponsive:
	case x.injected.resetBefore:
		s.end(x.exchange, Response{Result: ConnectionReset})
	case s.faults.Overloaded:
		s.logExecution(x, invariant.AttemptRefused)
		s.end(x.exchange, Response{Result: Overloaded, Reason: reasonFull})
	case s.joinsEarlier(x):
		s.logExecution(x, invariant.AttemptDeduplicated)
		s.awaitFirst(x)
	default:
		s.admit(x, request.Function)
	}
}

// admit queues an execution at its function's replicas, which it may have to load, or rejects it.
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
		s.beginLoad(r, 1, func() {})
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

// reject ends an execution that did not run, and what waits for its end.
func (s *Server) reject(x *execution, result Result, reason string) {
	s.forgetKey(x)
	s.logExecution(x, invariant.AttemptRefused)
	s.end(x.exchange, Response{Result: result, Reason: reason})
}

// dispatch gives free lanes and cores to executions that wait.
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

// complete ends an execution that ran, and the retries that wait for it.
func (s *Server) complete(x *execution) {
	s.running--
	x.replicas.freeLanes++
	x.replicas.busy--
	x.replicas.lastUsed = s.clock.Now()
	s.logExecution(x, invariant.AttemptEnded)
	if x.keyed != nil {
		x.keyed.ended = true
		s.endWaiting(x.keyed, Response{CacheStatus: control.CacheHit})
	}
	switch {
	case x.injected.lostAnswer:
	case x.injected.resetAfter:
		s.end(x.exchange, Response{Result: ConnectionReset})
	default:
		s.end(x.exchange, Response{CacheStatus: x.status})
	}
	s.dispatch(x.replicas)
}

// drawExecutionTime draws how long a request runs: from 0.6 to 1.4 times the average, and longer in slow start.
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
