package platform

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"hollymast/control"
	"hollymast/internal/msgrpc"
)

const (
	// overflowHoldTime is how long a connection beyond the limit waits for room: several times the usual delay between a
	// connection and its first request.
	overflowHoldTime = 20 * time.Millisecond
	// overflowAnswerTime bounds the time for reading and answering what the client has sent by the end of the hold.
	overflowAnswerTime = 300 * time.Millisecond
	// overflowRestTime is how long the rest of a message may take, or the event loop that answers health checks: longer
	// than the usual delay of a retransmission. overflowShortRestTime replaces it if others wait to be accepted.
	overflowRestTime, overflowShortRestTime = 250 * time.Millisecond, 20 * time.Millisecond
	// minReceiveWindow is how much a client can send at least while nothing is read. After more than that, the rest arrives
	// only once this has been read.
	minReceiveWindow = 32 << 10
	// maxOverflowMessages is how many messages are read from a connection beyond the limit: several for each request
	// that its client may have open.
	maxOverflowMessages = 4 * maxOpenPerClient
)

// overflowStage is what happens to a connection beyond the limit.
type overflowStage uint8

// The stages, in order.
const (
	overflowHeld      overflowStage = iota // it waits for room
	overflowRejecting                      // its requests are read and rejected
	overflowDraining                       // it is half closed; what still arrives is discarded until its client closes it
	overflowClosed
)

// overflowConn is one connection beyond the limit. None of its methods blocks for longer than lastReadTime.
type overflowConn struct {
	router       *Router
	conn         net.Conn
	raw          syscall.RawConn // nil if there is no descriptor
	stage        overflowStage
	until        time.Time   // when the stage ends at the latest
	partial      []byte      // the beginning of a message
	readAt       time.Time   // when something was last read
	bytes        int         // bytes read
	open         int         // requests read and not cancelled: how many its client may count as open
	messages     int         // messages read
	lastRead     bool        // nothing more is read
	healthChecks []uint32    // numbers of health checks without a response
	loopRuns     atomic.Bool // the event loop has run since the first of these health checks
}

// newOverflowConn returns the state of a connection that was just accepted.
func newOverflowConn(router *Router, conn net.Conn) *overflowConn {
	c := &overflowConn{router: router, conn: conn, until: time.Now().Add(overflowHoldTime)}
	if socket, ok := conn.(syscall.Conn); ok {
		c.raw, _ = socket.SyscallConn()
	}
	return c
}

// handOver gives up the connection, so that it can be served elsewhere.
func (c *overflowConn) handOver() net.Conn {
	c.stage = overflowClosed
	return c.conn
}

// overflowPressure is how urgently the descriptors of connections beyond the limit are needed.
type overflowPressure uint8

const (
	noPressure overflowPressure = iota
	othersWait                  // no further connection can be accepted until one of these ends
	closesSoon                  // the listener closes: all requests have been sent by now
)

// advance enters the next stage if it is time, and reports whether the connection can be closed. input is a buffer for
// reads.
func (c *overflowConn) advance(now time.Time, pressure overflowPressure, input []byte) (ended bool) {
	if c.stage == overflowHeld {
		if now.Before(c.until) && pressure < closesSoon {
			return false
		}
		c.endHold(now)
	}
	if c.stage == overflowRejecting {
		if c.rejectPending(now, input) != nil {
			return true
		}
		if c.mustWait(now, pressure) && now.Before(c.until) {
			return false
		}
		c.closeWrite()
		c.stage, c.until = overflowDraining, now.Add(drainAfterIdle)
	}
	return !now.Before(c.until) || c.discardPending(input)
}

// hasInput reports whether the client has sent something, or has closed its end.
func (c *overflowConn) hasInput() bool { return c.raw == nil || hasUnread(c.raw) }

// endHold ends the hold: what has arrived is answered.
func (c *overflowConn) endHold(now time.Time) {
	c.router.anomalies.add(clientRejected)
	c.stage, c.until = overflowRejecting, now.Add(overflowAnswerTime)
}

// mustWait reports whether the rest of a message may still arrive, or the event loop still answer health checks.
func (c *overflowConn) mustWait(now time.Time, pressure overflowPressure) bool {
	restTime := overflowRestTime
	if pressure > noPressure {
		restTime = overflowShortRestTime
	}
	mayBlockSender := c.bytes >= minReceiveWindow && c.readAt.Equal(now)
	incomplete := !c.lastRead && (len(c.partial) > 0 || mayBlockSender) || len(c.healthChecks) > 0
	return incomplete && now.Sub(c.readAt) < restTime
}

// read reads what has arrived. Its error is EAGAIN if that is nothing.
func (c *overflowConn) read(b []byte) (int, error) {
	if c.raw == nil {
		return 0, net.ErrClosed
	}
	return readAvailable(c.raw, b)
}

// rejectPending reads what has arrived and rejects the requests in it. It returns an error if the connection can't be
// used any more.
func (c *overflowConn) rejectPending(now time.Time, input []byte) error {
	var responses []byte
	if len(c.healthChecks) > 0 && c.loopRuns.Load() {
		responses = c.answerHealthChecks()
	}
	for !c.lastRead {
		n, err := c.read(input)
		if n == 0 {
			if !errors.Is(err, syscall.EAGAIN) {
				c.lastRead = true // the client has closed its end, but may read the responses
			}
			break
		}
		c.readAt, c.bytes = now, c.bytes+n
		c.partial = append(c.partial, input[:n]...)
		responses = append(responses, c.rejectComplete()...)
	}
	if len(responses) == 0 {
		return nil
	}
	c.conn.SetWriteDeadline(time.Now().Add(lastReadTime))
	_, err := c.conn.Write(responses)
	return err
}

// rejectComplete takes the complete messages from the input and returns the responses to them.
func (c *overflowConn) rejectComplete() (responses []byte) {
	for !c.lastRead && len(c.partial) > 0 {
		message, size, err := msgrpc.Decode(c.partial)
		if errors.Is(err, msgrpc.ErrIncomplete) {
			break
		}
		c.partial = c.partial[size:]
		if c.messages++; c.messages >= maxOverflowMessages {
			c.lastRead = true
		}
		responses = append(responses, c.respond(message, err)...)
	}
	if len(c.partial) == 0 || c.lastRead {
		c.partial = nil // frees its memory
	}
	return responses
}

// respond returns the response to one message, or to the error of reading it. After one that no well-behaved client
// sends nothing more is read.
func (c *overflowConn) respond(message *msgrpc.Message, err error) []byte {
	var fault *msgrpc.MessageError
	if errors.As(err, &fault) {
		c.router.countBadMessage(fault)
		c.lastRead = c.lastRead || fault.Unreadable
		if fault.Answerable {
			return msgrpc.EncodeInvalid(fault.Number, fault.Text)
		}
		return nil
	}
	switch message.Kind {
	case msgrpc.Cancel:
		c.open = max(0, c.open-1)
	case msgrpc.HealthCheck:
		c.awaitLoop(message.Number)
	case msgrpc.Call:
		c.open++
		c.lastRead = c.lastRead || c.open > maxOpenPerClient
		c.router.requestEnds.add(requestOutcome{endRejected, reasonConnRejects})
		return c.router.rejection(message.Request.ID, message.Number)
	}
	return nil
}

// awaitLoop lets the event loop run once before a health check is answered, because a router whose event loop hangs is
// not healthy.
func (c *overflowConn) awaitLoop(number uint32) {
	c.healthChecks = append(c.healthChecks, number)
	if len(c.healthChecks) > 1 {
		return
	}
	c.loopRuns.Store(false)
	c.router.loop.Post(func(control.Micros) { c.loopRuns.Store(true) })
}

// answerHealthChecks returns the responses to the health checks.
func (c *overflowConn) answerHealthChecks() (responses []byte) {
	for _, number := range c.healthChecks {
		responses = append(responses, msgrpc.EncodeHealth(number, c.router.ready.Load())...)
	}
	c.healthChecks = nil
	return responses
}

// closeWrite closes the write direction, so that the client closes its end.
func (c *overflowConn) closeWrite() {
	if halfCloser, ok := c.conn.(interface{ CloseWrite() error }); ok {
		halfCloser.CloseWrite()
	}
}

// discardPending discards what has arrived, and reports whether the client has closed its end.
func (c *overflowConn) discardPending(input []byte) (clientClosed bool) {
	n, err := c.read(input)
	return n == 0 && !errors.Is(err, syscall.EAGAIN)
}

// close closes the connection, unless it was handed over. It returns true.
func (c *overflowConn) close() bool {
	if c.stage != overflowClosed {
		c.stage = overflowClosed
		c.conn.Close()
		c.router.clientCloses.add(clientCloseOverLimit)
	}
	return true
}
