package platform

import (
	"sync/atomic"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/binframe"
	"hollymast/internal/msgrpc"
)

// request is a client's request as its connection and its attempts see it. The event loop owns it, except abandoned.
type request struct {
	id        control.RequestID
	number    uint32
	client    *clientConn
	message   msgrpc.Request
	readAt    control.Micros // when its last byte was read
	arrivedAt control.Micros // when it may have arrived: before readAt where the process stalled
	abandoned atomic.Bool    // its client has cancelled or closed: no attempt begins
	class     control.ClassID
	tenant    control.TenantID
	answer    attempt.FinalResponse
	attempts  []*serverCall
}

// networkDelay is the part of a client's deadline, in microseconds, that is spent on the network before its request
// is here and before its answer is there: a millisecond or two each, and several where the core is shared.
const networkDelay = 10_000

// handleRequest hands a request to the core, unless its client has left or the router is stopping.
func (r *Router) handleRequest(now control.Micros, req *request) {
	if req.client.hasAbandoned(req) {
		return // before this step
	}
	if r.stopRequestedAt > 0 && now >= r.stopRequestedAt+acceptRequestsFor {
		r.noteRequestEnd(req, endRejected, reasonStopping)
		r.finish(req, msgrpc.EncodeRejection(req.number, r.config.Deployment.MaxRetryAfter))
		return
	}
	if r.requests[req.id] != nil {
		r.countBadMessage(&msgrpc.MessageError{Number: req.number, Text: "ref: open already"})
		if other := r.requests[req.id]; other.client == req.client && !other.answer.Decided { // ambiguous: both end
			r.core.Cancel(now, other.id)
			r.noteRequestEnd(other, endFailed, reasonDuplicate)
			r.finish(other, msgrpc.EncodeInvalid(other.number, "ref: sent twice"))
		}
		r.noteRequestEnd(req, endFailed, reasonDuplicate)
		r.finish(req, msgrpc.EncodeInvalid(req.number, "ref: open already"))
		return
	}
	r.requests[req.id] = req
	err := r.core.Add(now, control.Request{ID: req.id, Class: req.class, Tenant: req.tenant, Function: req.message.FunctionID(),
		Lanes: req.message.Lanes, ExecTimeHint: req.message.Work, LoadTimeHint: req.message.LoadTime, ArrivedAt: now,
		Deadline: max(now, req.arrivedAt+req.message.Timeout-networkDelay), Timeout: req.message.Timeout - networkDelay, IsRetry: req.message.IsRetry})
	if err != nil {
		r.log.Error().Err(err).Msg("request not accepted")
		delete(r.requests, req.id)
		r.noteRequestEnd(req, endRejected, reasonNotAccepted)
		r.finish(req, msgrpc.EncodeRejection(req.number, r.config.Deployment.MaxRetryAfter))
	}
}

// finish gives a request its one final answer and withdraws what of it is not written yet. No data: no answer is
// sent.
func (r *Router) finish(req *request, data []byte) {
	if !req.answer.Decide() {
		return
	}
	for _, call := range req.attempts { // an answered request is not sent any more
		call.withdraw()
	}
	req.client.respond(req, data)
	r.release(req)
}

// release forgets a request that is answered and has no attempt in flight.
func (r *Router) release(req *request) {
	if req.answer.Done() && r.requests[req.id] == req {
		delete(r.requests, req.id)
	}
}

// handleCancel ends a request whose client waits no longer, or whose connection was failed; outcome is what the log says of it.
func (r *Router) handleCancel(now control.Micros, req *request, outcome requestOutcome) {
	req.client.mu.Lock()
	if req.client.open[req.number] == req {
		delete(req.client.open, req.number)
	}
	req.client.mu.Unlock()
	if req.answer.Decided || r.requests[req.id] != req {
		return
	}
	r.core.Cancel(now, req.id)
	r.noteRequestEnd(req, outcome.end, outcome.reason)
	r.finish(req, nil)
}

// Forward starts an attempt of a request on a server, to end within timeout. It is part of core.Executor, as are
// Reject, Fail, CancelAttempt, Load, SubscribeEndpoints, Log and SetTimer; the core calls them within a step.
func (r *Router) Forward(
	coreReq *control.Request, attemptID control.AttemptID, to control.ServerID, timeout control.Micros,
) {
	req := r.requests[coreReq.ID]
	call := r.newCall(to, timeout)
	call.request, call.attempt, call.id = req, attemptID, binframe.ID(req.id)
	if class := r.config.Deployment.Classes[req.class]; class.Idempotency == control.IdempotentByKey {
		for _, earlier := range coreReq.Attempts[:attemptID] {
			if earlier.MayHaveRun { // the servers must still remember the key when this attempt arrives
				call.writeBefore = min(call.writeBefore, earlier.SentAt+class.DedupWindow-networkDelay)
			}
		}
	}
	r.noteRetry(req)
	r.noteSlowStartSend(r.loop.StepTime, to)
	req.attempts = append(req.attempts, call)
	req.answer.AttemptBegan()
	call.clientDeadline = min(call.deadline, req.arrivedAt+req.message.Timeout-networkDelay)
	call.writeBefore = min(call.writeBefore, call.clientDeadline)
	call.message = &binframe.Attempt{
		ID: call.id, Class: req.message.Class, Function: req.message.Function,
		IdempotencyKey: req.message.IdempotencyKey, Body: req.message.Body,
	}
	r.dispatch(r.loop.StepTime, call, nil)
}

// newCall returns a call chosen in this step, to end within timeout, that must not be written later than its endpoint
// list allows.
func (r *Router) newCall(to control.ServerID, timeout control.Micros) *serverCall {
	deadline := r.loop.StepTime + timeout
	return &serverCall{
		router: r, to: to, chosenAt: r.loop.StepTime, deadline: deadline, clientDeadline: deadline,
		endpointsAsOf: r.loop.EndpointsAsOf, writeBefore: min(deadline, r.loop.WriteDeadline()),
	}
}

// Reject ends a request that did not run; its client may retry after retryAfter.
func (r *Router) Reject(id control.RequestID, retryAfter control.Micros, reason control.Reason) {
	req := r.requests[id]
	r.noteRequestEnd(req, endRejected, reason)
	r.finish(req, msgrpc.EncodeRejection(req.number, retryAfter))
}

// Fail ends a request that may have run and must not be repeated.
func (r *Router) Fail(id control.RequestID, reason control.Reason) {
	req := r.requests[id]
	r.noteRequestEnd(req, endFailed, reason)
	r.finish(req, msgrpc.EncodeFailure(req.number))
}

// CancelAttempt stops waiting for an attempt; its end is reported in the next step.
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
	r.loop.Post(func(now control.Micros) { r.callEnded(now, call, result, nil) })
}

// Load sends a load command to a server.
func (r *Router) Load(_ *control.Request, command control.LoadCommand) {
	call := r.newCall(command.Server, r.config.loadTimeout)
	call.load, call.id = command, r.loadCommandID()
	r.dispatch(r.loop.StepTime, call, binframe.LoadFrame(call.id, command.Function, command.Replicas))
}

// SubscribeEndpoints does nothing: the router always watches discovery.
func (r *Router) SubscribeEndpoints() {}

// SetTimer sets the one timer, replacing its time.
func (r *Router) SetTimer(at control.Micros) { r.loop.SetTimer(at) }

// attemptEnded reports an attempt's outcome to the core, and delivers its answer where that is final.
func (r *Router) attemptEnded(now control.Micros, call *serverCall, outcome control.Outcome, answer *binframe.Answer) {
	req := call.request
	if req.answer.AttemptEnded(outcome.Result) == attempt.Deliver {
		outcome.RequestDone = true
		r.core.HandleOutcome(now, req.id, outcome)
		r.noteRequestEnd(req, endServed, reasonServerAnswer)
		r.finish(req, msgrpc.EncodeSuccess(req.number, answer.Body))
		return
	}
	r.core.HandleOutcome(now, req.id, outcome)
	r.release(req)
}

// loadCommandID returns an id for a load command that is no open request's: both share the connections.
func (r *Router) loadCommandID() binframe.ID {
	for {
		id := binframe.ID(r.random.Uint64())
		if r.requests[control.RequestID(id)] == nil {
			return id
		}
	}
}

// validate checks a request against the settings and sets its class and tenant. It returns what is wrong, or the
// empty string.
func (r *Router) validate(msg *msgrpc.Request, req *request) string {
	var ok bool
	if req.class, ok = r.config.classes[msg.Class]; !ok {
		return "unknown class"
	}
	if req.tenant, ok = r.config.tenants[msg.Tenant]; !ok && len(r.config.tenants) > 0 {
		return "unknown project"
	}
	class := r.config.Deployment.Classes[req.class]
	if msg.Timeout > 2*class.MaxDeadline { // a client waits at most MaxDeadline in all; twice that allows for rounding
		return "allow: longer than the class allows"
	}
	if msg.IdempotencyKey == "" && class.Idempotency == control.IdempotentByKey {
		return "replay: missing"
	}
	if r.config.memoryMB > 0 && msg.MemoryMB > r.config.memoryMB {
		return "spec: more memory than a server has"
	}
	return ""
}
