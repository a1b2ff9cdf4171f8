package platform

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// trackedConn is a client connection that tracks as of when all that the client sent has been processed. No attempt
// may begin more than 0.1 s after its client has closed or cancelled, and either may lie unread in the socket: after
// a stall of the process, or while readers wait for the processor. So the last check before the first byte rests on
// the age of what was read, as it does on the age of the endpoint list.
type trackedConn struct {
	net.Conn
	raw               syscall.RawConn // nil: no descriptor to look into
	readsDescriptor   bool            // read from the descriptor itself, which shows when nothing is left
	mu                sync.Mutex      // held from a look into the descriptor until its result is recorded
	allProcessed      bool            // all that was read is processed
	processedUpTo     time.Time       // all that had come by then is processed; zero: not known yet
	emptyingReadStart time.Time       // when the last read began; zero: it may have left some
}

// maxUnreadAge is how old what was read from a client may be at a first byte: half of the 0.1 s; the other half is
// for the network.
const maxUnreadAge = 50 * time.Millisecond

// newTrackedConn wraps an accepted connection.
func newTrackedConn(conn net.Conn) *trackedConn {
	t := &trackedConn{Conn: conn}
	if c, ok := conn.(syscall.Conn); ok {
		t.raw, _ = c.SyscallConn()
	}
	_, t.readsDescriptor = conn.(*net.TCPConn)
	return t
}

// Read reads from the connection. It must be called only once all that was read before has been processed, except
// amid a message.
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
func (t *trackedConn) read(b []byte, waiting waitMode) (int, error) {
	return readRaw(t.raw, waiting, func(fd int) (int, error) {
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

// waitMode is what a read does where nothing is pending.
type waitMode bool

const (
	wait   waitMode = true
	noWait waitMode = false // returns EAGAIN
)

// readRaw reads through a call on a descriptor that does not block.
func readRaw(raw syscall.RawConn, waiting waitMode, call func(fd int) (int, error)) (n int, err error) {
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = retryInterrupted(func() (int, error) { return call(int(fd)) })
		return waiting == noWait || !errors.Is(readErr, syscall.EAGAIN)
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

// recordRead records a read of n bytes, of most, that began at began. The lock is held.
func (t *trackedConn) recordRead(began time.Time, n, size int) {
	t.allProcessed = false
	if t.emptyingReadStart = began; n == size {
		t.emptyingReadStart = time.Time{}
	}
}

// upToDate reports whether all that the client had sent by now is processed, or all but what came within
// maxUnreadAge.
func (t *trackedConn) upToDate(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.raw == nil || now.Sub(t.processedUpTo) <= maxUnreadAge {
		return true
	}
	if !t.allProcessed || t.hasUnread() {
		return false
	}
	t.processedUpTo = now
	return true
}

// lastEmptyAt returns when the reader last found nothing pending.
func (t *trackedConn) lastEmptyAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.processedUpTo
}

// hasUnread looks into the socket for what came since the last read: a message, or an end. The lock is held.
func (t *trackedConn) hasUnread() bool {
	var peekErr error
	err := t.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, peekErr = retryInterrupted(func() (int, error) {
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
	})
	return err != nil || !errors.Is(peekErr, syscall.EAGAIN)
}

// maxInterruptions bounds how often a call interrupted by a signal is retried at once; one or two come in a row.
const maxInterruptions = 100

// retryInterrupted retries a call that returns EINTR. It returns no negative count.
func retryInterrupted(call func() (int, error)) (n int, err error) {
	for range maxInterruptions {
		if n, err = call(); !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	return max(0, n), err
}
