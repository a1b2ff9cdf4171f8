package control

// The operators guarantee that a process that was asked to stop is not killed before KillAfter plus the longest
// configured deadline, counted up to MaxCountedDeadline, have passed. Both are in microseconds.
const (
	KillAfter          Micros = 700_000
	MaxCountedDeadline Micros = 3_000_000
)

// EarliestKill returns the shortest time between the request to stop and the kill, in microseconds.
func (d *Deployment) EarliestKill() Micros {
	var longest Micros
	for _, class := range d.Classes {
		longest = max(longest, class.MaxDeadline)
	}
	return KillAfter + min(longest, MaxCountedDeadline)
}

// RejectedByStop reports whether a request that is in flight when the router stops is rejected: it was never written or
// is safe to repeat, so its client can use the time left to try another router. Any other request fails.
func (c Class) RejectedByStop(mayHaveRun bool) bool {
	return !mayHaveRun || c.SafeToRetryAnywhere()
}

// RejectHeldBeforeKill is how long before the kill the held requests that RejectEarlyOnStop selects are rejected, in
// microseconds. It leaves their clients time to be served elsewhere.
const RejectHeldBeforeKill Micros = 550_000

// RejectEarlyOnStop reports whether a request without any attempt should be rejected early by a stopping router: its
// deadline is after lastAnswer, the last time at which the router can answer, so its client would otherwise wait in
// vain until then.
func RejectEarlyOnStop(attempts int, deadline, lastAnswer Micros) bool {
	return attempts == 0 && deadline > lastAnswer
}
