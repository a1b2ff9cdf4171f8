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
type Setup struct {
	Jobs       int            `json:"Jobs"`
	Servers    int            `json:"Servers"`
	Routers    int            `json:"Routers"`
	Effects    []string       `json:"Effects"` // of the jobs, in turn: restartable, fingerprinted, run-once
	Scope      string         `json:"Scope"`   // of fingerprinted jobs: fleet or zone; servers stand in two zones by turns
	Apart      control.Micros `json:"Apart"`   // between two jobs' arrivals; 0: all at once
	Target     control.Micros `json:"Target"`
	Limit      control.Micros `json:"Limit"`
	Window     control.Micros `json:"Window"`
	Orders     bool           `json:"Orders"`     // copies are ordered; else jobs load them
	Warm       bool           `json:"Warm"`       // all servers have the function loaded
	ColdServer bool           `json:"ColdServer"` // server 0 has just started

	Breaks   int      `json:"Breaks"` // exchanges that go wrong, each in one of the ways
	Ways     []string `json:"Ways"`   // no-connection, refused, reset-before, reset-after, lost, silent; none: all
	Drains   int      `json:"Drains"`
	Restarts int      `json:"Restarts"` // of servers
	Leaves   int      `json:"Leaves"`   // clients that go
	Stalls   int      `json:"Stalls"`   // choices whose writing is delayed beyond the moment
	Freezes  int      `json:"Freezes"`  // routers that stand still for a while

	Moment *Moment `json:"Moment,omitempty"` // a recorded state to begin with, in the place of all but the faults
}

// Small is the world that others are made from: one job, one server, one router, nothing goes wrong.
var Small = Setup{Jobs: 1, Servers: 1, Routers: 1, Effects: []string{"restartable"}, Scope: "fleet", Target: 150_000, Limit: 500_000, Window: 300_000, Warm: true}

// The bounds of a world: states grow as powers of these.
const (
	mostJobs    = 3
	mostServers = 3
	mostRouters = 2
)

// Check tells what is wrong with a setup.
func (s *Setup) Check() error {
	if s.Moment != nil {
		return nil
	}
	switch {
	case s.Jobs < 1 || s.Jobs > mostJobs || s.Servers < 1 || s.Servers > mostServers || s.Routers < 1 || s.Routers > mostRouters:
		return fmt.Errorf("a world has 1 to %d jobs, 1 to %d servers and 1 to %d routers", mostJobs, mostServers, mostRouters)
	case s.Target <= 0 || s.Limit <= s.Target || s.Window < 0:
		return fmt.Errorf("a start target of %d us, a limit of %d us, a window of %d us", s.Target, s.Limit, s.Window)
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
	for _, w := range s.Ways {
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

func (s *Setup) deployment(number int) control.Deployment {
	d := control.Deployment{Routers: s.Routers, Number: number, Tick: 4000, MaxAttempts: 3, MaxRetryAfter: 2_000_000, SupportsCancel: true, MarksRetries: true,
		SlowStartInitial: coldFrom, SlowStartDuration: cold, OverloadWindow: fall, OverloadFactor: multiple, KeepAlive: 60_000_000, LoadCommands: s.Orders, LoadsOnMiss: !s.Orders}
	for i := range s.Effects {
		d.Classes = append(d.Classes, s.workload(i))
	}
	return d
}

// World is one state. A world that was reached is not changed: each step makes another.
type World struct {
	Now       control.Micros `cbor:"Now"`
	Routers   []Router       `cbor:"Routers"`
	Servers   []Server       `cbor:"Servers"`
	Jobs      []Job          `cbor:"Jobs"`
	Exchanges []Exchange     `cbor:"Exchanges"`
	Notices   []Notice       `cbor:"Notices"`
	Left      Budget         `cbor:"Left"`  // of what may go wrong
	Wrong     int            `cbor:"Wrong"` // how much did
}

// Budget is how often each thing may still go wrong.
type Budget struct {
	Breaks   int8 `cbor:"Breaks"`
	Drains   int8 `cbor:"Drains"`
	Restarts int8 `cbor:"Restarts"`
	Leaves   int8 `cbor:"Leaves"`
	Stalls   int8 `cbor:"Stalls"`
	Freezes  int8 `cbor:"Freezes"`
}

// Router is one router.
type Router struct {
	core   *core.Snapshot
	digest [16]byte
	Alarm  control.Micros `cbor:"Alarm"`
	Frozen bool           `cbor:"Frozen"`
	AsOf   control.Micros `cbor:"AsOf"` // as of when its list was complete when it last froze; 0: it has caught up since
}

// Server is one server as it really is.
type Server struct {
	State  control.ServerState `cbor:"State"`
	Since  control.Micros      `cbor:"Since"` // of the state, as the source of the list tells it
	Born   control.Micros      `cbor:"Born"`  // 0: long ago
	Epoch  int                 `cbor:"Epoch"` // lives before this one
	Loaded bool                `cbor:"Loaded"`
}

// Job is one job as its client sees it.
type Job struct {
	Arrived bool                `cbor:"Arrived"`
	Still   bool                `cbor:"Still"` // in hand at a moment, and not followed
	At      control.Micros      `cbor:"At"`
	Until   control.Micros      `cbor:"Until"` // its client's patience
	State   attempt.FinalAnswer `cbor:"State"`
	Answers int                 `cbor:"Answers"` // that its client got
	Word    string              `cbor:"Word"`
	When    control.Micros      `cbor:"When"`
	Excused bool                `cbor:"Excused"` // its router stood still: nobody can promise it anything
	Left    bool                `cbor:"Left"`
}

// Exchange is one execution, or an order, on its way.
type Exchange struct {
	Job      int              `cbor:"Job"`
	No       int              `cbor:"No"`
	Router   int              `cbor:"Router"`
	Server   int              `cbor:"Server"`
	Order    int              `cbor:"Order"` // copies ordered; 0: an execution
	Stage    attempt.Stage    `cbor:"Stage"`
	State    attempt.Progress `cbor:"State"`
	Chosen   control.Micros   `cbor:"Chosen"` // 0: not yet
	Written  control.Micros   `cbor:"Written"`
	Until    control.Micros   `cbor:"Until"`
	Deadline control.Micros   `cbor:"Deadline"`
	Way      Way              `cbor:"Way"`
	Ran      bool             `cbor:"Ran"`   // truly
	Began    bool             `cbor:"Began"` // a load
	Epoch    int              `cbor:"Epoch"` // of the server when it was written
	Result   control.Result   `cbor:"Result"`
	Ended    control.Micros   `cbor:"Ended"`
	Stalled  bool             `cbor:"Stalled"`
	After    bool             `cbor:"After"` // written when its job had its answer
}

// Notice is a change of the list on its way to a router.
type Notice struct {
	Router int                 `cbor:"Router"`
	Server int                 `cbor:"Server"`
	State  control.ServerState `cbor:"State"`
	Born   control.Micros      `cbor:"Born"`
	Sent   control.Micros      `cbor:"Sent"`
}

// Way is what becomes of an exchange.
type Way uint8

// The ways. All but the first go wrong.
const (
	Well Way = iota
	NoConnection
	Refused
	ResetBefore
	ResetAfter
	LostAnswer
	Silent
)

var wayNames = []string{"well", "no-connection", "refused", "reset-before", "reset-after", "lost", "silent"}

// Rules are what decides in a world. Explorations of what is shipped use Real; tests plant others.
type Rules struct {
	Withdraw  func(attempt.Stage) (attempt.Stage, bool)
	Write     func(s attempt.Stage, kept bool, now, until control.Micros) (attempt.Stage, bool)
	CallOff   func(*attempt.Progress) bool
	Ended     func(*attempt.FinalAnswer, control.Result) attempt.Delivery
	Give      func(*attempt.FinalAnswer) bool
	Undialled func(s attempt.Stage, waited bool) control.Result
	Broken    func(written bool, why attempt.BreakReason) control.Result
	CatchUp   func(age, grace control.Micros) bool
	Until     func(listAsOf, chosen, grace control.Micros) control.Micros
	Decide    func(*control.Balancer) core.Policy // nil: the module itself
}

// Real are the rules that are shipped.
var Real = Rules{Withdraw: attempt.Stage.Withdraw, Write: attempt.Stage.Write, CallOff: (*attempt.Progress).Cancel, Ended: (*attempt.FinalAnswer).AttemptEnded,
	Give: (*attempt.FinalAnswer).Give, Undialled: attempt.UndialledResult, Broken: attempt.BrokenResult, CatchUp: attempt.MustReadEndpoints,
	Until: func(listAsOf, _, grace control.Micros) control.Micros { return attempt.WriteUntil(listAsOf, grace) }}

// Begin gives a setup's first world.
func Begin(s *Setup, rules *Rules) (*World, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	w := &World{Now: begin, Left: Budget{int8(s.Breaks), int8(s.Drains), int8(s.Restarts), int8(s.Leaves), int8(s.Stalls), int8(s.Freezes)}}
	if s.Moment != nil {
		return w, s.Moment.begin(s, w)
	}
	for i := range s.Servers {
		v := Server{State: control.Ready, Loaded: s.Warm}
		if s.ColdServer && i == 0 {
			v.Born, v.Loaded = begin, false
		}
		w.Servers = append(w.Servers, v)
	}
	for i := range s.Jobs {
		w.Jobs = append(w.Jobs, Job{At: begin + control.Micros(i)*s.Apart, Until: begin + control.Micros(i)*s.Apart + s.Limit})
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

func (w *World) list(s *Setup) []control.Endpoint {
	var list []control.Endpoint
	for i, v := range w.Servers {
		list = append(list, s.listing(i, v.State, v.Born))
	}
	return list
}

func (s *Setup) listing(i int, state control.ServerState, born control.Micros) control.Endpoint {
	l := s.place(i)
	l.State, l.StartedAt = state, born
	return l
}

// keep takes a router's state back into the world.
func (w *World) keep(i int, c *core.Core) error {
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
func (w *World) clone() *World {
	c := *w
	c.Routers, c.Servers, c.Jobs = slices.Clone(w.Routers), slices.Clone(w.Servers), slices.Clone(w.Jobs)
	c.Exchanges, c.Notices = slices.Clone(w.Exchanges), slices.Clone(w.Notices)
	return &c
}

// Key names a state: two states of one key are taken for the same. It is half of a SHA-256 of all that the state holds, so that even
// in a billion states the chance of one pair alike by accident is under 1 in 10^20; nothing else is done about them.
type Key [16]byte

// Key gives the state's.
func (w *World) Key() Key {
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
