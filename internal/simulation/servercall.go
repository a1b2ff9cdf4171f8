package simulation

import (
	"hollymast/control"
	"hollymast/internal/modelserver"
)

// serverCall is an attempt or a load command, sent by a router to a server.
type serverCall struct {
	server    int
	startedAt control.Micros
	ended     bool
}

// callResults maps the results of model servers to those of the core.
var callResults = map[modelserver.Result]control.Result{modelserver.Succeeded: control.Succeeded, modelserver.Overloaded: control.Overloaded,
	modelserver.NotLoaded: control.NotLoaded, modelserver.ConnectionReset: control.ConnectionReset}

// unknownReplicas tells the core that no response to a load command reported the number of replicas.
const unknownReplicas = -1

// callServer sends a call to a server. It calls end with the response or the connection failure, and also when the timeout
// expires: end must ignore all invocations but the first.
func (r *router) callServer(call *serverCall, timeout control.Micros, send func(*modelserver.Server, func(modelserver.Response)),
	end func(control.Result, modelserver.Response)) {
	none := modelserver.Response{Replicas: unknownReplicas}
	r.node.After(timeout, func() { end(control.TimedOut, none) })
	if !r.canReach(call.server) {
		r.node.After(min(dialTimeout, timeout), func() { end(control.ConnectFailed, none) })
		return
	}
	s := r.sim.servers[call.server]
	r.node.send(s.node, r.node.randomDelay(), func() {
		reply := func(result control.Result, response modelserver.Response) {
			s.node.send(r.node, s.node.randomDelay(), func() { end(result, response) })
		}
		if !s.model.Alive() {
			reply(control.ConnectFailed, none)
			return
		}
		send(s.model, func(response modelserver.Response) { reply(callResults[response.Result], response) })
	})
}

// Forward starts an attempt.
func (r *router) Forward(added *control.Request, attempt control.AttemptID, to control.ServerID, timeout control.Micros) {
	req, incarnation := r.requests[added.ID], r.incarnation
	call := &serverCall{server: serverIndex(to), startedAt: r.node.Now()}
	req.calls = append(req.calls, call)
	req.inFlight++
	sent := modelserver.Request{ID: req.clientRequest.requestName(), Effect: req.clientRequest.operationName(), Router: r.number, Function: req.clientRequest.Function,
		IdempotencyKey: req.clientRequest.idempotencyKey()}
	r.callServer(call, timeout,
		func(s *modelserver.Server, respond func(modelserver.Response)) { s.Infer(sent, respond) },
		func(result control.Result, response modelserver.Response) {
			r.post(incarnation, func(now control.Micros) { r.endAttempt(now, req, attempt, result, response) })
		})
}

// endAttempt handles the end of an attempt. Only the first end of an attempt counts.
func (r *router) endAttempt(now control.Micros, req *request, attempt control.AttemptID, result control.Result, response modelserver.Response) {
	call := req.calls[attempt]
	if call.ended {
		return
	}
	call.ended = true
	req.inFlight--
	outcome := control.Outcome{Attempt: attempt, Server: serverID(call.server), Result: result, CacheStatus: response.CacheStatus, Duration: now - call.startedAt}
	if result == control.Succeeded || result == control.Overloaded || result == control.NotLoaded {
		outcome.Report = &response.LoadReport
	}
	if result == control.Succeeded && !req.answered {
		outcome.RequestDone = true
		r.core.HandleOutcome(now, req.id, outcome)
		if r.overload != nil {
			r.overload.RecordAnswer(now)
		}
		r.answer(req, succeeded, 0)
		return
	}
	r.core.HandleOutcome(now, req.id, outcome)
	r.release(req)
}

// CancelAttempt cancels an attempt. The core learns the outcome in a later step.
func (r *router) CancelAttempt(id control.RequestID, attempt control.AttemptID) {
	req, incarnation := r.requests[id], r.incarnation
	if req == nil || int(attempt) >= len(req.calls) {
		return
	}
	r.node.After(0, func() {
		r.post(incarnation, func(now control.Micros) { r.endAttempt(now, req, attempt, control.Cancelled, modelserver.Response{}) })
	})
}

// Load sends a load command for a request's function.
func (r *router) Load(added *control.Request, command control.LoadCommand) {
	function, incarnation := r.requests[added.ID].clientRequest.Function, r.incarnation
	call := &serverCall{server: serverIndex(command.Server), startedAt: r.node.Now()}
	r.callServer(call, loadTimeout,
		func(s *modelserver.Server, respond func(modelserver.Response)) {
			s.Load(function, command.Replicas, r.number, respond)
		},
		func(result control.Result, response modelserver.Response) {
			r.post(incarnation, func(now control.Micros) {
				if !call.ended {
					call.ended = true
					r.core.HandleLoadResult(now, command.Server, command.Function, result, now-call.startedAt, response.Replicas)
				}
			})
		})
}
