package modelserver

import "hollymast/control"

// collapsesAtArrival counts an arriving request, and reports whether it exceeds what a server in slow start tolerates.
func (s *Server) collapsesAtArrival() bool {
	now := s.clock.Now()
	age := now - s.startedAt
	if s.startMode != SlowStart || age > s.config.SlowStartDuration {
		return false
	}
	for len(s.arrivals) > 0 && s.arrivals[0] < now-s.config.OverloadWindow {
		s.arrivals = s.arrivals[1:]
	}
	s.arrivals = append(s.arrivals, now)
	const microsPerSecond = 1e6
	maxArrivals := s.slowStartShare(age) * s.config.OverloadRate * float64(s.config.OverloadWindow) / microsPerSecond
	return float64(len(s.arrivals)) > max(1, maxArrivals)
}

// slowStartShare returns the share of its full capacity that a server in slow start has at an age.
func (s *Server) slowStartShare(age control.Micros) float64 {
	initial := s.config.SlowStartInitial
	return initial + (1-initial)*float64(age)/float64(s.config.SlowStartDuration)
}
