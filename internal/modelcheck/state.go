package modelcheck

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
)

// State is one state of a world. It is not changed: each step makes another. Times are in microseconds. Its stored form keeps earlier
// names, and the order of fields: both are part of its Key.
type State struct {
	Now         control.Micros   `cbor:"Now"`
	Routers     []Router         `cbor:"Routers"`
	Servers     []Server         `cbor:"Servers"`
	Requests    []Request        `cbor:"Jobs"`
	Calls       []ServerCall     `cbor:"Exchanges"`
	Updates     []EndpointUpdate `cbor:"Notices"`
	FaultBudget FaultBudget      `cbor:"Left"`
	FaultCount  int              `cbor:"Wrong"` // faults so far
}

// FaultBudget is how often each fault may still happen.
type FaultBudget struct {
	CallFailures  int8 `cbor:"Breaks"`
	Drains        int8 `cbor:"Drains"`
	Restarts      int8 `cbor:"Restarts"`
	ClientCancels int8 `cbor:"Leaves"`
	DelayedWrites int8 `cbor:"Stalls"`
	RouterStalls  int8 `cbor:"Freezes"`
}

// Router is one router. Its core's state is replaced whole, so that states can share it.
type Router struct {
	core          *core.Snapshot
	digest        [digestBytes]byte // of core
	TimerAt       control.Micros    `cbor:"Alarm"`
	Stalled       bool              `cbor:"Frozen"`
	EndpointsAsOf control.Micros    `cbor:"AsOf"` // as of when its list was complete when it last stalled; 0: it has caught up since
}

// Server is one server as it really is.
type Server struct {
	State       control.ServerState `cbor:"State"`
	StateSince  control.Micros      `cbor:"Since"` // of the state
	StartedAt   control.Micros      `cbor:"Born"`  // 0: long ago
	Incarnation int                 `cbor:"Epoch"` // counts its restarts
	Loaded      bool                `cbor:"Loaded"`
}

// Request is one request as its client sees it.
type Request struct {
	Arrived        bool                  `cbor:"Arrived"`
	Unexplored     bool                  `cbor:"Still"` // in a recorded state, and not explored
	ArrivesAt      control.Micros        `cbor:"At"`
	Deadline       control.Micros        `cbor:"Until"` // its client's
	Answer         attempt.FinalResponse `cbor:"State"`
	AnswerCount    int                   `cbor:"Answers"` // that its client got
	AnswerKind     string                `cbor:"Word"`    // one of the answer words
	AnsweredAt     control.Micros        `cbor:"When"`
	DeadlineExempt bool                  `cbor:"Excused"` // its router stalled: nobody can promise it anything
	Cancelled      bool                  `cbor:"Left"`    // by its client
}

// The words for final answers, as they are stored.
const (
	answerSucceeded = "finished"
	answerRejected  = "pushed back"
	answerFailed    = "killed"
	answerCancelled = "left"
)

// answerTexts are the words for final answers in what is printed.
var answerTexts = map[string]string{answerSucceeded: "answered", answerRejected: "rejected", answerFailed: "failed", answerCancelled: "cancelled"}

// ServerCall is an attempt, or a load command, on its way to a server.
type ServerCall struct {
	Request            int              `cbor:"Job"`
	Attempt            int              `cbor:"No"`
	Router             int              `cbor:"Router"`
	Server             int              `cbor:"Server"`
	Replicas           int              `cbor:"Order"` // of a load command; 0: an attempt
	Stage              attempt.Stage    `cbor:"Stage"`
	Progress           attempt.Progress `cbor:"State"`
	ChosenAt           control.Micros   `cbor:"Chosen"`
	WrittenAt          control.Micros   `cbor:"Written"` // 0: not yet
	WriteDeadline      control.Micros   `cbor:"Until"`
	Deadline           control.Micros   `cbor:"Deadline"`
	Outcome            CallOutcome      `cbor:"Way"`
	Ran                bool             `cbor:"Ran"`   // truly
	StartedLoad        bool             `cbor:"Began"` // of the function, at its server
	Incarnation        int              `cbor:"Epoch"` // of the server when it was written
	Result             control.Result   `cbor:"Result"`
	EndedAt            control.Micros   `cbor:"Ended"`
	WriteDelayed       bool             `cbor:"Stalled"`
	WrittenAfterAnswer bool             `cbor:"After"` // when its request had its answer
}

// EndpointUpdate is a change of the endpoint list on its way to a router.
type EndpointUpdate struct {
	Router    int                 `cbor:"Router"`
	Server    int                 `cbor:"Server"`
	State     control.ServerState `cbor:"State"`
	StartedAt control.Micros      `cbor:"Born"`
	SentAt    control.Micros      `cbor:"Sent"`
}

// CallOutcome is what becomes of a server call that is written.
type CallOutcome uint8

// The outcomes. All but the first are faults.
const (
	Success CallOutcome = iota
	ConnectFailure
	Rejection
	ResetBefore // the connection breaks before it runs
	ResetAfter  // the connection breaks after it ran
	AnswerLost
	Unresponsive
)

// outcomeNames are the outcomes' names in configs and on the command line.
var outcomeNames = []string{"well", "no-connection", "refused", "reset-before", "reset-after", "lost", "silent"}

// InitialState returns a world's first state.
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

// addRouter starts a router that has read the endpoint list.
func (s *State) addRouter(c *Config, rules *Rules, i int) error {
	s.Routers = append(s.Routers, Router{})
	router := core.New(control.New(epoch, uint64(i)+1, c.deployment(i)), &executor{state: s, rules: rules, config: c, router: i})
	var endpoints []control.Endpoint
	for j, v := range s.Servers {
		endpoints = append(endpoints, c.endpoint(j, v.State, v.StartedAt))
	}
	router.UpdateEndpoints(epoch, control.FullUpdate, endpoints)
	router.Step(epoch)
	return s.storeRouter(i, router)
}

// storeRouter takes a router's core back into the state.
func (s *State) storeRouter(i int, router *core.Core) error {
	snapshot, err := router.Snapshot()
	if err != nil {
		return err
	}
	snapshot.Balancer.ServerEvents = nil // for the log alone
	s.Routers[i].core = snapshot
	b, err := cbor.Marshal(snapshot)
	if err != nil {
		return err
	}
	s.Routers[i].digest = digest(b)
	return nil
}

// clone returns a copy that can be changed.
func (s *State) clone() *State {
	c := *s
	c.Routers, c.Servers, c.Requests = slices.Clone(s.Routers), slices.Clone(s.Servers), slices.Clone(s.Requests)
	c.Calls, c.Updates = slices.Clone(s.Calls), slices.Clone(s.Updates)
	return &c
}
