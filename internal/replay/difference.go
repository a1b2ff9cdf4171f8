package replay

import (
	"fmt"

	"hollymast/control"
)

// Difference is the error that reports the first command that differs from the recorded one.
type Difference struct {
	File               string
	Step               uint64
	Clock              control.Micros
	Request            control.RequestID
	Recorded, Replayed string // texts of the two commands
	AtCheckpoint       bool   // the state at the beginning of the segment differs, not a command
}

// Error describes the difference in one line. The text must not change, since hmreplay compares it with the output of other builds.
func (d *Difference) Error() string {
	if d.AtCheckpoint {
		return fmt.Sprintf("%s: the state reached by replay differs from the checkpoint at turn %d", d.File, d.Step)
	}
	return fmt.Sprintf("%s: turn %d at %d us, job %d: then %q, now %q", d.File, d.Step, d.Clock, d.Request, d.Recorded, d.Replayed)
}
