package membership

import (
	"hollymast/control"
)

// changed notes a change between usable and not, and whether there were too many.
func (m *Model) recordUsability(now control.Micros, server *Server, usable bool) {
	if server.usable == usable {
		return
	}
	server.usable = usable
	server.transitions = append(notBefore(server.transitions, now-m.bounds.StableTime), now)
	if len(server.transitions) >= m.bounds.FlapLimit && !server.Flapping {
		server.Flapping = true
		m.timed[server.Address] = true
		m.logf("server %s comes and goes: it gets nothing until it is calm", server.Address)
	}
}

func notBefore(times []control.Micros, from control.Micros) []control.Micros {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}
