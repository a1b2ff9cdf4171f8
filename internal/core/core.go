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

// Policy is what the core asks. control.Router is the one that serves; a laboratory may put a baseline in its place.
type Policy interface {
	UpdateEndpoints(now control.Micros, kind control.UpdateKind, list []control.Endpoint)
	Rank(now control.Micros, j *control.Request) control.Micros
	Route(now control.Micros, j *control.Request) control.Decision
	HandleOutcome(now control.Micros, j *control.Request, o control.Outcome) control.Decision
	Cancel(now control.Micros, j *control.Request)
	HandleLoadResult(now control.Micros, s control.ServerID, f control.FunctionID, result control.Result, took control.Micros, copies int)
	Maintain(now control.Micros) control.Maintenance
}

// Executor carries out what the module answers, within the turn and in the order asked. No method may block or call
// back into the core.
type Executor interface {
	// Forward starts an execution, numbered from 0 for each job, that may take up to allow.
	Forward(j *control.Request, no control.AttemptID, to control.ServerID, allow control.Micros)
	// Reject and Kill give a job its final answer.
	Reject(id control.RequestID, stayAway control.Micros)
	Fail(id control.RequestID)
	// CancelAttempt stops waiting for an execution; its outcome is still to be reported.
	CancelAttempt(id control.RequestID, no control.AttemptID)
	// Load orders copies for the sake of a job.
	Load(j *control.Request, o control.LoadCommand)
	// SubscribeEndpoints asks for changes of the list, Note writes a line in the log.
	SubscribeEndpoints()
	Log(text string)
	// SetTimer asks for a turn at a time at the latest; a later call replaces an earlier one that has passed or is later.
	SetTimer(at control.Micros)
}

// NoopExecutor is an outlet that does nothing, for those who only listen to decisions.
type NoopExecutor struct{}

// Forward and the others do nothing.
func (NoopExecutor) Forward(*control.Request, control.AttemptID, control.ServerID, control.Micros) {}

// Reject does nothing.
func (NoopExecutor) Reject(control.RequestID, control.Micros) {}

// Fail does nothing.
func (NoopExecutor) Fail(control.RequestID) {}

// CancelAttempt does nothing.
func (NoopExecutor) CancelAttempt(control.RequestID, control.AttemptID) {}

// Load does nothing.
func (NoopExecutor) Load(*control.Request, control.LoadCommand) {}

// SubscribeEndpoints does nothing.
func (NoopExecutor) SubscribeEndpoints() {}

// Log does nothing.
func (NoopExecutor) Log(string) {}

// SetTimer does nothing.
func (NoopExecutor) SetTimer(control.Micros) {}

// Recorder hears all that a core hears and does, in order, before the core acts on it.
type Recorder interface {
	Executor
	EndpointsUpdated(kind control.UpdateKind, list []control.Endpoint)
	RequestAdded(job control.Request)
	AttemptEnded(id control.RequestID, o control.Outcome)
	RequestCancelled(id control.RequestID)
	LoadEnded(s control.ServerID, f control.FunctionID, result control.Result, took control.Micros, copies int)
	// StepEnded ends a turn, with all that was asked of the outlet in it.
	StepEnded(now control.Micros)
}

// Core is one router's jobs in hand round its decider. It is not safe for use by several goroutines.
type Core struct {
	policy        Policy
	executor      Executor
	recorder      Recorder // nil: none
	requests      map[control.RequestID]*request
	held          []*request
	spare         []*request     // the other array for held, so that a turn allocates none
	maintenanceAt control.Micros // upkeep falls due
	timerAt       control.Micros // earliest alarm asked for and not yet passed; 0: none
}

// request is a job, or what is left of one with executions still out.
type request struct {
	job       control.Request
	rank      control.Micros
	recheckAt control.Micros
	held      bool
	done      bool
	inFlight  int // executions without an outcome
}

// New gives a core with no job in hand.
func New(ask Policy, out Executor) *Core {
	return &Core{policy: ask, executor: out, requests: map[control.RequestID]*request{}}
}

// SetRecorder has a tape hear all from the next news on; nil ends it. Call it between turns only.
func (c *Core) SetRecorder(t Recorder) {
	if b, taped := c.executor.(recordingExecutor); taped {
		c.executor = b.executor
	}
	if c.recorder = t; t != nil {
		c.executor = recordingExecutor{c.executor, t}
	}
}

// SetTrace has a tool hear why the module decides as it does; the error tells that the decider is a baseline.
func (c *Core) SetTrace(t *control.Trace) error {
	module, ok := c.policy.(*control.Balancer)
	if !ok {
		return errors.New("this decider tells no reasons")
	}
	module.SetTrace(t)
	return nil
}

// Requests counts the jobs in hand, those included that are over and have executions out; Held those that wait here.
func (c *Core) Requests() int { return len(c.requests) }

// Held counts the jobs that wait for a place. Between Arrived and Turn a new job counts.
func (c *Core) Held() int { return len(c.held) }

// UpdateEndpoints passes on the list of servers.
func (c *Core) UpdateEndpoints(now control.Micros, kind control.UpdateKind, list []control.Endpoint) {
	if c.recorder != nil {
		c.recorder.EndpointsUpdated(kind, list)
	}
	c.policy.UpdateEndpoints(now, kind, list)
}

// HandleLoadResult passes on the answer to an order.
func (c *Core) HandleLoadResult(now control.Micros, s control.ServerID, f control.FunctionID, result control.Result,
	took control.Micros, copies int) {
	if c.recorder != nil {
		c.recorder.LoadEnded(s, f, result, took, copies)
	}
	c.policy.HandleLoadResult(now, s, f, result, took, copies)
}

// Add takes a job in hand; the next Turn places it. An id must not come twice: that is an error.
func (c *Core) Add(now control.Micros, job control.Request) error {
	if c.requests[job.ID] != nil {
		return fmt.Errorf("job %d came twice", job.ID)
	}
	if c.recorder != nil {
		c.recorder.RequestAdded(job)
	}
	h := &request{job: job}
	h.rank = c.policy.Rank(now, &h.job)
	c.requests[job.ID] = h
	c.hold(h)
	return nil
}

// HandleOutcome passes on the end of an execution and does with its job what the module answers. The caller sets JobOver
// where the outcome itself gave the client its final answer. News of a job no longer in hand is passed over; the
// result tells whether the job was still without a final answer.
func (c *Core) HandleOutcome(now control.Micros, id control.RequestID, o control.Outcome) bool {
	if c.recorder != nil {
		c.recorder.AttemptEnded(id, o)
	}
	h := c.requests[id]
	if h == nil || int(o.Attempt) >= len(h.job.Attempts) || h.job.Attempts[o.Attempt].Done {
		return false
	}
	open := !h.done
	h.inFlight--
	o.RequestDone = o.RequestDone || h.done
	p := c.policy.HandleOutcome(now, &h.job, o)
	if o.RequestDone {
		c.finish(h)
	} else {
		c.execute(h, p)
	}
	return open
}

// Cancel ends a job that its client no longer wants.
func (c *Core) Cancel(now control.Micros, id control.RequestID) {
	if c.recorder != nil {
		c.recorder.RequestCancelled(id)
	}
	if h := c.requests[id]; h != nil && !h.done {
		c.policy.Cancel(now, &h.job)
		c.finish(h)
	}
}

// Step ends a turn: it asks for the upkeep if due and again for every held job, and sets the alarm.
func (c *Core) Step(now control.Micros) {
	if now >= c.maintenanceAt {
		up := c.policy.Maintain(now)
		c.maintenanceAt = up.Next
		for _, r := range up.Cancellations {
			c.executor.CancelAttempt(r.Request, r.Attempt)
		}
		if up.SubscribeEndpoints {
			c.executor.SubscribeEndpoints()
		}
		for _, text := range up.LogLines {
			c.executor.Log(text)
		}
	}
	slices.SortStableFunc(c.held, func(a, b *request) int { return cmp.Compare(a.rank, b.rank) })
	asked := c.held
	c.held = c.spare[:0]
	for _, h := range asked {
		if h.held = false; !h.done {
			c.execute(h, c.policy.Route(now, &h.job))
		}
	}
	clear(asked)
	c.spare = asked[:0]
	wake := c.maintenanceAt
	for _, h := range c.held {
		wake = min(wake, h.recheckAt)
	}
	wake = max(wake, now+1)
	if c.timerAt <= now || wake < c.timerAt {
		c.timerAt = wake
		c.executor.SetTimer(wake)
	}
	if c.recorder != nil {
		c.recorder.StepEnded(now)
	}
}

// execute does with a job what the module answered.
func (c *Core) execute(h *request, p control.Decision) {
	for _, o := range p.LoadCommands {
		c.executor.Load(&h.job, o)
	}
	switch p.Action {
	case control.Forward:
		h.inFlight++
		c.executor.Forward(&h.job, control.AttemptID(len(h.job.Attempts)-1), p.Server, p.Timeout)
	case control.Hold:
		h.rank, h.recheckAt = p.Rank, p.RecheckAt
		c.hold(h)
	case control.Reject:
		c.executor.Reject(h.job.ID, p.RetryAfter)
		c.finish(h)
	case control.Fail:
		c.executor.Fail(h.job.ID)
		c.finish(h)
	}
}

func (c *Core) hold(h *request) {
	if !h.held {
		h.held = true
		c.held = append(c.held, h)
	}
}

func (c *Core) finish(h *request) {
	h.done = true
	if h.inFlight == 0 {
		delete(c.requests, h.job.ID)
	}
}
