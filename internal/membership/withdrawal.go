package membership

import (
	"slices"

	"hollymast/control"
)

// judgeWithdrawals decides on servers that no cluster names any more. Those that were not usable are removed. Of the others
// a few at a time are removed at once; where more than the bounded share of the fleet is withdrawn within the window, the
// new ones are held. It guards against a source that loses its servers by a fault of its own.
func (m *Model) judgeWithdrawals(now control.Micros, withdrawn []*Server) {
	withdrawn = slices.DeleteFunc(withdrawn, func(server *Server) bool {
		if !server.Health.usable() {
			m.remove(now, server)
			return true
		}
		return false
	})
	if len(withdrawn) == 0 {
		return
	}
	m.recentlyWithdrawn = slices.DeleteFunc(m.recentlyWithdrawn, func(server *Server) bool {
		returned := server.WithdrawnAt == 0
		return returned || server.WithdrawnAt < now-m.bounds.WithdrawalWindow
	})
	m.recentlyWithdrawn = append(m.recentlyWithdrawn, withdrawn...)
	if len(m.recentlyWithdrawn) <= m.bounds.MassWithdrawalMin { // the usual case, without a look at all servers
		m.removeAll(now, withdrawn)
		return
	}
	before := m.usableBefore(now, withdrawn)
	if float64(len(m.recentlyWithdrawn)) <= m.bounds.MassWithdrawalShare*float64(before) {
		m.removeAll(now, withdrawn)
		return
	}
	m.logf("%d of %d servers are withdrawn at once: they are held for %d us", len(m.recentlyWithdrawn), before, m.bounds.HoldTime)
	for _, server := range withdrawn {
		server.Held, server.heldUntil = true, now+m.bounds.HoldTime
	}
	m.version++
}

// usableBefore counts the usable servers as there were before the withdrawals of the window, the new ones included.
func (m *Model) usableBefore(now control.Micros, withdrawn []*Server) int {
	count := 0
	for _, server := range m.servers {
		if server.Health.usable() && (server.WithdrawnAt == 0 || server.Held || server.WithdrawnAt == now) {
			count++
		}
	}
	for _, server := range m.recentlyWithdrawn {
		if !server.Held && !slices.Contains(withdrawn, server) {
			count++
		}
	}
	return count
}

// shortenHold is called when held servers are listed again. Once most of them are, the others were withdrawn by intent, and
// their hold is cut to the settle time.
func (m *Model) shortenHold(now control.Micros) {
	var held []*Server
	usable := 0
	for _, server := range m.servers {
		if server.Held {
			held = append(held, server)
		}
		if server.Health.usable() && (server.WithdrawnAt == 0 || server.Held) {
			usable++
		}
	}
	if float64(len(held)) > m.bounds.MassWithdrawalShare*float64(usable) {
		return
	}
	for _, server := range held {
		server.heldUntil = min(server.heldUntil, now+m.bounds.SettleTime)
	}
}

func (m *Model) removeAll(now control.Micros, servers []*Server) {
	for _, server := range servers {
		m.remove(now, server)
	}
}

// remove takes a server off the list. What is known of it stays for as long as its return could count as flapping.
func (m *Model) remove(now control.Micros, server *Server) {
	server.Held = false
	m.dirty[server.Address] = true
	m.recordUsability(now, server, false)
	m.version++
}
