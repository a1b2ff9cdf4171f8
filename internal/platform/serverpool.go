package platform

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"hollymast/control"
	"hollymast/internal/binframe"
)

// serverPool holds the connections to one incarnation of a server. The event loop owns it.
type serverPool struct {
	id        control.ServerID
	address   string
	startedAt control.Micros
	conns     []*serverConn
	// firstByte is when the first byte of the latest call was written, on the router's clock.
	firstByte peak
}

// poolFor returns the pool of a known server, creating it if necessary.
func (r *Router) poolFor(id control.ServerID) *serverPool {
	pool := r.pools[id]
	if pool == nil {
		server := r.fleet.Get(id)
		pool = &serverPool{id: id, address: server.Address, startedAt: control.Micros(server.Endpoint.StartedAt)}
		r.pools[id] = pool
	}
	return pool
}

// connFor returns the connection for a call, or nil if there is none: a connection without open calls, else a new
// one, else the one with the fewest open calls; connected ones are preferred among equals. Calls share a connection
// only when descriptors run out, because a corrupt answer fails every call open on its connection. A further attempt
// of a request uses another connection, so that a duplicate answer to the earlier attempt can't be mistaken for its
// own.
func (r *Router) connFor(now control.Micros, call *serverCall) *serverConn {
	pool := r.poolFor(call.server)
	var best *serverConn
	for _, sc := range pool.conns {
		if sc.retired || sc.open[call.id] != nil || len(sc.open) >= r.config.maxStreams || call.hasUsed(sc) {
			continue
		}
		if best == nil || sc.preferredOver(best) {
			best = sc
		}
	}
	if best != nil && len(best.open) == 0 || r.serverConnCount >= r.maxServerConns && !r.closeIdleServerConn() {
		return best
	}
	sc := r.newServerConn(now, pool)
	go sc.run()
	return sc
}

// newServerConn adds a connection to a pool. The caller starts its goroutine.
func (r *Router) newServerConn(now control.Micros, pool *serverPool) *serverConn {
	sc := &serverConn{router: r, pool: pool, open: map[binframe.ID]*serverCall{}, idleSince: now}
	sc.dialing, sc.cancelDial = context.WithTimeout(context.Background(), duration(r.config.connectTimeout))
	sc.writes.maxQueuedBytes, sc.writes.firstWrite = maxUnreadByServer, r.connFuncs.write
	pool.conns = append(pool.conns, sc)
	sc.idlePlace = r.connsByIdle.PushBack(sc)
	r.serverConnCount++
	return sc
}

// closeIdleServerConn closes the least recently used idle connection of all servers, and reports whether there was
// one.
func (r *Router) closeIdleServerConn() bool {
	for e := r.connsByIdle.Front(); e != nil; e = e.Next() {
		if sc := e.Value.(*serverConn); len(sc.open) == 0 && sc.up {
			sc.setCloseReason(serverCloseForRoom)
			r.removeConn(sc)
			return true
		}
	}
	return false
}

// removeConn removes a connection from its pool. The connection closes once everything queued on it is written.
func (r *Router) removeConn(sc *serverConn) {
	sc.retired = true
	for i, other := range sc.pool.conns {
		if other == sc {
			sc.pool.conns = append(sc.pool.conns[:i], sc.pool.conns[i+1:]...)
			r.connsByIdle.Remove(sc.idlePlace)
			r.serverConnCount--
			break
		}
	}
	if sc.writes.closeWhenWritten(); !sc.up && len(sc.open) == 0 { // no call waits for this dial
		sc.cancelDial()
	}
}

// retire stops assigning new calls to a connection. It closes after the last call open on it has ended.
func (r *Router) retire(sc *serverConn) {
	if sc.retired = true; len(sc.open) == 0 {
		r.removeConn(sc)
	}
}

// sortedByID returns the calls open on a connection ordered by id: map order varies between runs, and a recording
// must replay in the same order.
func sortedByID(open map[binframe.ID]*serverCall) []*serverCall {
	return slices.SortedFunc(maps.Values(open), func(a, b *serverCall) int { return cmp.Compare(a.id, b.id) })
}
