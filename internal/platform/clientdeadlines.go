package platform

import (
	"errors"
	"os"
	"time"

	"hollymast/internal/msgrpc"
)

// How long a client connection is read: until its client is idle or too slow, or until it is to close.

// closeWhenIdle makes the reader close the connection once nothing is open, after a last read. The connection is then
// drained for drainTime.
func (c *clientConn) closeWhenIdle(drainTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing = true; !c.aborting {
		c.drainTime = drainTime
	}
	c.wakeReader()
}

// abort makes the reader close the connection even in the middle of a message, so that hundreds of clients that never
// complete a message do not exhaust the connections.
func (c *clientConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.aborting, c.drainTime = true, true, 0
	if c.hasNothingOpen() {
		c.conn.SetReadDeadline(time.Now())
	}
}

// closeBy makes the reader close the connection once nothing is open, or after timeout even if something is, in both
// cases after a last read. The timeout is needed for clients that keep sending, so that something is always open.
func (c *clientConn) closeBy(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.readUntil = true, time.Now().Add(timeout)
	if c.awaitingMessage {
		c.conn.SetReadDeadline(time.Now())
	} else {
		c.conn.SetReadDeadline(c.readUntil)
	}
}

// readTimeExpired reports whether reading must end although more input may arrive. Without it, a client that sends
// faster than it is read would keep the connection open.
func (c *clientConn) readTimeExpired() bool {
	c.mu.Lock()
	expired := c.pastReadTime()
	c.mu.Unlock()
	if expired && !c.input.finished {
		c.input.finish()
	}
	return expired && len(c.input.remaining) == 0
}

// limitReadingAtEnd bounds the time for further messages on a closing connection on which no request is open, if the client
// may never pause: it sends faster than it is read, or the listener closes and well-behaved clients have sent all requests.
func (c *clientConn) limitReadingAtEnd() {
	if !c.router.listenerClosing() && !c.pacer.Exceeded() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && c.hasNothingOpen() && c.readUntil.IsZero() {
		c.readUntil = time.Now().Add(finalReadTime)
	}
}

// pastReadTime reports whether only pending input is still read. The caller holds mu.
func (c *clientConn) pastReadTime() bool {
	return !c.readUntil.IsZero() && !time.Now().Before(c.readUntil)
}

// wakeReader wakes the reader if it waits for a message on a connection that may close. The caller holds mu.
func (c *clientConn) wakeReader() {
	if c.closing && c.awaitingMessage && c.hasNothingOpen() {
		c.conn.SetReadDeadline(time.Now())
	}
}

// awaitMessage waits for the first byte of the next message. It returns false if the connection must end.
func (c *clientConn) awaitMessage(in *msgrpc.Reader, firstDeadline time.Time) bool {
	for {
		c.mu.Lock()
		c.awaitingMessage = true
		at := time.Now().Add(clientIdleTimeout)
		if !c.sentMessage.Load() {
			at = firstDeadline
		}
		if !c.readUntil.IsZero() {
			at = c.readUntil
		}
		if c.closing && c.hasNothingOpen() {
			at = c.nextEndCheck()
		}
		c.input.setDeadline(at)
		c.mu.Unlock()
		err := in.Await()
		c.mu.Lock()
		c.awaitingMessage = false
		mayEnd := c.hasNothingOpen() && c.writes.empty() || c.pastReadTime()
		c.mu.Unlock()
		if err == nil {
			return true
		}
		if late := errors.Is(err, os.ErrDeadlineExceeded); mayEnd || !late {
			c.recordAwaitEnd(late)
			return false
		}
	}
}

// nextEndCheck returns when to check next whether a closing connection without open requests may end. As long as a
// response is being written, requests may still arrive that the client must be able to count on. The caller holds mu.
func (c *clientConn) nextEndCheck() time.Time {
	if c.writes.empty() {
		return time.Now()
	}
	return time.Now().Add(writeCheckInterval)
}

// recordAwaitEnd records why the wait for a message ended: the deadline passed if late is set, otherwise the client
// closed or broke the connection.
func (c *clientConn) recordAwaitEnd(late bool) {
	switch {
	case !late:
		c.setCloseReason(clientCloseByClient)
	case !c.sentMessage.Load():
		c.router.anomalies.add(clientTooSlow)
		c.setCloseReason(clientCloseSlow)
	default:
		c.setCloseReason(clientCloseIdle)
	}
}

// setMessageDeadline sets the deadline for the rest of a message that has begun.
func (c *clientConn) setMessageDeadline(firstDeadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.aborting:
		c.input.setDeadline(time.Now())
	case !c.readUntil.IsZero():
		c.input.setDeadline(c.readUntil)
	case !c.sentMessage.Load():
		c.input.setDeadline(firstDeadline)
	default:
		c.input.setDeadline(time.Now().Add(messageTimeout))
	}
}
