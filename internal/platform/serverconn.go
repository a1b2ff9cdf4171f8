package platform

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/binframe"
)

// serverConn is one connection to a server. The turn owns all but the outbox; a goroutine dials and reads.
type serverConn struct {
	router       *Router
	pool         *serverPool
	writes       writeQueue
	open         map[binframe.ID]*serverCall
	up           bool // the turn has heard that it stands
	retired      bool // takes nothing new: an answer is owed that nobody waits for, or its server is gone
	idleSince    control.Micros
	idlePlace    *list.Element // in the router's order by since
	partialWrite atomic.Bool   // a write ended within a frame
	dialing      context.Context
	cancelDial   context.CancelFunc
}

// close ends a connection at once, one that is still dialled too: its descriptor is another's then.
func (sc *serverConn) close() {
	sc.writes.close()
	sc.cancelDial()
}

// preferredOver tells which of two connections takes a sending.
func (sc *serverConn) preferredOver(other *serverConn) bool {
	switch {
	case len(sc.open) != len(other.open):
		return len(sc.open) < len(other.open)
	case sc.up != other.up:
		return sc.up
	}
	return sc.idleSince > other.idleSince
}

// maxUnreadByServer is how much may wait for a server to read: with the longest bodies, as many as share a connection.
const maxUnreadByServer = 2 << 20

// answerTimeout is how long an answer that has begun may take: it is written in one piece.
const answerTimeout = time.Second

func (sc *serverConn) run() {
	r := sc.router
	broke := func(result control.Result) {
		sc.close()
		r.queue.Post(func(now control.Micros) { r.connectionBroke(now, sc, result) })
	}
	end := control.Failed // should a fault of our own end this: what was written may have run
	defer r.recoverPanic("reading a server")
	defer func() { broke(end) }()
	conn, err := sc.dial()
	if err != nil {
		end = control.ConnectFailed
		if localFailure(err) || errors.Is(err, context.Canceled) {
			end = control.NotSent // says nothing of the server
		} else {
			r.countAnomaly("no connection to a server")
		}
		return
	}
	sc.writes.connected(conn)
	r.queue.Post(func(control.Micros) { sc.up = true })
	reader := &deadlineReader{conn: conn}
	in := bufio.NewReaderSize(reader, 2<<10)
	for {
		reader.setDeadline(time.Time{})
		answer, err := binframe.Read(in, func() { reader.setDeadline(time.Now().Add(answerTimeout)) })
		if err != nil {
			end = control.ConnectionReset
			if why := corruptionOf(err); why != "" {
				end = control.Failed // the server answers; what it said can't be read
				r.countAnomaly("spoilt answer: " + why)
			} else if localFailure(err) {
				end = control.Failed // may have run; says nothing of the server
			}
			return
		}
		r.queue.Post(func(now control.Micros) { r.handleAnswer(now, sc, answer) })
	}
}

// calls are the system's calls that a connection to a server begins with; tests put others in their place.
type calls struct {
	dial  func(ctx context.Context, address string) (net.Conn, error)
	write func(fd int, b []byte) (int, error) // does not wait
}

var systemCalls = calls{
	dial: func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	},
	write: syscall.Write,
}

// dialPause is how soon a dial is tried again that failed for a moment, doubled up to closing: such a moment may be a packet's.
const dialPause = 2 * time.Millisecond

// dial connects. What may be over in a moment is tried again for as long as a connection may take to come up; where descriptors
// are short, idle clients make room meanwhile.
func (sc *serverConn) dial() (net.Conn, error) {
	var previous error // why the try before failed, through no fault of the server's
	for pause := dialPause; ; pause = min(2*pause, descriptorWait) {
		conn, err := sc.router.calls.dial(sc.dialing, sc.pool.address)
		switch {
		case err == nil:
			return conn, nil
		case localFailure(err), transient(err):
		case localFailure(previous) && os.IsTimeout(err):
			return nil, previous // the server had but the rest of the time
		default:
			return nil, err
		}
		previous = err
		if errors.Is(err, syscall.EMFILE) {
			sc.router.countAnomaly("out of descriptors for a server")
			if sc.router.makeRoom(1) {
				continue
			}
		} else {
			sc.router.countAnomaly("a dial failed for a moment")
		}
		select {
		case <-sc.dialing.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

// localFailure tells of a fault that is this machine's, and no sign about a server.
func localFailure(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
		syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.EAGAIN}, func(errno error) bool { return errors.Is(err, errno) })
}

// transient tells of a fault of the way that may be over in a moment. One that lasts is a sign about the server.
func transient(err error) bool {
	return errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETDOWN) ||
		errors.Is(err, syscall.ECONNABORTED)
}

// corruptionOf tells what was wrong with an answer; empty where the connection itself ended.
func corruptionOf(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "stopped short"
	}
	for _, known := range []error{binframe.ErrMark, binframe.ErrCode, binframe.ErrLength, binframe.ErrCheck} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return ""
}

// connectionBroke takes in the end of a connection: what it means to each sending follows from how far that had got.
func (r *Router) connectionBroke(now control.Micros, sc *serverConn, result control.Result) {
	open := sc.open
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
			callResult = control.NotSent // its frame did not come whole
		}
		r.callEnded(now, call, callResult, nil)
	}
}
