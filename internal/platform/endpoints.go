package platform

import (
	"hollymast/control"
	"hollymast/internal/fleet"
)

// handleUpdate takes in what the notice board told.
func (p *Router) handleUpdate(now control.Micros, news fleet.Update) {
	if news.Full {
		p.handleEndpoints(now, news.Endpoints)
		return
	}
	changed := p.fleet.IncrementalUpdate(now, news.Endpoints)
	p.core.UpdateEndpoints(now, control.IncrementalUpdate, changed)
	for _, l := range changed {
		if pl := p.pools[l.Server]; pl != nil {
			p.refreshPool(now, pl)
		}
	}
}

// handleEndpoints takes in the complete list of servers.
func (p *Router) handleEndpoints(now control.Micros, all []fleet.Endpoint) {
	p.core.UpdateEndpoints(now, control.FullUpdate, p.fleet.FullUpdate(now, all))
	for _, pl := range p.pools {
		p.refreshPool(now, pl)
	}
}

// refreshPool ends the connections to a server that takes nothing new, or lives another life.
func (p *Router) refreshPool(now control.Micros, pl *serverPool) {
	s := p.fleet.Get(pl.id)
	if s == nil || s.State != control.Ready || s.Address != pl.address || control.Micros(s.Endpoint.StartedAt) != pl.startedAt {
		p.afterDrain.record(pl.firstByte.Load() - int64(p.endpointsAsOfBefore))
		p.withdrawFrom(now, pl)
		if s != nil && s.State == control.Ready { // another life: other connections
			delete(p.pools, pl.id)
		}
	}
	if s == nil || s.State == control.Removed {
		p.removedPools[pl.id] = pl
	}
}

// withdrawFrom takes back all that is not being written to a server that takes nothing new, and its connections with the rest.
func (p *Router) withdrawFrom(now control.Micros, pl *serverPool) {
	for _, l := range append([]*serverConn(nil), pl.conns...) {
		for _, s := range sortedByID(l.open) {
			if s.withdraw() {
				p.callEnded(now, s, control.NotSent, nil)
			}
		}
		p.retire(l)
	}
}

// prune closes connections that are idle for nearly as long as servers allow, and forgets servers that are gone.
func (p *Router) prune(now control.Micros) {
	const every = 500_000 // idle times are many seconds
	if now < p.prunedAt+every {
		return
	}
	p.prunedAt = now
	for e := p.connsByIdle.Front(); e != nil; {
		l := e.Value.(*serverConn)
		if now-l.idleSince <= p.config.serverIdleTimeout*3/4 {
			break
		}
		if e = e.Next(); len(l.open) == 0 && l.up {
			p.removeConn(l)
		}
	}
	for id, pl := range p.removedPools {
		if s := p.fleet.Get(id); s != nil && s.State != control.Removed || p.pools[id] != pl {
			delete(p.removedPools, id) // it has returned
		} else if len(pl.conns) == 0 {
			delete(p.removedPools, id)
			delete(p.pools, id)
		}
	}
	p.fleet.Prune(now, func(id control.ServerID) bool { return p.pools[id] != nil })
}
