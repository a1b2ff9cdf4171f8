package eventloop

import "hollymast/control"

// A process that was asked to stop is killed no sooner than KillAfter plus the longest configured deadline, of which at most
// MaxCountedDeadline counts, after that. Both are microseconds, and promised by the operators.
const (
	KillAfter          control.Micros = 700_000
	MaxCountedDeadline control.Micros = 3_000_000
)

// EarliestKill returns the earliest time of the kill after the request to stop, in microseconds.
func EarliestKill(classes []control.Class) control.Micros {
	var longest control.Micros
	for _, class := range classes {
		longest = max(longest, class.MaxDeadline)
	}
	return KillAfter + min(longest, MaxCountedDeadline)
}

// RejectedByStop reports whether a request that a stop ends while it is in flight is rejected: it was never written, or is
// safe to repeat, so that its client can use the time left with another router. Any other request fails.
func RejectedByStop(class control.Class, mayHaveRun bool) bool {
	return !mayHaveRun || class.SafeToRetryAnywhere()
}
