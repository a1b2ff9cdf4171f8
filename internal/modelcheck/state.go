package modelcheck

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
)

// State is one state of the system. It is immutable: each step creates another state. Times are in microseconds. The
// tags are the names in stored data; they and the order of the fields are part of the Key.
type State struct {
	Now         control.Micros   `cbor:"Now"`
	Routers     []Router         `cbor:"Routers"`
	Servers     []Server         `cbor:"Servers"`
	Requests    []Request        `cbor:"Jobs"`
	Calls       []ServerCall     `cbor:"Exchanges"`
	Updates     []EndpointUpdate `cbor:"Notices"`
	FaultBudget FaultBudget      `cbor:"Left"`
	FaultCount  int              `cbor:"Wrong"` // faults that have occurred
}

// FaultBudget counts how often each fault may still occur.
type FaultBudget struct {
	CallFailures  int8 `cbor:"Breaks"`
	Drains        int8 `cbor:"Drains"`
	Restarts      int8 `cbor:"Restarts"`
	ClientCancels int8 `cbor:"Leaves"`
	DelayedWrites int8 `cbor:"Stalls"`
	RouterStalls  int8 `cbor:"Freezes"`
}

// Router is the state of a router. Its core is never changed but replaced, so that states can share it.
type Router struct {
	core          *core.Snapshot
	digest        [digestSize]byte // of core
	TimerAt       control.Micros   `cbor:"Alarm"`
	Stalled       bool             `cbor:"Frozen"`
	EndpointsAsOf control.Micros   `cbor:"AsOf"` // time of the first stall since it last read all updates; 0: it has not stalled since
}

// Server is the actual state of a server, which routers may not know yet.
type Server struct {
	State       control.ServerState `cbor:"State"`
	StateSince  control.Micros      `cbor:"Since"` // when State began
	StartedAt   control.Micros      `cbor:"Born"`  // 0: long ago
	Incarnation int                 `cbor:"Epoch"` // number of restarts
	Loaded      bool                `cbor:"Loaded"`
}

// Request is a request from its client's point of view.
type Request struct {
	Arrived        bool                  `cbor:"Arrived"`
	Unexplored     bool                  `cbor:"Still"` // in flight in the recorded state, but not part of the exploration
	ArrivesAt      control.Micros        `cbor:"At"`
	Deadline       control.Micros        `cbor:"Until"` // of its client
	Answer         attempt.FinalResponse `cbor:"State"`
	AnswerCount    int                   `cbor:"Answers"` // final responses that the client received
	AnswerKind     string                `cbor:"Word"`    // one of the answer constants below
	AnsweredAt     control.Micros        `cbor:"When"`
	DeadlineExempt bool                  `cbor:"Excused"` // its router stalled, so that it need not be answered in time
	Cancelled      bool                  `cbor:"Left"`    // by its client
}

// The kinds of final responses, as stored.
const (
	answerSucceeded = "finished"
	answerRejected  = "pushed back"
	answerFailed    = "killed"
	answerCancelled = "left"
)

// answerTexts are the kinds of final responses in descriptions of violations.
var answerTexts = map[string]string{answerSucceeded: "answered", answerRejected: "rejected", answerFailed: "failed", answerCancelled: "cancelled"}

// ServerCall is an attempt or a load command, sent by a router to a server.
type ServerCall struct {
	Request            int              `cbor:"Job"`
	Attempt            int              `cbor:"No"`
	Router             int              `cbor:"Router"`
	Server             int              `cbor:"Server"`
	Replicas           int              `cbor:"Order"` // wanted by a load command; 0: the call is an attempt
	Stage              attempt.Stage    `cbor:"Stage"`
	Progress           attempt.Progress `cbor:"State"`
	ChosenAt           control.Micros   `cbor:"Chosen"`
	WrittenAt          control.Micros   `cbor:"Written"` // 0: not yet
	WriteDeadline      control.Micros   `cbor:"Until"`
	Deadline           control.Micros   `cbor:"Deadline"`
	Outcome            CallOutcome      `cbor:"Way"`
	Ran                bool             `cbor:"Ran"`   // on the server, whether or not the router knows
	StartedLoad        bool             `cbor:"Began"` // the call made the server load the function
	Incarnation        int              `cbor:"Epoch"` // of the server when it was written
	Result             control.Result   `cbor:"Result"`
	EndedAt            control.Micros   `cbor:"Ended"`
	WriteDelayed       bool             `cbor:"Stalled"`
	WrittenAfterAnswer bool             `cbor:"After"` // written after its request's final response
}

// EndpointUpdate is a change of the endpoint list that is on its way to a router.
type EndpointUpdate struct {
	Router    int                 `cbor:"Router"`
	Server    int                 `cbor:"Server"`
	State     control.ServerState `cbor:"State"`
	StartedAt control.Micros      `cbor:"Born"`
	SentAt    control.Micros      `cbor:"Sent"`
}

// CallOutcome is the outcome of a written server call.
type CallOutcome uint8

// The outcomes. All but Success are faults.
const (
	Success CallOutcome = iota
	ConnectFailure
	Rejection
	ResetBefore  // the connection is reset before the call runs
	ResetAfter   // the connection is reset after the call ran
	AnswerLost   // the call runs, but no response arrives
	Unresponsive // the server accepts the call but neither runs it nor responds
)

// outcomeNames are the names of the outcomes in configs and on the command line.
var outcomeNames = []string{"well", "no-connection", "refused", "reset-before", "reset-after", "lost", "silent"}

// InitialState returns the initial state of the system that a config describes.
func InitialState(c *Config, rules *Rules) (*State, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	s := &State{Now: epoch, FaultBudget: FaultBudget{CallFailures: int8(c.CallFailures), Drains: int8(c.Drains), Restarts: int8(c.Restarts),
		ClientCancels: int8(c.ClientCancels), DelayedWrites: int8(c.DelayedWrites), RouterStalls: int8(c.RouterStalls)}}
	if c.RecordedState != nil {
		return s, c.RecordedState.fillInitialState(c, s)
	}
	for i := range c.Servers {
		server := Server{State: control.Ready, Loaded: c.FunctionLoaded}
		if c.SlowStartServer && i == 0 {
			server.StartedAt, server.Loaded = epoch, false
		}
		s.Servers = append(s.Servers, server)
	}
	for i := range c.Requests {
		at := epoch + control.Micros(i)*c.ArrivalInterval
		s.Requests = append(s.Requests, Request{ArrivesAt: at, Deadline: at + c.MaxDeadline})
	}
	for i := range c.Routers {
		if err := s.addRouter(c, rules, i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// addRouter adds a router that knows the current endpoint list.
func (s *State) addRouter(c *Config, rules *Rules, i int) error {
	s.Routers = append(s.Routers, Router{})
	router := core.New(control.New(epoch, uint64(i)+1, c.deployment(i)), &executor{state: s, rules: rules, config: c, router: i})
	var endpoints []control.Endpoint
	for j, server := range s.Servers {
		endpoints = append(endpoints, c.endpoint(j, server.State, server.StartedAt))
	}
	router.UpdateEndpoints(epoch, control.FullUpdate, endpoints)
	router.Step(epoch)
	return s.storeRouter(i, router)
}

// storeRouter stores a snapshot of a router's core in the state.
func (s *State) storeRouter(i int, router *core.Core) error {
	snapshot, err := router.Snapshot()
	if err != nil {
		return err
	}
	snapshot.Balancer.ServerEvents = nil // only used for logging
	s.Routers[i].core = snapshot
	b, err := cbor.Marshal(snapshot)
	if err != nil {
		return err
	}
	s.Routers[i].digest = digest(b)
	return nil
}

// clone returns a copy of s that can be modified.
func (s *State) clone() *State {
	c := *s
	c.Routers, c.Servers, c.Requests = slices.Clone(s.Routers), slices.Clone(s.Servers), slices.Clone(s.Requests)
	c.Calls, c.Updates = slices.Clone(s.Calls), slices.Clone(s.Updates)
	return &c
}
