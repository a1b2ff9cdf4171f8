package simulation

import (
	"slices"

	"hollymast/control"
	"hollymast/internal/overload"
)

// request is a client's request that a router accepted.
type request struct {
	id       control.RequestID
	client   *clientRequest
	answered bool // or its client has gone
	inFlight int
	calls    []*serverCall // by attempt
}

// answeredSlack is how many answered requests may stay in router.open, beside as many as are not answered.
const answeredSlack = 64

// receive takes a client's request. The machine of a router that is down refuses the connection.
func (r *router) receive(q *clientRequest) {
	if r.core == nil {
		r.node.send(q.client.node, r.node.delay(), func() { q.handleResponse(notSent, 0) })
		return
	}
	r.post(r.incarnation, func(now control.Micros) {
		if !q.abandoned(now) { // while the router was stalled
			r.admit(now, q)
		}
	})
}

// admit adds a request to the core unless the overload protection rejects it.
func (r *router) admit(now control.Micros, q *clientRequest) {
	plan, function := r.world.plan, functionID(q.Function)
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
	r.open = append(r.open, accepted)
	if len(r.open) > 2*len(r.requests)+answeredSlack {
		r.open = slices.DeleteFunc(r.open, func(x *request) bool { return x.answered })
	}
	timeout := min(q.class.Spec.MaxDeadline, q.timeout)
	err := r.core.Add(now, control.Request{ID: accepted.id, Class: control.ClassID(q.Class), Function: function, Lanes: plan.LanesPerRequest,
		ArrivedAt: now, Deadline: max(now, now+timeout-plan.AnswerMargin), IsRetry: q.markedRetry(), RetriesUnmarked: q.retries == nil})
	if err != nil {
		panic(err) // ids count up
	}
}

// cancel takes in that a request's client is gone.
func (r *router) cancel(client *clientRequest) {
	r.post(r.incarnation, func(now control.Micros) {
		i := slices.IndexFunc(r.open, func(q *request) bool { return q.client == client && !q.answered })
		if i < 0 {
			return
		}
		q := r.open[i]
		q.answered = true
		r.core.Cancel(now, q.id)
		r.release(q)
	})
}

// answer gives a request its final answer.
func (r *router) answer(q *request, result response, retryAfter control.Micros) {
	if q.answered {
		return
	}
	q.answered = true
	r.node.send(q.client.client.node, r.node.delay(), func() { q.client.handleResponse(result, retryAfter) })
	r.release(q)
}

// release forgets a request that is answered and has nothing in flight.
func (r *router) release(q *request) {
	if q.answered && q.inFlight == 0 {
		delete(r.requests, q.id)
	}
}

// Reject ends a request that its client may repeat.
func (r *router) Reject(id control.RequestID, retryAfter control.Micros, _ control.Reason) {
	q := r.requests[id]
	if r.overload != nil {
		retryAfter = r.overload.RecordRejection(r.node.Now(), retryAfter, q.client.keyHash())
	}
	r.answer(q, rejected, retryAfter)
}

// Fail ends a request of which nothing may be promised.
func (r *router) Fail(id control.RequestID, _ control.Reason) { r.answer(r.requests[id], failed, 0) }

// SubscribeEndpoints does nothing: the list is polled in any case.
func (r *router) SubscribeEndpoints() {}

// LogServerEvent does nothing.
func (r *router) LogServerEvent(control.ServerEvent) {}

// SetTimer replaces the one timer.
func (r *router) SetTimer(at control.Micros) {
	r.timer++
	timer, incarnation := r.timer, r.incarnation
	r.node.at(max(at, r.node.Now()), func() {
		if r.timer == timer {
			r.post(incarnation, func(control.Micros) {})
		}
	})
}
