package membership

import (
	"slices"

	"hollymast/control"
)

// applyWithdrawals removes or holds servers that no cluster lists any more. Servers that were not usable are removed, and so are
// a few usable ones at a time. If more than MassWithdrawalShare of the usable servers are withdrawn within WithdrawalWindow, the
// newly withdrawn ones are held. This guards against a source that loses its servers because of its own failure.
func (m *Model) applyWithdrawals(now control.Micros, withdrawn []*Server) {
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
	if len(m.recentlyWithdrawn) <= m.bounds.MassWithdrawalMin { // the common case: avoids visiting all servers
		m.removeAll(now, withdrawn)
		return
	}
	before := m.usableBefore(now, withdrawn)
	if float64(len(m.recentlyWithdrawn)) <= m.bounds.MassWithdrawalShare*float64(before) {
		m.removeAll(now, withdrawn)
		return
	}
	m.logf("%d of %d servers were withdrawn together: they are held for %d us", len(m.recentlyWithdrawn), before, m.bounds.HoldTime)
	for _, server := range withdrawn {
		server.Held, server.heldUntil = true, now+m.bounds.HoldTime
	}
	m.version++
}

// usableBefore counts the servers that were usable before the withdrawals of the current window, including the new ones.
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

// shortenHold is called when held servers are listed again. Once most of them have returned, it assumes that the others were
// withdrawn on purpose, and shortens their hold to SettleTime.
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

// remove takes a server off the list. Its state is kept until its return could no longer count as flapping (see prune).
func (m *Model) remove(now control.Micros, server *Server) {
	server.Held = false
	m.dirty[server.Address] = true
	m.recordUsability(now, server, false)
	m.version++
}
