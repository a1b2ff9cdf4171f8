package modelcheck

import (
	"hollymast/control"
	"hollymast/internal/attempt"
)

// nextTime returns the next time at which something can change; 0: there is none. Other times are skipped: whatever can
// happen at them can also happen at the previous one.
func (s *State) nextTime() control.Micros {
	next := earliestAfter{now: s.Now}
	requests := s.considerRequests(&next)
	calls := s.considerCalls(&next)
	for _, update := range s.Updates {
		next.consider(update.SentAt + updateDelay)
	}
	if !requests && !calls && len(s.Updates) == 0 {
		return 0 // only the balancer's maintenance remains
	}
	for _, router := range s.Routers {
		if !router.Stalled {
			next.consider(router.TimerAt)
		}
	}
	return next.at
}

// earliestAfter holds the earliest considered time after now; 0: none.
type earliestAfter struct{ now, at control.Micros }

func (e *earliestAfter) consider(t control.Micros) {
	if t > e.now && (e.at == 0 || t < e.at) {
		e.at = t
	}
}

// considerRequests considers the arrivals and deadlines of requests. It reports whether any request has yet to arrive or
// to be answered.
func (s *State) considerRequests(next *earliestAfter) (open bool) {
	for _, request := range s.Requests {
		switch {
		case request.Unexplored:
		case !request.Arrived:
			next.consider(request.ArrivesAt)
			open = true
		case !request.Answer.Decided:
			next.consider(request.Deadline)
			open = true
		}
	}
	return open
}

// considerCalls considers the deadlines of calls and the times at which writing them begins to violate the drain grace.
// It reports whether any call is in flight.
func (s *State) considerCalls(next *earliestAfter) (inFlight bool) {
	for _, call := range s.Calls {
		if call.Progress.Ended || s.Requests[call.Request].Unexplored {
			continue
		}
		inFlight = true
		if call.Stage != attempt.Withdrawn {
			next.consider(call.Deadline)
		}
		if server := s.Servers[call.Server]; server.State != control.Ready && call.Stage == attempt.Chosen {
			next.consider(server.StateSince + drainGrace + 1)
		}
	}
	return inFlight
}
