// Package explain says, from a recording, why the decisions about a request came out as they did. It plays the recording through the same
// core and listens to the balancer's own trace; it repeats none of its conditions.
package explain

import (
	"errors"
	"fmt"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/record"
	"hollymast/internal/replay"
)

// Query says which decisions are to be explained.
type Query struct {
	Request control.RequestID
	WhatIf  *Change // made before the step in which the request was added, which is then played again; nil: none
}

// ErrNoDecision says that the recording holds no decision about the request.
var ErrNoDecision = errors.New("the recording holds no decision about this request")

// Request explains all decisions about a request; with a change, the first one as recorded and as it would have been.
func Request(files []string, q Query) (decisions []Decision, err error) {
	for _, file := range files {
		found, err := explainSegment(file, q)
		if err != nil && !errors.Is(err, record.ErrCorrupt) {
			return decisions, err
		}
		decisions = append(decisions, found...)
		if q.WhatIf != nil && len(decisions) > 0 {
			return decisions[:min(2, len(decisions))], nil
		}
	}
	if len(decisions) == 0 {
		return nil, ErrNoDecision
	}
	return decisions, nil
}

// listener gathers the decisions about a request from the balancer's trace.
type listener struct {
	request   control.RequestID
	current   Decision // file, step and endpoint list of what is played
	checks    map[control.FunctionID]control.ReplicaCheck
	decisions []Decision
}

func (l *listener) trace() *control.Trace {
	return &control.Trace{
		OnReplicaCheck: func(c control.ReplicaCheck) { l.checks[c.Function] = c },
		OnDecision: func(e control.Explanation) {
			if e.Request != l.request {
				return
			}
			d := l.current
			d.Explanation = e
			if c, ok := l.checks[e.Function]; ok {
				d.Check = &c
			}
			l.decisions = append(l.decisions, d)
		}}
}

// enter notes which step is played next.
func (l *listener) enter(number uint64, step record.Step) {
	l.current.Step = number
	for _, e := range step.Events {
		if e.Endpoints != nil {
			l.current.Endpoints = EndpointList{step.Clock, l.current.Endpoints.Version + 1}
		}
	}
}

// errPlayedAgain ends a segment once the step in question was played with the change.
var errPlayedAgain = errors.New("played again")

func explainSegment(file string, q Query) ([]Decision, error) {
	s, err := record.OpenSegment(file)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	player, err := replay.NewPlayer(s.Checkpoint)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	l := &listener{request: q.Request, current: Decision{File: file}, checks: map[control.FunctionID]control.ReplicaCheck{}}
	if err := player.Core.SetTrace(l.trace()); err != nil {
		return nil, err
	}
	err = s.ForEachStep(func(number uint64, step record.Step) error {
		l.enter(number, step)
		if q.WhatIf == nil || !adds(step, q.Request) {
			player.Step(step)
			return nil
		}
		before, err := player.Core.Snapshot()
		if err != nil {
			return err
		}
		player.Step(step)
		return l.playAgain(before, step, *q.WhatIf)
	})
	if errors.Is(err, errPlayedAgain) {
		err = nil
	}
	return l.decisions, err
}

// adds reports whether a request is added in a step.
func adds(step record.Step, id control.RequestID) bool {
	for _, e := range step.Events {
		if e.Added != nil && e.Added.ID == id {
			return true
		}
	}
	return false
}

// playAgain plays a step from the state before it, with a change. It returns errPlayedAgain.
func (l *listener) playAgain(before *core.Snapshot, step record.Step, c Change) error {
	if err := c.apply(before); err != nil {
		return err
	}
	player, err := replay.NewPlayer(before)
	if err != nil {
		return err
	}
	first := len(l.decisions)
	if err := player.Core.SetTrace(l.trace()); err != nil {
		return err
	}
	player.Step(step)
	for i := first; i < len(l.decisions); i++ {
		l.decisions[i].WhatIf = c.String()
	}
	return errPlayedAgain
}
