// Package core keeps one router's jobs in hand and takes its turns. It asks the decision module and hands what the
// module answers to an outlet: the bench's frames, the gateway's sockets. It decides nothing.
//
// A turn is: all that was heard since the last one (Arrived, Answered, Listed, Left, Loaded), then Turn, which asks
// for the upkeep if due, then for every held job in the order of its rank, then sets the one alarm. All of a turn gets
// one clock. What a turn does follows from what it heard, that clock and the seed alone.
package core

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"hollymast/control"
)

// Decider is what the core asks. control.Router is the one that serves; a laboratory may put a baseline in its place.
type Decider interface {
	UpdateEndpoints(now control.Micros, kind control.UpdateKind, list []control.Endpoint)
	Rank(now control.Micros, j *control.Request) control.Micros
	Route(now control.Micros, j *control.Request) control.Decision
	HandleOutcome(now control.Micros, j *control.Request, o control.Outcome) control.Decision
	Cancel(now control.Micros, j *control.Request)
	HandleLoadResult(now control.Micros, s control.ServerID, f control.FunctionID, result control.Result, took control.Micros, copies int)
	Maintain(now control.Micros) control.Maintenance
}

// Outlet carries out what the module answers, within the turn and in the order asked. No method may block or call
// back into the core.
type Outlet interface {
	// Send starts an execution, numbered from 0 for each job, that may take up to allow.
	Send(j *control.Request, no control.AttemptID, to control.ServerID, allow control.Micros)
	// PushBack and Kill give a job its final answer.
	PushBack(id control.RequestID, stayAway control.Micros)
	Kill(id control.RequestID)
	// CallOff stops waiting for an execution; its outcome is still to be reported.
	CallOff(id control.RequestID, no control.AttemptID)
	// Order orders copies for the sake of a job.
	Order(j *control.Request, o control.LoadCommand)
	// Subscribe asks for changes of the list, Note writes a line in the log.
	Subscribe()
	Note(text string)
	// Alarm asks for a turn at a time at the latest; a later call replaces an earlier one that has passed or is later.
	Alarm(at control.Micros)
}

// Silent is an outlet that does nothing, for those who only listen to decisions.
type Silent struct{}

// Send and the others do nothing.
func (Silent) Send(*control.Request, control.AttemptID, control.ServerID, control.Micros) {}

// PushBack does nothing.
func (Silent) PushBack(control.RequestID, control.Micros) {}

// Kill does nothing.
func (Silent) Kill(control.RequestID) {}

// CallOff does nothing.
func (Silent) CallOff(control.RequestID, control.AttemptID) {}

// Order does nothing.
func (Silent) Order(*control.Request, control.LoadCommand) {}

// Subscribe does nothing.
func (Silent) Subscribe() {}

// Note does nothing.
func (Silent) Note(string) {}

// Alarm does nothing.
func (Silent) Alarm(control.Micros) {}

// Tape hears all that a core hears and does, in order, before the core acts on it.
type Tape interface {
	Outlet
	Listed(kind control.UpdateKind, list []control.Endpoint)
	Arrived(job control.Request)
	Answered(id control.RequestID, o control.Outcome)
	Left(id control.RequestID)
	Loaded(s control.ServerID, f control.FunctionID, result control.Result, took control.Micros, copies int)
	// Turned ends a turn, with all that was asked of the outlet in it.
	Turned(now control.Micros)
}

// Core is one router's jobs in hand round its decider. It is not safe for use by several goroutines.
type Core struct {
	ask   Decider
	out   Outlet
	tape  Tape // nil: none
	jobs  map[control.RequestID]*inHand
	held  []*inHand
	spare []*inHand      // the other array for held, so that a turn allocates none
	next  control.Micros // upkeep falls due
	alarm control.Micros // earliest alarm asked for and not yet passed; 0: none
}

// inHand is a job, or what is left of one with executions still out.
type inHand struct {
	job   control.Request
	rank  control.Micros
	again control.Micros
	held  bool
	over  bool
	out   int // executions without an outcome
}

// New gives a core with no job in hand.
func New(ask Decider, out Outlet) *Core {
	return &Core{ask: ask, out: out, jobs: map[control.RequestID]*inHand{}}
}

// Record has a tape hear all from the next news on; nil ends it. Call it between turns only.
func (c *Core) Record(t Tape) {
	if b, taped := c.out.(both); taped {
		c.out = b.out
	}
	if c.tape = t; t != nil {
		c.out = both{c.out, t}
	}
}

// Trace has a tool hear why the module decides as it does; the error tells that the decider is a baseline.
func (c *Core) Trace(t *control.Trace) error {
	module, ok := c.ask.(*control.Balancer)
	if !ok {
		return errors.New("this decider tells no reasons")
	}
	module.SetTrace(t)
	return nil
}

// Jobs counts the jobs in hand, those included that are over and have executions out; Held those that wait here.
func (c *Core) Jobs() int { return len(c.jobs) }

// Held counts the jobs that wait for a place. Between Arrived and Turn a new job counts.
func (c *Core) Held() int { return len(c.held) }

// UpdateEndpoints passes on the list of servers.
func (c *Core) UpdateEndpoints(now control.Micros, kind control.UpdateKind, list []control.Endpoint) {
	if c.tape != nil {
		c.tape.Listed(kind, list)
	}
	c.ask.UpdateEndpoints(now, kind, list)
}

// HandleLoadResult passes on the answer to an order.
func (c *Core) HandleLoadResult(now control.Micros, s control.ServerID, f control.FunctionID, result control.Result,
	took control.Micros, copies int) {
	if c.tape != nil {
		c.tape.Loaded(s, f, result, took, copies)
	}
	c.ask.HandleLoadResult(now, s, f, result, took, copies)
}

// Arrived takes a job in hand; the next Turn places it. An id must not come twice: that is an error.
func (c *Core) Arrived(now control.Micros, job control.Request) error {
	if c.jobs[job.ID] != nil {
		return fmt.Errorf("job %d came twice", job.ID)
	}
	if c.tape != nil {
		c.tape.Arrived(job)
	}
	h := &inHand{job: job}
	h.rank = c.ask.Rank(now, &h.job)
	c.jobs[job.ID] = h
	c.hold(h)
	return nil
}

// Answered passes on the end of an execution and does with its job what the module answers. The caller sets JobOver
// where the outcome itself gave the client its final answer. News of a job no longer in hand is passed over; the
// result tells whether the job was still without a final answer.
func (c *Core) Answered(now control.Micros, id control.RequestID, o control.Outcome) bool {
	if c.tape != nil {
		c.tape.Answered(id, o)
	}
	h := c.jobs[id]
	if h == nil || int(o.Attempt) >= len(h.job.Attempts) || h.job.Attempts[o.Attempt].Done {
		return false
	}
	open := !h.over
	h.out--
	o.RequestDone = o.RequestDone || h.over
	p := c.ask.HandleOutcome(now, &h.job, o)
	if o.RequestDone {
		c.end(h)
	} else {
		c.carry(h, p)
	}
	return open
}

// Left ends a job that its client no longer wants.
func (c *Core) Left(now control.Micros, id control.RequestID) {
	if c.tape != nil {
		c.tape.Left(id)
	}
	if h := c.jobs[id]; h != nil && !h.over {
		c.ask.Cancel(now, &h.job)
		c.end(h)
	}
}

// Turn ends a turn: it asks for the upkeep if due and again for every held job, and sets the alarm.
func (c *Core) Turn(now control.Micros) {
	if now >= c.next {
		up := c.ask.Maintain(now)
		c.next = up.Next
		for _, r := range up.Cancellations {
			c.out.CallOff(r.Request, r.Attempt)
		}
		if up.SubscribeEndpoints {
			c.out.Subscribe()
		}
		for _, text := range up.LogLines {
			c.out.Note(text)
		}
	}
	slices.SortStableFunc(c.held, func(a, b *inHand) int { return cmp.Compare(a.rank, b.rank) })
	asked := c.held
	c.held = c.spare[:0]
	for _, h := range asked {
		if h.held = false; !h.over {
			c.carry(h, c.ask.Route(now, &h.job))
		}
	}
	clear(asked)
	c.spare = asked[:0]
	wake := c.next
	for _, h := range c.held {
		wake = min(wake, h.again)
	}
	wake = max(wake, now+1)
	if c.alarm <= now || wake < c.alarm {
		c.alarm = wake
		c.out.Alarm(wake)
	}
	if c.tape != nil {
		c.tape.Turned(now)
	}
}

// carry does with a job what the module answered.
func (c *Core) carry(h *inHand, p control.Decision) {
	for _, o := range p.LoadCommands {
		c.out.Order(&h.job, o)
	}
	switch p.Action {
	case control.Forward:
		h.out++
		c.out.Send(&h.job, control.AttemptID(len(h.job.Attempts)-1), p.Server, p.Timeout)
	case control.Hold:
		h.rank, h.again = p.Rank, p.RecheckAt
		c.hold(h)
	case control.Reject:
		c.out.PushBack(h.job.ID, p.RetryAfter)
		c.end(h)
	case control.Fail:
		c.out.Kill(h.job.ID)
		c.end(h)
	}
}

func (c *Core) hold(h *inHand) {
	if !h.held {
		h.held = true
		c.held = append(c.held, h)
	}
}

func (c *Core) end(h *inHand) {
	h.over = true
	if h.out == 0 {
		delete(c.jobs, h.job.ID)
	}
}
