package attempt

import "hollymast/control"

// The rule for disconnected clients: no attempt has its first byte written later than 0.1 s after its client
// closed its side of the connection, whether this router has read the close or not. The close may lie unread
// after the process was stalled, behind pipelined requests, or while the readers wait for a processor. So what
// counts before the first byte is the time since the client's connection was last checked.

// clientGrace is for how long after its client has disconnected an attempt may begin.
const clientGrace = control.Micros(100_000)

// MaxClientCheckAge is how old the last check of a client's connection may be at the first byte of an attempt: a
// quarter of the grace, so that a busy router seldom checks twice for one attempt, and most is left for the way
// from the check to the byte.
const MaxClientCheckAge = clientGrace / 4

// MustCheckClient reports whether a client's connection has to be checked again before the first byte of an attempt;
// age is the time since the last check.
func MustCheckClient(age control.Micros) bool { return age > MaxClientCheckAge }
