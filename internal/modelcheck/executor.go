package modelcheck

import (
	"hollymast/control"
	"hollymast/internal/attempt"
)

// executor is a router's core.Executor: it carries out in the state what the core asks for within a step.
type executor struct {
	state  *State
	config *Config
	rules  *Rules
	router int
}

// newCall adds a server call that waits to be written.
func (x *executor) newCall(request, number int, to control.ServerID, timeout control.Micros) *ServerCall {
	s := x.state
	endpointsAsOf := s.Now
	if asOf := s.Routers[x.router].EndpointsAsOf; asOf > 0 {
		endpointsAsOf = asOf
	}
	s.Calls = append(s.Calls, ServerCall{Request: request, Attempt: number, Router: x.router, Server: x.config.serverIndex(to), ChosenAt: s.Now,
		WriteDeadline: x.rules.WriteDeadline(endpointsAsOf, s.Now, drainGrace), Deadline: s.Now + timeout})
	return &s.Calls[len(s.Calls)-1]
}

// Forward begins an attempt.
func (x *executor) Forward(request *control.Request, number control.AttemptID, to control.ServerID, timeout control.Micros) {
	call := x.newCall(x.config.requestIndex(request.ID), int(number), to, timeout)
	if number > 0 && x.config.effect(call.Request) == control.IdempotentByKey {
		call.WriteDeadline = min(call.WriteDeadline, call.ChosenAt+attempt.MaxKeyedRetryDelay)
	}
	x.state.Requests[call.Request].Answer.AttemptBegan()
}

// Load begins a load command.
func (x *executor) Load(request *control.Request, command control.LoadCommand) {
	call := x.newCall(x.config.requestIndex(request.ID), 0, command.Server, loadTimeout)
	call.Replicas = max(1, command.Replicas)
}

// Reject answers a request that its client may repeat.
func (x *executor) Reject(id control.RequestID, _ control.Micros, _ control.Reason) {
	x.giveAnswer(x.config.requestIndex(id), answerRejected)
}

// Fail answers a request as failed.
func (x *executor) Fail(id control.RequestID, _ control.Reason) {
	x.giveAnswer(x.config.requestIndex(id), answerFailed)
}

// giveAnswer gives a request its final answer and withdraws what is not written for it yet.
func (x *executor) giveAnswer(request int, kind string) {
	s := x.state
	r := &s.Requests[request]
	if !x.rules.DecideResponse(&r.Answer) {
		return
	}
	r.AnswerCount++
	r.AnswerKind, r.AnsweredAt = kind, s.Now
	for i := range s.Calls {
		if call := &s.Calls[i]; call.Request == request && call.Replicas == 0 {
			x.withdraw(call)
		}
	}
}

// withdraw withdraws a call that is not written yet.
func (x *executor) withdraw(call *ServerCall) {
	if next, ok := x.rules.Withdraw(call.Stage); ok {
		call.Stage = next
	}
}

// CancelAttempt cancels an attempt.
func (x *executor) CancelAttempt(id control.RequestID, number control.AttemptID) {
	for i := range x.state.Calls {
		call := &x.state.Calls[i]
		if call.Request == x.config.requestIndex(id) && call.Attempt == int(number) && call.Replicas == 0 && x.rules.Cancel(&call.Progress) {
			x.withdraw(call)
		}
	}
}

// SubscribeEndpoints does nothing: updates come in any case.
func (x *executor) SubscribeEndpoints() {}

// LogServerEvent does nothing.
func (x *executor) LogServerEvent(control.ServerEvent) {}

// SetTimer replaces the router's timer.
func (x *executor) SetTimer(at control.Micros) { x.state.Routers[x.router].TimerAt = at }
