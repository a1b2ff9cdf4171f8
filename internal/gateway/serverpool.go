package gateway

import (
	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/fleet"
)

// pool is the connections to one server. The turn owns it.
type serverPool struct {
	id      control.ServerID
	address string
	conns   attempt.Connections
	idle    []*serverConn // the last used at the end
	open    map[*serverCall]struct{}
}

func (g *Gateway) isListed(id control.ServerID) bool {
	s := g.fleet.Get(id)
	return s != nil && s.State != control.Removed
}

// withdrawFrom takes back all that is not yet being written to a server that takes nothing new.
func (g *Gateway) withdrawFrom(id control.ServerID) {
	pool := g.pools[id]
	if pool == nil {
		return
	}
	for call := range pool.open { // their outcomes come in the order of their own goroutines anyway
		call.withdraw()
	}
	g.closeIdle(pool, func(*serverConn) bool { return true })
}

func (g *Gateway) closeIdle(pool *serverPool, which func(*serverConn) bool) {
	kept := pool.idle[:0]
	for _, sc := range pool.idle {
		if which(sc) {
			close(sc.calls)
			pool.conns.CloseIdle()
		} else {
			kept = append(kept, sc)
		}
	}
	clear(pool.idle[len(kept):])
	pool.idle = kept
}

// prune closes connections that were idle for long, and forgets pools and servers that are gone.
func (g *Gateway) prune(now control.Micros) {
	const every = 1_000_000 // idle times are many seconds
	if now < g.prunedAt+every {
		return
	}
	g.prunedAt = now
	for id, pool := range g.pools {
		g.closeIdle(pool, func(sc *serverConn) bool { return now-sc.idleSince > micros(g.config.ServerIdleTimeout) })
		if pool.conns.All == 0 && len(pool.open) == 0 && !g.isListed(id) {
			delete(g.pools, id)
		}
	}
	g.loadTally.Prune(func(address string) bool { return g.isListed(fleet.ID(address)) })
	g.fleet.Prune(now, func(id control.ServerID) bool { return g.pools[id] != nil })
}

func (g *Gateway) closePools() {
	for _, pool := range g.pools {
		g.closeIdle(pool, func(*serverConn) bool { return true })
	}
}
