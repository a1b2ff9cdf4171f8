package platform

import (
	"sync/atomic"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/binframe"
	"hollymast/internal/msgrpc"
)

// request is a job as its client's connection and its executions see it.
type request struct {
	id        control.RequestID
	number    uint32
	client    *clientConn
	ask       msgrpc.Request
	readAt    control.Micros // when its last byte was
	cameAt    control.Micros // when it may have come: before, where the process stood still
	abandoned atomic.Bool    // its client has cancelled or closed: no execution begins
	class     control.ClassID
	tenant    control.TenantID
	answer    attempt.FinalAnswer
	attempts  []*serverCall
}

// networkDelay is what of a client's patience goes by before its job is here, and before its answer is there: a millisecond or
// two each, and several where the core is shared.
const networkDelay = 10_000

// handleRequest takes a job in hand.
func (p *Router) handleRequest(now control.Micros, j *request) {
	if j.client.hasLeft(j) {
		return // before this turn
	}
	if p.stopRequestedAt > 0 && now >= p.stopRequestedAt+acceptRequestsFor {
		p.finish(j, msgrpc.Rejection(j.number, p.config.Deployment.MaxRetryAfter))
		return
	}
	if p.requests[j.id] != nil {
		p.countBadMessage(&msgrpc.Fault{Number: j.number, Text: "ref: open already"})
		if other := p.requests[j.id]; other.client == j.client && !other.answer.Given { // which of the two was meant?
			p.core.Cancel(now, other.id)
			p.finish(other, msgrpc.Invalid(other.number, "ref: sent twice"))
		}
		p.finish(j, msgrpc.Invalid(j.number, "ref: open already"))
		return
	}
	p.requests[j.id] = j
	err := p.core.Add(now, control.Request{ID: j.id, Class: j.class, Tenant: j.tenant, Function: j.ask.FunctionID(),
		Lanes: j.ask.Lanes, Work: j.ask.Work, LoadTime: j.ask.LoadTime, ArrivedAt: now,
		Deadline: max(now, j.readAt+j.ask.Timeout-networkDelay), IsRetry: j.ask.IsRetry})
	if err != nil {
		p.log.Error().Err(err).Msg("job not taken")
		delete(p.requests, j.id)
		p.finish(j, msgrpc.Rejection(j.number, p.config.Deployment.MaxRetryAfter))
	}
}

// finish gives a job its one final answer.
func (p *Router) finish(j *request, data []byte) {
	if !j.answer.Give() {
		return
	}
	for _, s := range j.attempts { // nothing is sent for a job that has its answer
		s.withdraw()
	}
	j.client.respond(j, data)
	p.release(j)
}

// release forgets a job that has its answer and no execution out.
func (p *Router) release(j *request) {
	if j.answer.Done() && p.requests[j.id] == j {
		delete(p.requests, j.id)
	}
}

// handleCancel takes in that a job's client no longer waits.
func (p *Router) handleCancel(now control.Micros, j *request) {
	j.client.mu.Lock()
	if j.client.open[j.number] == j {
		delete(j.client.open, j.number)
	}
	j.client.mu.Unlock()
	if j.answer.Given || p.requests[j.id] != j {
		return
	}
	p.core.Cancel(now, j.id)
	p.finish(j, nil)
}

// Forward starts an execution.
func (p *Router) Forward(cj *control.Request, no control.AttemptID, to control.ServerID, allow control.Micros) {
	j := p.requests[cj.ID]
	s := p.newCall(to, allow)
	s.request, s.attempt, s.id = j, no, binframe.ID(j.id)
	if w := p.config.Deployment.Classes[j.class]; w.Effect == control.IdempotentByKey {
		for _, e := range cj.Attempts[:no] {
			if e.MayHaveRun { // the group must still remember it when this one comes
				s.writeBefore = min(s.writeBefore, e.SentAt+w.Window-networkDelay)
			}
		}
	}
	j.attempts = append(j.attempts, s)
	j.answer.AttemptBegan()
	s.clientDeadline = min(s.deadline, j.cameAt+j.ask.Timeout-networkDelay)
	s.writeBefore = min(s.writeBefore, s.clientDeadline)
	s.message = &binframe.Attempt{ID: s.id, Class: j.ask.Class, Function: j.ask.Function, IdempotencyKey: j.ask.IdempotencyKey, Body: j.ask.Body}
	p.dispatch(p.stepTime, s, nil)
}

func (p *Router) newCall(to control.ServerID, allow control.Micros) *serverCall {
	return &serverCall{p: p, to: to, chosenAt: p.stepTime, deadline: p.stepTime + allow, clientDeadline: p.stepTime + allow, endpointsAsOf: p.endpointsAsOf,
		writeBefore: min(p.stepTime+allow, attempt.WriteUntil(p.endpointsAsOf, p.config.grace))}
}

// Reject and Kill end a job.
func (p *Router) Reject(id control.RequestID, stayAway control.Micros) {
	j := p.requests[id]
	p.finish(j, msgrpc.Rejection(j.number, stayAway))
}

// Fail ends a job of which nothing may be promised.
func (p *Router) Fail(id control.RequestID) {
	j := p.requests[id]
	p.finish(j, msgrpc.Failure(j.number))
}

// CancelAttempt stops waiting for an execution.
func (p *Router) CancelAttempt(id control.RequestID, no control.AttemptID) {
	j := p.requests[id]
	if j == nil || int(no) >= len(j.attempts) {
		return
	}
	s := j.attempts[no]
	if !s.progress.Cancel() {
		return
	}
	result := control.Cancelled
	if s.withdraw() {
		result = control.NotSent
	} else {
		p.abandon(s)
	}
	p.queue.Post(func(now control.Micros) { p.callEnded(now, s, result, nil) })
}

// Load orders copies of a job's function.
func (p *Router) Load(_ *control.Request, o control.LoadCommand) {
	s := p.newCall(o.Server, p.config.loadTimeout)
	s.load, s.id = o, p.loadCommandID()
	p.dispatch(p.stepTime, s, binframe.LoadFrame(s.id, o.Function, o.Replicas))
}

// SubscribeEndpoints has nothing to do: the board is followed in any case.
func (p *Router) SubscribeEndpoints() {}

// SetTimer sets the one timer.
func (p *Router) SetTimer(at control.Micros) {
	p.timerAt = at
	p.timer.Reset(duration(max(0, at-p.now())))
}

// attemptEnded takes in the end of an execution.
func (p *Router) attemptEnded(now control.Micros, s *serverCall, o control.Outcome, a *binframe.Answer) {
	j := s.request
	if j.answer.AttemptEnded(o.Result) == attempt.Deliver {
		o.RequestDone = true
		p.core.HandleOutcome(now, j.id, o)
		p.finish(j, msgrpc.Success(j.number, a.Body))
		return
	}
	p.core.HandleOutcome(now, j.id, o)
	p.release(j)
}

// loadCommandID is an id for an order that is none of a job's on any connection.
func (p *Router) loadCommandID() binframe.ID {
	for {
		id := binframe.ID(p.random.Uint64())
		if p.requests[control.RequestID(id)] == nil {
			return id
		}
	}
}

// validate holds what a client asks against the settings; the text tells what is wrong.
func (p *Router) validate(a *msgrpc.Request, j *request) string {
	var ok bool
	if j.class, ok = p.config.classes[a.Class]; !ok {
		return "unknown class"
	}
	if j.tenant, ok = p.config.tenants[a.Tenant]; !ok && len(p.config.tenants) > 0 {
		return "unknown project"
	}
	w := p.config.Deployment.Classes[j.class]
	if a.Timeout > 2*w.MaxDeadline { // a client waits no longer than that in all; twice, for those that round
		return "allow: longer than the class allows"
	}
	if a.IdempotencyKey == "" && w.Effect == control.IdempotentByKey {
		return "replay: missing"
	}
	if p.config.memoryMB > 0 && a.MemoryMB > p.config.memoryMB {
		return "spec: more memory than a server has"
	}
	return ""
}
