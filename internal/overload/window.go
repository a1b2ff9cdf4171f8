package overload

import (
	"hollymast/control"
)

// The observation window and its intervals: retries without a delay show within one interval, and a second is enough to
// distinguish a storm from a burst.
const (
	interval        = control.Micros(100_000)
	windowIntervals = 10
)

// maxCatchUp is the number of intervals without any event after which the window is cleared instead of advanced one by one.
const maxCatchUp = 2 * windowIntervals

// Capacity is short if at least this share of the requests of the last half second was rejected or is still unanswered.
// Rejections alone would show it too late: they begin only once a request cannot meet its deadline, and by then a long
// queue has built up.
const (
	shortageShare     = 0.2
	shortageIntervals = 5
)

// counters count the events of an interval.
type counters struct {
	firstAttempts, retries, admitted, answered, rejected, connections float64
}

// requests returns the number of requests that arrived.
func (c *counters) requests() float64 { return c.firstAttempts + c.retries }

// window counts the events of the last second and of the current interval.
type window struct {
	past         [windowIntervals]counters
	oldest       int // index into past
	current      counters
	currentSince control.Micros
}

// rotate ends the current interval.
func (w *window) rotate() {
	w.past[w.oldest] = w.current
	w.oldest = (w.oldest + 1) % windowIntervals
	w.current = counters{}
	w.currentSince += interval
}

// clear discards all events.
func (w *window) clear(now control.Micros) { *w = window{currentSince: now} }

// restartInterval discards the events of the current interval and starts it again.
func (w *window) restartInterval(now control.Micros) {
	w.currentSince, w.current = now, counters{}
}

// lastSecond sums the last second, without the current interval. Admitted requests are not summed.
func (w *window) lastSecond() (sum counters) {
	for _, c := range w.past {
		sum.firstAttempts += c.firstAttempts
		sum.retries += c.retries
		sum.answered += c.answered
		sum.rejected += c.rejected
		sum.connections += c.connections
	}
	return sum
}

// lastHalfSecond sums the requests and answers of the last half second, without the current interval.
func (w *window) lastHalfSecond() (sum counters) {
	for i := range shortageIntervals {
		c := w.past[(w.oldest+windowIntervals-1-i)%windowIntervals]
		sum.firstAttempts += c.firstAttempts
		sum.retries += c.retries
		sum.admitted += c.admitted
		sum.answered += c.answered
	}
	return sum
}

// capacityShort reports whether too many of the requests that arrived are unanswered.
func (w *window) capacityShort() bool {
	sum := w.lastHalfSecond()
	return tooManyUnanswered(sum.requests(), sum.answered)
}

// admittedTooMuch reports whether too many of the requests that were admitted are unanswered.
func (w *window) admittedTooMuch() bool {
	sum := w.lastHalfSecond()
	return tooManyUnanswered(sum.admitted, sum.answered)
}

func tooManyUnanswered(requests, answered float64) bool {
	return requests >= minRequests*shortageIntervals/windowIntervals && requests-answered >= shortageShare*requests
}
