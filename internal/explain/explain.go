// Package explain explains from a recording why the decisions about a request were made. It replays the recording through the same core and
// reads the balancer's trace, so that it duplicates none of the balancer's conditions.
package explain

import (
	"errors"
	"fmt"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/record"
	"hollymast/internal/replay"
)

// Query selects the decisions to explain.
type Query struct {
	Request control.RequestID
	WhatIf  *Change // a change under which the step that added the request is replayed once more; nil: none
}

// ErrNoDecision means that the recording contains no decision about the request.
var ErrNoDecision = errors.New("the recording contains no decision about this request")

// Request explains all decisions about a request. If the query has a change, it explains the first decision as it was recorded and as it
// would have been with the change.
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

// decisionCollector collects the decisions about a request from the balancer's trace.
type decisionCollector struct {
	request   control.RequestID
	current   Decision                                    // with only the file, step and endpoint list of the current step
	checks    map[control.FunctionID]control.ReplicaCheck // last replica check of each function
	decisions []Decision
}

// trace returns a trace that adds the decisions about the request to the collector.
func (dc *decisionCollector) trace() *control.Trace {
	return &control.Trace{
		OnReplicaCheck: func(c control.ReplicaCheck) { dc.checks[c.Function] = c },
		OnDecision: func(e control.Explanation) {
			if e.Request != dc.request {
				return
			}
			d := dc.current
			d.Explanation = e
			if c, ok := dc.checks[e.Function]; ok {
				d.Check = &c
			}
			dc.decisions = append(dc.decisions, d)
		}}
}

// setStep sets the step that is replayed next.
func (dc *decisionCollector) setStep(number uint64, step record.Step) {
	dc.current.Step = number
	for _, e := range step.Events {
		if e.Endpoints != nil {
			dc.current.Endpoints = EndpointList{step.Clock, dc.current.Endpoints.Version + 1}
		}
	}
}

// errReplayedWithChange ends the replay of a segment once the request's step was replayed with the change.
var errReplayedWithChange = errors.New("replayed with the change")

// explainSegment returns the decisions about the request in one segment. If the query has a change, it stops after the step that added the
// request, and also returns the decisions of that step under the change.
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
	dc := &decisionCollector{request: q.Request, current: Decision{File: file}, checks: map[control.FunctionID]control.ReplicaCheck{}}
	if err := player.Core.SetTrace(dc.trace()); err != nil {
		return nil, err
	}
	err = s.ForEachStep(func(number uint64, step record.Step) error {
		dc.setStep(number, step)
		if q.WhatIf == nil || !addsRequest(step, q.Request) {
			player.Step(step)
			return nil
		}
		before, err := player.Core.Snapshot()
		if err != nil {
			return err
		}
		player.Step(step)
		return dc.replayWithChange(before, step, *q.WhatIf)
	})
	if errors.Is(err, errReplayedWithChange) {
		err = nil
	}
	return dc.decisions, err
}

// addsRequest reports whether a step adds a request.
func addsRequest(step record.Step, id control.RequestID) bool {
	for _, e := range step.Events {
		if e.Added != nil && e.Added.ID == id {
			return true
		}
	}
	return false
}

// replayWithChange applies a change to the state before a step and replays the step. If that succeeds, it returns errReplayedWithChange.
func (dc *decisionCollector) replayWithChange(before *core.Snapshot, step record.Step, c Change) error {
	if err := c.apply(before); err != nil {
		return err
	}
	player, err := replay.NewPlayer(before)
	if err != nil {
		return err
	}
	first := len(dc.decisions)
	if err := player.Core.SetTrace(dc.trace()); err != nil {
		return err
	}
	player.Step(step)
	for i := first; i < len(dc.decisions); i++ {
		dc.decisions[i].WhatIf = c.String()
	}
	return errReplayedWithChange
}
