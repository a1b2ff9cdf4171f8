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

// watch is a connection on which a discovery server sends events. It is read without blocking, with the client's lock
// held.
type watch struct {
	conn         net.Conn
	raw          syscall.RawConn
	partialLine  []byte // start of a line whose end has not arrived
	address      string
	subscribedAt time.Time
	answered     bool      // a line was read
	lastLine     time.Time // when the last line was read, or the subscription was sent
	skippingLine bool      // discard input up to the end of a line that is too long
	completeAsOf time.Time // when the last read began that consumed everything received
	endErr       error     // why the watch ended; nil while it is read
}

const (
	// maxLine fits an event with a few thousand servers; a longer line is not accepted as an event.
	maxLine = 4 << 20
	// readSize is the size of the read buffer. It holds several events about one server.
	readSize = 8 << 10
	// maxReadPerCall bounds how much one call reads, so that a server that writes without end does not block a step of
	// the event loop for long.
	maxReadPerCall = maxLine
)

// maxInterruptions bounds the immediate retries of a read that was interrupted by a signal (EINTR). At most a few
// signals arrive per second.
const maxInterruptions = 8

var read = syscall.Read // replaced in tests

// Reasons why a watch ends.
var (
	errLineTooLong    = errors.New("line too long")
	errEventMissing   = errors.New("an event is missing")
	errSilent         = errors.New("no message within the timeout")
	errAddressChanged = errors.New("address changed")
)

// lineHandler handles the lines that a watch reads.
type lineHandler interface {
	handleLine(line []byte) error
	handleLongLine() (skip bool)
}

// newWatch subscribes to all events after a revision on a new connection to address.
func newWatch(conn net.Conn, address string, revision uint64) (*watch, error) {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("discovery: %T does not support non-blocking reads", conn)
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
	return &watch{conn: conn, raw: raw, address: address, subscribedAt: now, lastLine: now, completeAsOf: now}, nil
}

// readAll reads everything that has arrived, up to maxReadPerCall, and passes each complete line to the handler. It
// reads the file descriptor directly: with conn.Read, a deadline that passed while the process was stalled would hide
// input that has already arrived.
func (w *watch) readAll(handler lineHandler) error {
	var err error
	if e := w.raw.Control(func(fd uintptr) { err = w.readAvailable(fd, handler) }); e != nil {
		err = e
	}
	return w.markEnded(err)
}

// markEnded records err as the reason why the watch ended, unless one is recorded already, and returns the recorded
// one. A nil err does not end the watch.
func (w *watch) markEnded(err error) error {
	if w.endErr == nil && err != nil {
		w.endErr = err
		w.conn.SetReadDeadline(time.Now()) // wake the goroutine that waits for input
	}
	return w.endErr
}

// readAvailable reads from the file descriptor until a read would block, maxReadPerCall is reached, or the watch ends.
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
			return io.EOF // an incomplete line is discarded
		}
		total += n
		if err := w.handleLines(buf[:n], handler); err != nil {
			return err
		}
	}
	return nil
}

// handleLines passes each line that the new data completes to the handler.
func (w *watch) handleLines(data []byte, handler lineHandler) error {
	w.partialLine = append(w.partialLine, data...)
	for {
		end := bytes.IndexByte(w.partialLine, '\n')
		if end < 0 {
			break
		}
		line := w.partialLine[:end]
		w.partialLine = w.partialLine[end+1:]
		w.lastLine, w.answered = time.Now(), true
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

// wait calls read each time input has arrived, until read returns an error or the read deadline passes.
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
