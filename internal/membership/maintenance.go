package membership

import (
	"hollymast/control"
)

// Tick ends what has lasted long enough: what was held is believed gone, what flapped is calm. It gives when it must be
// called again; 0: when something changes.
func (m *Model) Tick(now control.Micros) (next control.Micros) {
	wakeAt := func(at control.Micros) {
		if next == 0 || at < next {
			next = at
		}
	}
	expired := 0
	for _, address := range sortedKeys(m.timed) {
		server := m.servers[address]
		// A source that is down can't take back what it said: the time counts only while it is up.
		if server.Held && m.sourceDownSince == 0 {
			if now >= server.heldUntil {
				m.remove(now, server)
				expired++
			} else {
				wakeAt(server.heldUntil)
			}
		}
		if n := len(server.transitions); server.Flapping && n > 0 {
			if stableAt := server.transitions[n-1] + m.bounds.StableTime; now >= stableAt {
				server.Flapping, server.transitions = false, nil
				m.dirty[address] = true
				m.version++
			} else {
				wakeAt(stableAt)
			}
		}
		if server.WithdrawnAt > 0 && !server.Held && !server.Flapping && now >= server.WithdrawnAt+m.bounds.StableTime {
			delete(m.servers, address)
			delete(m.timed, address)
		} else if server.WithdrawnAt > 0 && !server.Held {
			wakeAt(server.WithdrawnAt + m.bounds.StableTime)
		} else if server.WithdrawnAt == 0 && !server.Flapping {
			delete(m.timed, address)
		}
	}
	m.releasePriorities(now, wakeAt)
	if m.version != m.takenVersion && m.takenAt > 0 {
		wakeAt(max(now, m.nextUpdateAt()))
	}
	if expired > 0 {
		m.logf("%d servers stayed withdrawn: they are believed gone", expired)
	}
	return next
}
