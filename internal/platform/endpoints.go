package platform

import (
	"hollymast/control"
	"hollymast/internal/eventloop"
	"hollymast/internal/fleet"
)

// handleUpdate applies an update from discovery, full or incremental.
func (r *Router) handleUpdate(now control.Micros, update fleet.Update) {
	eventloop.ApplyUpdate(now, update, r.fleet, r.core, r.pools, func(pool *serverPool) { r.retireChangedPool(now, pool) })
	r.endpointLog.add(now, update, r.fleet)
}

// handleEndpoints applies a complete endpoint list.
func (r *Router) handleEndpoints(now control.Micros, endpoints []fleet.Endpoint) {
	r.handleUpdate(now, fleet.Update{Full: true, Endpoints: endpoints})
}

// retireChangedPool retires the connections to a server that is no longer ready, has another address, or has
// restarted (another incarnation).
func (r *Router) retireChangedPool(now control.Micros, pool *serverPool) {
	s := r.fleet.Get(pool.id)
	if s == nil || s.State != control.Ready || s.Address != pool.address ||
		control.Micros(s.Endpoint.StartedAt) != pool.startedAt {
		r.afterDrain.record(pool.firstByte.Load() - int64(r.loop.PreviousEndpointsAsOf))
		r.withdrawFrom(now, pool)
		if s != nil && s.State == control.Ready { // another incarnation gets its own pool
			delete(r.pools, pool.id)
		}
	}
	if s == nil || s.State == control.Removed {
		r.removedPools[pool.id] = pool
	}
}

// withdrawFrom withdraws all attempts and load commands to a server of which no byte has been written yet, and
// retires the server's connections: each closes after the last answer that is open on it.
func (r *Router) withdrawFrom(now control.Micros, pool *serverPool) {
	for _, sc := range append([]*serverConn(nil), pool.conns...) {
		for _, call := range sortedByID(sc.open) {
			if call.withdraw() {
				r.callEnded(now, call, control.NotSent, nil)
			}
		}
		sc.setCloseReason(serverCloseEndpointChange)
		r.retire(sc)
	}
}

// prune closes connections that have been idle for three quarters of the servers' idle timeout, so that a call never
// coincides with the server's own close. It also removes the pools of removed servers whose connections have ended.
func (r *Router) prune(now control.Micros) {
	const pruneInterval = 500_000 // microseconds; idle timeouts are many seconds
	if now < r.lastPrunedAt+pruneInterval {
		return
	}
	r.lastPrunedAt = now
	r.endSlowStarts(now)
	for e := r.connsByIdle.Front(); e != nil; {
		sc := e.Value.(*serverConn)
		if now-sc.idleSince <= r.config.serverIdleTimeout*3/4 {
			break
		}
		if e = e.Next(); len(sc.open) == 0 && sc.up {
			sc.setCloseReason(serverCloseIdle)
			r.removeConn(sc)
		}
	}
	for id, pool := range r.removedPools {
		if s := r.fleet.Get(id); s != nil && s.State != control.Removed || r.pools[id] != pool {
			delete(r.removedPools, id) // the server has returned
		} else if len(pool.conns) == 0 {
			delete(r.removedPools, id)
			delete(r.pools, id)
		}
	}
	r.fleet.Prune(now, func(id control.ServerID) bool { return r.pools[id] != nil })
}
