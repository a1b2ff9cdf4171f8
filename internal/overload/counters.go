package overload

import (
	"hollymast/control"
)

// The span of what is looked at, and of its parts: retries without a pause show within one, a second tells a wave from a burst.
const (
	interval  = control.Micros(100_000)
	intervals = 10
)

// bucket counts what came within a part.
type counters struct {
	firstAttempts, retries, admitted, answered, rejected, connections float64
}

// Where this part of the calls of the last half second is refused or piles up here, capacity is short, and shares count. Refusals alone
// come only once a job could not be in time, when all that came meanwhile is in hand already.
const (
	shortageShare     = 0.2
	shortageIntervals = 5
)

func unanswered(calls, answered float64) bool {
	return calls >= minRequests*shortageIntervals/intervals && calls-answered >= shortageShare*calls
}

func (w *Controller) lastSecond() (s counters) {
	for _, b := range w.past {
		s.firstAttempts += b.firstAttempts
		s.retries += b.retries
		s.answered += b.answered
		s.rejected += b.rejected
		s.connections += b.connections
	}
	return s
}

// lately adds up the last half second.
func (w *Controller) lastHalfSecond() (s counters) {
	for i := range shortageIntervals {
		b := w.past[(w.oldest+intervals-1-i)%intervals]
		s.firstAttempts, s.retries, s.admitted, s.answered = s.firstAttempts+b.firstAttempts, s.retries+b.retries, s.admitted+b.admitted, s.answered+b.answered
	}
	return s
}

// scarce tells whether capacity is short for all that comes.
func (w *Controller) capacityShort() bool {
	s := w.lastHalfSecond()
	return unanswered(s.firstAttempts+s.retries, s.answered)
}

// pressed tells whether it is short for what is let in.
func (w *Controller) admittedTooMuch() bool {
	s := w.lastHalfSecond()
	return unanswered(s.admitted, s.answered)
}
