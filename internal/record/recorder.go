package record

import (
	"hollymast/control"
	"hollymast/internal/core"
)

// Recorder turns a core's calls into Steps, within the step of the event loop. It serves the writer, and the comparison at replay. The
// lists in steps are cut from a few large chunks: allocations of their own would cost more than the rest of the recorder.
type Recorder struct {
	step     Step
	OnStep   func(Step) // called with each step that has ended
	events   []Event
	commands []Command
	requests []control.Request
	outcomes []control.Outcome
}

var _ core.Recorder = (*Recorder)(nil)

// chunkLen is how many elements are allocated at once: enough for a few hundred steps.
const chunkLen = 256

// place puts v at the end of a chunk, or of a new one, and returns where it is.
func place[T any](chunk *[]T, v T) *T {
	if len(*chunk) == cap(*chunk) {
		*chunk = make([]T, 0, chunkLen)
	}
	*chunk = append(*chunk, v)
	return &(*chunk)[len(*chunk)-1]
}

// extend appends to a list that is the end of a chunk. Where the chunk is full the list moves to a new one.
func extend[T any](chunk *[]T, list []T, v T) []T {
	if len(*chunk) == cap(*chunk) {
		*chunk = append(make([]T, 0, max(chunkLen, 2*len(list))), list...)
		list = *chunk
	}
	*chunk = append(*chunk, v)
	return (*chunk)[len(*chunk)-len(list)-1:]
}

// StepEnded ends a step and hands it to OnStep.
func (r *Recorder) StepEnded(now control.Micros) {
	r.step.Clock = now
	step := r.step
	r.step = Step{}
	r.OnStep(step)
}

func (r *Recorder) addEvent(e Event)     { r.step.Events = extend(&r.events, r.step.Events, e) }
func (r *Recorder) addCommand(c Command) { r.step.Commands = extend(&r.commands, r.step.Commands, c) }

// EndpointsUpdated records an update of the endpoint list.
func (r *Recorder) EndpointsUpdated(kind control.UpdateKind, endpoints []control.Endpoint) {
	r.addEvent(Event{Endpoints: &EndpointUpdate{kind, endpoints}})
}

// RequestAdded records a new request.
func (r *Recorder) RequestAdded(request control.Request) {
	r.addEvent(Event{Added: place(&r.requests, request)})
}

// SetClientIDHash records the Tag of the client's own id for the request that was added last.
func (r *Recorder) SetClientIDHash(tag uint64) {
	r.step.Events[len(r.step.Events)-1].ClientIDHash = tag
}

// AttemptEnded records the end of an attempt.
func (r *Recorder) AttemptEnded(id control.RequestID, o control.Outcome) {
	r.addEvent(Event{RequestID: id, Outcome: place(&r.outcomes, o)})
}

// RequestCancelled records that a client left.
func (r *Recorder) RequestCancelled(id control.RequestID) {
	r.addEvent(Event{RequestID: id, Cancelled: true})
}

// LoadEnded records the answer to a load command.
func (r *Recorder) LoadEnded(server control.ServerID, function control.FunctionID, result control.Result,
	duration control.Micros, replicas int) {
	r.addEvent(Event{LoadResult: &LoadResult{server, function, result, duration, replicas}})
}

// Forward records an attempt that is sent.
func (r *Recorder) Forward(request *control.Request, attempt control.AttemptID, to control.ServerID, timeout control.Micros) {
	r.addCommand(Command{Kind: CommandForward, Request: request.ID, Attempt: attempt, Server: to, Time: timeout})
}

// Reject records a rejection.
func (r *Recorder) Reject(id control.RequestID, retryAfter control.Micros, _ control.Reason) {
	r.addCommand(Command{Kind: CommandReject, Request: id, Time: retryAfter})
}

// Fail records a final failure.
func (r *Recorder) Fail(id control.RequestID, _ control.Reason) {
	r.addCommand(Command{Kind: CommandFail, Request: id})
}

// CancelAttempt records that an attempt is cancelled.
func (r *Recorder) CancelAttempt(id control.RequestID, attempt control.AttemptID) {
	r.addCommand(Command{Kind: CommandCancelAttempt, Request: id, Attempt: attempt})
}

// Load records a load command.
func (r *Recorder) Load(request *control.Request, l control.LoadCommand) {
	r.addCommand(Command{Kind: CommandLoad, Request: request.ID, Server: l.Server, Function: l.Function, Replicas: l.Replicas})
}

// SubscribeEndpoints records a subscription to endpoint updates.
func (r *Recorder) SubscribeEndpoints() { r.addCommand(Command{Kind: CommandSubscribe}) }

// LogServerEvent records a change in a server's health.
func (r *Recorder) LogServerEvent(event control.ServerEvent) {
	r.addCommand(Command{Kind: CommandLog, Text: event.String()})
}

// SetTimer records the time at which the core asks for its next step.
func (r *Recorder) SetTimer(at control.Micros) {
	r.addCommand(Command{Kind: CommandSetTimer, Time: at})
}
