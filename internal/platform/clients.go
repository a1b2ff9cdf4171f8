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
	// maxOpenPerClient is how many jobs a connection may have open, as the protocol tells.
	maxOpenPerClient = 32
	// firstMessageTimeout and restWithin bound what a client may take for its first message, from when it connected, and for one
	// that it has begun. Bad ones are owed an end within 3 s; a usual one sends a message in one piece.
	firstMessageTimeout, messageTimeout = 2 * time.Second, 2 * time.Second
	// finalReadTime is for how long a connection is read on whose end waits no longer, not even for what is open: some last looks.
	finalReadTime = 5 * lastReadTime
	// maxInTransit is all that a usual client may have on the way, half of it with the longest bodies.
	maxInTransit = 256 << 10
	// rejectReadTime is for how long a connection is read for which there is no room: several times what a request takes behind its
	// connection. awayMost is how many are at once: of the descriptors that are spare, less than half.
	rejectReadTime, maxRejecting = 20 * time.Millisecond, 16
	// clientIdleTimeout closes connections with nothing open: usual clients do so after 4 s, some never.
	clientIdleTimeout = 6 * time.Second
	// maxUnreadByClient is how much may wait for a client to read: the answers to all that it may have open.
	maxUnreadByClient = maxOpenPerClient * (msgrpc.MaxBody + 1024)
	// lastReadTime is for how long a connection is read once its time is up: what is here already is read at once, so that the
	// shortest time that a timer keeps is enough.
	lastReadTime = 2 * time.Millisecond
	// A connection that ends idle is read on for as long as a request may cross the close. One that ends after a message
	// that can't be read is given the time to read why: the rest of 3 s after firstWithin, halved.
	drainAfterIdle, drainAfterBadInput = 50 * time.Millisecond, 500 * time.Millisecond
	// roomMargin is by how many connections room is made before the bound: a thousand a second come while one ends, which takes a
	// last look, and the reader's turn on a shared core. A quarter of what is kept back for accepts and dials would do.
	roomMargin = 32
	// closeBatch is how many more are ended than is needed: choosing them takes a look at all. Of some hundred, a few.
	closeBatch = 8
	// descriptorWait is how long an accept or a dial waits for a descriptor: several such times.
	descriptorWait = 50 * time.Millisecond
	// acceptAgain is when an accept that failed is tried again; doubled up to closing while it fails.
	acceptAgain = time.Millisecond
)

// listener is what is used of a listening socket.
type listener interface {
	Accept() (net.Conn, error)
	SetDeadline(at time.Time) error
	Close() error
}

// accept takes connections until the listener closes, or its deadline passes with none waiting: then it closes it. No other error
// ends it: the machine's resources may be short for a while, and a connection may have broken before it was taken.
func (r *Router) accept(l listener) {
	defer l.Close()
	pause, checked, until := acceptAgain, false, time.Time{}
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
			// What waits may not have been looked at since this was elsewhere.
			checked = true
			l.SetDeadline(now.Add(lastReadTime))
			continue
		case err != nil:
			r.countAnomaly("accept failed")
			checked = false
			if errors.Is(err, syscall.EMFILE) && r.makeRoom(1) { // descriptors of our own; what else is short idle clients can't give
				continue
			}
			time.Sleep(pause) // guards against a loop at full speed
			pause = min(2*pause, descriptorWait)
			continue
		}
		pause, checked = acceptAgain, false
		if !r.hasRoom() {
			r.countAnomaly("client refused: too many connections")
			r.rejectConn(conn)
			continue
		}
		r.serveClient(conn)
	}
}

// rejectConn has a connection read for which there is no room: what it asks is pushed back, and it ends. Guards against requests that
// are lost on a connection that this machine accepted. So many are read at once; the others wait, unread, for those to end.
func (r *Router) rejectConn(conn net.Conn) {
	r.rejecting <- struct{}{}
	c := r.newClient(conn, true)
	c.refusal = func(number uint32) []byte {
		c.closeWhenIdle(drainAfterIdle)
		return msgrpc.Rejection(number, r.config.Deployment.MaxRetryAfter)
	}
	c.closeWhenIdle(0)
	c.closeBy(rejectReadTime)
	go func() {
		c.readLoop()
		<-r.rejecting
	}()
}

// serveClient has a connection read.
func (r *Router) serveClient(conn net.Conn) *clientConn {
	c := r.newClient(conn, false)
	go c.readLoop()
	return c
}

func (r *Router) newClient(conn net.Conn, rejected bool) *clientConn {
	tracked := newTrackedConn(conn)
	c := &clientConn{router: r, rejected: rejected, conn: conn, in: &deadlineReader{conn: tracked}, tracked: tracked, open: map[uint32]*request{}, drainTime: drainAfterIdle,
		closed: make(chan struct{}), closeNowAsked: make(chan struct{})}
	c.writes.maxQueuedBytes, c.writes.conn, c.writes.written = maxUnreadByClient, conn, make(chan struct{})
	c.idleSince.Store(int64(r.now()))
	r.mu.Lock()
	r.clients[c] = struct{}{}
	r.rejectedConns += countOf(rejected)
	r.mu.Unlock()
	return c
}

// hasRoom tells whether there is room for one more connection, and makes some before it is short: ending one takes a last look
// at it, for which accepts should not have to wait.
func (r *Router) hasRoom() bool {
	margin := min(roomMargin, r.maxClients/4) // three eighths of all descriptors stay: usual clients hold a third
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

// makeRoom ends connections, and waits until the first of them has given its descriptor back.
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

// closeIdleClients has n connections end, those counted that do already: first the ones that are only read on, which close at once; then
// those that have had nothing open for longest, before them those that have said nothing. It gives the first.
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
		c.abort()
		if r.anomalies["idle client closed to make room"]++; first == nil {
			first = c
		}
	}
	return first
}
