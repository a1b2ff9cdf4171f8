package record

import (
	"hollymast/control"
	"hollymast/internal/core"
)

// Recorder collects a core's events and commands into Steps. It runs on the event loop, and is used by Writer and by replays. The lists in
// steps are slices of a few large chunks, because allocating each list separately would cost more than the rest of the recorder.
type Recorder struct {
	step     Step
	OnStep   func(Step) // called at the end of each step
	events   []Event
	commands []Command
	requests []control.Request
	outcomes []control.Outcome
}

var _ core.Recorder = (*Recorder)(nil)

// chunkLen is how many elements are allocated at a time: enough for a few hundred steps.
const chunkLen = 256

// appendToChunk appends v to a chunk, or to a new one if the chunk is full, and returns a pointer to it.
func appendToChunk[T any](chunk *[]T, v T) *T {
	if len(*chunk) == cap(*chunk) {
		*chunk = make([]T, 0, chunkLen)
	}
	*chunk = append(*chunk, v)
	return &(*chunk)[len(*chunk)-1]
}

// extendInChunk appends v to a list that lies at the end of a chunk. If the chunk is full, the list is moved to a new one.
func extendInChunk[T any](chunk *[]T, list []T, v T) []T {
	if len(*chunk) == cap(*chunk) {
		*chunk = append(make([]T, 0, max(chunkLen, 2*len(list))), list...)
		list = *chunk
	}
	*chunk = append(*chunk, v)
	return (*chunk)[len(*chunk)-len(list)-1:]
}

// StepEnded ends the current step and passes it to OnStep.
func (r *Recorder) StepEnded(now control.Micros) {
	r.step.Clock = now
	step := r.step
	r.step = Step{}
	r.OnStep(step)
}

func (r *Recorder) addEvent(e Event) { r.step.Events = extendInChunk(&r.events, r.step.Events, e) }
func (r *Recorder) addCommand(c Command) {
	r.step.Commands = extendInChunk(&r.commands, r.step.Commands, c)
}

// EndpointsUpdated records an update of the endpoint list.
func (r *Recorder) EndpointsUpdated(kind control.UpdateKind, endpoints []control.Endpoint) {
	r.addEvent(Event{Endpoints: &EndpointUpdate{kind, endpoints}})
}

// RequestAdded records a new request.
func (r *Recorder) RequestAdded(request control.Request) {
	r.addEvent(Event{Added: appendToChunk(&r.requests, request)})
}

// SetClientIDHash records the KeyedHash of the client's id for the request that was added last.
func (r *Recorder) SetClientIDHash(hash uint64) {
	r.step.Events[len(r.step.Events)-1].ClientIDHash = hash
}

// AttemptEnded records the end of an attempt.
func (r *Recorder) AttemptEnded(id control.RequestID, o control.Outcome) {
	r.addEvent(Event{RequestID: id, Outcome: appendToChunk(&r.outcomes, o)})
}

// RequestCancelled records that a client cancelled its request.
func (r *Recorder) RequestCancelled(id control.RequestID) {
	r.addEvent(Event{RequestID: id, Cancelled: true})
}

// LoadEnded records the answer to a load command.
func (r *Recorder) LoadEnded(server control.ServerID, function control.FunctionID, result control.Result,
	duration control.Micros, replicas int) {
	r.addEvent(Event{LoadResult: &LoadResult{server, function, result, duration, replicas}})
}

// Forward records that an attempt is sent to a server.
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

// SetTimer records the time for which the core requests its next step.
func (r *Recorder) SetTimer(at control.Micros) {
	r.addCommand(Command{Kind: CommandSetTimer, Time: at})
}
