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
	"hollymast/internal/pacing"
)

// serverConn is one connection to a server. The event loop owns all fields except the write queue and partialWrite. A
// separate goroutine dials and reads.
type serverConn struct {
	router       *Router
	pool         *serverPool
	writes       writeQueue
	open         map[binframe.ID]*serverCall
	up           bool // connected, as far as the event loop knows
	retired      bool // takes no new calls, because an abandoned call may still be answered or the server's endpoint has changed
	idleSince    control.Micros
	idlePlace    *list.Element // in Router.connsByIdle
	partialWrite atomic.Bool   // a write ended in the middle of a frame
	dialing      context.Context
	cancelDial   context.CancelFunc
	closeReason  serverClose
	unhandled    atomic.Int32 // answers posted to the event loop that it has not handled
	unsolicited  atomic.Int32 // answers that no call waited for
}

const (
	// maxUnhandledAnswers is the number of answers of one connection that wait for the event loop; the reader waits when it is
	// reached. Usually there is one.
	maxUnhandledAnswers = 64
	// A server may send an answer twice, or one that comes too late. A connection that brings more than tolerableUnsolicited such
	// answers takes no new calls; it is closed, with what is open on it, after excessiveUnsolicited.
	tolerableUnsolicited = 64
	excessiveUnsolicited = 1024
)

// close closes the connection immediately and cancels its dial, which frees the descriptor.
func (sc *serverConn) close() {
	sc.writes.close()
	sc.cancelDial()
}

// preferredOver reports whether a new call should use sc rather than other: the one with fewer open calls, then the
// one that is connected, then the one used last.
func (sc *serverConn) preferredOver(other *serverConn) bool {
	switch {
	case len(sc.open) != len(other.open):
		return len(sc.open) < len(other.open)
	case sc.up != other.up:
		return sc.up
	}
	return sc.idleSince > other.idleSince
}

// maxUnreadByServer bounds the bytes queued for a server: as many calls with bodies of the maximum length as may
// share a connection.
const maxUnreadByServer = 2 << 20

// answerTimeout is how long the rest of an answer may take after its first byte: servers write an answer in one
// piece.
const answerTimeout = time.Second

// run dials, reads answers until the connection ends, and then reports the end to the event loop.
func (sc *serverConn) run() {
	r := sc.router
	reportEnd := func(result control.Result, reason serverClose) {
		sc.close()
		r.loop.Post(func(now control.Micros) { r.handleConnEnd(now, sc, result, reason) })
	}
	end, reason := control.Failed, serverCloseReadFault // applies after a panic: calls that were written may have run
	defer r.recoverPanic(panicReadingServer)
	defer func() { reportEnd(end, reason) }()
	conn, err := sc.dial()
	if err != nil {
		end, reason = control.ConnectFailed, serverCloseUnreachable
		if netfail.IsLocal(err) || errors.Is(err, context.Canceled) {
			end, reason = control.NotSent, serverCloseLocalDialFailure // not the server's fault
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
			end, reason = control.ConnectionReset, serverCloseByServer
			if why := describeCorruption(err); why != "" {
				end, reason = control.Failed, serverCloseUnreadable // the server answered, but the answer is unreadable
				r.anomalies.addDetail(corruptAnswer, why)
			} else if netfail.IsLocal(err) {
				end, reason = control.Failed, serverCloseReadFault // calls may have run; not the server's fault
			}
			return
		}
		if sc.unsolicited.Load() > excessiveUnsolicited {
			end, reason = control.Failed, serverCloseUnsolicited
			return
		}
		sc.postAnswer(answer)
	}
}

// postAnswer posts an answer to the event loop, once the loop has handled enough of the earlier ones.
func (sc *serverConn) postAnswer(answer *binframe.Answer) {
	pacing.Pause(answerTimeout, func() bool { return sc.unhandled.Load() < maxUnhandledAnswers })
	sc.unhandled.Add(1)
	sc.router.loop.Post(func(now control.Micros) {
		sc.unhandled.Add(-1)
		sc.router.handleAnswer(now, sc, answer)
	})
}

// serverConnFuncs are the functions that a server connection uses to connect and to write the first bytes of a frame.
// Tests replace them.
type serverConnFuncs struct {
	dial  func(ctx context.Context, address string) (net.Conn, error)
	write func(fd int, b []byte) (int, error) // must not block
}

var defaultConnFuncs = serverConnFuncs{
	dial: func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	},
	write: syscall.Write,
}

// dial connects to the server. Failures that are not the server's fault are retried until the connect timeout; if
// descriptors are short, idle client connections are closed in the meantime.
func (sc *serverConn) dial() (net.Conn, error) {
	r := sc.router
	return netfail.Dial(sc.dialing, func() (net.Conn, error) { return r.connFuncs.dial(sc.dialing, sc.pool.address) },
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

// describeCorruption returns what made an answer unreadable, or the empty string if the connection itself ended.
func describeCorruption(err error) string {
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

// handleConnEnd handles the end of a connection. The result of each call open on it depends on the stage that the
// call had reached.
func (r *Router) handleConnEnd(now control.Micros, sc *serverConn, result control.Result, reason serverClose) {
	open := sc.open
	sc.setCloseReason(reason)
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
			callResult = control.NotSent // the server did not receive a complete frame
		}
		r.callEnded(now, call, callResult, nil)
	}
}
