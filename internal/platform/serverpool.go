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
func (p *Router) poolOf(id control.ServerID) *serverPool {
	pl := p.pools[id]
	if pl == nil {
		server := p.fleet.Get(id)
		pl = &serverPool{id: id, address: server.Address, startedAt: control.Micros(server.Endpoint.StartedAt)}
		p.pools[id] = pl
	}
	return pl
}

// connFor finds a connection: one with nothing open, else a new one, else the one with the least open; of equal ones one that
// stands. One execution a connection as long as descriptors last: a spoilt answer costs all that is open on its
// connection. A job's further execution goes on another, where no second answer to the earlier one can be taken for its own.
func (p *Router) connFor(now control.Micros, s *serverCall) *serverConn {
	pl := p.poolOf(s.to)
	var best *serverConn
	for _, l := range pl.conns {
		if l.retired || l.open[s.id] != nil || len(l.open) >= p.config.maxStreams || s.alreadyUsed(l) {
			continue
		}
		if best == nil || l.preferredOver(best) {
			best = l
		}
	}
	if best != nil && len(best.open) == 0 || p.serverConnCount >= p.maxServerConns && !p.closeIdleServerConn() {
		return best
	}
	l := p.newServerConn(now, pl)
	go l.run()
	return l
}

func (p *Router) newServerConn(now control.Micros, pl *serverPool) *serverConn {
	l := &serverConn{p: p, pool: pl, open: map[binframe.ID]*serverCall{}, idleSince: now}
	l.dialing, l.cancelDial = context.WithTimeout(context.Background(), duration(p.config.connectTimeout))
	l.writes.maxQueuedBytes, l.writes.firstWrite = maxUnreadByServer, p.calls.write
	pl.conns = append(pl.conns, l)
	l.idlePlace = p.connsByIdle.PushBack(l)
	p.serverConnCount++
	return l
}

// closeIdleServerConn closes the connection that has been idle for longest, of any server.
func (p *Router) closeIdleServerConn() bool {
	for e := p.connsByIdle.Front(); e != nil; e = e.Next() {
		if l := e.Value.(*serverConn); len(l.open) == 0 && l.up {
			p.removeConn(l)
			return true
		}
	}
	return false
}

// removeConn forgets a connection and closes it after what waits to be written.
func (p *Router) removeConn(l *serverConn) {
	l.retired = true
	for i, other := range l.pool.conns {
		if other == l {
			l.pool.conns = append(l.pool.conns[:i], l.pool.conns[i+1:]...)
			p.connsByIdle.Remove(l.idlePlace)
			p.serverConnCount--
			break
		}
	}
	if l.writes.closeWhenWritten(); !l.up && len(l.open) == 0 { // a dial that nothing waits for
		l.cancelDial()
	}
}

// retire has a connection take nothing new; it ends with the last that is open on it.
func (p *Router) retire(l *serverConn) {
	if l.retired = true; len(l.open) == 0 {
		p.removeConn(l)
	}
}

// sortedByID gives what is open on a connection in an order of its own: never that of a map.
func sortedByID(open map[binframe.ID]*serverCall) []*serverCall {
	return slices.SortedFunc(maps.Values(open), func(a, b *serverCall) int { return cmp.Compare(a.id, b.id) })
}
