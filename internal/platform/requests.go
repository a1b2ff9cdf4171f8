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
	message   msgrpc.Request
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
func (r *Router) handleRequest(now control.Micros, req *request) {
	if req.client.hasLeft(req) {
		return // before this turn
	}
	if r.stopRequestedAt > 0 && now >= r.stopRequestedAt+acceptRequestsFor {
		r.finish(req, msgrpc.Rejection(req.number, r.config.Deployment.MaxRetryAfter))
		return
	}
	if r.requests[req.id] != nil {
		r.countBadMessage(&msgrpc.Fault{Number: req.number, Text: "ref: open already"})
		if other := r.requests[req.id]; other.client == req.client && !other.answer.Given { // which of the two was meant?
			r.core.Cancel(now, other.id)
			r.finish(other, msgrpc.Invalid(other.number, "ref: sent twice"))
		}
		r.finish(req, msgrpc.Invalid(req.number, "ref: open already"))
		return
	}
	r.requests[req.id] = req
	err := r.core.Add(now, control.Request{ID: req.id, Class: req.class, Tenant: req.tenant, Function: req.message.FunctionID(),
		Lanes: req.message.Lanes, Work: req.message.Work, LoadTime: req.message.LoadTime, ArrivedAt: now,
		Deadline: max(now, req.readAt+req.message.Timeout-networkDelay), IsRetry: req.message.IsRetry})
	if err != nil {
		r.log.Error().Err(err).Msg("job not taken")
		delete(r.requests, req.id)
		r.finish(req, msgrpc.Rejection(req.number, r.config.Deployment.MaxRetryAfter))
	}
}

// finish gives a job its one final answer.
func (r *Router) finish(req *request, data []byte) {
	if !req.answer.Give() {
		return
	}
	for _, call := range req.attempts { // nothing is sent for a job that has its answer
		call.withdraw()
	}
	req.client.respond(req, data)
	r.release(req)
}

// release forgets a job that has its answer and no execution out.
func (r *Router) release(req *request) {
	if req.answer.Done() && r.requests[req.id] == req {
		delete(r.requests, req.id)
	}
}

// handleCancel takes in that a job's client no longer waits.
func (r *Router) handleCancel(now control.Micros, req *request) {
	req.client.mu.Lock()
	if req.client.open[req.number] == req {
		delete(req.client.open, req.number)
	}
	req.client.mu.Unlock()
	if req.answer.Given || r.requests[req.id] != req {
		return
	}
	r.core.Cancel(now, req.id)
	r.finish(req, nil)
}

// Forward starts an execution.
func (r *Router) Forward(coreReq *control.Request, attemptID control.AttemptID, to control.ServerID, timeout control.Micros) {
	req := r.requests[coreReq.ID]
	call := r.newCall(to, timeout)
	call.request, call.attempt, call.id = req, attemptID, binframe.ID(req.id)
	if class := r.config.Deployment.Classes[req.class]; class.Effect == control.IdempotentByKey {
		for _, earlier := range coreReq.Attempts[:attemptID] {
			if earlier.MayHaveRun { // the group must still remember it when this one comes
				call.writeBefore = min(call.writeBefore, earlier.SentAt+class.Window-networkDelay)
			}
		}
	}
	req.attempts = append(req.attempts, call)
	req.answer.AttemptBegan()
	call.clientDeadline = min(call.deadline, req.cameAt+req.message.Timeout-networkDelay)
	call.writeBefore = min(call.writeBefore, call.clientDeadline)
	call.message = &binframe.Attempt{ID: call.id, Class: req.message.Class, Function: req.message.Function, IdempotencyKey: req.message.IdempotencyKey, Body: req.message.Body}
	r.dispatch(r.stepTime, call, nil)
}

func (r *Router) newCall(to control.ServerID, timeout control.Micros) *serverCall {
	return &serverCall{router: r, to: to, chosenAt: r.stepTime, deadline: r.stepTime + timeout, clientDeadline: r.stepTime + timeout, endpointsAsOf: r.endpointsAsOf,
		writeBefore: min(r.stepTime+timeout, attempt.WriteUntil(r.endpointsAsOf, r.config.grace))}
}

// Reject and Kill end a job.
func (r *Router) Reject(id control.RequestID, retryAfter control.Micros) {
	req := r.requests[id]
	r.finish(req, msgrpc.Rejection(req.number, retryAfter))
}

// Fail ends a job of which nothing may be promised.
func (r *Router) Fail(id control.RequestID) {
	req := r.requests[id]
	r.finish(req, msgrpc.Failure(req.number))
}

// CancelAttempt stops waiting for an execution.
func (r *Router) CancelAttempt(id control.RequestID, attemptID control.AttemptID) {
	req := r.requests[id]
	if req == nil || int(attemptID) >= len(req.attempts) {
		return
	}
	call := req.attempts[attemptID]
	if !call.progress.Cancel() {
		return
	}
	result := control.Cancelled
	if call.withdraw() {
		result = control.NotSent
	} else {
		r.abandon(call)
	}
	r.queue.Post(func(now control.Micros) { r.callEnded(now, call, result, nil) })
}

// Load orders copies of a job's function.
func (r *Router) Load(_ *control.Request, command control.LoadCommand) {
	call := r.newCall(command.Server, r.config.loadTimeout)
	call.load, call.id = command, r.loadCommandID()
	r.dispatch(r.stepTime, call, binframe.LoadFrame(call.id, command.Function, command.Replicas))
}

// SubscribeEndpoints has nothing to do: the board is followed in any case.
func (r *Router) SubscribeEndpoints() {}

// SetTimer sets the one timer.
func (r *Router) SetTimer(at control.Micros) {
	r.timerAt = at
	r.timer.Reset(duration(max(0, at-r.now())))
}

// attemptEnded takes in the end of an execution.
func (r *Router) attemptEnded(now control.Micros, call *serverCall, outcome control.Outcome, answer *binframe.Answer) {
	req := call.request
	if req.answer.AttemptEnded(outcome.Result) == attempt.Deliver {
		outcome.RequestDone = true
		r.core.HandleOutcome(now, req.id, outcome)
		r.finish(req, msgrpc.Success(req.number, answer.Body))
		return
	}
	r.core.HandleOutcome(now, req.id, outcome)
	r.release(req)
}

// loadCommandID is an id for an order that is none of a job's on any connection.
func (r *Router) loadCommandID() binframe.ID {
	for {
		id := binframe.ID(r.random.Uint64())
		if r.requests[control.RequestID(id)] == nil {
			return id
		}
	}
}

// validate holds what a client asks against the settings; the text tells what is wrong.
func (r *Router) validate(msg *msgrpc.Request, req *request) string {
	var ok bool
	if req.class, ok = r.config.classes[msg.Class]; !ok {
		return "unknown class"
	}
	if req.tenant, ok = r.config.tenants[msg.Tenant]; !ok && len(r.config.tenants) > 0 {
		return "unknown project"
	}
	class := r.config.Deployment.Classes[req.class]
	if msg.Timeout > 2*class.MaxDeadline { // a client waits no longer than that in all; twice, for those that round
		return "allow: longer than the class allows"
	}
	if msg.IdempotencyKey == "" && class.Effect == control.IdempotentByKey {
		return "replay: missing"
	}
	if r.config.memoryMB > 0 && msg.MemoryMB > r.config.memoryMB {
		return "spec: more memory than a server has"
	}
	return ""
}
