package simulation

import (
	"slices"

	"hollymast/control"
	"hollymast/internal/overload"
)

// request is a client's request that a router has received.
type request struct {
	id       control.RequestID
	client   *clientRequest
	answered bool // or cancelled by its client
	inFlight int
	calls    []*serverCall // by attempt ID
}

// openRequestMargin is the number by which router.openRequests may exceed twice the number of requests that are not
// released, before answered requests are removed from it.
const openRequestMargin = 64

// receive receives a client's request. If the router is down, its host refuses the connection.
func (r *router) receive(q *clientRequest) {
	if r.core == nil {
		r.node.send(q.client.node, r.node.randomDelay(), func() { q.handleResponse(notSent, 0) })
		return
	}
	r.post(r.incarnation, func(now control.Micros) {
		if !q.abandoned(now) { // it may have been abandoned while the router was stalled
			r.admit(now, q)
		}
	})
}

// admit adds a request to the core, unless the overload protection rejects it.
func (r *router) admit(now control.Micros, q *clientRequest) {
	plan, function := r.sim.plan, functionID(q.Function)
	accepted := &request{client: q}
	if r.overload != nil {
		verdict := r.overload.Admit(now, overload.Request{IsRetry: q.markedRetry(), KeyHash: q.keyHash(), Function: function, Priority: q.class.Importance})
		if !verdict.Admitted {
			r.answer(accepted, rejected, verdict.RetryAfter)
			return
		}
	}
	r.lastID++
	accepted.id = r.lastID
	r.requests[accepted.id] = accepted
	r.openRequests = append(r.openRequests, accepted)
	if len(r.openRequests) > 2*len(r.requests)+openRequestMargin {
		r.openRequests = slices.DeleteFunc(r.openRequests, func(x *request) bool { return x.answered })
	}
	timeout := min(q.class.Spec.MaxDeadline, q.timeout)
	err := r.core.Add(now, control.Request{ID: accepted.id, Class: control.ClassID(q.Class), Function: function, Lanes: plan.LanesPerRequest,
		ArrivedAt: now, Deadline: max(now, now+timeout-plan.AnswerMargin), IsRetry: q.markedRetry(), RetriesUnmarked: q.retries == nil})
	if err != nil {
		panic(err) // cannot happen: each request has a new ID
	}
}

// cancel handles a request's cancellation by its client.
func (r *router) cancel(client *clientRequest) {
	r.post(r.incarnation, func(now control.Micros) {
		i := slices.IndexFunc(r.openRequests, func(q *request) bool { return q.client == client && !q.answered })
		if i < 0 {
			return
		}
		q := r.openRequests[i]
		q.answered = true
		r.core.Cancel(now, q.id)
		r.release(q)
	})
}

// answer sends a request's final response, unless it has one or its client has cancelled it.
func (r *router) answer(q *request, result response, retryAfter control.Micros) {
	if q.answered {
		return
	}
	q.answered = true
	r.node.send(q.client.client.node, r.node.randomDelay(), func() { q.client.handleResponse(result, retryAfter) })
	r.release(q)
}

// release removes a request that is answered and has no attempt in flight.
func (r *router) release(q *request) {
	if q.answered && q.inFlight == 0 {
		delete(r.requests, q.id)
	}
}

// Reject gives a request its final response: rejected, so that its client may retry it.
func (r *router) Reject(id control.RequestID, retryAfter control.Micros, _ control.Reason) {
	q := r.requests[id]
	if r.overload != nil {
		retryAfter = r.overload.RecordRejection(r.node.Now(), retryAfter, q.client.keyHash())
	}
	r.answer(q, rejected, retryAfter)
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
