package replay

import (
	"fmt"

	"hollymast/control"
)

// Difference is the first command that is not as recorded. It is an error.
type Difference struct {
	File               string
	Step               uint64
	Clock              control.Micros
	Request            control.RequestID
	Recorded, Replayed string // the commands
	AtCheckpoint       bool   // it is no command that differs but the state at the beginning of the segment
}

// Error describes the difference in a line, in the words that hmreplay has always printed: another build's are compared to it.
func (d *Difference) Error() string {
	if d.AtCheckpoint {
		return fmt.Sprintf("%s: the state reached by replay differs from the checkpoint at turn %d", d.File, d.Step)
	}
	return fmt.Sprintf("%s: turn %d at %d us, job %d: then %q, now %q", d.File, d.Step, d.Clock, d.Request, d.Recorded, d.Replayed)
}
