package platform

import (
	"cmp"
	"net"
	"slices"
	"time"

	"hollymast/internal/msgrpc"
	"hollymast/internal/pacing"
)

const (
	// maxOpenPerClient is the number of open requests that the protocol allows per connection.
	maxOpenPerClient = 32
	// firstMessageTimeout bounds the time from accepting a connection until its first message is complete;
	// messageTimeout bounds the time for the rest of any later message. Clients that send malformed messages must be
	// disconnected within 3 s; a well-behaved client sends a message in one piece.
	firstMessageTimeout, messageTimeout = 2 * time.Second, 2 * time.Second
	// finalReadTime is how long a connection that must close now, even with requests open on it, is still read: several
	// times lastReadTime.
	finalReadTime = 5 * lastReadTime
	// maxInTransit is how many bytes are still read from a connection that is ending: all that a well-behaved client
	// may have in transit if half of its open requests have bodies of the maximum length.
	maxInTransit = 256 << 10
	// clientIdleTimeout is how long a connection without open requests stays open: well-behaved clients close idle
	// connections after 4 s, others never do.
	clientIdleTimeout = 6 * time.Second
	// maxUnreadByClient bounds the bytes queued for a client: enough for the responses to all requests that it may
	// have open.
	maxUnreadByClient = maxOpenPerClient * (msgrpc.MaxBody + 1024)
	// lastReadTime is how long a connection is read once its deadline has passed. Pending input is read immediately,
	// so the shortest delay that a timer can keep is enough.
	lastReadTime = 2 * time.Millisecond
	// writeCheckInterval is the time between two checks whether everything is written on a connection that closes.
	writeCheckInterval = 20 * time.Millisecond
	// drainAfterIdle is how long a connection that is closed while idle is still read: as long as a request may cross
	// with the close. drainAfterBadInput is the time that a client has to read the error after an unreadable message:
	// half of what remains of the 3 s after firstMessageTimeout.
	drainAfterIdle, drainAfterBadInput = 50 * time.Millisecond, 500 * time.Millisecond
	// closeIdleMargin is how many connections before the limit the router starts to close idle ones: a thousand
	// connections per second may arrive while one closes, which takes a last read and a scheduling delay on a shared
	// core. A quarter of reservedSockets would be enough.
	closeIdleMargin = 32
	// extraIdleCloses is how many more idle connections are closed than needed, because choosing them scans all
	// connections, which may be some hundred.
	extraIdleCloses = 8
	// descriptorWait is how long an accept or a dial waits for a free descriptor: several times as long as closing a
	// connection takes.
	descriptorWait = 50 * time.Millisecond
	// minAcceptPause is the first pause before a failed accept is retried; the pause doubles up to descriptorWait
	// while accepts fail.
	minAcceptPause = time.Millisecond
)

// serveClient starts reading from a client connection.
func (r *Router) serveClient(conn net.Conn) *clientConn {
	c := r.newClient(conn)
	r.addClient(c)
	go c.readLoop()
	return c
}

// newClient returns the state of a client connection, without registering it; see addClient.
func (r *Router) newClient(conn net.Conn) *clientConn {
	tracked := newTrackedConn(conn)
	c := &clientConn{
		router: r, conn: conn, input: &deadlineReader{conn: tracked}, tracked: tracked,
		open: map[uint32]*request{}, drainTime: drainAfterIdle,
		closed: make(chan struct{}), closeNowRequested: make(chan struct{}),
	}
	c.writes.maxQueuedBytes, c.writes.conn, c.writes.written = maxUnreadByClient, conn, make(chan struct{})
	c.bytes.all = &r.clientBytes
	c.writes.bytes, c.writes.refused = &c.bytes, func() { c.setCloseReason(clientCloseUnread) }
	c.pacer = pacing.New(r.clientRate)
	c.writes.waited = &r.delayPeaks.responseWait
	c.idleSince.Store(int64(r.loop.Now()))
	return c
}

// addClient registers a client connection.
func (r *Router) addClient(c *clientConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clients[c] = struct{}{}
}

// spareClientConns returns how many more connections may be served; negative if there are too many.
func (r *Router) spareClientConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.maxClients - len(r.clients)
}

// hasRoom reports whether one more connection may be served. It starts to close idle connections before the limit is
// reached, because each close takes a last read, and does not wait for that.
func (r *Router) hasRoom() bool {
	margin := min(closeIdleMargin, r.maxClients/4) // leaves three eighths of all descriptors to clients; well-behaved ones use a third
	spare := r.spareClientConns()
	if spare <= margin {
		r.closeIdleClients(margin - spare + 1 + extraIdleCloses)
	}
	return spare > 0
}

// makeRoom closes n idle connections and reports whether the first of them has freed its descriptor within
// descriptorWait.
func (r *Router) makeRoom(n int) bool {
	first := r.closeIdleClients(n)
	if first == nil {
		return false
	}
	select {
	case <-first.closed:
		return true
	case <-time.After(descriptorWait):
		return false
	}
}

// closeIdleClients closes n idle connections, including those that are closing already: first those that are only
// being drained, which close immediately; then those that never sent a message; then those that have been idle
// longest. It returns the first one closed, or nil.
func (r *Router) closeIdleClients(n int) (first *clientConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var idle []*clientConn
	for c := range r.clients {
		isIdle, closing := c.idle()
		switch {
		case !isIdle:
			continue
		case closing:
			c.closeNow()
			first = c
			n--
		default:
			idle = append(idle, c)
		}
	}
	if n <= 0 {
		return first
	}
	slices.SortFunc(idle, func(a, b *clientConn) int {
		if a.sentMessage.Load() != b.sentMessage.Load() {
			if b.sentMessage.Load() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.idleSince.Load(), b.idleSince.Load())
	})
	for _, c := range idle[:min(n, len(idle))] {
		c.setCloseReason(clientCloseForRoom)
		c.abort()
		r.anomalies.add(idleClientClosed)
		if first == nil {
			first = c
		}
	}
	return first
}
