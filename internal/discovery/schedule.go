package discovery

import (
	"math/rand/v2"
	"time"

	"hollymast/internal/backoff"
)

// A server that is crowded answers late, and each further subscription crowds it more. So a watch that waits for its answer
// stays open, further watches are opened beside it, and the time between two of them doubles.
const (
	// silenceTimeout is how long a watch may receive nothing before another is opened beside it. The server sends a
	// heartbeat every second; 1.5 s leaves time for an answer within the 4 s after which every event counts as received.
	silenceTimeout = 1500 * time.Millisecond
	// lateHeartbeatTimeout replaces silenceTimeout once heartbeats have come late twice. It leaves a second for an answer.
	lateHeartbeatTimeout = 2 * silenceTimeout
	// silenceMemory is how long a silence counts.
	silenceMemory = 10 * time.Second
	// answerTimeout is how long a watch may wait for its answer before another is opened beside it. It doubles up to
	// maxAnswerTimeout with each watch that is opened in vain.
	answerTimeout    = 1500 * time.Millisecond
	maxAnswerTimeout = 4 * answerTimeout
	// lineTimeout is how long one line may take to arrive before another watch is opened beside the one that receives it.
	lineTimeout = 6 * time.Second
	// redialInterval is the time after which another connection is opened beside one that has not come up: the system
	// sends again what was lost on the way of a connection no sooner than after 1 s.
	redialInterval = time.Second
	// minBackoff and maxBackoff bound the delay after a failure: after an outage the server must be reached within 2 s.
	minBackoff, maxBackoff = 20 * time.Millisecond, time.Second
	// spread is the random part of each timeout, as a fraction of it: routers that were connected at the same moment do
	// not all subscribe again at the same moment.
	spread = 1.0 / 6
)

// schedule decides when a client opens another watch. It has no clock of its own.
type schedule struct {
	grace    time.Duration // time within which a change of the endpoint list must take effect
	backoff  *backoff.Backoff
	random   *rand.Rand
	retryAt  time.Time // no watch is opened before
	spreadBy float64   // the random part of all timeouts until the next watch is opened: from 1 to 1+spread

	unanswered   int       // watches opened because an earlier one waited for its answer for too long
	silences     int       // watches opened because an earlier one received nothing, each within silenceMemory of the one before
	silentAt     time.Time // when the last of them was opened
	interrupted  bool      // a watch has ended before it was up to date, and none has been up to date since
	fastRetryEnd time.Time // until when delays are shortened after such an interruption
}

func newSchedule(seed uint64, grace time.Duration) *schedule {
	s := &schedule{grace: grace, backoff: backoff.New(seed, minBackoff, maxBackoff), random: rand.New(rand.NewPCG(seed, 2))}
	s.drawSpread()
	return s
}

func (s *schedule) drawSpread() { s.spreadBy = 1 + spread*s.random.Float64() }

func (s *schedule) spread(timeout time.Duration) time.Duration {
	return time.Duration(float64(timeout) * s.spreadBy)
}

// nextOpening returns when to open another watch beside the open ones.
func (s *schedule) nextOpening(now time.Time, watches []*watch) time.Time {
	next := s.retryAt
	for _, w := range watches {
		if until := s.sufficientUntil(now, w); until.After(next) {
			next = until
		}
	}
	return next
}

// sufficientUntil returns until when no other watch is needed if w receives nothing further.
func (s *schedule) sufficientUntil(now time.Time, w *watch) time.Time {
	switch w.phase() {
	case dialing:
		return w.openedAt.Add(s.limitDelay(now, s.spread(redialInterval)))
	case waiting:
		return w.subscribedAt.Add(s.answerTimeout())
	case receiving:
		until := w.lastReceived.Add(s.silenceTimeout(now))
		if end := w.lineBegan.Add(lineTimeout); w.withinLine() && end.Before(until) {
			return end
		}
		return until
	}
	return time.Time{}
}

func (s *schedule) answerTimeout() time.Duration {
	return s.spread(min(answerTimeout<<s.unanswered, maxAnswerTimeout))
}

func (s *schedule) silenceTimeout(now time.Time) time.Duration {
	if s.silences > 1 && now.Before(s.silentAt.Add(silenceMemory)) {
		return lateHeartbeatTimeout
	}
	return s.spread(silenceTimeout)
}

// opened records that a watch is opened beside the open ones. It returns the one that should have received something by
// now, if any.
func (s *schedule) opened(now time.Time, beside []*watch) (late *watch) {
	s.drawSpread()
	for _, w := range beside {
		switch w.phase() {
		case waiting:
			s.unanswered = min(s.unanswered+1, maxUnanswered)
			return w
		case receiving:
			w.overdue, late = true, w
			s.countSilence(now)
		}
	}
	return late
}

// maxUnanswered keeps the doubled timeout within its type; it reaches maxAnswerTimeout earlier.
const maxUnanswered = 8

func (s *schedule) countSilence(now time.Time) {
	if !now.Before(s.silentAt.Add(silenceMemory)) {
		s.silences = 0
	}
	s.silences, s.silentAt = s.silences+1, now
}

// upToDate records that a watch is up to date.
func (s *schedule) upToDate() { s.unanswered, s.interrupted = 0, false }

// failed records that a watch has ended or can no longer be used. useful tells whether it had been of use until then, and
// interrupted whether it had subscribed and was not up to date.
//
// The events that an interrupted watch should have received count as received at the time of the subscription, so their
// grace period is already running, and the next subscription follows quickly. This holds for one grace period: a crowded
// server may break off each watch, and would get no rest from a fleet that goes on at this pace.
func (s *schedule) failed(now time.Time, useful, interrupted bool) {
	if useful {
		s.backoff.Reset()
	}
	if interrupted && !s.interrupted {
		s.interrupted, s.fastRetryEnd = true, now.Add(s.grace)
	}
	s.retryAt = now.Add(s.backoff.NextWithin(s.limitDelay(now, maxBackoff)))
}

// limitDelay shortens a delay during fast retries: each takes at most a quarter of the grace period. The other half is left
// for the server's answer and for sending to the model server (attempt.MaxEndpointsAge).
func (s *schedule) limitDelay(now time.Time, usual time.Duration) time.Duration {
	if now.Before(s.fastRetryEnd) {
		return min(usual, s.grace/4)
	}
	return usual
}

// reset forgets what was learned about the server, for another address.
func (s *schedule) reset() {
	s.backoff.Reset()
	s.retryAt, s.silentAt, s.fastRetryEnd = time.Time{}, time.Time{}, time.Time{}
	s.unanswered, s.silences, s.interrupted = 0, 0, false
}
