package core

import "hollymast/control"

// Recorder receives all events and decisions of a core, in order, before the core acts on them.
type Recorder interface {
	Executor
	EndpointsUpdated(kind control.UpdateKind, list []control.Endpoint)
	RequestAdded(req control.Request)
	AttemptEnded(id control.RequestID, o control.Outcome)
	RequestCancelled(id control.RequestID)
	LoadEnded(s control.ServerID, f control.FunctionID, result control.Result, took control.Micros, replicas int)
	// StepEnded is called at the end of a step, after all executor calls of that step.
	StepEnded(now control.Micros)
}

// SetRecorder starts recording with the next event, or stops it if rec is nil. It may be called only between steps.
func (c *Core) SetRecorder(rec Recorder) {
	if recording, ok := c.executor.(recordingExecutor); ok {
		c.executor = recording.executor
	}
	if c.recorder = rec; rec != nil {
		c.executor = recordingExecutor{c.executor, rec}
	}
}

// recordingExecutor records each call before it passes it to the executor.
type recordingExecutor struct {
	executor Executor
	recorder Recorder
}

func (e recordingExecutor) Forward(r *control.Request, attempt control.AttemptID, to control.ServerID,
	timeout control.Micros) {
	e.recorder.Forward(r, attempt, to, timeout)
	e.executor.Forward(r, attempt, to, timeout)
}

func (e recordingExecutor) Reject(id control.RequestID, retryAfter control.Micros, reason control.Reason) {
	e.recorder.Reject(id, retryAfter, reason)
	e.executor.Reject(id, retryAfter, reason)
}

func (e recordingExecutor) Fail(id control.RequestID, reason control.Reason) {
	e.recorder.Fail(id, reason)
	e.executor.Fail(id, reason)
}

func (e recordingExecutor) CancelAttempt(id control.RequestID, attempt control.AttemptID) {
	e.recorder.CancelAttempt(id, attempt)
	e.executor.CancelAttempt(id, attempt)
}

func (e recordingExecutor) Load(r *control.Request, command control.LoadCommand) {
	e.recorder.Load(r, command)
	e.executor.Load(r, command)
}

func (e recordingExecutor) SubscribeEndpoints() {
	e.recorder.SubscribeEndpoints()
	e.executor.SubscribeEndpoints()
}

func (e recordingExecutor) LogServerEvent(event control.ServerEvent) {
	e.recorder.LogServerEvent(event)
	e.executor.LogServerEvent(event)
}

func (e recordingExecutor) SetTimer(at control.Micros) {
	e.recorder.SetTimer(at)
	e.executor.SetTimer(at)
}
