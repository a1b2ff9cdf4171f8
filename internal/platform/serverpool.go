package platform

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"hollymast/control"
	"hollymast/internal/binframe"
)

// serverPool is the connections to one life of one server. The turn owns it.
type serverPool struct {
	id        control.ServerID
	address   string
	startedAt control.Micros
	conns     []*serverConn
	// firstByte is when the latest first byte of an execution or order was written, the router's time.
	firstByte peak
}

// poolOf gives the connections to a server that is listed.
func (r *Router) poolOf(id control.ServerID) *serverPool {
	pool := r.pools[id]
	if pool == nil {
		server := r.fleet.Get(id)
		pool = &serverPool{id: id, address: server.Address, startedAt: control.Micros(server.Endpoint.StartedAt)}
		r.pools[id] = pool
	}
	return pool
}

// connFor finds a connection: one with nothing open, else a new one, else the one with the least open; of equal ones one that
// stands. One execution a connection as long as descriptors last: a spoilt answer costs all that is open on its
// connection. A job's further execution goes on another, where no second answer to the earlier one can be taken for its own.
func (r *Router) connFor(now control.Micros, call *serverCall) *serverConn {
	pool := r.poolOf(call.to)
	var best *serverConn
	for _, sc := range pool.conns {
		if sc.retired || sc.open[call.id] != nil || len(sc.open) >= r.config.maxStreams || call.alreadyUsed(sc) {
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

func (r *Router) newServerConn(now control.Micros, pool *serverPool) *serverConn {
	sc := &serverConn{router: r, pool: pool, open: map[binframe.ID]*serverCall{}, idleSince: now}
	sc.dialing, sc.cancelDial = context.WithTimeout(context.Background(), duration(r.config.connectTimeout))
	sc.writes.maxQueuedBytes, sc.writes.firstWrite = maxUnreadByServer, r.calls.write
	pool.conns = append(pool.conns, sc)
	sc.idlePlace = r.connsByIdle.PushBack(sc)
	r.serverConnCount++
	return sc
}

// closeIdleServerConn closes the connection that has been idle for longest, of any server.
func (r *Router) closeIdleServerConn() bool {
	for e := r.connsByIdle.Front(); e != nil; e = e.Next() {
		if sc := e.Value.(*serverConn); len(sc.open) == 0 && sc.up {
			r.removeConn(sc)
			return true
		}
	}
	return false
}

// removeConn forgets a connection and closes it after what waits to be written.
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
	if sc.writes.closeWhenWritten(); !sc.up && len(sc.open) == 0 { // a dial that nothing waits for
		sc.cancelDial()
	}
}

// retire has a connection take nothing new; it ends with the last that is open on it.
func (r *Router) retire(sc *serverConn) {
	if sc.retired = true; len(sc.open) == 0 {
		r.removeConn(sc)
	}
}

// sortedByID gives what is open on a connection in an order of its own: never that of a map.
func sortedByID(open map[binframe.ID]*serverCall) []*serverCall {
	return slices.SortedFunc(maps.Values(open), func(a, b *serverCall) int { return cmp.Compare(a.id, b.id) })
}
