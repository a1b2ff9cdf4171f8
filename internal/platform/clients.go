package platform

import (
	"cmp"
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"hollymast/internal/msgrpc"
)

const (
	// maxOpenPerClient is how many requests a connection may have open, as the protocol states.
	maxOpenPerClient = 32
	// firstMessageTimeout and messageTimeout bound the time for a client's first message, from the connection on,
	// and for a message that has begun. A client that sends malformed ones must be closed within 3 s; a well-behaved
	// one sends a message in one piece.
	firstMessageTimeout, messageTimeout = 2 * time.Second, 2 * time.Second
	// finalReadTime is for how long a connection is read that must close now, even with requests open: several times
	// lastReadTime.
	finalReadTime = 5 * lastReadTime
	// maxInTransit is all that a well-behaved client may have in transit, half of it with the longest bodies.
	maxInTransit = 256 << 10
	// rejectReadTime is for how long a connection beyond the limit is read: several times what a request takes to
	// follow its connection. maxRejecting is how many are read at once: less than half of the spare descriptors.
	rejectReadTime, maxRejecting = 20 * time.Millisecond, 16
	// clientIdleTimeout closes connections with nothing open: well-behaved clients close them after 4 s, some never
	// do.
	clientIdleTimeout = 6 * time.Second
	// maxUnreadByClient bounds the bytes queued for a client: the answers to all that it may have open.
	maxUnreadByClient = maxOpenPerClient * (msgrpc.MaxBody + 1024)
	// lastReadTime is for how long a connection is read once its time is up: what is pending is read at once, so
	// that the shortest time that a timer keeps is enough.
	lastReadTime = 2 * time.Millisecond
	// A connection that closes idle is read for drainAfterIdle, as long as a request may cross the close. One that
	// closes after an unreadable message is given drainAfterBadInput to read the error: half of what is left of 3 s
	// after firstMessageTimeout.
	drainAfterIdle, drainAfterBadInput = 50 * time.Millisecond, 500 * time.Millisecond
	// roomMargin is how many connections before the limit idle ones are closed: a thousand a second may come while
	// one closes, which takes a last read and a scheduling delay of a shared core. A quarter of reservedSockets
	// would do.
	roomMargin = 32
	// closeBatch is how many more connections are closed than needed, since choosing them scans all: a few of some
	// hundred.
	closeBatch = 8
	// descriptorWait is how long an accept or a dial waits for a free descriptor: several times what closing a
	// connection takes.
	descriptorWait = 50 * time.Millisecond
	// minAcceptPause is the first pause before a failed accept is retried, doubled up to descriptorWait while it fails.
	minAcceptPause = time.Millisecond
)

// listener is what accept uses of a listening socket.
type listener interface {
	Accept() (net.Conn, error)
	SetDeadline(at time.Time) error
	Close() error
}

// accept accepts connections until the listener closes, or its deadline passes with none pending; then it closes the
// listener. No other error ends it: the machine may be short of resources for a while, and a connection may break
// before it is accepted.
func (r *Router) accept(l listener) {
	defer l.Close()
	pause, checked, until := minAcceptPause, false, time.Time{}
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			now := time.Now()
			if until.IsZero() {
				until = now.Add(descriptorWait)
			}
			if checked || now.After(until) {
				return
			}
			// Connections may have come while this goroutine was not accepting.
			checked = true
			l.SetDeadline(now.Add(lastReadTime))
			continue
		case err != nil:
			r.anomalies.add(acceptFailed)
			checked = false
			// Closing clients helps only where the process is short of descriptors.
			if errors.Is(err, syscall.EMFILE) && r.makeRoom(1) {
				continue
			}
			time.Sleep(pause) // guards against a busy loop
			pause = min(2*pause, descriptorWait)
			continue
		}
		pause, checked = minAcceptPause, false
		if !r.hasRoom() {
			r.anomalies.add(clientRejected)
			r.rejectConn(conn)
			continue
		}
		r.serveClient(conn)
	}
}

// rejectConn reads a connection beyond the limit, rejects its requests, and closes it. It guards against requests
// lost on a connection that this machine has accepted. At most maxRejecting are read at once; it blocks until this
// one may be.
func (r *Router) rejectConn(conn net.Conn) {
	r.rejecting <- struct{}{}
	c := r.newClient(conn)
	c.rejected = true
	c.closesBecause(clientOverLimit)
	r.addClient(c)
	c.refusal = func(number uint32) []byte {
		c.closeWhenIdle(drainAfterIdle)
		return msgrpc.EncodeRejection(number, r.config.Deployment.MaxRetryAfter)
	}
	c.closeWhenIdle(0)
	c.closeBy(rejectReadTime)
	go func() {
		c.readLoop()
		<-r.rejecting
	}()
}

// serveClient starts to read a client connection.
func (r *Router) serveClient(conn net.Conn) *clientConn {
	c := r.newClient(conn)
	r.addClient(c)
	go c.readLoop()
	return c
}

// newClient returns the state of a client connection; addClient counts it.
func (r *Router) newClient(conn net.Conn) *clientConn {
	tracked := newTrackedConn(conn)
	c := &clientConn{
		router: r, conn: conn, in: &deadlineReader{conn: tracked}, tracked: tracked,
		open: map[uint32]*request{}, drainTime: drainAfterIdle,
		closed: make(chan struct{}), closeNowRequested: make(chan struct{}),
	}
	c.writes.maxQueuedBytes, c.writes.conn, c.writes.written = maxUnreadByClient, conn, make(chan struct{})
	c.idleSince.Store(int64(r.loop.Now()))
	return c
}

// addClient registers a client connection; a rejected one does not count towards the limit.
func (r *Router) addClient(c *clientConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clients[c] = struct{}{}
	r.rejectedConns += countOf(c.rejected)
}

// hasRoom reports whether one more connection may be served. It closes idle ones before the limit is reached: each
// takes a last read, for which accepts should not have to wait.
func (r *Router) hasRoom() bool {
	margin := min(roomMargin, r.maxClients/4) // leaves three eighths of all descriptors: well-behaved clients hold a third
	r.mu.Lock()
	over := len(r.clients) - r.rejectedConns + 1 - (r.maxClients - margin)
	r.mu.Unlock()
	if over <= 0 {
		return true
	}
	if over <= margin {
		r.closeIdleClients(over + closeBatch)
		return true
	}
	return r.makeRoom(over + closeBatch)
}

// makeRoom closes n idle connections and reports whether the first has freed its descriptor within descriptorWait.
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

// closeIdleClients closes n idle connections, counting those that are closing already: first those that only drain,
// which close at once; then those that never sent a message; then those that have been idle for longest. It returns
// the first, or nil.
func (r *Router) closeIdleClients(n int) (first *clientConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var idle []*clientConn
	for c := range r.clients {
		isIdle, ending := c.idle()
		switch {
		case !isIdle || c.rejected:
			continue
		case ending:
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
		c.closesBecause(clientForRoom)
		c.abort()
		r.anomalies.add(idleClientClosed)
		if first == nil {
			first = c
		}
	}
	return first
}
