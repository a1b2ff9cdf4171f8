package explain

import (
	"errors"
	"fmt"

	"hollymast/control"
	"hollymast/internal/record"
	"hollymast/internal/replay"
)

// VerifyAll replays recordings and compares every explanation with the recorded decision. It returns how many agree; the error describes
// the first that doesn't.
func VerifyAll(files []string) (agreeing uint64, err error) {
	for _, file := range files {
		n, err := verifySegment(file)
		agreeing += n
		if err != nil && !errors.Is(err, record.ErrCorrupt) {
			return agreeing, err
		}
	}
	return agreeing, nil
}

// verifySegment is VerifyAll for one segment.
func verifySegment(file string) (agreeing uint64, err error) {
	s, err := record.OpenSegment(file)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	player, err := replay.NewPlayer(s.Checkpoint)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", file, err)
	}
	var explanations []control.Explanation // explanations of the current step
	if err := player.Core.SetTrace(&control.Trace{OnDecision: func(e control.Explanation) {
		if e.Decision.Action != control.NoAction && e.Decision.Action != control.Hold {
			explanations = append(explanations, e)
		}
	}}); err != nil {
		return 0, err
	}
	err = s.ForEachStep(func(number uint64, step record.Step) error {
		explanations = explanations[:0]
		player.Step(step)
		n, err := verifyStep(step.Commands, explanations)
		agreeing += n
		if err != nil {
			return fmt.Errorf("%s: step %d: %w", file, number, err)
		}
		return nil
	})
	return agreeing, err
}

// verifyStep compares the decisions among a step's recorded commands with the explanations, in order.
func verifyStep(commands []record.Command, explanations []control.Explanation) (agreeing uint64, err error) {
	for _, c := range commands {
		if c.Kind != record.CommandForward && c.Kind != record.CommandReject && c.Kind != record.CommandFail {
			continue
		}
		if len(explanations) == 0 || !explanationMatches(explanations[0], c) {
			return agreeing, fmt.Errorf("recorded command %q does not match its explanation", c)
		}
		explanations = explanations[1:]
		agreeing++
	}
	if len(explanations) > 0 {
		return agreeing, fmt.Errorf("a decision about request %d is explained but was not recorded", explanations[0].Request)
	}
	return agreeing, nil
}

// explanationMatches reports whether an explanation describes a recorded command.
func explanationMatches(e control.Explanation, c record.Command) bool {
	d := e.Decision
	switch c.Kind {
	case record.CommandForward:
		return d.Action == control.Forward && e.Request == c.Request && d.Server == c.Server && d.Timeout == c.Time
	case record.CommandReject:
		return d.Action == control.Reject && e.Request == c.Request && d.RetryAfter == c.Time
	}
	return d.Action == control.Fail && e.Request == c.Request
}
