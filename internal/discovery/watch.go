package discovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// watch is a connection on which a discovery server sends events. It is read without blocking, with the client's lock
// held. The goroutine that opened it waits for input and closes the connection; others only mark the watch as ended.
type watch struct {
	address  string
	openedAt time.Time
	// superseded is set once the server has moved to another address: this watch is read until another one is up to date.
	superseded bool
	endErr     error           // why the watch ended; nil while it is open
	context    context.Context // ends with the watch
	cancel     context.CancelFunc

	conn              net.Conn // nil until the connection is established
	raw               syscall.RawConn
	subscription      *Subscription
	subscribedAt      time.Time
	answerDelay       time.Duration // from the subscription to the first input
	lastReceived      time.Time     // when input was last read; zero: none yet
	completeAsOf      time.Time     // when the last read began that consumed everything received
	partialLine       []byte        // start of a line whose end has not arrived
	lineBegan         time.Time     // when the start of that line was read
	skippingLine      bool          // discard input up to the end of a line that is too long
	overdue           bool          // another watch was opened because the next line did not arrive in time
	missingEventKnown bool          // the client has acted on a missing event
}

// phase is how far a watch has got.
type phase uint8

// Phases of a watch.
const (
	dialing   phase = iota
	waiting         // subscribed, and not answered
	receiving       // the server has answered
	unusable        // ended, superseded, overdue, or an event is missing
)

func (w *watch) phase() phase {
	switch {
	case w.endErr != nil || w.superseded:
		return unusable
	case w.conn == nil:
		return dialing
	case w.overdue || w.subscription.Missing():
		return unusable
	case w.lastReceived.IsZero():
		return waiting
	}
	return receiving
}

// answered reports whether the server has sent anything.
func (w *watch) answered() bool { return !w.lastReceived.IsZero() }

// withinLine reports whether the end of a line has not arrived.
func (w *watch) withinLine() bool { return len(w.partialLine) > 0 || w.skippingLine }

const (
	// maxLine fits an event with a few thousand servers; a longer line is not accepted as an event.
	maxLine = 4 << 20
	// readSize is the size of the read buffer. It holds several events about one server.
	readSize = 8 << 10
	// maxReadPerCall bounds how much one call reads, so that a server that writes without end does not block a step of
	// the event loop for long.
	maxReadPerCall = maxLine
	// subscribeTimeout is how long the few bytes of a subscription may take to fit into the send buffer of a new connection.
	subscribeTimeout = 500 * time.Millisecond
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
	errReplaced       = errors.New("replaced by another watch")
)

// lineHandler handles the lines that a watch reads.
type lineHandler interface {
	handleLine(w *watch, line []byte) error
}

// subscribe subscribes on a new connection to all events after the state's revision.
func (w *watch) subscribe(conn net.Conn, state *State) error {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return fmt.Errorf("discovery: %T does not support non-blocking reads", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	conn.SetWriteDeadline(time.Now().Add(subscribeTimeout))
	if _, err := fmt.Fprintf(conn, "watch %d\n", state.Revision()); err != nil {
		return err
	}
	now := time.Now()
	w.conn, w.raw, w.subscription = conn, raw, state.Subscribe()
	w.subscribedAt, w.completeAsOf = now, now
	return nil
}

// readAll reads everything that has arrived, up to maxReadPerCall, and passes each complete line to the handler. It
// reads the file descriptor directly, so that input is read whatever deadline has passed.
func (w *watch) readAll(handler lineHandler) error {
	if w.conn == nil {
		return w.endErr
	}
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
		if w.conn == nil {
			w.cancel()
		} else {
			w.conn.SetReadDeadline(time.Now()) // wake the goroutine that waits for input
		}
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
		if err := w.handleInput(buf[:n], handler); err != nil {
			return err
		}
	}
	return nil
}

// handleInput passes each line that the new input completes to the handler.
func (w *watch) handleInput(input []byte, handler lineHandler) error {
	now := time.Now()
	if !w.answered() {
		w.answerDelay = now.Sub(w.subscribedAt)
	}
	w.lastReceived = now
	if !w.withinLine() {
		w.lineBegan = w.lastReceived
	}
	if w.lastReceived.Before(w.lineBegan.Add(lineTimeout)) {
		w.overdue = false
	}
	w.partialLine = append(w.partialLine, input...)
	for {
		end := bytes.IndexByte(w.partialLine, '\n')
		if end < 0 {
			break
		}
		line := w.partialLine[:end]
		w.partialLine, w.lineBegan, w.overdue = w.partialLine[end+1:], w.lastReceived, false
		if w.skippingLine {
			w.skippingLine = false
			continue
		}
		if err := handler.handleLine(w, line); err != nil {
			return err
		}
	}
	if w.skippingLine || len(w.partialLine) == 0 {
		w.partialLine = nil
	}
	if len(w.partialLine) <= maxLine {
		return nil
	}
	if !w.subscription.HandleLongLine() {
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
