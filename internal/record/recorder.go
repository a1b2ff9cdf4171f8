package record

import (
	"hollymast/control"
)

// Tape turns a core's calls into turns. It is the part of the writer and of the comparison that runs within a turn. What
// turns hold is cut from a few large pieces: allocations of their own cost more than all else on the tape.
type Recorder struct {
	step     Step
	OnStep   func(Step) // takes each finished turn
	events   []Event
	commands []Command
	requests []control.Request
	outcomes []control.Outcome
}

// piece is how many of a kind are allocated at once: a few hundred turns.
const chunkLen = 256

// keep puts v at the end of a piece, or of a new one, and gives its place.
func place[T any](p *[]T, v T) *T {
	if len(*p) == cap(*p) {
		*p = make([]T, 0, chunkLen)
	}
	*p = append(*p, v)
	return &(*p)[len(*p)-1]
}

// add lengthens a list that stands at the end of a piece; where the piece is full the list moves to a new one.
func extend[T any](p *[]T, list []T, v T) []T {
	if len(*p) == cap(*p) {
		*p = append(make([]T, 0, max(chunkLen, 2*len(list))), list...)
		list = *p
	}
	*p = append(*p, v)
	return (*p)[len(*p)-len(list)-1:]
}

// StepEnded ends a turn.
func (t *Recorder) StepEnded(now control.Micros) {
	t.step.Clock = now
	turn := t.step
	t.step = Step{}
	t.OnStep(turn)
}

func (t *Recorder) addEvent(n Event) { t.step.Events = extend(&t.events, t.step.Events, n) }

func (t *Recorder) addCommand(d Command) { t.step.Commands = extend(&t.commands, t.step.Commands, d) }

// EndpointsUpdated notes a list of servers.
func (t *Recorder) EndpointsUpdated(kind control.UpdateKind, list []control.Endpoint) {
	t.addEvent(Event{Endpoints: &EndpointUpdate{kind, list}})
}

// RequestAdded notes a new job.
func (t *Recorder) RequestAdded(job control.Request) {
	t.addEvent(Event{Added: place(&t.requests, job)})
}

// Asked notes the client's id for the job that has just arrived, as a Tag.
func (t *Recorder) SetClientTag(request uint64) {
	t.step.Events[len(t.step.Events)-1].ClientTag = request
}

// AttemptEnded notes the end of an execution.
func (t *Recorder) AttemptEnded(id control.RequestID, o control.Outcome) {
	t.addEvent(Event{RequestID: id, Outcome: place(&t.outcomes, o)})
}

// RequestCancelled notes that a client left.
func (t *Recorder) RequestCancelled(id control.RequestID) {
	t.addEvent(Event{RequestID: id, Cancelled: true})
}

// LoadEnded notes the answer to an order.
func (t *Recorder) LoadEnded(s control.ServerID, f control.FunctionID, result control.Result, took control.Micros, copies int) {
	t.addEvent(Event{LoadResult: &LoadResult{s, f, result, took, copies}})
}

// Forward and the others note what the core asked of its outlet.
func (t *Recorder) Forward(j *control.Request, no control.AttemptID, to control.ServerID, allow control.Micros) {
	t.addCommand(Command{Kind: CommandForward, Request: j.ID, Attempt: no, Server: to, Time: allow})
}

// Reject notes a push back.
func (t *Recorder) Reject(id control.RequestID, stayAway control.Micros) {
	t.addCommand(Command{Kind: CommandReject, Request: id, Time: stayAway})
}

// Fail notes a kill.
func (t *Recorder) Fail(id control.RequestID) { t.addCommand(Command{Kind: CommandFail, Request: id}) }

// CancelAttempt notes an execution called off.
func (t *Recorder) CancelAttempt(id control.RequestID, no control.AttemptID) {
	t.addCommand(Command{Kind: CommandCancelAttempt, Request: id, Attempt: no})
}

// Load notes an order to load.
func (t *Recorder) Load(j *control.Request, o control.LoadCommand) {
	t.addCommand(Command{Kind: CommandLoad, Request: j.ID, Server: o.Server, Function: o.Function, Replicas: o.Replicas})
}

// SubscribeEndpoints notes the wish for changes of the list.
func (t *Recorder) SubscribeEndpoints() { t.addCommand(Command{Kind: CommandSubscribe}) }

// LogServerEvent notes a change in a server's health.
func (t *Recorder) LogServerEvent(event control.ServerEvent) {
	t.addCommand(Command{Kind: CommandLog, Text: event.String()})
}

// SetTimer notes the alarm.
func (t *Recorder) SetTimer(at control.Micros) {
	t.addCommand(Command{Kind: CommandSetTimer, Time: at})
}
