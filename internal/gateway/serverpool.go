package gateway

import (
	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/fleet"
)

// serverPool holds the connections to one server. The event loop owns it.
type serverPool struct {
	id      control.ServerID
	address string
	conns   attempt.Connections
	idle    []*serverConn            // most recently used last
	open    map[*serverCall]struct{} // calls that have not ended
}

// poolOf returns the pool of a known server, and creates it if need be.
func (g *Gateway) poolOf(id control.ServerID) *serverPool {
	pool := g.pools[id]
	if pool == nil {
		pool = &serverPool{id: id, address: g.fleet.Get(id).Address, open: map[*serverCall]struct{}{}}
		g.pools[id] = pool
	}
	return pool
}

// isListed reports whether a server is in the endpoint list, in whatever state.
func (g *Gateway) isListed(id control.ServerID) bool {
	s := g.fleet.Get(id)
	return s != nil && s.State != control.Removed
}

// withdrawFrom withdraws all attempts and load commands to a server that are not being written yet, and closes its idle
// connections. The calls' ends come from the goroutines of their connections.
func (g *Gateway) withdrawFrom(pool *serverPool) {
	for call := range pool.open {
		call.withdraw()
	}
	pool.closeIdle()
}

// closeIdle closes all idle connections.
func (pool *serverPool) closeIdle() {
	pool.closeIdleIf(func(*serverConn) bool { return true })
}

// closeIdleIf closes the idle connections that are selected.
func (pool *serverPool) closeIdleIf(selected func(*serverConn) bool) {
	kept := pool.idle[:0]
	for _, sc := range pool.idle {
		if selected(sc) {
			close(sc.calls)
			pool.conns.CloseIdle()
		} else {
			kept = append(kept, sc)
		}
	}
	clear(pool.idle[len(kept):])
	pool.idle = kept
}

// pruneInterval is how often prune runs, in microseconds: idle timeouts are many seconds.
const pruneInterval = 1_000_000

// prune closes connections that have been idle for longer than the timeout, and forgets removed servers whose
// connections have ended.
func (g *Gateway) prune(now control.Micros) {
	if now < g.prunedAt+pruneInterval {
		return
	}
	g.prunedAt = now
	idleTimeout := micros(g.config.ServerIdleTimeout)
	for id, pool := range g.pools {
		pool.closeIdleIf(func(sc *serverConn) bool { return now-sc.idleSince > idleTimeout })
		if pool.conns.Total == 0 && len(pool.open) == 0 && !g.isListed(id) {
			delete(g.pools, id)
		}
	}
	g.loadTally.Prune(func(address string) bool { return g.isListed(fleet.ID(address)) })
	g.fleet.Prune(now, func(id control.ServerID) bool { return g.pools[id] != nil })
}

// closePools closes all idle server connections.
func (g *Gateway) closePools() {
	for _, pool := range g.pools {
		pool.closeIdle()
	}
}
