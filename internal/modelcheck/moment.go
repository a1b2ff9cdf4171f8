package modelcheck

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
)

// Moment is a state of a real router, from a recording, to explore from. Some of its jobs are followed; the others stand still, since
// all orderings of tens of jobs are more than anyone can go through. What is not recorded is taken at its worst: executions that
// are out were written and ran, and their time is up when their client's patience ends.
type RecordedState struct {
	Now      control.Micros      `json:"Now"`
	Core     *core.Snapshot      `json:"Core"`
	Servers  []control.ServerID  `json:"Servers"`
	Requests []control.RequestID `json:"Jobs"`
	Explored []bool              `json:"Watched"` // of Jobs
}

// mostWatched bounds the jobs that are followed from a moment.
const mostWatched = mostJobs

// NewMoment gives the world of a router's state; jobs are those to be followed, none: the last that came and have no answer.
func NewRecordedState(now control.Micros, c *core.Snapshot, jobs []control.RequestID) (*RecordedState, error) {
	m := &RecordedState{Now: now, Core: c}
	for _, s := range c.Balancer.Servers {
		m.Servers = append(m.Servers, s.Endpoint.Server)
	}
	if len(jobs) == 0 {
		for _, j := range c.Requests {
			if !j.Done {
				jobs = append(jobs, j.Request.Request.ID)
			}
		}
		slices.SortFunc(jobs, func(a, b control.RequestID) int { return cmp.Compare(b, a) })
		jobs = jobs[:min(len(jobs), mostWatched)]
	}
	if len(jobs) == 0 || len(jobs) > mostWatched {
		return nil, fmt.Errorf("%d jobs to follow, of 1 to %d", len(jobs), mostWatched)
	}
	n := 0
	for _, j := range c.Requests {
		watched := slices.Contains(jobs, j.Request.Request.ID)
		if watched {
			n++
		}
		m.Requests, m.Explored = append(m.Requests, j.Request.Request.ID), append(m.Explored, watched)
	}
	if n != len(jobs) {
		return nil, errors.New("a job to be followed is not in hand then")
	}
	return m, nil
}

// Setup gives what describes the moment's world; faults are added to it.
func (m *RecordedState) Config() Config {
	s := Config{Requests: len(m.Requests), Servers: len(m.Servers), Routers: 1, RecordedState: m}
	return s
}

// begin gives the moment's first world.
func (m *RecordedState) begin(s *Config, w *State) error {
	w.Now = m.Now
	for _, v := range m.Core.Balancer.Servers {
		state := v.Endpoint.State
		if !v.Listed {
			state = control.Removed
		}
		w.Servers = append(w.Servers, Server{State: state, Since: v.LastListed, StartedAt: v.Endpoint.StartedAt, Loaded: true})
	}
	for i, j := range m.Core.Requests {
		job := j.Request.Request
		w.Requests = append(w.Requests, Request{Arrived: true, Inactive: !m.Explored[i], ArrivesAt: job.ArrivedAt, Deadline: job.Deadline + margin, Answer: attempt.FinalAnswer{Given: j.Done, InFlight: j.InFlight}})
		for no, e := range j.Request.Attempts {
			x := ServerCall{Request: i, Attempt: no, Server: s.index(e.Attempt.Server), Stage: attempt.Writing, ChosenAt: e.Attempt.SentAt, WrittenAt: e.Attempt.SentAt,
				Deadline: job.Deadline, Ran: true}
			if e.Attempt.Done {
				x.Progress.Ended, x.Result, x.Ran = true, control.ConnectionReset, false
				if !e.Attempt.MayHaveRun {
					x.Result = control.NotSent
				}
			}
			x.Progress.Cancelled = e.Cancelling
			w.Calls = append(w.Calls, x)
		}
	}
	c, err := core.Restore(m.Core, core.NoopExecutor{})
	if err != nil {
		return err
	}
	w.Routers = []Router{{TimerAt: max(m.Core.TimerAt, m.Now)}}
	return w.keep(0, c)
}

// id and index turn places in a world into a router's ids and back.
func (s *Config) id(server int) control.ServerID {
	if s.RecordedState != nil {
		return s.RecordedState.Servers[server]
	}
	return control.ServerID(0x7f000001)<<16 | control.ServerID(firstPort+server)
}

const firstPort = 1000

func (s *Config) index(id control.ServerID) int {
	if s.RecordedState != nil {
		return slices.Index(s.RecordedState.Servers, id)
	}
	return int(id&0xffff) - firstPort
}

func (s *Config) jobID(job int) control.RequestID {
	if s.RecordedState != nil {
		return s.RecordedState.Requests[job]
	}
	return control.RequestID(job + 1)
}

func (s *Config) jobIndex(id control.RequestID) int {
	if s.RecordedState != nil {
		return slices.Index(s.RecordedState.Requests, id)
	}
	return int(id) - 1
}

// workload gives a job's.
func (s *Config) workload(job int) control.Class {
	if m := s.RecordedState; m != nil {
		return m.Core.Balancer.Deployment.Classes[m.Core.Requests[job].Request.Request.Class]
	}
	w := control.Class{LatencyObjective: s.LatencyObjective, MaxDeadline: s.MaxDeadline, Effect: effects[s.Effects[job%len(s.Effects)]]}
	if w.Effect == control.IdempotentByKey {
		w.Window = s.DedupWindow
		if s.Scope == "zone" {
			w.Scope = control.OneZone
		}
	}
	return w
}

func (s *Config) effect(job int) control.Effect { return s.workload(job).Effect }

// sameGroup tells whether two servers drop each other's repeats of a job.
func (s *Config) sameGroup(job, a, b int) bool {
	la, lb := s.place(a), s.place(b)
	switch s.workload(job).Scope {
	case control.OneZone:
		return la.Zone == lb.Zone
	case control.OneCell:
		return la.Cell == lb.Cell
	}
	return true
}

// place tells where a server stands.
func (s *Config) place(server int) control.Endpoint {
	if s.RecordedState != nil {
		return s.RecordedState.Core.Balancer.Servers[server].Endpoint
	}
	return control.Endpoint{Server: s.id(server), Zone: control.ZoneID(1 + server%2), Cell: control.CellID(1 + server%2), Weight: 1}
}

var effectNames = [...]string{"restartable", "fingerprinted", "run-once"}
