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

// RecordedState is a state of a real router, from a recording, to explore from. Some of its requests are explored; the others stay as
// they are, since all orderings of tens of requests are too many. What is not recorded is taken at its worst: attempts in flight
// were written and ran, and they time out at their request's deadline. Its stored form keeps earlier names.
type RecordedState struct {
	Now      control.Micros      `json:"Now"`
	Core     *core.Snapshot      `json:"Core"`
	Servers  []control.ServerID  `json:"Servers"`
	Requests []control.RequestID `json:"Jobs"`
	Explored []bool              `json:"Watched"` // by request
}

// maxExplored bounds the requests that are explored from a recorded state.
const maxExplored = maxRequests

// errNotInFlight is the error of a request to explore that the router didn't hold.
var errNotInFlight = errors.New("a request to be explored is not in flight then")

// NewRecordedState returns a router's state with the requests to explore; none: the last to arrive that have no answer.
func NewRecordedState(now control.Micros, snapshot *core.Snapshot, explore []control.RequestID) (*RecordedState, error) {
	r := &RecordedState{Now: now, Core: snapshot}
	for _, s := range snapshot.Balancer.Servers {
		r.Servers = append(r.Servers, s.Endpoint.Server)
	}
	if len(explore) == 0 {
		explore = latestRequests(snapshot)
	}
	if len(explore) == 0 || len(explore) > maxExplored {
		return nil, fmt.Errorf("%d requests to explore, of 1 to %d", len(explore), maxExplored)
	}
	found := 0
	for _, s := range snapshot.Requests {
		id := s.Request.Request.ID
		explored := slices.Contains(explore, id)
		if explored {
			found++
		}
		r.Requests, r.Explored = append(r.Requests, id), append(r.Explored, explored)
	}
	if found != len(explore) {
		return nil, errNotInFlight
	}
	return r, nil
}

// latestRequests returns the last requests to arrive that have no answer, as many as can be explored.
func latestRequests(snapshot *core.Snapshot) []control.RequestID {
	var ids []control.RequestID
	for _, s := range snapshot.Requests {
		if !s.Done {
			ids = append(ids, s.Request.Request.ID)
		}
	}
	slices.SortFunc(ids, func(a, b control.RequestID) int { return cmp.Compare(b, a) })
	return ids[:min(len(ids), maxExplored)]
}

// Config returns the config of the state's world; faults are added to it.
func (r *RecordedState) Config() Config {
	return Config{Requests: len(r.Requests), Servers: len(r.Servers), Routers: 1, RecordedState: r}
}

// fillInitialState makes the first state of the recorded state's world.
func (r *RecordedState) fillInitialState(c *Config, s *State) error {
	s.Now = r.Now
	for _, v := range r.Core.Balancer.Servers {
		state := v.Endpoint.State
		if !v.Listed {
			state = control.Removed
		}
		s.Servers = append(s.Servers, Server{State: state, StateSince: v.LastListed, StartedAt: v.Endpoint.StartedAt, Loaded: true})
	}
	for i, snapshot := range r.Core.Requests {
		request := snapshot.Request.Request
		s.Requests = append(s.Requests, Request{Arrived: true, Unexplored: !r.Explored[i], ArrivesAt: request.ArrivedAt, Deadline: request.Deadline + answerMargin,
			Answer: attempt.FinalResponse{Decided: snapshot.Done, InFlight: snapshot.InFlight}})
		for n, a := range snapshot.Request.Attempts {
			s.Calls = append(s.Calls, recordedCall(c, i, n, a, request.Deadline))
		}
	}
	router, err := core.Restore(r.Core, core.NoopExecutor{})
	if err != nil {
		return err
	}
	s.Routers = []Router{{TimerAt: max(r.Core.TimerAt, r.Now)}}
	return s.storeRouter(0, router)
}

// recordedCall is an attempt of a recorded request, at its worst.
func recordedCall(c *Config, request, number int, a control.AttemptSnapshot, deadline control.Micros) ServerCall {
	call := ServerCall{Request: request, Attempt: number, Server: c.serverIndex(a.Attempt.Server), Stage: attempt.Writing, ChosenAt: a.Attempt.SentAt,
		WrittenAt: a.Attempt.SentAt, Deadline: deadline, Ran: true}
	if a.Attempt.Done {
		call.Progress.Ended, call.Result, call.Ran = true, control.ConnectionReset, false
		if !a.Attempt.MayHaveRun {
			call.Result = control.NotSent
		}
	}
	call.Progress.Cancelled = a.Cancelling
	return call
}
