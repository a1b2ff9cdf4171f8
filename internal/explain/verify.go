package explain

import (
	"errors"
	"fmt"

	"hollymast/control"
	"hollymast/internal/record"
	"hollymast/internal/replay"
)

// VerifyAll plays recordings and compares every explanation to the decision that was recorded. It returns how many agree; the error
// names the first that doesn't.
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
	var explanations []control.Explanation // of the step that is played
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
			return fmt.Errorf("%s: turn %d: %w", file, number, err)
		}
		return nil
	})
	return agreeing, err
}

// verifyStep compares the decisions among a step's commands to the explanations, in order.
func verifyStep(commands []record.Command, explanations []control.Explanation) (agreeing uint64, err error) {
	for _, c := range commands {
		if c.Kind != record.CommandForward && c.Kind != record.CommandReject && c.Kind != record.CommandFail {
			continue
		}
		if len(explanations) == 0 || !explains(explanations[0], c) {
			return agreeing, fmt.Errorf("recorded is %q, and the explanation says otherwise", c)
		}
		explanations = explanations[1:]
		agreeing++
	}
	if len(explanations) > 0 {
		return agreeing, fmt.Errorf("job %d is explained, but no decision was recorded", explanations[0].Request)
	}
	return agreeing, nil
}

// explains reports whether an explanation is that of a recorded command.
func explains(e control.Explanation, c record.Command) bool {
	d := e.Decision
	switch c.Kind {
	case record.CommandForward:
		return d.Action == control.Forward && e.Request == c.Request && d.Server == c.Server && d.Timeout == c.Time
	case record.CommandReject:
		return d.Action == control.Reject && e.Request == c.Request && d.RetryAfter == c.Time
	}
	return d.Action == control.Fail && e.Request == c.Request
}
