package soak

import "time"

// The rules that a model server checks on arriving requests and load commands: drains and slow start.

// checkDrain reports a violation if a message arrives after the grace period of a drain.
func (s *modelServer) checkDrain(at time.Time, message string) {
	s.mu.Lock()
	deadline := s.drainDeadline
	s.mu.Unlock()
	if tolerance := timingTolerance + s.run.ledger.lag.maxBefore(at); !deadline.IsZero() && at.After(deadline.Add(tolerance)) {
		s.run.ledger.report(at, RuleDrain, "%s received %s %v after the grace period of its drain", s.uid, message, at.Sub(deadline))
	}
}

// checkSlowStart counts an attempt at a server in slow start. If the arrivals in the overload window exceed what the server
// tolerates, it collapses. That is a violation if over two thirds of the work in the window arrived after the server's start had
// been announced.
func (s *modelServer) checkSlowStart(at time.Time, request *requestRecord) {
	scenario := s.run.scenario
	s.mu.Lock()
	defer s.mu.Unlock()
	age := at.Sub(s.startedAt)
	if !s.up || s.startedAt.IsZero() || age >= scenario.SlowStartDuration {
		return
	}
	for len(s.recentArrivals) > 0 && s.recentArrivals[0].at.Before(at.Add(-scenario.OverloadWindow)) {
		s.recentArrivals = s.recentArrivals[1:]
	}
	s.recentArrivals = append(s.recentArrivals, arrival{at, request.work, request.router})
	work, announcedWork, byRouter := 0.0, 0.0, map[int]int{}
	for _, a := range s.recentArrivals {
		units := float64(a.work) / float64(scenario.MeanExecutionTime)
		work += units
		byRouter[a.router]++
		if !s.announcedAt.IsZero() && a.at.After(s.announcedAt) {
			announcedWork += units
		}
	}
	budget := scenario.slowStartBudget(s.speed, age)
	if work <= toleratedRequests(budget) {
		return
	}
	s.run.collapses.Add(1)
	if announcedWork > work*2/3 {
		s.run.ledger.report(at, RuleSlowStart,
			"%s collapsed %.2f s after its start, %.3f s after its announcement: %d requests, equal to %.1f of mean work, in %v; budget %.1f, tolerated %.1f; requests by router: %v",
			s.uid, age.Seconds(), at.Sub(s.announcedAt).Seconds(), len(s.recentArrivals), work, scenario.OverloadWindow, budget, toleratedRequests(budget), byRouter)
	}
	s.stopLocked()
	s.run.goroutines.Go(func() { s.run.restartCollapsed(s) })
}
