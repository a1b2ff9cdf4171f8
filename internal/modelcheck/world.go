// Package modelcheck takes small worlds of jobs, servers and routers through all orderings of what can happen in them. What decides
// is the real code: control, core and attempt. Around it stand servers, clients and a list as plain state. It is free of I/O but
// for saved stories and the exploration's own files.
package modelcheck

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
)

// Setup describes a world: what there is, and how often what may go wrong.
type Config struct {
	Requests         int            `json:"Jobs"`
	Servers          int            `json:"Servers"`
	Routers          int            `json:"Routers"`
	Effects          []string       `json:"Effects"` // of the jobs, in turn: restartable, fingerprinted, run-once
	Scope            string         `json:"Scope"`   // of fingerprinted jobs: fleet or zone; servers stand in two zones by turns
	ArrivalInterval  control.Micros `json:"Apart"`   // between two jobs' arrivals; 0: all at once
	LatencyObjective control.Micros `json:"Target"`
	MaxDeadline      control.Micros `json:"Limit"`
	DedupWindow      control.Micros `json:"Window"`
	LoadCommands     bool           `json:"Orders"`     // copies are ordered; else jobs load them
	FunctionLoaded   bool           `json:"Warm"`       // all servers have the function loaded
	SlowStartServer  bool           `json:"ColdServer"` // server 0 has just started

	CallFailures  int      `json:"Breaks"` // exchanges that go wrong, each in one of the ways
	FailureModes  []string `json:"Ways"`   // no-connection, refused, reset-before, reset-after, lost, silent; none: all
	Drains        int      `json:"Drains"`
	Restarts      int      `json:"Restarts"` // of servers
	ClientCancels int      `json:"Leaves"`   // clients that go
	DelayedWrites int      `json:"Stalls"`   // choices whose writing is delayed beyond the moment
	RouterStalls  int      `json:"Freezes"`  // routers that stand still for a while

	RecordedState *RecordedState `json:"Moment,omitempty"` // a recorded state to begin with, in the place of all but the faults
}

// Small is the world that others are made from: one job, one server, one router, nothing goes wrong.
var Minimal = Config{Requests: 1, Servers: 1, Routers: 1, Effects: []string{"restartable"}, Scope: "fleet", LatencyObjective: 150_000, MaxDeadline: 500_000, DedupWindow: 300_000, FunctionLoaded: true}

// The bounds of a world: states grow as powers of these.
const (
	mostJobs    = 3
	mostServers = 3
	mostRouters = 2
)

// Check tells what is wrong with a setup.
func (s *Config) Validate() error {
	if s.RecordedState != nil {
		return nil
	}
	switch {
	case s.Requests < 1 || s.Requests > mostJobs || s.Servers < 1 || s.Servers > mostServers || s.Routers < 1 || s.Routers > mostRouters:
		return fmt.Errorf("a world has 1 to %d jobs, 1 to %d servers and 1 to %d routers", mostJobs, mostServers, mostRouters)
	case s.LatencyObjective <= 0 || s.MaxDeadline <= s.LatencyObjective || s.DedupWindow < 0:
		return fmt.Errorf("a start target of %d us, a limit of %d us, a window of %d us", s.LatencyObjective, s.MaxDeadline, s.DedupWindow)
	case s.Scope != "fleet" && s.Scope != "zone":
		return fmt.Errorf("scope %q is neither fleet nor zone", s.Scope)
	case len(s.Effects) == 0:
		return fmt.Errorf("no effect is told")
	}
	for _, e := range s.Effects {
		if _, known := effects[e]; !known {
			return fmt.Errorf("%q is no effect", e)
		}
	}
	for _, w := range s.FailureModes {
		if !slices.Contains(wayNames[1:], w) {
			return fmt.Errorf("%q is no way to go wrong: those are %v", w, wayNames[1:])
		}
	}
	return nil
}

var effects = map[string]control.Effect{"restartable": control.Idempotent, "fingerprinted": control.IdempotentByKey, "run-once": control.NonIdempotent}

// What the router is told besides. The grace and the list's way are those of a usual deployment; a margin is kept for answers.
const (
	begin    = control.Micros(1_000_000_000) // long after 0, which means long ago
	grace    = control.Micros(500_000)
	listWay  = control.Micros(50_000)
	margin   = control.Micros(20_000)
	cold     = control.Micros(2_000_000)
	coldFrom = 0.25
	fall     = control.Micros(1_000_000)
	multiple = 2.0
	rate     = 10.0 // jobs a second that a warm server bears
)

const theFunction = control.FunctionID(7)

func (s *Config) deployment(number int) control.Deployment {
	d := control.Deployment{Routers: s.Routers, Number: number, Tick: 4000, MaxAttempts: 3, MaxRetryAfter: 2_000_000, SupportsCancel: true, MarksRetries: true,
		SlowStartInitial: coldFrom, SlowStartDuration: cold, OverloadWindow: fall, OverloadFactor: multiple, KeepAlive: 60_000_000, LoadCommands: s.LoadCommands, LoadsOnMiss: !s.LoadCommands}
	for i := range s.Effects {
		d.Classes = append(d.Classes, s.workload(i))
	}
	return d
}

// World is one state. A world that was reached is not changed: each step makes another.
type State struct {
	Now         control.Micros   `cbor:"Now"`
	Routers     []Router         `cbor:"Routers"`
	Servers     []Server         `cbor:"Servers"`
	Requests    []Request        `cbor:"Jobs"`
	Calls       []ServerCall     `cbor:"Exchanges"`
	Updates     []EndpointUpdate `cbor:"Notices"`
	FaultBudget FaultBudget      `cbor:"Left"`  // of what may go wrong
	FaultCount  int              `cbor:"Wrong"` // how much did
}

// Budget is how often each thing may still go wrong.
type FaultBudget struct {
	CallFailures  int8 `cbor:"Breaks"`
	Drains        int8 `cbor:"Drains"`
	Restarts      int8 `cbor:"Restarts"`
	ClientCancels int8 `cbor:"Leaves"`
	DelayedWrites int8 `cbor:"Stalls"`
	RouterStalls  int8 `cbor:"Freezes"`
}

// Router is one router.
type Router struct {
	core          *core.Snapshot
	digest        [16]byte
	TimerAt       control.Micros `cbor:"Alarm"`
	Stalled       bool           `cbor:"Frozen"`
	EndpointsAsOf control.Micros `cbor:"AsOf"` // as of when its list was complete when it last froze; 0: it has caught up since
}

// Server is one server as it really is.
type Server struct {
	State       control.ServerState `cbor:"State"`
	Since       control.Micros      `cbor:"Since"` // of the state, as the source of the list tells it
	StartedAt   control.Micros      `cbor:"Born"`  // 0: long ago
	Incarnation int                 `cbor:"Epoch"` // lives before this one
	Loaded      bool                `cbor:"Loaded"`
}

// Job is one job as its client sees it.
type Request struct {
	Arrived    bool                `cbor:"Arrived"`
	Inactive   bool                `cbor:"Still"` // in hand at a moment, and not followed
	ArrivesAt  control.Micros      `cbor:"At"`
	Deadline   control.Micros      `cbor:"Until"` // its client's patience
	Answer     attempt.FinalAnswer `cbor:"State"`
	Answers    int                 `cbor:"Answers"` // that its client got
	AnswerKind string              `cbor:"Word"`
	AnsweredAt control.Micros      `cbor:"When"`
	Excused    bool                `cbor:"Excused"` // its router stood still: nobody can promise it anything
	Cancelled  bool                `cbor:"Left"`
}

// Exchange is one execution, or an order, on its way.
type ServerCall struct {
	Request            int              `cbor:"Job"`
	Attempt            int              `cbor:"No"`
	Router             int              `cbor:"Router"`
	Server             int              `cbor:"Server"`
	Replicas           int              `cbor:"Order"` // copies ordered; 0: an execution
	Stage              attempt.Stage    `cbor:"Stage"`
	Progress           attempt.Progress `cbor:"State"`
	ChosenAt           control.Micros   `cbor:"Chosen"` // 0: not yet
	WrittenAt          control.Micros   `cbor:"Written"`
	WriteUntil         control.Micros   `cbor:"Until"`
	Deadline           control.Micros   `cbor:"Deadline"`
	Outcome            CallOutcome      `cbor:"Way"`
	Ran                bool             `cbor:"Ran"`   // truly
	BeganLoad          bool             `cbor:"Began"` // a load
	Incarnation        int              `cbor:"Epoch"` // of the server when it was written
	Result             control.Result   `cbor:"Result"`
	EndedAt            control.Micros   `cbor:"Ended"`
	WriteDelayed       bool             `cbor:"Stalled"`
	WrittenAfterAnswer bool             `cbor:"After"` // written when its job had its answer
}

// Notice is a change of the list on its way to a router.
type EndpointUpdate struct {
	Router    int                 `cbor:"Router"`
	Server    int                 `cbor:"Server"`
	State     control.ServerState `cbor:"State"`
	StartedAt control.Micros      `cbor:"Born"`
	SentAt    control.Micros      `cbor:"Sent"`
}

// Way is what becomes of an exchange.
type CallOutcome uint8

// The ways. All but the first go wrong.
const (
	Success CallOutcome = iota
	ConnectFailure
	Rejection
	ResetBefore
	ResetAfter
	AnswerLost
	Unresponsive
)

var wayNames = []string{"well", "no-connection", "refused", "reset-before", "reset-after", "lost", "silent"}

// Rules are what decides in a world. Explorations of what is shipped use Real; tests plant others.
type Rules struct {
	Withdraw          func(attempt.Stage) (attempt.Stage, bool)
	Write             func(s attempt.Stage, kept bool, now, until control.Micros) (attempt.Stage, bool)
	Cancel            func(*attempt.Progress) bool
	AttemptEnded      func(*attempt.FinalAnswer, control.Result) attempt.Delivery
	Give              func(*attempt.FinalAnswer) bool
	UndialledResult   func(s attempt.Stage, waited bool) control.Result
	BrokenResult      func(written bool, why attempt.BreakReason) control.Result
	MustReadEndpoints func(age, grace control.Micros) bool
	WriteUntil        func(listAsOf, chosen, grace control.Micros) control.Micros
	WrapPolicy        func(*control.Balancer) core.Policy // nil: the module itself
}

// Real are the rules that are shipped.
var ProductionRules = Rules{Withdraw: attempt.Stage.Withdraw, Write: attempt.Stage.Write, Cancel: (*attempt.Progress).Cancel, AttemptEnded: (*attempt.FinalAnswer).AttemptEnded,
	Give: (*attempt.FinalAnswer).Give, UndialledResult: attempt.UndialledResult, BrokenResult: attempt.BrokenResult, MustReadEndpoints: attempt.MustReadEndpoints,
	WriteUntil: func(listAsOf, _, grace control.Micros) control.Micros { return attempt.WriteUntil(listAsOf, grace) }}

// Begin gives a setup's first world.
func InitialState(s *Config, rules *Rules) (*State, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	w := &State{Now: begin, FaultBudget: FaultBudget{int8(s.CallFailures), int8(s.Drains), int8(s.Restarts), int8(s.ClientCancels), int8(s.DelayedWrites), int8(s.RouterStalls)}}
	if s.RecordedState != nil {
		return w, s.RecordedState.begin(s, w)
	}
	for i := range s.Servers {
		v := Server{State: control.Ready, Loaded: s.FunctionLoaded}
		if s.SlowStartServer && i == 0 {
			v.StartedAt, v.Loaded = begin, false
		}
		w.Servers = append(w.Servers, v)
	}
	for i := range s.Requests {
		w.Requests = append(w.Requests, Request{ArrivesAt: begin + control.Micros(i)*s.ArrivalInterval, Deadline: begin + control.Micros(i)*s.ArrivalInterval + s.MaxDeadline})
	}
	for i := range s.Routers {
		w.Routers = append(w.Routers, Router{})
		module := control.New(begin, uint64(i)+1, s.deployment(i))
		out := &outlet{w: w, rules: rules, setup: s, router: i}
		c := core.New(module, out)
		c.UpdateEndpoints(begin, control.FullUpdate, w.list(s))
		c.Step(begin)
		if err := w.keep(i, c); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *State) list(s *Config) []control.Endpoint {
	var list []control.Endpoint
	for i, v := range w.Servers {
		list = append(list, s.listing(i, v.State, v.StartedAt))
	}
	return list
}

func (s *Config) listing(i int, state control.ServerState, born control.Micros) control.Endpoint {
	l := s.place(i)
	l.State, l.StartedAt = state, born
	return l
}

// keep takes a router's state back into the world.
func (w *State) keep(i int, c *core.Core) error {
	s, err := c.Snapshot()
	if err != nil {
		return err
	}
	s.Balancer.ServerEvents = nil // for the log alone
	w.Routers[i].core = s
	b, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(b)
	w.Routers[i].digest = [16]byte(sum[:16])
	return nil
}

// clone gives a copy that can be changed. Routers' states are shared: they are replaced whole.
func (w *State) clone() *State {
	c := *w
	c.Routers, c.Servers, c.Requests = slices.Clone(w.Routers), slices.Clone(w.Servers), slices.Clone(w.Requests)
	c.Calls, c.Updates = slices.Clone(w.Calls), slices.Clone(w.Updates)
	return &c
}

// Key names a state: two states of one key are taken for the same. It is half of a SHA-256 of all that the state holds, so that even
// in a billion states the chance of one pair alike by accident is under 1 in 10^20; nothing else is done about them.
type Key [16]byte

// Key gives the state's.
func (w *State) Key() Key {
	b, err := cbor.Marshal(w)
	if err != nil {
		panic(err) // plain values
	}
	for _, r := range w.Routers {
		b = append(b, r.digest[:]...)
	}
	sum := sha256.Sum256(b)
	return Key(sum[:16])
}
