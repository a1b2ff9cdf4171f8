package attempt

import "hollymast/control"

// The rule for clients that have gone: no attempt has its first byte written later than 0.1 s after its client closed its side of
// the connection, whether this router has read the close or not: it may lie unread after a stop of the process, behind requests
// that were sent ahead, or while readers wait for the processor. So what counts before the first byte is the time since the
// client's connection was last looked at.

// clientGrace is for how long after its client has gone an attempt may begin.
const clientGrace = control.Micros(100_000)

// ClientLook is how old the last look at a client's connection may be at the first byte: a quarter of what is allowed, so that a
// busy router does not look twice for one attempt, and most is left for what lies between the look and the byte.
const ClientLook = clientGrace / 4

// MustLook tells whether a client's connection has to be looked at before the first byte of an attempt.
func MustLook(age control.Micros) bool { return age > ClientLook }
