package attempt

import "hollymast/control"

// The rule for disconnected clients: no attempt has its first byte written more than 0.1 s after its client closed its
// side of the connection, even if this router has not read the close. The close may be unread because the process was
// stalled, because pipelined requests come before it, or because the readers wait for a processor. So the rule bounds
// the time between the last check of the client's connection and the first byte.

// clientGrace is how long after its client's disconnect an attempt may still begin.
const clientGrace = control.Micros(100_000)

// MaxClientCheckAge is how old the last check of a client's connection may be at the first byte of an attempt. It is a
// quarter of clientGrace, so that a busy router rarely checks twice for one attempt, and most of clientGrace is left
// for the time from the check to the first byte.
const MaxClientCheckAge = clientGrace / 4

// MustCheckClient reports whether a client's connection has to be checked again before the first byte of an attempt.
// age is the time since the last check.
func MustCheckClient(age control.Micros) bool { return age > MaxClientCheckAge }
