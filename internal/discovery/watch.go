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

// watch is one connection on which a discovery server sends events. It is read without blocking, by whoever
// holds the client's lock.
type watch struct {
	conn         net.Conn
	raw          syscall.RawConn
	partialLine  []byte // read from the connection, but no complete line yet
	address      string
	lastLine     time.Time // when a line was complete, or the subscription was sent
	skippingLine bool      // to the end of a line that is too long
	completeAsOf time.Time // as of when all that had arrived was read
	endErr       error     // why nothing more is read
}

const (
	// maxLine is an event with a few thousand servers. A longer line is no event.
	maxLine = 4 << 20
	// readSize is how much is read at a time: several events about one server.
	readSize = 8 << 10
	// maxReadPerCall bounds how much is read without a pause, so that a server that never stops writing does not block
	// a step of the event loop for long.
	maxReadPerCall = maxLine
)

// maxInterruptions bounds how often a read that a signal interrupts is repeated at once: signals come a few a
// second at most.
const maxInterruptions = 8

var read = syscall.Read // replaced by tests

// Why a watch ends.
var (
	errLineTooLong    = errors.New("line too long")
	errEventMissing   = errors.New("an event is missing")
	errSilent         = errors.New("no message in time")
	errAddressChanged = errors.New("address changed")
)

// lineHandler handles what a watch reads.
type lineHandler interface {
	handleLine(line []byte) error
	handleLongLine() (skip bool)
}

// newWatch subscribes, on a new connection to address, to all events after a revision.
func newWatch(conn net.Conn, address string, revision uint64) (*watch, error) {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("discovery: %T can't be read without blocking", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	conn.SetWriteDeadline(time.Now().Add(dialTimeout))
	if _, err := fmt.Fprintf(conn, "watch %d\n", revision); err != nil {
		return nil, err
	}
	now := time.Now()
	return &watch{conn: conn, raw: raw, address: address, lastLine: now, completeAsOf: now}, nil
}

// readAll reads all that has arrived and passes on each complete line, until there is nothing more or the
// connection ends. It reads the descriptor itself: a deadline that passed while the process was stalled must not
// hide what has arrived.
func (w *watch) readAll(handler lineHandler) error {
	var err error
	if e := w.raw.Control(func(fd uintptr) { err = w.readAvailable(fd, handler) }); e != nil {
		err = e
	}
	return w.markEnded(err)
}

// markEnded records why the watch ended, the first time, and returns it.
func (w *watch) markEnded(err error) error {
	if w.endErr == nil && err != nil {
		w.endErr = err
		w.conn.SetReadDeadline(time.Now()) // wakes the goroutine that waits for it
	}
	return w.endErr
}

// readAvailable reads from the descriptor until it would block, maxAtOnce bytes were read, or the watch ends.
func (w *watch) readAvailable(fd uintptr, handler lineHandler) error {
	if w.endErr != nil {
		return w.endErr
	}
	began := time.Now()
	var buf [readSize]byte
	interrupted := 0
	for total := 0; total < maxReadPerCall; {
		n, err := read(int(fd), buf[:])
		switch {
		case errors.Is(err, syscall.EINTR) && interrupted < maxInterruptions:
			interrupted++
			continue
		case errors.Is(err, syscall.EAGAIN):
			w.completeAsOf = began
			return nil
		case err != nil:
			return err
		case n == 0:
			return io.EOF // an incomplete line is not used
		}
		total += n
		if err := w.handleLines(buf[:n], handler); err != nil {
			return err
		}
	}
	return nil
}

// handleLines passes on the lines that are complete with what was read.
func (w *watch) handleLines(data []byte, handler lineHandler) error {
	w.partialLine = append(w.partialLine, data...)
	for {
		end := bytes.IndexByte(w.partialLine, '\n')
		if end < 0 {
			break
		}
		line := w.partialLine[:end]
		w.partialLine = w.partialLine[end+1:]
		w.lastLine = time.Now()
		if w.skippingLine {
			w.skippingLine = false
			continue
		}
		if err := handler.handleLine(line); err != nil {
			return err
		}
	}
	if w.skippingLine || len(w.partialLine) == 0 {
		w.partialLine = nil
	}
	if len(w.partialLine) <= maxLine {
		return nil
	}
	if !handler.handleLongLine() {
		return errLineTooLong
	}
	w.skippingLine, w.partialLine = true, nil
	return nil
}

// wait calls read whenever something has arrived, until read returns an error or the deadline passes.
func (w *watch) wait(read func(fd uintptr) error) error {
	var endErr error
	err := w.raw.Read(func(fd uintptr) bool {
		endErr = read(fd)
		return endErr != nil
	})
	if endErr != nil {
		return endErr
	}
	return err
}
