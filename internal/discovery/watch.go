package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// watch is one connection on which a board tells events. It is read without waiting, by whoever holds the follower's lock.
type watch struct {
	conn     net.Conn
	raw      syscall.RawConn
	unread   []byte // read from the connection, but no whole line yet
	address  string
	lastLine time.Time // a whole line, or the question
	skipping bool      // to the end of a line that is too long
	complete time.Time // as of when all that had come was read
	ended    error     // nothing further comes
}

const (
	// maxLine is an event with some thousand servers. A longer line is no event.
	maxLine = 4 << 20
	// chunk is how much is read at a time: several events about one server.
	chunk = 8 << 10
	// maxAtOnce is how much is read without a pause, so that a board that never stops writing holds up no turn for long.
	maxAtOnce = maxLine
)

// interruptedMost is how often a read that a signal interrupts is made again at once: signals come some a second at most.
const interruptedMost = 8

var read = syscall.Read // tests have it fail

// Why a watch ends.
var (
	errLineTooLong    = errors.New("a line without an end")
	errMissing        = errors.New("an event is missing")
	errSilent         = errors.New("silent")
	errAddressChanged = errors.New("turned to another address")
)

// events is what a watch passes on what it reads to.
type events interface {
	handleLine(line []byte) error
	handleLongLine() (skip bool)
}

// newWatch asks at an address for all events after a number.
func newWatch(conn net.Conn, address string, last uint64) (*watch, error) {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("notice board: %T can't be read without waiting", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	conn.SetWriteDeadline(time.Now().Add(dialTime))
	if _, err := fmt.Fprintf(conn, "watch %d\n", last); err != nil {
		return nil, err
	}
	now := time.Now()
	return &watch{conn: conn, raw: raw, address: address, lastLine: now, complete: now}, nil
}

// readAll reads all that has come and passes each whole line on, until the connection has nothing more or ends. It reads the
// descriptor itself: a deadline that passed while the process was stopped must not hide what waits there.
func (w *watch) readAll(to events) error {
	var err error
	if e := w.raw.Control(func(fd uintptr) { err = w.drain(fd, to) }); e != nil {
		err = e
	}
	return w.end(err)
}

// end notes why the watch ended, the first time.
func (w *watch) end(err error) error {
	if w.ended == nil && err != nil {
		w.ended = err
		w.conn.SetReadDeadline(time.Now()) // wakes the goroutine that waits for it
	}
	return w.ended
}

func (w *watch) drain(fd uintptr, to events) error {
	if w.ended != nil {
		return w.ended
	}
	began := time.Now()
	var part [chunk]byte
	interrupted := 0
	for total := 0; total < maxAtOnce; {
		n, err := read(int(fd), part[:])
		switch {
		case errors.Is(err, syscall.EINTR) && interrupted < interruptedMost:
			interrupted++
			continue
		case errors.Is(err, syscall.EAGAIN):
			w.complete = began
			return nil
		case err != nil:
			return err
		case n == 0:
			return io.EOF // what came of a line is not taken in
		}
		total += n
		if err := w.lines(part[:n], to); err != nil {
			return err
		}
	}
	return nil
}

// lines passes on the lines that are whole with what was read.
func (w *watch) lines(read []byte, to events) error {
	w.unread = append(w.unread, read...)
	for {
		end := bytes.IndexByte(w.unread, '\n')
		if end < 0 {
			break
		}
		line := w.unread[:end]
		w.unread = w.unread[end+1:]
		w.lastLine = time.Now()
		if w.skipping {
			w.skipping = false
			continue
		}
		if err := to.handleLine(line); err != nil {
			return err
		}
	}
	if w.skipping || len(w.unread) == 0 {
		w.unread = nil
	}
	if len(w.unread) <= maxLine {
		return nil
	}
	if !to.handleLongLine() {
		return errLineTooLong
	}
	w.skipping, w.unread = true, nil
	return nil
}

// wait has all that comes read until read gives an error, or the deadline passes.
func (w *watch) wait(read func(fd uintptr) error) error {
	var ended error
	err := w.raw.Read(func(fd uintptr) bool {
		ended = read(fd)
		return ended != nil
	})
	if ended != nil {
		return ended
	}
	return err
}
