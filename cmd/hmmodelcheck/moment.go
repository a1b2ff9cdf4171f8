package main

import (
	"errors"
	"fmt"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/modelcheck"
	"hollymast/internal/program"
	"hollymast/internal/record"
	"hollymast/internal/replay"
)

type momentCommand struct {
	Recording string   `arg:"" help:"Segment of a recording." type:"path"`
	Step      uint64   `name:"turn" required:"" help:"Number of the recorded step after which to begin."`
	Requests  []uint64 `name:"job" help:"Requests in flight to explore, up to 3; default: the last to arrive."`
	faultFlags
	Depth  int    `default:"12" help:"Maximum number of steps."`
	States int    `default:"2000000" help:"Stop after the depth that reaches this number of states."`
	Save   string `help:"File to save the trace of a violation to." type:"path"`
}

// Run explores from a recorded state.
func (m momentCommand) Run() error {
	now, snapshot, err := m.replayToStep()
	if err != nil {
		return err
	}
	var requests []control.RequestID
	for _, id := range m.Requests {
		requests = append(requests, control.RequestID(id))
	}
	state, err := modelcheck.NewRecordedState(now, snapshot, requests)
	if err != nil {
		return program.UsageError{Err: err}
	}
	config := state.Config()
	m.faultFlags.addTo(&config)
	return explore(modelcheck.Exploration{Config: config, MaxDepth: m.Depth, MaxStates: m.States}, m.Save)
}

// errPastStep stops reading a recording after the requested step.
var errPastStep = errors.New("past the requested step")

// replayToStep replays the recording and returns the time of the step and the router's state after it.
func (m momentCommand) replayToStep() (control.Micros, *core.Snapshot, error) {
	segment, err := record.OpenSegment(m.Recording)
	if err != nil {
		return 0, nil, program.UsageError{Err: err}
	}
	defer segment.Close()
	player, err := replay.NewPlayer(segment.Checkpoint)
	if err != nil {
		return 0, nil, err
	}
	now := control.Micros(0)
	err = segment.ForEachStep(func(number uint64, step record.Step) error {
		if number > m.Step {
			return errPastStep
		}
		player.Step(step)
		now = step.Clock
		return nil
	})
	if err != nil && !errors.Is(err, errPastStep) {
		return 0, nil, err
	}
	if now == 0 {
		return 0, nil, program.UsageError{Err: fmt.Errorf("step %d is not in %s", m.Step, m.Recording)}
	}
	snapshot, err := player.Core.Snapshot()
	return now, snapshot, err
}
