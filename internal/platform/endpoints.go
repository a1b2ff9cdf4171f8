package platform

import (
	"hollymast/control"
	"hollymast/internal/fleet"
)

// handleUpdate takes in what the notice board told.
func (r *Router) handleUpdate(now control.Micros, update fleet.Update) {
	if update.Full {
		r.handleEndpoints(now, update.Endpoints)
		return
	}
	changed := r.fleet.IncrementalUpdate(now, update.Endpoints)
	r.core.UpdateEndpoints(now, control.IncrementalUpdate, changed)
	for _, endpoint := range changed {
		if pool := r.pools[endpoint.Server]; pool != nil {
			r.refreshPool(now, pool)
		}
	}
}

// handleEndpoints takes in the complete list of servers.
func (r *Router) handleEndpoints(now control.Micros, all []fleet.Endpoint) {
	r.core.UpdateEndpoints(now, control.FullUpdate, r.fleet.FullUpdate(now, all))
	for _, pool := range r.pools {
		r.refreshPool(now, pool)
	}
}

// refreshPool ends the connections to a server that takes nothing new, or lives another life.
func (r *Router) refreshPool(now control.Micros, pool *serverPool) {
	s := r.fleet.Get(pool.id)
	if s == nil || s.State != control.Ready || s.Address != pool.address || control.Micros(s.Endpoint.StartedAt) != pool.startedAt {
		r.afterDrain.record(pool.firstByte.Load() - int64(r.endpointsAsOfBefore))
		r.withdrawFrom(now, pool)
		if s != nil && s.State == control.Ready { // another life: other connections
			delete(r.pools, pool.id)
		}
	}
	if s == nil || s.State == control.Removed {
		r.removedPools[pool.id] = pool
	}
}

// withdrawFrom takes back all that is not being written to a server that takes nothing new, and its connections with the rest.
func (r *Router) withdrawFrom(now control.Micros, pool *serverPool) {
	for _, sc := range append([]*serverConn(nil), pool.conns...) {
		for _, call := range sortedByID(sc.open) {
			if call.withdraw() {
				r.callEnded(now, call, control.NotSent, nil)
			}
		}
		r.retire(sc)
	}
}

// prune closes connections that are idle for nearly as long as servers allow, and forgets servers that are gone.
func (r *Router) prune(now control.Micros) {
	const every = 500_000 // idle times are many seconds
	if now < r.prunedAt+every {
		return
	}
	r.prunedAt = now
	for e := r.connsByIdle.Front(); e != nil; {
		sc := e.Value.(*serverConn)
		if now-sc.idleSince <= r.config.serverIdleTimeout*3/4 {
			break
		}
		if e = e.Next(); len(sc.open) == 0 && sc.up {
			r.removeConn(sc)
		}
	}
	for id, pool := range r.removedPools {
		if s := r.fleet.Get(id); s != nil && s.State != control.Removed || r.pools[id] != pool {
			delete(r.removedPools, id) // it has returned
		} else if len(pool.conns) == 0 {
			delete(r.removedPools, id)
			delete(r.pools, id)
		}
	}
	r.fleet.Prune(now, func(id control.ServerID) bool { return r.pools[id] != nil })
}
