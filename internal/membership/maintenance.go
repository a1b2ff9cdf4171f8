package membership

import "hollymast/control"

// timer collects the earliest of several times; 0: none.
type timer control.Micros

func (t *timer) at(time control.Micros) {
	if *t == 0 || timer(time) < *t {
		*t = timer(time)
	}
}

// Tick applies what is due: holds end, stable servers stop flapping, priorities that are no longer required are released. It
// returns when it must be called again; 0: after the next change.
func (m *Model) Tick(now control.Micros) (next control.Micros) {
	var wake timer
	expired := 0
	for _, address := range sortedKeys(m.timed) {
		server := m.servers[address]
		if m.expireHold(now, server, &wake) {
			expired++
		}
		m.endFlapping(now, server, &wake)
		m.prune(now, server, &wake)
	}
	m.releasePriorities(now, &wake)
	if m.version != m.takenVersion && m.takenAt > 0 {
		wake.at(max(now, m.nextUpdateAt()))
	}
	if expired > 0 {
		m.logf("%d servers stayed withdrawn: they are removed", expired)
	}
	return control.Micros(wake)
}

// expireHold removes a server whose hold has ended and reports whether it did. Holds don't end while the source is down: it
// can't list the server again then.
func (m *Model) expireHold(now control.Micros, server *Server, wake *timer) bool {
	if !server.Held || m.sourceDownSince > 0 {
		return false
	}
	if now < server.heldUntil {
		wake.at(server.heldUntil)
		return false
	}
	m.remove(now, server)
	return true
}

// endFlapping lets a server be usable again that has not changed for the stable time.
func (m *Model) endFlapping(now control.Micros, server *Server, wake *timer) {
	n := len(server.transitions)
	if !server.Flapping || n == 0 {
		return
	}
	stableAt := server.transitions[n-1] + m.bounds.StableTime
	if now < stableAt {
		wake.at(stableAt)
		return
	}
	server.Flapping, server.transitions = false, nil
	m.dirty[server.Address] = true
	m.version++
}

// prune forgets a removed server once its return would not count as flapping, and stops the timing of one that nothing is
// pending for.
func (m *Model) prune(now control.Micros, server *Server, wake *timer) {
	forgetAt := server.WithdrawnAt + m.bounds.StableTime
	switch {
	case server.WithdrawnAt == 0:
		if !server.Flapping {
			delete(m.timed, server.Address)
		}
	case server.Held:
	case !server.Flapping && now >= forgetAt:
		delete(m.servers, server.Address)
		delete(m.timed, server.Address)
	default:
		wake.at(forgetAt)
	}
}
