package core

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"hollymast/control"
)

// Snapshot is a core between two turns, in plain values, its module's included.
type Snapshot struct {
	Balancer      *control.Snapshot   `json:"Module"`
	Requests      []RequestSnapshot   `json:"Jobs"` // by ascending id
	Held          []control.RequestID `json:"Held"` // in the order in which they stand
	MaintenanceAt control.Micros      `json:"Next"`
	TimerAt       control.Micros      `json:"Alarm"`
}

// RequestSnapshot is a job in hand.
type RequestSnapshot struct {
	Request   control.RequestSnapshot `json:"Job"`
	Rank      control.Micros          `json:"Rank"`
	RecheckAt control.Micros          `json:"Again"`
	Held      bool                    `json:"Held"`
	Done      bool                    `json:"Over"`
	InFlight  int                     `json:"Out"`
}

// PolicyWrapper is a decider round the module, as explorers plant wrong decisions with.
type PolicyWrapper interface {
	Policy
	Inner() *control.Balancer
}

// WrapPolicy puts a decider round the module.
func (c *Core) WrapPolicy(f func(*control.Balancer) Policy) {
	if module := c.balancer(); module != nil {
		c.policy = f(module)
	}
}

// balancer gives the module that decides; nil: a baseline does.
func (c *Core) balancer() *control.Balancer {
	switch d := c.policy.(type) {
	case *control.Balancer:
		return d
	case PolicyWrapper:
		return d.Inner()
	}
	return nil
}

// Snapshot gives the core's state. It must be called between turns, and not between news and its turn; the error tells
// that the decider is a baseline that gives none.
func (c *Core) Snapshot() (*Snapshot, error) {
	module := c.balancer()
	if module == nil {
		return nil, errors.New("this decider gives no snapshot")
	}
	s := &Snapshot{Balancer: module.Snapshot(), MaintenanceAt: c.maintenanceAt, TimerAt: c.timerAt, Requests: make([]RequestSnapshot, 0, len(c.requests))}
	for _, h := range c.requests {
		s.Requests = append(s.Requests, RequestSnapshot{h.job.Snapshot(), h.rank, h.recheckAt, h.held, h.done, h.inFlight})
	}
	slices.SortFunc(s.Requests, func(a, b RequestSnapshot) int { return cmp.Compare(a.Request.Request.ID, b.Request.Request.ID) })
	for _, h := range c.held {
		s.Held = append(s.Held, h.job.ID)
	}
	return s, nil
}

// LearnedState gives what the module has learned. It may be called between turns; nil of a baseline.
func (c *Core) LearnedState(now control.Micros) *control.LearnedState {
	module, ok := c.policy.(*control.Balancer)
	if !ok {
		return nil
	}
	return module.LearnedState(now)
}

// EjectedServers gives the servers that the module suspects; none of a baseline.
func (c *Core) EjectedServers() map[control.ServerID]bool {
	if module, ok := c.policy.(*control.Balancer); ok {
		return module.EjectedServers()
	}
	return nil
}

// Restore gives a core that goes on from a snapshot, with an outlet of its own. The error tells of a snapshot that does
// not hold together.
func Restore(s *Snapshot, out Executor) (*Core, error) {
	c := New(nil, out)
	c.maintenanceAt, c.timerAt = s.MaintenanceAt, s.TimerAt
	jobs := make(map[control.RequestID]*control.Request, len(s.Requests))
	for _, j := range s.Requests {
		h := &request{job: j.Request.Restore(), rank: j.Rank, recheckAt: j.RecheckAt, held: j.Held, done: j.Done, inFlight: j.InFlight}
		c.requests[h.job.ID], jobs[h.job.ID] = h, &h.job
	}
	for _, id := range s.Held {
		h := c.requests[id]
		if h == nil || !h.held {
			return nil, fmt.Errorf("snapshot: job %d is held, but not in hand", id)
		}
		c.held = append(c.held, h)
	}
	if s.Balancer == nil {
		return nil, errors.New("snapshot: no module in it")
	}
	module, err := control.Restore(s.Balancer, jobs)
	if err != nil {
		return nil, err
	}
	c.policy = module
	return c, nil
}

// recordingExecutor carries out what is asked and has a tape hear it.
type recordingExecutor struct {
	executor Executor
	recorder Recorder
}

func (b recordingExecutor) Forward(j *control.Request, no control.AttemptID, to control.ServerID, allow control.Micros) {
	b.recorder.Forward(j, no, to, allow)
	b.executor.Forward(j, no, to, allow)
}

func (b recordingExecutor) Reject(id control.RequestID, stayAway control.Micros) {
	b.recorder.Reject(id, stayAway)
	b.executor.Reject(id, stayAway)
}

func (b recordingExecutor) Fail(id control.RequestID) {
	b.recorder.Fail(id)
	b.executor.Fail(id)
}

func (b recordingExecutor) CancelAttempt(id control.RequestID, no control.AttemptID) {
	b.recorder.CancelAttempt(id, no)
	b.executor.CancelAttempt(id, no)
}

func (b recordingExecutor) Load(j *control.Request, o control.LoadCommand) {
	b.recorder.Load(j, o)
	b.executor.Load(j, o)
}

func (b recordingExecutor) SubscribeEndpoints() {
	b.recorder.SubscribeEndpoints()
	b.executor.SubscribeEndpoints()
}

func (b recordingExecutor) Log(text string) {
	b.recorder.Log(text)
	b.executor.Log(text)
}

func (b recordingExecutor) SetTimer(at control.Micros) {
	b.recorder.SetTimer(at)
	b.executor.SetTimer(at)
}
