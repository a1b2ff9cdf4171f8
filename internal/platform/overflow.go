package platform

import (
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// maxOverflowConns is the number of connections beyond the limit that are open at once: half of the reserved
	// descriptors.
	maxOverflowConns = reservedSockets / 2
	// overflowInterval is the time between two connections beyond the limit at the rate at which they are answered while
	// others wait to be accepted: that of full holds. maxOverflowDelay is how much of it may be made up for after the
	// goroutine was scheduled late.
	overflowInterval = overflowHoldTime / maxOverflowConns
	maxOverflowDelay = 100 * time.Millisecond
	// overflowCheckInterval is the time between two checks of the connections beyond the limit.
	overflowCheckInterval = 5 * time.Millisecond
	// overflowReadSize is the size of the buffer for one read, which all connections beyond the limit share.
	overflowReadSize = 64 << 10
)

// overflow holds the client connections that are not served: those beyond the limit, and all that are accepted while the
// listener closes. The kernel has accepted them, so requests on them must be answered. Each waits for room for up to
// overflowHoldTime; if there is none, its requests are rejected and it is closed. One goroutine handles all of them without
// blocking. While maxOverflowConns are open, the accept loop waits for it, but not for any single client.
type overflow struct {
	router   *Router
	arriving chan net.Conn
	conns    []*overflowConn
	nextAt   time.Time // when the next connection may be answered at the earliest while others wait to be accepted
	input    []byte    // buffer for one read
	ended    sync.WaitGroup
}

// startOverflow starts the goroutine that handles connections beyond the limit.
func (r *Router) startOverflow() *overflow {
	o := &overflow{router: r, arriving: make(chan net.Conn), input: make([]byte, overflowReadSize)}
	o.ended.Go(o.run)
	return o
}

// add hands over an accepted connection. It waits while maxOverflowConns are open.
func (o *overflow) add(conn net.Conn) { o.arriving <- conn }

// end waits until all connections are closed. No connection may be added any more.
func (o *overflow) end() {
	close(o.arriving)
	o.ended.Wait()
}

// run handles the connections until end is called and all have been closed.
func (o *overflow) run() {
	ticker := time.NewTicker(overflowCheckInterval)
	defer ticker.Stop()
	for arriving := o.arriving; arriving != nil || len(o.conns) > 0; {
		accepting, check := arriving, ticker.C
		if len(o.conns) >= maxOverflowConns {
			accepting = nil
		}
		if len(o.conns) == 0 {
			check = nil
		}
		select {
		case conn, ok := <-accepting:
			if ok {
				o.conns = append(o.conns, newOverflowConn(o.router, conn))
			} else {
				arriving = nil
			}
		case <-check:
		}
		o.advanceAll(time.Now())
	}
}

// advanceAll advances every connection and drops those that have ended. If no more can be accepted, those that have been
// answered are closed without waiting for their clients.
func (o *overflow) advanceAll(now time.Time) {
	pressure := noPressure
	switch {
	case o.router.listenerClosing():
		pressure = closesSoon
	case len(o.conns) >= maxOverflowConns:
		pressure = othersWait
	}
	o.conns = slices.DeleteFunc(o.conns, func(c *overflowConn) bool {
		if c.stage == overflowHeld && pressure == othersWait && o.mayAnswerEarly(now) && c.hasInput() {
			o.nextAt = o.nextAt.Add(overflowInterval)
			c.endHold(now)
		}
		return o.advance(c, now, pressure)
	})
	if len(o.conns) >= maxOverflowConns {
		o.conns = slices.DeleteFunc(o.conns, func(c *overflowConn) bool { return c.stage == overflowDraining && c.close() })
	}
}

// mayAnswerEarly reports whether a connection may be answered before the end of its hold. Without that, connections would
// be answered more slowly than at the intended rate whenever this goroutine is scheduled late.
func (o *overflow) mayAnswerEarly(now time.Time) bool {
	if earliest := now.Add(-maxOverflowDelay); o.nextAt.Before(earliest) {
		o.nextAt = earliest
	}
	return !o.nextAt.After(now)
}

// advance serves a held connection if there is room by now, or else lets it enter its next stage if it is time. It
// reports whether the connection no longer belongs here.
func (o *overflow) advance(c *overflowConn, now time.Time, pressure overflowPressure) (left bool) {
	left = true // after a panic
	defer func() {
		if left {
			c.close()
		}
	}()
	defer o.router.recoverPanic(panicReadingClient)
	if c.stage == overflowHeld && pressure < closesSoon && o.router.spareClientConns() > 0 {
		o.router.serveClient(c.handOver())
		return true
	}
	return c.advance(now, pressure, o.input)
}
