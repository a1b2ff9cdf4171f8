package membership

import "hollymast/control"

// timer holds the earliest of the scheduled times; 0: none.
type timer control.Micros

func (t *timer) schedule(time control.Micros) {
	if *t == 0 || timer(time) < *t {
		*t = timer(time)
	}
}

// Tick applies time-dependent changes: it removes servers whose hold has expired, ends the flapping state of stable servers and
// releases priorities that are no longer required. It returns when it must be called again; 0: after the next change.
func (m *Model) Tick(now control.Micros) (next control.Micros) {
	var wake timer
	expired := 0
	for _, address := range sortedKeys(m.needsTick) {
		server := m.servers[address]
		if m.expireHold(now, server, &wake) {
			expired++
		}
		m.endFlapping(now, server, &wake)
		m.prune(now, server, &wake)
	}
	m.releasePriorities(now, &wake)
	if m.version != m.takenVersion && m.takenAt > 0 {
		wake.schedule(max(now, m.nextUpdateAt()))
	}
	if expired > 0 {
		m.logf("hold expired: %d withdrawn servers are removed", expired)
	}
	return control.Micros(wake)
}

// expireHold removes a server whose hold has expired, and reports whether it did. Holds don't expire while the source is down,
// since it has no way to list the server again.
func (m *Model) expireHold(now control.Micros, server *Server, wake *timer) bool {
	if !server.Held || m.sourceDownSince > 0 {
		return false
	}
	if now < server.heldUntil {
		wake.schedule(server.heldUntil)
		return false
	}
	m.remove(now, server)
	return true
}

// endFlapping ends the flapping state of a server that has not changed for StableTime.
func (m *Model) endFlapping(now control.Micros, server *Server, wake *timer) {
	n := len(server.transitions)
	if !server.Flapping || n == 0 {
		return
	}
	stableAt := server.transitions[n-1] + m.bounds.StableTime
	if now < stableAt {
		wake.schedule(stableAt)
		return
	}
	server.Flapping, server.transitions = false, nil
	m.dirty[server.Address] = true
	m.version++
}

// prune deletes a removed server once its return could no longer count as flapping. It takes a listed server that is not
// flapping off the needsTick set.
func (m *Model) prune(now control.Micros, server *Server, wake *timer) {
	forgetAt := server.WithdrawnAt + m.bounds.StableTime
	switch {
	case server.WithdrawnAt == 0:
		if !server.Flapping {
			delete(m.needsTick, server.Address)
		}
	case server.Held:
	case !server.Flapping && now >= forgetAt:
		delete(m.servers, server.Address)
		delete(m.needsTick, server.Address)
	default:
		wake.schedule(forgetAt)
	}
}
