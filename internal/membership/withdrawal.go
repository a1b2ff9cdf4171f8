package membership

import (
	"hollymast/control"
	"slices"
)

// withdraw decides about servers that no cluster names any more. Those that could not be used anyway are gone. Of the
// others a few at a time are gone at once; where in one moment more than the told share go, all of that moment stay.
func (m *Model) judgeWithdrawals(now control.Micros, withdrawn []*Server) {
	withdrawn = slices.DeleteFunc(withdrawn, func(f *Server) bool {
		if !f.Health.usable() {
			m.remove(now, f)
			return true
		}
		return false
	})
	if len(withdrawn) == 0 {
		return
	}
	m.recentlyWithdrawn = slices.DeleteFunc(m.recentlyWithdrawn, func(f *Server) bool { return f.WithdrawnAt == 0 || f.WithdrawnAt < now-m.bounds.WithdrawalWindow }) // some are back
	m.recentlyWithdrawn = append(m.recentlyWithdrawn, withdrawn...)
	if len(m.recentlyWithdrawn) <= m.bounds.MassWithdrawalMin { // as it mostly is: then nothing need be counted
		for _, f := range withdrawn {
			m.remove(now, f)
		}
		return
	}
	before := 0
	for _, f := range m.servers {
		if f.Health.usable() && (f.WithdrawnAt == 0 || f.Held || f.WithdrawnAt == now) {
			before++
		}
	}
	for _, f := range m.recentlyWithdrawn { // as many as there were before this moment
		if !f.Held && !slices.Contains(withdrawn, f) {
			before++
		}
	}
	if float64(len(m.recentlyWithdrawn)) > m.bounds.MassWithdrawalShare*float64(before) {
		m.logf("%d of %d servers are withdrawn at once: they are kept for %d us", len(m.recentlyWithdrawn), before, m.bounds.HoldTime)
		for _, f := range withdrawn {
			f.Held, f.heldUntil = true, now+m.bounds.HoldTime
		}
		m.version++
		return
	}
	for _, f := range withdrawn {
		m.remove(now, f)
	}
}

// mostAreBack looks, once servers that were kept are named again, whether those that still are not are few enough to have
// been withdrawn by intent.
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

// drop has a server gone. Its fact stays for as long as it could flap.
func (m *Model) remove(now control.Micros, server *Server) {
	server.Held = false
	m.dirty[server.Address] = true
	m.recordUsability(now, server, false)
	m.version++
}
