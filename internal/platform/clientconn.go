package platform

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"hollymast/control"
	"hollymast/internal/msgrpc"
	"hollymast/internal/pacing"
)

// clientConn is one client connection. Its goroutine reads messages, and only that goroutine decides when reading
// ends: a request was either read before that point or never. The event loop responds through the write queue.
type clientConn struct {
	router            *Router
	conn              net.Conn
	input             *deadlineReader
	tracked           *trackedConn
	writes            writeQueue
	mu                sync.Mutex
	open              map[uint32]*request // by message number
	lastNumber        uint32              // the largest message number so far
	healthChecks      int                 // health checks that have no response yet
	awaitingMessage   bool                // the reader waits for the next message to begin
	closing           bool                // the connection closes as soon as nothing is open
	aborting          bool                // the connection closes even in the middle of a message
	readUntil         time.Time           // afterwards only pending input is read; zero: no bound
	faults            int
	rejectWith        func(number uint32) []byte // response to each further request; nil: requests are accepted; reader only
	unanswered        bool                       // the current request has no response yet and is not in open; reader only
	sentMessage       atomic.Bool                // a complete message has been read
	idleSince         atomic.Int64               // when the connection became idle, on the router's clock
	drainTime         time.Duration              // how long input is still read after everything is written
	closed            chan struct{}              // closed once the descriptor has been freed
	draining          atomic.Bool                // everything is written; input is read and discarded
	closeNowCalled    atomic.Bool
	closeNowRequested chan struct{}  // closed to end draining early
	closeReason       atomic.Uint32  // a clientClose
	messageCount      int64          // messages since messagesSince; reader only
	messagesSince     control.Micros // reader only
	pacer             *pacing.Pacer
	bytes             clientBytes // of its open requests and its unread responses
}

// hasAbandoned reports whether the client has stopped waiting for the response to a request.
func (c *clientConn) hasAbandoned(req *request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[req.number] != req
}

// closeNow closes a connection immediately if it is only being drained.
func (c *clientConn) closeNow() {
	if c.draining.Load() && c.closeNowCalled.CompareAndSwap(false, true) {
		close(c.closeNowRequested)
		c.writes.close()
	}
}

// idle reports whether nothing is open on the connection, and whether it is closing.
func (c *clientConn) idle() (idle, isClosing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasNothingOpen(), c.closing
}

// hasNothingOpen reports whether no request and no health check is open. The caller holds mu.
func (c *clientConn) hasNothingOpen() bool { return len(c.open) == 0 && c.healthChecks == 0 }

// readLoop reads messages until the connection ends. It then cancels every request that is still open.
func (c *clientConn) readLoop() {
	defer c.router.recoverPanic(panicReadingClient)
	defer c.finish()
	in := msgrpc.NewReader(c.input)
	firstDeadline := time.Now().Add(firstMessageTimeout)
	for {
		if !c.pace() {
			return
		}
		c.limitReadingAtEnd()
		if over := c.readTimeExpired(); !in.Buffered() && (over || !c.awaitMessage(in, firstDeadline)) {
			return
		}
		c.setMessageDeadline(firstDeadline)
		message, err := in.Read()
		var fault *msgrpc.MessageError
		switch {
		case errors.As(err, &fault):
			c.router.countBadMessage(fault)
			c.countMessage(messageBad)
			if fault.Answerable {
				c.post(msgrpc.EncodeInvalid(fault.Number, fault.Text))
			}
			if fault.Unreadable {
				c.setCloseReason(clientCloseMalformed)
				c.closeWhenIdle(drainAfterBadInput)
				return
			}
			c.sentMessage.Store(true)
			c.penalize(fault.Size)
			continue
		case err != nil:
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.readTimeExpired() {
				c.router.anomalies.add(clientTooSlow)
				c.setCloseReason(clientCloseSlow)
				c.closeWhenIdle(drainAfterBadInput)
			}
			c.setCloseReason(clientCloseByClient)
			return
		}
		c.sentMessage.Store(true)
		c.handle(message)
	}
}

// failOpen fails every request open on the connection. outcome is how the log describes their end.
func (c *clientConn) failOpen(outcome requestOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, req := range c.open {
		req.abandoned.Store(true)
		c.removeOpen(req)
		c.post(msgrpc.EncodeFailure(number))
		c.router.loop.Post(func(now control.Micros) { c.router.handleCancel(now, req, outcome) })
	}
}

// finish closes the connection after everything queued is written. The connection counts towards the limit until its
// descriptor is free.
func (c *clientConn) finish() {
	c.failOpen(requestOutcome{endCancelled, reasonClientLeft})
	c.mu.Lock()
	c.closing = true
	drainTime := c.drainTime
	c.mu.Unlock()
	c.writes.closeWhenWritten()
	select {
	case <-c.writes.written:
		c.draining.Store(true)
		c.drainAfterClose(drainTime)
	case <-time.After(writeTimeout):
	}
	c.writes.close()
	c.router.clientCloses.add(clientClose(c.closeReason.Load()))
	c.router.mu.Lock()
	delete(c.router.clients, c)
	c.router.mu.Unlock()
	close(c.closed)
}

// drainAfterClose reads and discards what the client still sends until the client closes its end too, for at most
// drainTime. Closing a connection with unread input sends a reset, which may overtake the last response. After
// maxInTransit bytes nothing more is read, so that a flood costs nothing.
func (c *clientConn) drainAfterClose(drainTime time.Duration) {
	until := time.Now().Add(drainTime)
	c.conn.SetReadDeadline(until)
	if _, err := io.CopyN(io.Discard, c.conn, maxInTransit); err == nil {
		select {
		case <-c.closeNowRequested:
		case <-time.After(time.Until(until)):
		}
	}
}

// respond sends the response to a request if its client is still waiting for one.
func (c *clientConn) respond(req *request, data []byte) {
	c.mu.Lock()
	open := c.removeOpen(req)
	if len(c.open) == 0 {
		c.idleSince.Store(int64(c.router.loop.Now()))
	}
	if open {
		c.router.recordLateResponse(req)
		if !req.served {
			c.pacer.Charge(req.size)
		}
		c.post(data)
		c.wakeReader()
	}
	c.mu.Unlock()
}
