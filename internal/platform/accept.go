package platform

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"hollymast/control"
	"hollymast/internal/acceptqueue"
)

// listener is the part of a listening socket that accept uses.
type listener interface {
	acceptqueue.Listener
	Close() error
}

// accept accepts connections until the listener is closed or its deadline passes; then it accepts those in the accept
// queue and closes the listener. No other error ends it: the machine may be short of resources for a while, and a
// connection may break before it is accepted. Requests may be waiting in the queue, so nothing here waits for a client,
// except that connections beyond the limit are accepted no faster than startOverflow's goroutine handles them.
func (r *Router) accept(l listener) {
	beyondLimit := r.startOverflow()
	defer beyondLimit.end()
	defer r.closeListener(l)
	pause, acceptedAt := minAcceptPause, r.loop.Now()
	for {
		r.acceptBusy.record(int64(r.loop.Now() - acceptedAt))
		conn, err := l.Accept()
		acceptedAt = r.loop.Now()
		switch {
		case err == nil:
			pause = minAcceptPause
			r.admit(conn, beyondLimit)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			until := r.loop.Time(control.Micros(r.drainQueueBy.Load()))
			acceptqueue.Drain(l, until, func(conn net.Conn) { r.admit(conn, beyondLimit) })
			return
		case r.freesDescriptor(err):
		default:
			time.Sleep(pause) // avoids a busy loop
			pause = min(2*pause, descriptorWait)
		}
	}
}

// admit serves a connection that was just accepted, or rejects its requests: if there is no room, or if the router closes
// its listener.
func (r *Router) admit(conn net.Conn, beyondLimit *overflow) {
	if r.listenerClosing() || !r.hasRoom() {
		beyondLimit.add(conn)
		return
	}
	r.serveClient(conn)
}

// freesDescriptor closes idle clients if an accept failed because the process is short of descriptors, and reports
// whether one has become free. Closing clients does not help against any other error.
func (r *Router) freesDescriptor(err error) bool {
	r.anomalies.add(acceptFailed)
	return errors.Is(err, syscall.EMFILE) && r.makeRoom(1)
}

// closeListener closes the listener and logs how many connections it resets by that, since they were never accepted.
func (r *Router) closeListener(l listener) {
	addQueueLength(r.log.Info(), l).Int64("accept_busy_us", r.acceptBusy.take()).Msg("listener closed")
	l.Close()
}
