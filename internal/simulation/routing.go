package simulation

import (
	"slices"

	"hollymast/control"
	"hollymast/internal/overload"
)

// request is a client's request that a router has received.
type request struct {
	id            control.RequestID
	clientRequest *clientRequest
	answered      bool // or cancelled by its client
	inFlight      int
	calls         []*serverCall // by attempt ID
}

// openRequestMargin is the number by which router.openRequests may exceed twice the number of requests that are not
// released, before answered requests are removed from it.
const openRequestMargin = 64

// receive receives a client's request. If the router is down, its host refuses the connection.
func (r *router) receive(clientReq *clientRequest) {
	if r.core == nil {
		r.node.send(clientReq.client.node, r.node.randomDelay(), func() { clientReq.handleResponse(notSent, 0) })
		return
	}
	r.post(r.incarnation, func(now control.Micros) {
		if !clientReq.abandoned(now) { // it may have been abandoned while the router was stalled
			r.admit(now, clientReq)
		}
	})
}

// admit adds a request to the core, unless the overload protection rejects it.
func (r *router) admit(now control.Micros, clientReq *clientRequest) {
	plan, function := r.sim.plan, functionID(clientReq.Function)
	req := &request{clientRequest: clientReq}
	if r.overload != nil {
		verdict := r.overload.Admit(now, overload.Request{IsRetry: clientReq.markedRetry(), KeyHash: clientReq.keyHash(), Function: function, Priority: clientReq.class.Importance})
		if !verdict.Admitted {
			r.answer(req, rejected, verdict.RetryAfter)
			return
		}
	}
	r.lastID++
	req.id = r.lastID
	r.requests[req.id] = req
	r.openRequests = append(r.openRequests, req)
	if len(r.openRequests) > 2*len(r.requests)+openRequestMargin {
		r.openRequests = slices.DeleteFunc(r.openRequests, func(req *request) bool { return req.answered })
	}
	timeout := min(clientReq.class.Spec.MaxDeadline, clientReq.timeout)
	err := r.core.Add(now, control.Request{ID: req.id, Class: control.ClassID(clientReq.Class), Function: function, Lanes: plan.LanesPerRequest,
		ArrivedAt: now, Deadline: max(now, now+timeout-plan.AnswerMargin), IsRetry: clientReq.markedRetry(), RetriesUnmarked: clientReq.retries == nil})
	if err != nil {
		panic(err) // cannot happen: each request has a new ID
	}
}

// cancel handles a request's cancellation by its client.
func (r *router) cancel(clientReq *clientRequest) {
	r.post(r.incarnation, func(now control.Micros) {
		i := slices.IndexFunc(r.openRequests, func(req *request) bool { return req.clientRequest == clientReq && !req.answered })
		if i < 0 {
			return
		}
		req := r.openRequests[i]
		req.answered = true
		r.core.Cancel(now, req.id)
		r.release(req)
	})
}

// answer sends a request's final response, unless it has one or its client has cancelled it.
func (r *router) answer(req *request, result response, retryAfter control.Micros) {
	if req.answered {
		return
	}
	req.answered = true
	r.node.send(req.clientRequest.client.node, r.node.randomDelay(), func() { req.clientRequest.handleResponse(result, retryAfter) })
	r.release(req)
}

// release removes a request that is answered and has no attempt in flight.
func (r *router) release(req *request) {
	if req.answered && req.inFlight == 0 {
		delete(r.requests, req.id)
	}
}

// Reject gives a request its final response: rejected, so that its client may retry it.
func (r *router) Reject(id control.RequestID, retryAfter control.Micros, _ control.Reason) {
	req := r.requests[id]
	if r.overload != nil {
		retryAfter = r.overload.RecordRejection(r.node.Now(), retryAfter, req.clientRequest.keyHash())
	}
	r.answer(req, rejected, retryAfter)
}

// Fail gives a request its final response: failed. The request may have run.
func (r *router) Fail(id control.RequestID, _ control.Reason) { r.answer(r.requests[id], failed, 0) }

// SubscribeEndpoints does nothing: all routers poll the endpoint list.
func (r *router) SubscribeEndpoints() {}

// LogServerEvent does nothing.
func (r *router) LogServerEvent(control.ServerEvent) {}

// SetTimer replaces the router's timer.
func (r *router) SetTimer(at control.Micros) {
	r.timerGeneration++
	timer, incarnation := r.timerGeneration, r.incarnation
	r.node.at(max(at, r.node.Now()), func() {
		if r.timerGeneration == timer {
			r.post(incarnation, func(control.Micros) {})
		}
	})
}
