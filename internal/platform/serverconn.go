package platform

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/binframe"
	"hollymast/internal/netfail"
)

// serverConn is one connection to a server. The event loop owns all but the write queue and partialWrite; a goroutine
// of its own dials and reads.
type serverConn struct {
	router       *Router
	pool         *serverPool
	writes       writeQueue
	open         map[binframe.ID]*serverCall
	up           bool // the event loop knows that it is connected
	retired      bool // takes no new calls: an abandoned call's answer may come, or the server is removed
	idleSince    control.Micros
	idlePlace    *list.Element // in Router.connsByIdle
	partialWrite atomic.Bool   // a write ended amid a frame
	dialing      context.Context
	cancelDial   context.CancelFunc
	closeReason  serverClose
}

// close closes the connection at once and cancels its dial, whose descriptor is then free for another.
func (sc *serverConn) close() {
	sc.writes.close()
	sc.cancelDial()
}

// preferredOver reports whether a new call should go on sc rather than on other: fewer calls open, connected, used
// last.
func (sc *serverConn) preferredOver(other *serverConn) bool {
	switch {
	case len(sc.open) != len(other.open):
		return len(sc.open) < len(other.open)
	case sc.up != other.up:
		return sc.up
	}
	return sc.idleSince > other.idleSince
}

// maxUnreadByServer bounds the bytes queued for a server: as many calls with the longest bodies as may share a
// connection.
const maxUnreadByServer = 2 << 20

// answerTimeout is how long the rest of an answer may take once it has begun: servers write it in one piece.
const answerTimeout = time.Second

// run dials, then reads answers until the connection ends, and reports its end to the event loop.
func (sc *serverConn) run() {
	r := sc.router
	broke := func(result control.Result, reason serverClose) {
		sc.close()
		r.loop.Post(func(now control.Micros) { r.connectionBroke(now, sc, result, reason) })
	}
	end, reason := control.Failed, serverReadFault // after a panic: what was written may have run
	defer r.recoverPanic(panicReadingServer)
	defer func() { broke(end, reason) }()
	conn, err := sc.dial()
	if err != nil {
		end, reason = control.ConnectFailed, serverNotReachable
		if netfail.IsLocal(err) || errors.Is(err, context.Canceled) {
			end, reason = control.NotSent, serverDialLocal // says nothing about the server
		} else {
			r.anomalies.add(noServerConnection)
		}
		return
	}
	sc.writes.connected(conn)
	r.loop.Post(func(control.Micros) { sc.up = true })
	reader := &deadlineReader{conn: conn}
	in := bufio.NewReaderSize(reader, 2<<10)
	for {
		reader.setDeadline(time.Time{})
		answer, err := binframe.Read(in, func() { reader.setDeadline(time.Now().Add(answerTimeout)) })
		if err != nil {
			end, reason = control.ConnectionReset, serverEnded
			if why := corruptionOf(err); why != "" {
				end, reason = control.Failed, serverUnreadable // the server answers, but unreadably
				r.anomalies.addDetail(corruptAnswer, why)
			} else if netfail.IsLocal(err) {
				end, reason = control.Failed, serverReadFault // may have run; says nothing about the server
			}
			return
		}
		r.loop.Post(func(now control.Micros) { r.handleAnswer(now, sc, answer) })
	}
}

// calls are the system calls that a server connection begins with; tests replace them.
type calls struct {
	dial  func(ctx context.Context, address string) (net.Conn, error)
	write func(fd int, b []byte) (int, error) // does not block
}

var systemCalls = calls{
	dial: func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	},
	write: syscall.Write,
}

// dial connects. Failures that say nothing about the server are retried until the connect timeout; where descriptors are
// short, idle client connections are closed meanwhile.
func (sc *serverConn) dial() (net.Conn, error) {
	r := sc.router
	return netfail.Dial(sc.dialing, func() (net.Conn, error) { return r.calls.dial(sc.dialing, sc.pool.address) },
		func(err error) netfail.RetryTiming {
			if !errors.Is(err, syscall.EMFILE) {
				r.anomalies.add(temporaryDialFailure)
				return netfail.RetryAfterPause
			}
			r.anomalies.add(outOfDescriptors)
			if r.makeRoom(1) {
				return netfail.RetryImmediately
			}
			return netfail.RetryAfterPause
		})
}

// corruptionOf returns what made an answer unreadable, or the empty string where the connection itself ended.
func corruptionOf(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "incomplete"
	}
	for _, known := range []error{binframe.ErrMagic, binframe.ErrCode, binframe.ErrLength, binframe.ErrChecksum} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return ""
}

// connectionBroke handles the end of a connection: the result of each call open on it follows from how far it had
// got.
func (r *Router) connectionBroke(now control.Micros, sc *serverConn, result control.Result, reason serverClose) {
	open := sc.open
	sc.closesBecause(reason)
	r.serverCloses.add(sc.closeReason)
	r.removeConn(sc)
	for _, call := range sortedByID(open) {
		callResult := result
		switch {
		case call.withdraw():
			if callResult != control.ConnectFailed {
				callResult = control.NotSent
			}
		case call.currentStage() == attempt.Withdrawn:
			callResult = control.NotSent
		case sc.partialWrite.Load() && !call.writtenWhole.Load():
			callResult = control.NotSent // the server did not get a whole frame
		}
		r.callEnded(now, call, callResult, nil)
	}
}
