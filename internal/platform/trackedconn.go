package platform

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"hollymast/internal/tcpstate"
)

// trackedConn is a client connection that tracks up to which time everything the client sent has been processed. No
// attempt may start more than 0.1 s after its client has closed the connection or cancelled the request, and either
// may be unread in the socket: after a stall of the process, or while readers wait for the processor. The last check
// before the first byte therefore considers the age of what was read, as it considers the age of the endpoint list.
type trackedConn struct {
	net.Conn
	raw               syscall.RawConn // nil if there is no descriptor
	readsDescriptor   bool            // reads use the descriptor itself, which shows when nothing is left
	tellsClose        bool            // the system told that the connection was open when it was accepted, so it will tell of a close
	mu                sync.Mutex      // held from an access to the descriptor until its result is recorded
	allProcessed      bool            // everything read has been processed
	processedUpTo     time.Time       // everything that arrived by then has been processed; zero: not known yet
	emptyingReadStart time.Time       // when the last read started; zero if it filled its buffer and may have left input
}

// maxUnreadAge is how old the last processed input of a client may be when a first byte is written, unless the socket
// proves empty. It is half of the 0.1 s that trackedConn guarantees; the other half is for the network.
const maxUnreadAge = 50 * time.Millisecond

// newTrackedConn wraps an accepted connection.
func newTrackedConn(conn net.Conn) *trackedConn {
	t := &trackedConn{Conn: conn}
	if c, ok := conn.(syscall.Conn); ok {
		t.raw, _ = c.SyscallConn()
	}
	_, t.readsDescriptor = conn.(*net.TCPConn)
	t.tellsClose = t.raw != nil && !tcpstate.PeerClosed(t.raw)
	return t
}

// Read reads from the connection. It must be called only when everything read before has been processed, or in the
// middle of a message.
func (t *trackedConn) Read(b []byte) (n int, err error) {
	t.mu.Lock()
	t.allProcessed = true
	if !t.emptyingReadStart.IsZero() {
		t.processedUpTo = t.emptyingReadStart
	}
	t.mu.Unlock()
	if !t.readsDescriptor || t.raw == nil || len(b) == 0 {
		began := time.Now()
		n, err = t.Conn.Read(b)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.recordRead(began, n, len(b))
		return n, err
	}
	return t.read(b, wait)
}

// read reads from the descriptor itself and records whether anything was pending.
func (t *trackedConn) read(b []byte, mode waitMode) (int, error) {
	return readRaw(t.raw, mode, func(fd int) (int, error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		began := time.Now()
		n, err := retryInterrupted(func() (int, error) { return syscall.Read(fd, b) })
		if errors.Is(err, syscall.EAGAIN) {
			t.processedUpTo = began
		} else {
			t.recordRead(began, n, len(b))
		}
		return n, err
	})
}

// waitMode is what a read does if nothing is pending.
type waitMode bool

const (
	wait   waitMode = true
	noWait waitMode = false // returns EAGAIN
)

// readRaw reads by calling a function on a non-blocking descriptor.
func readRaw(raw syscall.RawConn, mode waitMode, call func(fd int) (int, error)) (n int, err error) {
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = retryInterrupted(func() (int, error) { return call(int(fd)) })
		return mode == noWait || !errors.Is(readErr, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readAvailable reads what has arrived, without blocking. Its error is EAGAIN if that is nothing.
func readAvailable(raw syscall.RawConn, b []byte) (int, error) {
	return readRaw(raw, noWait, func(fd int) (int, error) { return syscall.Read(fd, b) })
}

// recordRead records a read that started at began and returned n bytes into a buffer of bufferSize. The caller holds
// mu.
func (t *trackedConn) recordRead(began time.Time, n, bufferSize int) {
	t.allProcessed = false
	if t.emptyingReadStart = began; n == bufferSize {
		t.emptyingReadStart = time.Time{}
	}
}

// upToDate reports whether everything that the client had sent by now is processed, except what may have arrived
// within maxUnreadAge.
func (t *trackedConn) upToDate(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.raw == nil || now.Sub(t.processedUpTo) <= maxUnreadAge {
		return true
	}
	if !t.allProcessed || hasUnread(t.raw) {
		return false
	}
	t.processedUpTo = now
	return true
}

// peerClosed reports whether the client has closed the connection, even if input before that is unread. It returns false if the
// system does not tell.
func (t *trackedConn) peerClosed() bool { return t.tellsClose && tcpstate.PeerClosed(t.raw) }

// lastEmptyAt returns when the reader last found nothing pending.
func (t *trackedConn) lastEmptyAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.processedUpTo
}

// hasUnread checks a socket for input that was not read yet: a message or the end of the connection.
func hasUnread(raw syscall.RawConn) bool {
	var peekErr error
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, peekErr = retryInterrupted(func() (int, error) {
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
	})
	return err != nil || !errors.Is(peekErr, syscall.EAGAIN)
}

// maxInterruptions bounds how often a call interrupted by a signal is retried immediately; one or two interruptions
// in a row are usual.
const maxInterruptions = 100

// retryInterrupted retries a call while it returns EINTR. It never returns a negative count.
func retryInterrupted(call func() (int, error)) (n int, err error) {
	for range maxInterruptions {
		if n, err = call(); !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	return max(0, n), err
}
