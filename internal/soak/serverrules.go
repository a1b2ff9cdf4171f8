package soak

import "time"

// What a model server judges of what it gets: drains and slow start.

// judgeDrain judges whether anything new may come.
func (s *modelServer) judgeDrain(at time.Time, what string) {
	s.mu.Lock()
	closedFor := s.closedFor
	s.mu.Unlock()
	if tolerance := slack + s.run.ledger.lag.before(at); !closedFor.IsZero() && at.After(closedFor.Add(tolerance)) {
		s.run.ledger.report(at, RuleDrain, "%s got %s %v after the grace", s.uid, what, at.Sub(closedFor))
	}
}

// judgeSlowStart adds an attempt to the window of a server in slow start. If it is more than the server bears, the server
// falls; that breaks the rule if over two thirds of the window came from routers that had been told of the start.
func (s *modelServer) judgeSlowStart(at time.Time, request *requestRecord) {
	scenario := s.run.scenario
	s.mu.Lock()
	defer s.mu.Unlock()
	age := at.Sub(s.startedAt)
	if !s.up || s.startedAt.IsZero() || age >= scenario.SlowStartDuration {
		return
	}
	for len(s.recent) > 0 && s.recent[0].at.Before(at.Add(-scenario.OverloadWindow)) {
		s.recent = s.recent[1:]
	}
	s.recent = append(s.recent, arrival{at, request.work, request.router})
	work, told, byRouter := 0.0, 0.0, map[int]int{}
	for _, a := range s.recent {
		units := float64(a.work) / float64(scenario.MeanExecutionTime)
		work += units
		byRouter[a.router]++
		if !s.told.IsZero() && a.at.After(s.told) {
			told += units
		}
	}
	budget := scenario.startBudget(s.speed, age)
	if work <= bearable(budget) {
		return
	}
	s.run.falls.Add(1)
	if told > work*2/3 {
		s.run.ledger.report(at, RuleSlowStart,
			"%s fell at an age of %.2f s, %.3f s after its announcement: %d requests, %.1f of mean work, in %v; N is %.1f, it bears %.1f; by router %v",
			s.uid, age.Seconds(), at.Sub(s.told).Seconds(), len(s.recent), work, scenario.OverloadWindow, budget, bearable(budget), byRouter)
	}
	s.stopLocked()
	s.run.goes.Go(func() { s.run.returnFallen(s) })
}
