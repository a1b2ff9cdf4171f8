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

// RecordedState is a state of a real router, taken from a recording, that an exploration starts from. Only some of its
// requests are explored and the others never change, since tens of requests have too many orderings. For what is not
// recorded, the worst case is assumed: attempts in flight were written and ran, and they time out at their request's
// deadline. The tags are the names in stored data.
type RecordedState struct {
	Now      control.Micros      `json:"Now"`
	Core     *core.Snapshot      `json:"Core"`
	Servers  []control.ServerID  `json:"Servers"`
	Requests []control.RequestID `json:"Jobs"`
	Explored []bool              `json:"Watched"` // by request
}

// maxExplored is the maximum number of explored requests of a recorded state.
const maxExplored = maxRequests

// errNotInFlight is returned if a request to explore is not in the recorded state.
var errNotInFlight = errors.New("a request to explore is not in flight in the recorded state")

// NewRecordedState returns a router's state with the requests to explore. If none are given, it chooses the latest
// requests without a final response.
func NewRecordedState(now control.Micros, snapshot *core.Snapshot, explore []control.RequestID) (*RecordedState, error) {
	r := &RecordedState{Now: now, Core: snapshot}
	for _, server := range snapshot.Balancer.Servers {
		r.Servers = append(r.Servers, server.Endpoint.Server)
	}
	if len(explore) == 0 {
		explore = latestRequests(snapshot)
	}
	if len(explore) == 0 || len(explore) > maxExplored {
		return nil, fmt.Errorf("cannot explore %d requests: want 1 to %d", len(explore), maxExplored)
	}
	found := 0
	for _, request := range snapshot.Requests {
		id := request.Request.Request.ID
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

// latestRequests returns the latest requests without a final response, at most maxExplored.
func latestRequests(snapshot *core.Snapshot) []control.RequestID {
	var ids []control.RequestID
	for _, request := range snapshot.Requests {
		if !request.Done {
			ids = append(ids, request.Request.Request.ID)
		}
	}
	slices.SortFunc(ids, func(a, b control.RequestID) int { return cmp.Compare(b, a) })
	return ids[:min(len(ids), maxExplored)]
}

// Config returns a config that begins with the recorded state. It has no faults; the caller adds them.
func (r *RecordedState) Config() Config {
	return Config{Requests: len(r.Requests), Servers: len(r.Servers), Routers: 1, RecordedState: r}
}

// fillInitialState turns s into the recorded state.
func (r *RecordedState) fillInitialState(c *Config, s *State) error {
	s.Now = r.Now
	for _, server := range r.Core.Balancer.Servers {
		state := server.Endpoint.State
		if !server.Listed {
			state = control.Removed
		}
		s.Servers = append(s.Servers, Server{State: state, StateSince: server.LastListed, StartedAt: server.Endpoint.StartedAt, Loaded: true})
	}
	for i, snapshot := range r.Core.Requests {
		request := snapshot.Request.Request
		s.Requests = append(s.Requests, Request{Arrived: true, Unexplored: !r.Explored[i], ArrivesAt: request.ArrivedAt, Deadline: request.Deadline + answerMargin,
			Answer: attempt.FinalResponse{Decided: snapshot.Done, InFlight: snapshot.InFlight}})
		for number, recorded := range snapshot.Request.Attempts {
			s.Calls = append(s.Calls, recordedCall(c, i, number, recorded, request.Deadline))
		}
	}
	router, err := core.Restore(r.Core, core.NoopExecutor{})
	if err != nil {
		return err
	}
	s.Routers = []Router{{TimerAt: max(r.Core.TimerAt, r.Now)}}
	return s.storeRouter(0, router)
}

// recordedCall returns an attempt of a recorded request. If it is in flight, it is assumed to have run.
func recordedCall(c *Config, request, number int, recorded control.AttemptSnapshot, deadline control.Micros) ServerCall {
	call := ServerCall{Request: request, Attempt: number, Server: c.serverIndex(recorded.Attempt.Server), Stage: attempt.Writing, ChosenAt: recorded.Attempt.SentAt,
		WrittenAt: recorded.Attempt.SentAt, Deadline: deadline, Ran: true}
	if recorded.Attempt.Done {
		call.Progress.Ended, call.Result, call.Ran = true, control.ConnectionReset, false
		if !recorded.Attempt.MayHaveRun {
			call.Result = control.NotSent
		}
	}
	call.Progress.Cancelled = recorded.Cancelling
	return call
}
