package attempt

import "hollymast/control"

// The rule for draining servers: no attempt has its first byte written later than the grace period after its server was
// listed as draining. A router cannot know what it has not read, so the rule bounds the age of the endpoint list: the
// time since the router last read everything that discovery had sent. That time is taken before the read, never from
// the step or the choice of a server, since the process may have been stalled in between. While no discovery server can
// be reached, the list is as complete as it can be, and its age counts from the check that found none reachable.

// MustReadEndpoints reports whether a step has to read what discovery has sent before it chooses a server. An eighth of
// the grace period costs a few reads per grace period at most, and leaves the rest of MaxEndpointsAge for the time from
// the choice to the first byte.
func MustReadEndpoints(age, grace control.Micros) bool { return age > grace/8 }

// WriteDeadline returns the latest time for the first byte of an attempt whose server was chosen from a list that was
// complete at listAsOf.
func WriteDeadline(listAsOf, grace control.Micros) control.Micros {
	return listAsOf + MaxEndpointsAge(grace)
}

// MaxEndpointsAge returns how old the list that a server was chosen from may be at the first byte: half the grace
// period. The other half is for the delay of a change between discovery and this router.
func MaxEndpointsAge(grace control.Micros) control.Micros { return grace / 2 }

// Stalled reports whether a router that wakes up with this delay was stalled, and has to read at once what discovery
// has sent in the meantime.
func Stalled(delay, grace control.Micros) bool { return delay > grace/4 }
