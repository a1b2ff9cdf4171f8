package modelcheck

import (
	"hollymast/control"
	"hollymast/internal/attempt"
)

// nextTime is the next moment at which something can be different; 0: there is none. Moments at which nothing is due are left out:
// whatever could happen then could as well have happened at the one before.
func (s *State) nextTime() control.Micros {
	next := earliestAfter{now: s.Now}
	requests := s.considerRequests(&next)
	calls := s.considerCalls(&next)
	for _, update := range s.Updates {
		next.consider(update.SentAt + updateDelay)
	}
	if !requests && !calls && len(s.Updates) == 0 {
		return 0 // nothing is left but the balancer's maintenance
	}
	for _, router := range s.Routers {
		if !router.Stalled {
			next.consider(router.TimerAt)
		}
	}
	return next.at
}

// earliestAfter keeps the earliest of several times after now; 0: none.
type earliestAfter struct{ now, at control.Micros }

func (e *earliestAfter) consider(t control.Micros) {
	if t > e.now && (e.at == 0 || t < e.at) {
		e.at = t
	}
}

// considerRequests considers arrivals and deadlines; it reports whether any request is still to arrive or to be answered.
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

// considerCalls considers calls' deadlines and the moments from which they may no longer be written; it reports whether any call is
// still in flight.
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
