package membership

import "hollymast/control"

// recordUsability records a change between usable and not usable, and marks the server as flapping at too many of them: a
// server that comes and goes finishes no request.
func (m *Model) recordUsability(now control.Micros, server *Server, usable bool) {
	if server.usable == usable {
		return
	}
	server.usable = usable
	server.transitions = append(notBefore(server.transitions, now-m.bounds.StableTime), now)
	if len(server.transitions) >= m.bounds.FlapLimit && !server.Flapping {
		server.Flapping = true
		m.timed[server.Address] = true
		m.logf("server %s is flapping: it drains until it is stable", server.Address)
	}
}

// notBefore returns those of ascending times that are not before a time.
func notBefore(times []control.Micros, from control.Micros) []control.Micros {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}
