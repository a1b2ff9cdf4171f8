package core

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"hollymast/control"
)

// Snapshot is the state of a core between two steps, including the balancer's, in plain values. The tags are the names
// in stored data.
type Snapshot struct {
	Balancer      *control.Snapshot   `json:"Module"`
	Requests      []RequestSnapshot   `json:"Jobs"` // by ascending ID
	Held          []control.RequestID `json:"Held"` // in the order in which they are held
	MaintenanceAt control.Micros      `json:"Next"`
	TimerAt       control.Micros      `json:"Alarm"`
}

// RequestSnapshot is the state of a request in flight.
type RequestSnapshot struct {
	Request   control.RequestSnapshot `json:"Job"`
	Rank      control.Micros          `json:"Rank"`
	RecheckAt control.Micros          `json:"Again"`
	Held      bool                    `json:"Held"`
	Done      bool                    `json:"Over"`
	InFlight  int                     `json:"Out"`
}

// Snapshot returns the core's state. It may be called only between steps, when no event has arrived since the last
// step. It returns an error if the policy is a baseline, which has no snapshot.
func (c *Core) Snapshot() (*Snapshot, error) {
	b := c.balancer()
	if b == nil {
		return nil, errors.New("the policy does not support snapshots")
	}
	s := &Snapshot{Balancer: b.Snapshot(), MaintenanceAt: c.maintenanceAt, TimerAt: c.timerAt,
		Requests: make([]RequestSnapshot, 0, len(c.requests))}
	for _, r := range c.requests {
		s.Requests = append(s.Requests,
			RequestSnapshot{r.req.Snapshot(), r.rank, r.recheckAt, r.held, r.done, r.inFlight})
	}
	slices.SortFunc(s.Requests, func(a, b RequestSnapshot) int {
		return cmp.Compare(a.Request.Request.ID, b.Request.Request.ID)
	})
	for _, r := range c.held {
		s.Held = append(s.Held, r.req.ID)
	}
	return s, nil
}

// Restore returns a core that continues from a snapshot with the given executor. It returns an error if the snapshot is
// inconsistent.
func Restore(s *Snapshot, executor Executor) (*Core, error) {
	c := New(nil, executor)
	c.maintenanceAt, c.timerAt = s.MaintenanceAt, s.TimerAt
	requests := make(map[control.RequestID]*control.Request, len(s.Requests))
	for _, saved := range s.Requests {
		r := &request{req: saved.Request.Restore(), rank: saved.Rank, recheckAt: saved.RecheckAt, held: saved.Held,
			done: saved.Done, inFlight: saved.InFlight}
		c.requests[r.req.ID], requests[r.req.ID] = r, &r.req
	}
	for _, id := range s.Held {
		r := c.requests[id]
		if r == nil || !r.held {
			return nil, fmt.Errorf("snapshot: request %d is held, but not in flight", id)
		}
		c.held = append(c.held, r)
	}
	if s.Balancer == nil {
		return nil, errors.New("snapshot: no balancer state")
	}
	b, err := control.Restore(s.Balancer, requests)
	if err != nil {
		return nil, err
	}
	c.policy = b
	return c, nil
}
