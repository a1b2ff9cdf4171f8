package control

// A process that was asked to stop is killed no sooner than KillAfter plus the longest configured deadline, of which at most
// MaxCountedDeadline counts, after that. Both are microseconds, and promised by the operators.
const (
	KillAfter          Micros = 700_000
	MaxCountedDeadline Micros = 3_000_000
)

// EarliestKill returns the earliest time of the kill after the request to stop, in microseconds.
func (d *Deployment) EarliestKill() Micros {
	var longest Micros
	for _, class := range d.Classes {
		longest = max(longest, class.MaxDeadline)
	}
	return KillAfter + min(longest, MaxCountedDeadline)
}

// RejectedByStop reports whether a request that a stop ends while it is in flight is rejected: it was never written, or is
// safe to repeat, so that its client can use the time left with another router. Any other request fails.
func (c Class) RejectedByStop(mayHaveRun bool) bool {
	return !mayHaveRun || c.SafeToRetryAnywhere()
}

// RejectHeldBeforeKill is how long before the kill held requests are rejected that OutlivesStop selects, in microseconds: it
// leaves their clients time to be served elsewhere.
const RejectHeldBeforeKill Micros = 550_000

// RejectEarlyOnStop reports whether a request that was only held waits for longer than a stopping router can answer, until
// lastAnswer. It then rather tells the client soon.
func RejectEarlyOnStop(attempts int, deadline, lastAnswer Micros) bool {
	return attempts == 0 && deadline > lastAnswer
}
