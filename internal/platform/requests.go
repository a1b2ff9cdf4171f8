package platform

import (
	"slices"
	"sync/atomic"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/binframe"
	"hollymast/internal/msgrpc"
)

// request is a client's request as seen by its connection and its attempts. The event loop owns all fields except
// abandoned.
type request struct {
	id        control.RequestID
	number    uint32
	size      int // of its message, in bytes
	client    *clientConn
	message   msgrpc.Request
	readAt    control.Micros // when its last byte was read
	arrivedAt control.Micros // when it may have arrived at the earliest: before readAt if the process was stalled
	abandoned atomic.Bool    // its client has cancelled it or closed the connection: no further attempt may start
	class     control.ClassID
	tenant    control.TenantID
	answer    attempt.FinalResponse
	served    bool // its final response is a server's answer
	attempts  []*serverCall
}

// networkDelay is the part of a client's deadline, in microseconds, reserved for the network: the request's way to
// the router and the response's way back. Each takes a millisecond or two, and several milliseconds on a shared core.
const networkDelay = 10_000

// handleRequest passes a request to the core, unless its client has abandoned it or the router is starting or stopping.
func (r *Router) handleRequest(now control.Micros, req *request) {
	if req.client.hasAbandoned(req) {
		return // abandoned before this step
	}
	if r.requests[req.id] != nil {
		r.countBadMessage(&msgrpc.MessageError{Number: req.number, Text: "ref: open already"})
		if other := r.requests[req.id]; other.client == req.client && !other.answer.Decided { // responses would be ambiguous
			r.core.Cancel(now, other.id)
			r.recordRequestEnd(other, endFailed, reasonDuplicate)
			r.finish(other, msgrpc.EncodeInvalid(other.number, "ref: sent twice"))
		}
		r.recordRequestEnd(req, endFailed, reasonDuplicate)
		r.finish(req, msgrpc.EncodeInvalid(req.number, "ref: open already"))
		return
	}
	if r.recentRequests.Contains(now, req.id) {
		r.countBadMessage(&msgrpc.MessageError{Number: req.number, Text: "ref: used before"})
		r.recordRequestEnd(req, endFailed, reasonRepeated)
		r.finish(req, msgrpc.EncodeFailure(req.number))
		return
	}
	if r.stopRequestedAt > 0 && now >= r.stopRequestedAt+acceptRequestsFor {
		r.recordRequestEnd(req, endRejected, reasonStopping)
		r.finish(req, r.rejection(req.id, req.number))
		return
	}
	if r.startup.pending {
		r.holdEarlyRequest(req)
		return
	}
	r.requests[req.id] = req
	err := r.core.Add(now, control.Request{ID: req.id, Class: req.class, Tenant: req.tenant, Function: req.message.FunctionID(),
		Lanes: req.message.Lanes, ExecTimeHint: req.message.ExecTimeHint, LoadTimeHint: req.message.LoadTimeHint, ArrivedAt: now,
		Deadline: max(now, req.arrivedAt+req.message.Timeout-networkDelay), Timeout: req.message.Timeout - networkDelay, IsRetry: req.message.IsRetry})
	if err != nil {
		r.log.Error().Err(err).Msg("request not accepted")
		delete(r.requests, req.id)
		r.recordRequestEnd(req, endRejected, reasonNotAccepted)
		r.finish(req, r.rejection(req.id, req.number))
	}
}

// finish gives a request its final response and withdraws those of its attempts that are not written yet. If data is
// nil, no response is sent.
func (r *Router) finish(req *request, data []byte) {
	if !req.answer.Decide() {
		return
	}
	for _, call := range req.attempts { // a finished request must not be sent to a server any more
		call.withdraw()
	}
	req.client.respond(req, data)
	r.release(req)
}

// release removes a request that has its final response and no attempt in flight.
func (r *Router) release(req *request) {
	if !req.answer.Done() || r.requests[req.id] != req {
		return
	}
	delete(r.requests, req.id)
	if r.config.Deployment.Classes[req.class].Idempotency != control.Idempotent && req.mayHaveRun() {
		r.recentRequests.Add(r.loop.Now(), req.id)
	}
}

// rejection returns the response to a request that was not passed to the core: a rejection, or a failure if an earlier request
// under its id may have run. Any goroutine may call it.
func (r *Router) rejection(id control.RequestID, number uint32) []byte {
	if r.recentRequests.Contains(r.loop.Now(), id) {
		return msgrpc.EncodeFailure(number)
	}
	return msgrpc.EncodeRejection(number, r.config.Deployment.MaxRetryAfter)
}

// mayHaveRun reports whether an attempt of a request without attempts in flight may have run.
func (req *request) mayHaveRun() bool {
	return slices.ContainsFunc(req.attempts, func(call *serverCall) bool { return !control.Result(call.result).ProvesNotRun() })
}

// handleCancel ends a request whose client no longer waits for it, or whose connection has failed. outcome is how the
// log describes its end.
func (r *Router) handleCancel(now control.Micros, req *request, outcome requestOutcome) {
	req.client.mu.Lock()
	req.client.removeOpen(req)
	req.client.mu.Unlock()
	if req.answer.Decided || r.requests[req.id] != req {
		return
	}
	r.core.Cancel(now, req.id)
	r.recordRequestEnd(req, outcome.end, outcome.reason)
	r.finish(req, nil)
}

// Forward starts an attempt of a request on a server; the attempt must end within timeout. Forward, Reject, Fail,
// CancelAttempt, Load, SubscribeEndpoints, LogServerEvent and SetTimer implement core.Executor; the core calls them
// within a step.
func (r *Router) Forward(
	coreReq *control.Request, attemptID control.AttemptID, to control.ServerID, timeout control.Micros,
) {
	req := r.requests[coreReq.ID]
	call := r.newCall(to, timeout)
	call.request, call.attempt, call.id = req, attemptID, binframe.ID(req.id)
	if class := r.config.Deployment.Classes[req.class]; class.Idempotency == control.IdempotentByKey {
		for _, earlier := range coreReq.Attempts[:attemptID] {
			if earlier.MayHaveRun { // the attempt must arrive while the servers still remember the key
				call.writeBefore = min(call.writeBefore, earlier.SentAt+class.DedupWindow-networkDelay)
			}
		}
	}
	r.recordRetry(req)
	r.recordSlowStartSend(r.loop.StepTime, to)
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

// newCall returns a call to a server chosen in this step, which must end within timeout. writeBefore bounds when it
// may be written, given the age of the endpoint list.
func (r *Router) newCall(server control.ServerID, timeout control.Micros) *serverCall {
	deadline := r.loop.StepTime + timeout
	return &serverCall{
		router: r, server: server, chosenAt: r.loop.StepTime, deadline: deadline, clientDeadline: deadline,
		endpointsAsOf: r.loop.EndpointsAsOf, writeBefore: min(deadline, r.loop.WriteDeadline()),
	}
}

// Reject ends a request that did not run. Its client may retry after retryAfter.
func (r *Router) Reject(id control.RequestID, retryAfter control.Micros, reason control.Reason) {
	req := r.requests[id]
	r.recordRequestEnd(req, endRejected, reason)
	r.finish(req, msgrpc.EncodeRejection(req.number, retryAfter))
}

// Fail ends a request that may have run and must not be retried.
func (r *Router) Fail(id control.RequestID, reason control.Reason) {
	req := r.requests[id]
	r.recordRequestEnd(req, endFailed, reason)
	r.finish(req, msgrpc.EncodeFailure(req.number))
}

// CancelAttempt stops waiting for an attempt. The attempt's end is reported in the next step.
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

// SubscribeEndpoints does nothing: the router is always subscribed to discovery.
func (r *Router) SubscribeEndpoints() {}

// SetTimer sets the router's only timer, replacing its previous time.
func (r *Router) SetTimer(at control.Micros) { r.loop.SetTimer(at) }

// attemptEnded reports the outcome of an attempt to the core, and sends the server's answer to the client if it is
// the final one.
func (r *Router) attemptEnded(now control.Micros, call *serverCall, outcome control.Outcome, answer *binframe.Answer) {
	req := call.request
	if req.answer.AttemptEnded(outcome.Result) == attempt.Deliver {
		outcome.RequestDone = true
		r.core.HandleOutcome(now, req.id, outcome)
		req.served = true
		r.recordRequestEnd(req, endServed, reasonServerAnswer)
		r.finish(req, msgrpc.EncodeSuccess(req.number, answer.Body))
		return
	}
	r.core.HandleOutcome(now, req.id, outcome)
	r.release(req)
}

// loadCommandID returns an id for a load command that no open request uses, because both kinds of call share the
// connections.
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
	if msg.Timeout > 2*class.MaxDeadline { // a client waits at most MaxDeadline in total; the factor allows for rounding
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
