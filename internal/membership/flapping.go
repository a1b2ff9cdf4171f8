package membership

import "hollymast/control"

// recordUsability records a change between usable and unusable. After too many changes it marks the server as flapping, since
// a server that keeps coming and going finishes no requests.
func (m *Model) recordUsability(now control.Micros, server *Server, usable bool) {
	if server.usable == usable {
		return
	}
	server.usable = usable
	server.transitions = append(dropBefore(server.transitions, now-m.bounds.StableTime), now)
	if len(server.transitions) >= m.bounds.FlapLimit && !server.Flapping {
		server.Flapping = true
		m.needsTick[server.Address] = true
		m.logf("server %s is flapping: listed as draining until it is stable", server.Address)
	}
}

// dropBefore removes the leading times that are before from. The times must be in ascending order.
func dropBefore(times []control.Micros, from control.Micros) []control.Micros {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}
