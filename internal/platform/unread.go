package platform

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// seen is what a client sends, and as of when all of it was taken in. An attempt that begins more than 0.1 s after its client has
// closed or cancelled is a break, and either may lie unread in the socket: after a stop of the process, or while readers wait for
// the processor. So the last check before the first byte rests on the age of what was read, as it does with the list of servers.
type seen struct {
	net.Conn
	raw     syscall.RawConn // nil: there is no descriptor to look at
	direct  bool            // it is read from the descriptor itself, which tells when nothing was left
	mu      sync.Mutex      // held from a look at the descriptor until what it found is noted
	waits   bool            // all that was read is taken in
	asOf    time.Time       // all that had come by then is taken in; zero: some may have come before it was accepted
	emptied time.Time       // when the last read began; zero where it may have left some
}

// lookAge is how old what was read from a client may be at a first byte: half of the 0.1 s, the other is for the way here.
const lookAge = 50 * time.Millisecond

func newSeen(conn net.Conn) *seen {
	s := &seen{Conn: conn}
	if c, ok := conn.(syscall.Conn); ok {
		s.raw, _ = c.SyscallConn()
	}
	_, s.direct = conn.(*net.TCPConn)
	return s
}

// Read is called only once all that was read before is taken in, but for a message that has begun.
func (s *seen) Read(b []byte) (n int, err error) {
	s.mu.Lock()
	s.waits = true
	if !s.emptied.IsZero() {
		s.asOf = s.emptied
	}
	s.mu.Unlock()
	if !s.direct || s.raw == nil || len(b) == 0 {
		began := time.Now()
		n, err = s.Conn.Read(b)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.brought(began, n, len(b))
		return n, err
	}
	return s.read(b, wait)
}

// read reads from the descriptor itself and notes what was there.
func (s *seen) read(b []byte, waiting waiting) (int, error) {
	return readRaw(s.raw, waiting, func(fd int) (int, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		began := time.Now()
		n, err := uninterrupted(func() (int, error) { return syscall.Read(fd, b) })
		if errors.Is(err, syscall.EAGAIN) {
			s.asOf = began
		} else {
			s.brought(began, n, len(b))
		}
		return n, err
	})
}

// waiting tells what a read does where nothing is here.
type waiting bool

const (
	wait   waiting = true
	noWait waiting = false // it gives EAGAIN
)

// readRaw reads by a call on a descriptor that does not wait.
func readRaw(raw syscall.RawConn, waiting waiting, call func(fd int) (int, error)) (n int, err error) {
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		n, failed = uninterrupted(func() (int, error) { return call(int(fd)) })
		return waiting == noWait || !errors.Is(failed, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case failed != nil:
		return 0, failed
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// brought notes what a read brought. The lock is held.
func (s *seen) brought(began time.Time, n, most int) {
	s.waits = false
	if s.emptied = began; n == most {
		s.emptied = time.Time{}
	}
}

// level tells whether all that the client had sent by now is taken in, or all but the latest.
func (s *seen) level(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.raw == nil || now.Sub(s.asOf) <= lookAge {
		return true
	}
	if !s.waits || s.unread() {
		return false
	}
	s.asOf = now
	return true
}

// emptyAt gives when the reader last found that nothing more had come.
func (s *seen) emptyAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf
}

// unread looks at the socket itself for what came since the reader looked: a message, or an end. The lock is held.
func (s *seen) unread() bool {
	var found error
	err := s.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, found = uninterrupted(func() (int, error) {
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n, err
		})
	})
	return err != nil || !errors.Is(found, syscall.EAGAIN)
}

// interruptions bounds how often a call that a signal interrupts is tried again at once; one or two come in a row.
const interruptions = 100

func uninterrupted(call func() (int, error)) (n int, err error) {
	for range interruptions {
		if n, err = call(); !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	return max(0, n), err
}
