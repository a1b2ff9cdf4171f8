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

// clientConn is one connection of a client. Its goroutine reads, and alone decides that the connection takes nothing more: a
// job was either read before, or never. The turn answers through the outbox.
type clientConn struct {
	router        *Router
	conn          net.Conn
	in            *deadlineReader
	tracked       *trackedConn
	writes        writeQueue
	mu            sync.Mutex
	open          map[uint32]*request // by number
	lastNumber    uint32              // number
	healthChecks  int                 // answers to isWell
	awaiting      bool                // the reader waits between messages
	closing       bool                // it ends as soon as nothing is open
	aborting      bool                // and no message is waited for
	readUntil     time.Time           // nothing is read later; zero: no bound
	faults        int
	rejected      bool                       // it is read to be turned away, and takes no room
	refusal       func(number uint32) []byte // the reader's: what each further job is told; nil: they are taken
	unanswered    bool                       // the reader's: the job that it handles has no answer yet, and is not open
	sentMessage   atomic.Bool                // a whole message was read
	idleSince     atomic.Int64               // since when nothing is open, the router's time
	drainTime     time.Duration              // how long the other direction is read after all is written
	closed        chan struct{}              // closed once the descriptor is free
	draining      atomic.Bool                // all is written; it is only read on
	closedNow     atomic.Bool
	closeNowAsked chan struct{} // closed where it is not read on
}

// hasLeft tells whether the client has no use for an answer any more.
func (c *clientConn) hasLeft(req *request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[req.number] != req
}

// closeNow closes a connection at once that is only read on.
func (c *clientConn) closeNow() {
	if c.draining.Load() && c.closedNow.CompareAndSwap(false, true) {
		close(c.closeNowAsked)
		c.writes.close()
	}
}

// idle tells whether nothing is open, and whether it was told to end.
func (c *clientConn) idle() (idle, ending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nothingOpen(), c.closing
}

func (c *clientConn) nothingOpen() bool { return len(c.open) == 0 && c.healthChecks == 0 }

// closeWhenIdle has the reader end the connection once nothing is open, after a last look for a message. It is read on for a while.
func (c *clientConn) closeWhenIdle(drainTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing = true; !c.aborting {
		c.drainTime = drainTime
	}
	c.wakeReader()
}

// abort has the reader end the connection though a message has begun: guards against those that never end, by the hundred.
func (c *clientConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.aborting, c.drainTime = true, true, 0
	if c.nothingOpen() {
		c.conn.SetReadDeadline(time.Now())
	}
}

// closeBy has the reader end the connection once nothing is open, or then whatever is open, after a last look for what is here.
// Guards against clients that go on sending, so that there is always something open.
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

// readTimeOver tells whether nothing more is read, though more may be here: guards against clients that send faster than they are read.
func (c *clientConn) readTimeOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pastReadTime() && c.in.lateBytes > maxInTransit
}

// pastReadTime tells whether only what is here is read.
func (c *clientConn) pastReadTime() bool {
	return !c.readUntil.IsZero() && !time.Now().Before(c.readUntil)
}

// wakeReader wakes a reader that waits for a message on a connection that may end.
func (c *clientConn) wakeReader() {
	if c.closing && c.awaiting && c.nothingOpen() {
		c.conn.SetReadDeadline(time.Now())
	}
}

// awaitMessage waits for the first byte of the next message; no ends the connection.
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
			if late && !c.sentMessage.Load() {
				c.router.countAnomaly("client closed: no whole message in time")
			}
			return false
		}
	}
}

// setMessageDeadline sets how long a message that has begun may take.
func (c *clientConn) setMessageDeadline(firstDeadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.aborting:
		c.in.setDeadline(time.Now())
	case !c.readUntil.IsZero():
		c.in.setDeadline(c.readUntil)
		c.in.lookedAgain = c.pastReadTime() && c.in.lateBytes > maxInTransit
	case !c.sentMessage.Load():
		c.in.setDeadline(firstDeadline)
	default:
		c.in.setDeadline(time.Now().Add(messageTimeout))
	}
}

// readLoop reads until the connection ends. It owns the connection's end: all that is open then is over.
func (c *clientConn) readLoop() {
	defer c.router.recoverPanic("reading a client")
	defer c.finish()
	in := msgrpc.NewReader(c.in)
	firstDeadline := time.Now().Add(firstMessageTimeout)
	for {
		if !in.Buffered() && (c.readTimeOver() || !c.awaitMessage(in, firstDeadline)) {
			return
		}
		c.setMessageDeadline(firstDeadline)
		message, err := in.Read()
		var fault *msgrpc.Fault
		switch {
		case errors.As(err, &fault):
			c.router.countBadMessage(fault)
			if fault.Answerable {
				c.post(msgrpc.Invalid(fault.Number, fault.Text))
			}
			if fault.Unreadable {
				c.closeWhenIdle(drainAfterBadInput)
				return
			}
			c.sentMessage.Store(true)
			c.penalize()
			continue
		case err != nil:
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.readTimeOver() {
				c.router.countAnomaly("client closed: no whole message in time")
				c.closeWhenIdle(drainAfterBadInput)
			}
			return
		}
		c.sentMessage.Store(true)
		c.handle(message)
	}
}

// handle does what a message asks. Should a fault of our own end that, all that its connection asks has an error, and it ends.
func (c *clientConn) handle(m *msgrpc.Message) {
	completed := false
	defer func() {
		if !completed {
			c.refuseFurther(msgrpc.Failure)
			if c.unanswered {
				c.reply(msgrpc.Failure(m.Number))
			}
		}
	}()
	defer c.router.recoverPanic("reading a client")
	switch m.Kind {
	case msgrpc.HealthCheck:
		c.handleHealthCheck(m.Number)
	case msgrpc.Cancel:
		c.handleForget(m.Number)
	case msgrpc.Call:
		c.unanswered = true
		c.handleCall(m)
	}
	completed = true
}

// refuseFurther has the connection take no job any more: all that is open is over, and what was sent behind it, whole, is told so too.
func (c *clientConn) refuseFurther(refusal func(number uint32) []byte) {
	c.refusal = refusal
	c.failOpen()
	c.closeWhenIdle(drainAfterBadInput)
	c.closeBy(drainAfterBadInput)
}

// reply answers the job that the reader handles.
func (c *clientConn) reply(data []byte) {
	c.unanswered = false
	c.post(data)
}

// handleHealthCheck is answered by the turn: a router whose turns stand still is not well.
func (c *clientConn) handleHealthCheck(number uint32) {
	c.mu.Lock()
	c.healthChecks++
	c.mu.Unlock()
	c.router.queue.Post(func(control.Micros) {
		c.post(msgrpc.Health(number, c.router.ready.Load()))
		c.mu.Lock()
		defer c.mu.Unlock()
		c.healthChecks--
		c.wakeReader()
	})
}

func (c *clientConn) post(data []byte) { c.writes.post(queuedFrame{data: data}) }

const (
	tolerableFaults = 64 // no usual client makes as many on one connection
	excessiveFaults = 1000
)

// penalize slows down a client whose messages are wrong. Guards against floods of them, whose answers would cost the others
// their part of the core: some hundreds at once are answered within the time that such a client is owed. While its reader
// sleeps a cancelled job would go unnoticed, so that none of such a client is open from then on.
func (c *clientConn) penalize() {
	switch c.faults++; {
	case c.faults == tolerableFaults:
		c.failOpen()
	case c.faults > excessiveFaults:
		time.Sleep(20 * time.Millisecond)
	case c.faults > tolerableFaults:
		time.Sleep(2 * time.Millisecond)
	}
}

// handleCall takes a job.
func (c *clientConn) handleCall(m *msgrpc.Message) {
	if c.refusal != nil {
		c.reply(c.refusal(m.Number))
		c.penalize()
		return
	}
	req := &request{id: m.Request.ID, number: m.Number, client: c, message: m.Request, readAt: c.router.now(), cameAt: c.came()}
	if why := c.router.validate(&m.Request, req); why != "" {
		c.router.countBadMessage(&msgrpc.Fault{Number: m.Number, Text: why})
		c.reply(msgrpc.Invalid(m.Number, why))
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
		// Whose answer would be whose? Nobody can tell, so that no job of this connection gets one that counts.
		c.router.countBadMessage(&msgrpc.Fault{Number: m.Number, Text: "number does not rise"})
		c.reply(msgrpc.Invalid(m.Number, "number does not rise"))
		c.refuseFurther(func(number uint32) []byte { return msgrpc.Invalid(number, "sent behind a number that did not rise") })
		return
	}
	if full {
		c.router.countAnomaly("pushed back: too many open on a connection")
		c.reply(msgrpc.Rejection(m.Number, c.router.config.Deployment.MaxRetryAfter))
		c.penalize()
		return
	}
	c.router.queue.Post(func(now control.Micros) { c.router.handleRequest(now, req) })
}

// handleForget ends a job whose client stopped waiting. From here on nothing of it is written, whenever the turn hears of it.
func (c *clientConn) handleForget(number uint32) {
	c.mu.Lock()
	req := c.open[number]
	if req != nil {
		req.abandoned.Store(true)
		delete(c.open, number)
	}
	c.mu.Unlock()
	if req != nil {
		c.router.queue.Post(func(now control.Micros) { c.router.handleCancel(now, req) })
	}
}

// failOpen ends all that is open here with an error.
func (c *clientConn) failOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, req := range c.open {
		req.abandoned.Store(true)
		c.post(msgrpc.Failure(number))
		c.router.queue.Post(func(now control.Micros) { c.router.handleCancel(now, req) })
	}
	clear(c.open)
}

// finish ends the connection, after what waits to be written. It counts as one until its descriptor is free.
func (c *clientConn) finish() {
	c.failOpen()
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
	c.router.mu.Lock()
	delete(c.router.clients, c)
	c.router.rejectedConns -= countOf(c.rejected)
	c.router.mu.Unlock()
	close(c.closed)
}

// drainAfterClose reads what a client still sends, and drops it, until it has closed too. Guards against the reset that a close
// makes of unread input, which may overtake the last answer; beyond a bound nothing is read, so that a flood costs nothing.
func (c *clientConn) drainAfterClose(drainTime time.Duration) {
	until := time.Now().Add(drainTime)
	c.conn.SetReadDeadline(until)
	if _, err := io.CopyN(io.Discard, c.conn, maxInTransit); err == nil {
		select {
		case <-c.closeNowAsked:
		case <-time.After(time.Until(until)):
		}
	}
}

// respond gives a job its answer.
func (c *clientConn) respond(req *request, data []byte) {
	c.mu.Lock()
	open := c.open[req.number] == req
	if open {
		delete(c.open, req.number)
	}
	if len(c.open) == 0 {
		c.idleSince.Store(int64(c.router.now()))
	}
	if open {
		c.post(data)
		c.wakeReader()
	}
	c.mu.Unlock()
}
