package gateway

import (
	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/fleet"
)

// serverPool holds the connections to one server, owned by the event loop.
type serverPool struct {
	id       control.ServerID
	address  string
	since    control.Micros // fleet.Server.SameSince of the process that the connections lead to
	conns    attempt.Connections
	idle     []*serverConn            // most recently used last
	inFlight map[*serverCall]struct{} // calls that have not ended
}

// poolFor returns the pool of a known server, and creates it if necessary.
func (g *Gateway) poolFor(id control.ServerID) *serverPool {
	pool := g.pools[id]
	if pool == nil {
		pool = &serverPool{id: id, address: g.fleet.Get(id).Address, since: g.fleet.Get(id).SameSince(), inFlight: map[*serverCall]struct{}{}}
		g.pools[id] = pool
	}
	return pool
}

// isListed reports whether a server is in the endpoint list, in any state.
func (g *Gateway) isListed(id control.ServerID) bool {
	s := g.fleet.Get(id)
	return s != nil && s.State != control.Removed
}

// withdrawCalls withdraws all attempts and load commands to a server that are not being written yet, and closes its
// idle connections. The goroutines of the calls' connections then report the end of each call.
func (g *Gateway) withdrawCalls(pool *serverPool) {
	for call := range pool.inFlight {
		call.withdraw()
	}
	pool.closeIdle()
}

// closeIdle closes all idle connections.
func (pool *serverPool) closeIdle() {
	pool.closeIdleIf(func(*serverConn) bool { return true })
}

// closeIdleIf closes the idle connections for which selected returns true.
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

// pruneInterval is the time between two runs of prune, in microseconds; idle timeouts are many seconds.
const pruneInterval = 1_000_000

// prune closes connections that have been idle for longer than the timeout, and deletes removed servers whose
// connections have ended.
func (g *Gateway) prune(now control.Micros) {
	if now < g.lastPrunedAt+pruneInterval {
		return
	}
	g.lastPrunedAt = now
	idleTimeout := micros(g.config.ServerIdleTimeout)
	for id, pool := range g.pools {
		pool.closeIdleIf(func(sc *serverConn) bool { return now-sc.idleSince > idleTimeout })
		if pool.conns.Total == 0 && len(pool.inFlight) == 0 && !g.isListed(id) {
			delete(g.pools, id)
		}
	}
	if g.state == nil {
		g.keys.Prune(now)
	}
	g.loadCollector.Prune(func(address string) bool { return g.isListed(fleet.ID(address)) })
	g.fleet.Prune(now, func(id control.ServerID) bool { return g.pools[id] != nil })
}

// closePools closes all idle server connections.
func (g *Gateway) closePools() {
	for _, pool := range g.pools {
		pool.closeIdle()
	}
}
