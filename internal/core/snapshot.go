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
	Module *control.Snapshot `json:"Module"`
	Jobs   []JobSnapshot     `json:"Jobs"` // by ascending id
	Held   []control.JobID   `json:"Held"` // in the order in which they stand
	Next   control.Micros    `json:"Next"`
	Alarm  control.Micros    `json:"Alarm"`
}

// JobSnapshot is a job in hand.
type JobSnapshot struct {
	Job   control.JobSnapshot `json:"Job"`
	Rank  control.Micros      `json:"Rank"`
	Again control.Micros      `json:"Again"`
	Held  bool                `json:"Held"`
	Over  bool                `json:"Over"`
	Out   int                 `json:"Out"`
}

// Wrapper is a decider round the module, as explorers plant wrong decisions with.
type Wrapper interface {
	Decider
	Inner() *control.Router
}

// Wrap puts a decider round the module.
func (c *Core) Wrap(f func(*control.Router) Decider) {
	if module := c.module(); module != nil {
		c.ask = f(module)
	}
}

// module gives the module that decides; nil: a baseline does.
func (c *Core) module() *control.Router {
	switch d := c.ask.(type) {
	case *control.Router:
		return d
	case Wrapper:
		return d.Inner()
	}
	return nil
}

// Snapshot gives the core's state. It must be called between turns, and not between news and its turn; the error tells
// that the decider is a baseline that gives none.
func (c *Core) Snapshot() (*Snapshot, error) {
	module := c.module()
	if module == nil {
		return nil, errors.New("this decider gives no snapshot")
	}
	s := &Snapshot{Module: module.Snapshot(), Next: c.next, Alarm: c.alarm, Jobs: make([]JobSnapshot, 0, len(c.jobs))}
	for _, h := range c.jobs {
		s.Jobs = append(s.Jobs, JobSnapshot{h.job.Snapshot(), h.rank, h.again, h.held, h.over, h.out})
	}
	slices.SortFunc(s.Jobs, func(a, b JobSnapshot) int { return cmp.Compare(a.Job.Job.ID, b.Job.Job.ID) })
	for _, h := range c.held {
		s.Held = append(s.Held, h.job.ID)
	}
	return s, nil
}

// Remember gives what the module has learned. It may be called between turns; nil of a baseline.
func (c *Core) Remember(now control.Micros) *control.Memory {
	module, ok := c.ask.(*control.Router)
	if !ok {
		return nil
	}
	return module.Remember(now)
}

// Suspects gives the servers that the module suspects; none of a baseline.
func (c *Core) Suspects() map[control.ServerID]bool {
	if module, ok := c.ask.(*control.Router); ok {
		return module.Suspects()
	}
	return nil
}

// Restore gives a core that goes on from a snapshot, with an outlet of its own. The error tells of a snapshot that does
// not hold together.
func Restore(s *Snapshot, out Outlet) (*Core, error) {
	c := New(nil, out)
	c.next, c.alarm = s.Next, s.Alarm
	jobs := make(map[control.JobID]*control.Job, len(s.Jobs))
	for _, j := range s.Jobs {
		h := &inHand{job: j.Job.Restore(), rank: j.Rank, again: j.Again, held: j.Held, over: j.Over, out: j.Out}
		c.jobs[h.job.ID], jobs[h.job.ID] = h, &h.job
	}
	for _, id := range s.Held {
		h := c.jobs[id]
		if h == nil || !h.held {
			return nil, fmt.Errorf("snapshot: job %d is held, but not in hand", id)
		}
		c.held = append(c.held, h)
	}
	if s.Module == nil {
		return nil, errors.New("snapshot: no module in it")
	}
	module, err := control.Restore(s.Module, jobs)
	if err != nil {
		return nil, err
	}
	c.ask = module
	return c, nil
}

// both carries out what is asked and has a tape hear it.
type both struct {
	out  Outlet
	tape Tape
}

func (b both) Send(j *control.Job, no control.ExecutionID, to control.ServerID, allow control.Micros) {
	b.tape.Send(j, no, to, allow)
	b.out.Send(j, no, to, allow)
}

func (b both) PushBack(id control.JobID, stayAway control.Micros) {
	b.tape.PushBack(id, stayAway)
	b.out.PushBack(id, stayAway)
}

func (b both) Kill(id control.JobID) {
	b.tape.Kill(id)
	b.out.Kill(id)
}

func (b both) CallOff(id control.JobID, no control.ExecutionID) {
	b.tape.CallOff(id, no)
	b.out.CallOff(id, no)
}

func (b both) Order(j *control.Job, o control.Order) {
	b.tape.Order(j, o)
	b.out.Order(j, o)
}

func (b both) Subscribe() {
	b.tape.Subscribe()
	b.out.Subscribe()
}

func (b both) Note(text string) {
	b.tape.Note(text)
	b.out.Note(text)
}

func (b both) Alarm(at control.Micros) {
	b.tape.Alarm(at)
	b.out.Alarm(at)
}
