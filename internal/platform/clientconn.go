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
)

// clientConn is one client connection. Its goroutine reads, and it alone decides that nothing more is read: a request
// was either read before that, or never. The event loop answers through the write queue.
type clientConn struct {
	router            *Router
	conn              net.Conn
	in                *deadlineReader
	tracked           *trackedConn
	writes            writeQueue
	mu                sync.Mutex
	open              map[uint32]*request // by message number
	lastNumber        uint32              // the largest so far
	healthChecks      int                 // health checks not answered yet
	awaiting          bool                // the reader waits between messages
	closing           bool                // it closes as soon as nothing is open
	aborting          bool                // it closes even amid a message
	readUntil         time.Time           // only what is pending is read later; zero: no bound
	faults            int
	rejected          bool                       // it is read only to be rejected, and does not count towards the limit
	refusal           func(number uint32) []byte // the reader's: the answer to each further request; nil: they are accepted
	unanswered        bool                       // the reader's: the request it handles has no answer yet, and is not open
	sentMessage       atomic.Bool                // a whole message was read
	idleSince         atomic.Int64               // since when nothing is open, on the router's clock
	drainTime         time.Duration              // how long input is read after all is written
	closed            chan struct{}              // closed once the descriptor is free
	draining          atomic.Bool                // all is written; input is only read and dropped
	closedNow         atomic.Bool
	closeNowRequested chan struct{} // closed to end the draining
	closeReason       atomic.Uint32 // a clientClose
}

// hasAbandoned reports whether the client no longer waits for a request's answer.
func (c *clientConn) hasAbandoned(req *request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[req.number] != req
}

// closeNow closes a connection at once that only drains.
func (c *clientConn) closeNow() {
	if c.draining.Load() && c.closedNow.CompareAndSwap(false, true) {
		close(c.closeNowRequested)
		c.writes.close()
	}
}

// idle reports whether nothing is open on the connection, and whether it is closing.
func (c *clientConn) idle() (idle, ending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nothingOpen(), c.closing
}

// nothingOpen reports whether no request and no health check is open. The lock is held.
func (c *clientConn) nothingOpen() bool { return len(c.open) == 0 && c.healthChecks == 0 }

// closeWhenIdle makes the reader close the connection once nothing is open, after a last read. It then drains for
// drainTime.
func (c *clientConn) closeWhenIdle(drainTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing = true; !c.aborting {
		c.drainTime = drainTime
	}
	c.wakeReader()
}

// abort makes the reader close the connection even amid a message. It guards against clients that never complete
// theirs, by the hundred.
func (c *clientConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.aborting, c.drainTime = true, true, 0
	if c.nothingOpen() {
		c.conn.SetReadDeadline(time.Now())
	}
}

// closeBy makes the reader close the connection once nothing is open, or after timeout whatever is open, after a last
// read. It guards against clients that go on sending, so that something is always open.
func (c *clientConn) closeBy(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.readUntil = true, time.Now().Add(timeout)
	if c.awaiting {
		c.conn.SetReadDeadline(time.Now())
	} else {
		c.conn.SetReadDeadline(c.readUntil)
	}
}

// readTimeOver reports whether reading ends though more may come. It guards against clients that send faster than they
// are read.
func (c *clientConn) readTimeOver() bool {
	c.mu.Lock()
	late := c.pastReadTime()
	c.mu.Unlock()
	if late && !c.in.finished {
		c.in.finish()
	}
	return late && len(c.in.remaining) == 0
}

// pastReadTime reports whether only what is pending is still read. The lock is held.
func (c *clientConn) pastReadTime() bool {
	return !c.readUntil.IsZero() && !time.Now().Before(c.readUntil)
}

// wakeReader wakes a reader that waits for a message on a connection that may close. The lock is held.
func (c *clientConn) wakeReader() {
	if c.closing && c.awaiting && c.nothingOpen() {
		c.conn.SetReadDeadline(time.Now())
	}
}

// awaitMessage waits for the first byte of the next message; false: the connection is to end.
func (c *clientConn) awaitMessage(in *msgrpc.Reader, firstDeadline time.Time) bool {
	for {
		c.mu.Lock()
		c.awaiting = true
		at := time.Now().Add(clientIdleTimeout)
		if !c.sentMessage.Load() {
			at = firstDeadline
		}
		if !c.readUntil.IsZero() {
			at = c.readUntil
		}
		if c.closing && c.nothingOpen() && !c.rejected {
			at = time.Now()
		}
		c.in.setDeadline(at)
		c.mu.Unlock()
		err := in.Await()
		c.mu.Lock()
		c.awaiting = false
		nothing := c.nothingOpen() || c.pastReadTime()
		c.mu.Unlock()
		if err == nil {
			return true
		}
		if late := errors.Is(err, os.ErrDeadlineExceeded); nothing || !late {
			c.noteAwaitEnd(late)
			return false
		}
	}
}

// noteAwaitEnd notes why the wait for a message has ended: by a deadline, or by the client.
func (c *clientConn) noteAwaitEnd(late bool) {
	switch {
	case !late:
		c.closesBecause(clientEnded)
	case !c.sentMessage.Load():
		c.router.anomalies.add(clientTooSlow)
		c.closesBecause(clientSlow)
	default:
		c.closesBecause(clientIdle)
	}
}

// setMessageDeadline sets the deadline for the rest of a message that has begun.
func (c *clientConn) setMessageDeadline(firstDeadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.aborting:
		c.in.setDeadline(time.Now())
	case !c.readUntil.IsZero():
		c.in.setDeadline(c.readUntil)
	case !c.sentMessage.Load():
		c.in.setDeadline(firstDeadline)
	default:
		c.in.setDeadline(time.Now().Add(messageTimeout))
	}
}

// readLoop reads until the connection ends. It owns the connection's end: all that is open then is cancelled.
func (c *clientConn) readLoop() {
	defer c.router.recoverPanic(panicReadingClient)
	defer c.finish()
	in := msgrpc.NewReader(c.in)
	firstDeadline := time.Now().Add(firstMessageTimeout)
	for {
		if over := c.readTimeOver(); !in.Buffered() && (over || !c.awaitMessage(in, firstDeadline)) {
			return
		}
		c.setMessageDeadline(firstDeadline)
		message, err := in.Read()
		var fault *msgrpc.MessageError
		switch {
		case errors.As(err, &fault):
			c.router.countBadMessage(fault)
			if fault.Answerable {
				c.post(msgrpc.EncodeInvalid(fault.Number, fault.Text))
			}
			if fault.Unreadable {
				c.closesBecause(clientMalformed)
				c.closeWhenIdle(drainAfterBadInput)
				return
			}
			c.sentMessage.Store(true)
			c.penalize()
			continue
		case err != nil:
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.readTimeOver() {
				c.router.anomalies.add(clientTooSlow)
				c.closesBecause(clientSlow)
				c.closeWhenIdle(drainAfterBadInput)
			}
			c.closesBecause(clientEnded)
			return
		}
		c.sentMessage.Store(true)
		c.handle(message)
	}
}

// handle handles a message. After a panic it fails every request of the connection, and closes it.
func (c *clientConn) handle(m *msgrpc.Message) {
	completed := false
	defer func() {
		if !completed {
			c.closesBecause(clientReadFault)
			c.refuseFurther(msgrpc.EncodeFailure)
			if c.unanswered {
				c.reply(msgrpc.EncodeFailure(m.Number))
			}
		}
	}()
	defer c.router.recoverPanic(panicReadingClient)
	switch m.Kind {
	case msgrpc.HealthCheck:
		c.handleHealthCheck(m.Number)
	case msgrpc.Cancel:
		c.handleCancellation(m.Number)
	case msgrpc.Call:
		c.unanswered = true
		c.handleCall(m)
	}
	completed = true
}

// refuseFurther fails all requests open on the connection, answers those already sent behind them with refusal, and
// closes the connection.
func (c *clientConn) refuseFurther(refusal func(number uint32) []byte) {
	c.refusal = refusal
	c.closesBecause(clientMalformed)
	c.failOpen(requestOutcome{endFailed, reasonConnRefuses})
	c.closeWhenIdle(drainAfterBadInput)
	c.closeBy(drainAfterBadInput)
}

// reply answers the request that the reader is handling.
func (c *clientConn) reply(data []byte) {
	c.unanswered = false
	c.post(data)
}

// handleHealthCheck lets the event loop answer: a router whose event loop hangs is not healthy.
func (c *clientConn) handleHealthCheck(number uint32) {
	c.mu.Lock()
	c.healthChecks++
	c.mu.Unlock()
	c.router.loop.Post(func(control.Micros) {
		c.post(msgrpc.EncodeHealth(number, c.router.ready.Load()))
		c.mu.Lock()
		defer c.mu.Unlock()
		c.healthChecks--
		c.wakeReader()
	})
}

// post queues a message to the client.
func (c *clientConn) post(data []byte) { c.writes.post(queuedFrame{data: data}) }

// tolerableFaults and excessiveFaults are the numbers of malformed or refused messages on one connection from which
// on penalize acts.
const (
	tolerableFaults = 64 // no well-behaved client causes as many
	excessiveFaults = 1000
)

// penalize slows down a client whose messages are malformed. It guards against floods of them, whose answers would
// cost others their share of the core: some hundreds at once are answered within the time that such a client is owed.
// While its reader sleeps a cancellation would go unnoticed, so that none of its requests stays open from then on.
func (c *clientConn) penalize() {
	switch c.faults++; {
	case c.faults == tolerableFaults:
		c.failOpen(requestOutcome{endFailed, reasonConnRefuses})
	case c.faults > excessiveFaults:
		time.Sleep(20 * time.Millisecond)
	case c.faults > tolerableFaults:
		time.Sleep(2 * time.Millisecond)
	}
}

// handleCall validates a request and posts it to the event loop.
func (c *clientConn) handleCall(m *msgrpc.Message) {
	if c.refusal != nil {
		c.router.requestEnds.add(requestOutcome{endRejected, reasonConnRefuses})
		c.reply(c.refusal(m.Number))
		c.penalize()
		return
	}
	req := &request{
		id: m.Request.ID, number: m.Number, client: c, message: m.Request,
		readAt: c.router.loop.Now(), arrivedAt: c.arrivalTime(),
	}
	if why := c.router.validate(&m.Request, req); why != "" {
		c.router.countBadMessage(&msgrpc.MessageError{Number: m.Number, Text: why})
		c.router.requestEnds.add(requestOutcome{endFailed, reasonInvalid})
		c.reply(msgrpc.EncodeInvalid(m.Number, why))
		c.penalize()
		return
	}
	c.mu.Lock()
	rising := m.Number > c.lastNumber
	c.lastNumber = max(c.lastNumber, m.Number)
	full := len(c.open) >= maxOpenPerClient || c.faults >= tolerableFaults
	if rising && !full {
		c.open[m.Number] = req
		c.unanswered = false
	}
	c.mu.Unlock()
	if !rising {
		// Answers could not be told apart, so that no request of this connection gets one that counts.
		c.router.countBadMessage(&msgrpc.MessageError{Number: m.Number, Text: "number does not rise"})
		c.router.requestEnds.add(requestOutcome{endFailed, reasonInvalid})
		c.reply(msgrpc.EncodeInvalid(m.Number, "number does not rise"))
		c.refuseFurther(func(number uint32) []byte {
			return msgrpc.EncodeInvalid(number, "sent behind a number that did not rise")
		})
		return
	}
	if full {
		c.router.anomalies.add(requestRejected)
		c.router.requestEnds.add(requestOutcome{endRejected, reasonTooManyOpen})
		c.reply(msgrpc.EncodeRejection(m.Number, c.router.config.Deployment.MaxRetryAfter))
		c.penalize()
		return
	}
	c.router.loop.Post(func(now control.Micros) { c.router.handleRequest(now, req) })
}

// handleCancellation cancels a request. No attempt of it is written from here on, whenever the event loop handles the
// cancellation.
func (c *clientConn) handleCancellation(number uint32) {
	c.mu.Lock()
	req := c.open[number]
	if req != nil {
		req.abandoned.Store(true)
		delete(c.open, number)
	}
	c.mu.Unlock()
	if req != nil {
		c.router.loop.Post(func(now control.Micros) {
			c.router.handleCancel(now, req, requestOutcome{endCancelled, reasonClientLeft})
		})
	}
}

// failOpen fails every request open on the connection; outcome is what the log says of them.
func (c *clientConn) failOpen(outcome requestOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, req := range c.open {
		req.abandoned.Store(true)
		c.post(msgrpc.EncodeFailure(number))
		c.router.loop.Post(func(now control.Micros) { c.router.handleCancel(now, req, outcome) })
	}
	clear(c.open)
}

// finish closes the connection after what is queued is written. It counts as a connection until its descriptor is
// free.
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
	c.router.rejectedConns -= countOf(c.rejected)
	c.router.mu.Unlock()
	close(c.closed)
}

// drainAfterClose reads and discards what the client still sends until it closes too, at most for drainTime. It
// guards against the reset that closing with unread input causes, which may overtake the last answer. Beyond
// maxInTransit nothing is read, so that a flood costs nothing.
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

// respond sends a request's answer, if its client still waits for one.
func (c *clientConn) respond(req *request, data []byte) {
	c.mu.Lock()
	open := c.open[req.number] == req
	if open {
		delete(c.open, req.number)
	}
	if len(c.open) == 0 {
		c.idleSince.Store(int64(c.router.loop.Now()))
	}
	if open {
		c.post(data)
		c.wakeReader()
	}
	c.mu.Unlock()
}
