package modelserver

import "hollymast/control"

// crashesAtArrival counts a request against what a server in slow start bears, and reports whether it is one too many.
func (s *Server) crashesAtArrival() bool {
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
	limit := s.slowStartShare(age) * s.config.OverloadRate * float64(s.config.OverloadWindow) / microsPerSecond
	return float64(len(s.arrivals)) > max(1, limit)
}

// slowStartShare is the share of its capacity that a server in slow start has at an age.
func (s *Server) slowStartShare(age control.Micros) float64 {
	initial := s.config.SlowStartInitial
	return initial + (1-initial)*float64(age)/float64(s.config.SlowStartDuration)
}
