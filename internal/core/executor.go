package core

import "hollymast/control"

// Executor carries out the decisions, during the step and in the order in which they were made. No method may block or
// call back into the core.
type Executor interface {
	// Forward starts an attempt that may take up to timeout. The attempts of a request are numbered from 0.
	Forward(r *control.Request, attempt control.AttemptID, to control.ServerID, timeout control.Micros)
	// Reject and Fail give a request its final response.
	Reject(id control.RequestID, retryAfter control.Micros, reason control.Reason)
	Fail(id control.RequestID, reason control.Reason)
	// CancelAttempt stops waiting for an attempt; its outcome is still to be reported.
	CancelAttempt(id control.RequestID, attempt control.AttemptID)
	// Load sends a load command on behalf of a request.
	Load(r *control.Request, command control.LoadCommand)
	// SubscribeEndpoints subscribes to changes of the endpoint list.
	SubscribeEndpoints()
	// LogServerEvent logs a change in a server's health.
	LogServerEvent(event control.ServerEvent)
	// SetTimer requests a step no later than the given time. It replaces an earlier timer, which has fired or is set
	// for later.
	SetTimer(at control.Micros)
}

// NoopExecutor ignores all calls. It is for callers that need only the decisions.
type NoopExecutor struct{}

// Forward does nothing.
func (NoopExecutor) Forward(*control.Request, control.AttemptID, control.ServerID, control.Micros) {}

// Reject does nothing.
func (NoopExecutor) Reject(control.RequestID, control.Micros, control.Reason) {}

// Fail does nothing.
func (NoopExecutor) Fail(control.RequestID, control.Reason) {}

// CancelAttempt does nothing.
func (NoopExecutor) CancelAttempt(control.RequestID, control.AttemptID) {}

// Load does nothing.
func (NoopExecutor) Load(*control.Request, control.LoadCommand) {}

// SubscribeEndpoints does nothing.
func (NoopExecutor) SubscribeEndpoints() {}

// LogServerEvent does nothing.
func (NoopExecutor) LogServerEvent(control.ServerEvent) {}

// SetTimer does nothing.
func (NoopExecutor) SetTimer(control.Micros) {}
