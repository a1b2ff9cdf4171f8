package rest

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// awaitBytes waits until n bytes have arrived on a server's connection and were not read.
func awaitBytes(t *testing.T, s *Conn, n int) {
	t.Helper()
	waitUntil(t, "bytes arrive", func() bool {
		arrived := 0
		ok := control(s.conn, func(fd int) { arrived, _ = unix.IoctlGetInt(fd, unix.TIOCINQ) })
		return ok && arrived >= n
	})
}

// A deadline that passed while the process was stalled does not hide what had arrived: that is read first.
func TestPendingBytesAreReadAtDeadline(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 3*readBuffer)
	for name, passed := range map[string]func(*Limits){
		"idle":   func(l *Limits) { l.IdleTimeout = time.Nanosecond },
		"header": func(l *Limits) { l.HeaderTimeout = time.Nanosecond },
		"body":   func(l *Limits) { l.BodyTimeout = time.Nanosecond },
	} {
		l := DefaultLimits
		passed(&l)
		s, conn := testConn(t, l)
		head := requestHead + "Long: " + string(long[:5000]) + "\r\nContent-Length: 6144\r\n\r\n"
		io.WriteString(conn, head)
		conn.Write(long)
		awaitBytes(t, s, len(head)+len(long))
		if req, err := s.ReadRequest(); err != nil || len(req.Body) != len(long) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// An idle deadline is set while a message arrives, between two, or while one is awaited: the message is still read, and
// the connection is idle when nothing arrives.
func TestSetIdleDeadline(t *testing.T) {
	s, conn := testConn(t, DefaultLimits)
	s.SetIdleDeadline(time.Now()) // before anything is awaited
	const first = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
	io.WriteString(conn, first)
	awaitBytes(t, s, len(first))
	if req, err := s.ReadRequest(); err != nil || req.Target != "/1" {
		t.Errorf("sent before: got %+v, %v", req, err)
	}
	if _, err := s.ReadRequest(); !errors.Is(err, ErrIdle) {
		t.Errorf("nothing sent: got %v", err)
	}

	begun, client := testConn(t, DefaultLimits)
	io.WriteString(client, "GET /2 HTTP/1.1\r\n") // it has begun
	time.AfterFunc(50*time.Millisecond, func() { begun.SetIdleDeadline(time.Now()) })
	time.AfterFunc(100*time.Millisecond, func() { io.WriteString(client, "Host: a\r\n\r\n") })
	if req, err := begun.ReadRequest(); err != nil || req.Target != "/2" {
		t.Errorf("begun before: got %+v, %v", req, err)
	}

	quiet, _ := testConn(t, DefaultLimits)
	time.AfterFunc(50*time.Millisecond, func() { quiet.SetIdleDeadline(time.Now()) })
	if _, err := quiet.ReadRequest(); !errors.Is(err, ErrIdle) {
		t.Errorf("while nothing comes: got %v", err)
	}
}

// The last response on a connection is complete at a client that reads slowly and has sent more than is read: closing with
// unread bytes would reset the connection and lose the part of the response that is in transit.
func TestLastResponseIsNotLostToReset(t *testing.T) {
	s, conn := testConn(t, DefaultLimits)
	conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	conn.Write(make([]byte, 200<<10))
	if _, err := s.ReadRequest(); err != nil {
		t.Fatal(err)
	}
	answer := bytes.Repeat([]byte("y"), 48<<10)
	answered := make(chan error, 1)
	go func() { answered <- s.WriteResponse(&Response{Status: 400, Body: answer, Close: true}) }()
	time.Sleep(300 * time.Millisecond) // the client reads slowly
	got, err := io.ReadAll(conn)
	if err != nil || !bytes.HasSuffix(got, answer) {
		t.Errorf("%d bytes of over %d, %v", len(got), len(answer), err)
	}
	conn.Close()
	if err := <-answered; err != nil {
		t.Error(err)
	}
}

// A system call that a signal interrupts is retried, and not for ever.
func TestInterruptedPeek(t *testing.T) {
	s, conn := testConn(t, DefaultLimits)
	io.WriteString(conn, "x")
	awaitBytes(t, s, 1)
	times, calls := 0, 0
	recvfrom = func(fd int, b []byte, flags int) (int, syscall.Sockaddr, error) {
		if calls++; calls <= times {
			return -1, nil, syscall.EINTR
		}
		return syscall.Recvfrom(fd, b, flags)
	}
	defer func() { recvfrom = syscall.Recvfrom }()
	for times = range 10 {
		if calls = 0; s.HasPendingInput() != (times < maxInterrupted) || calls > maxInterrupted {
			t.Errorf("interrupted %d times: %d calls", times, calls)
		}
	}
}
