package rest

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// waits returns once bytes have come on a server's connection.
func awaitData(t *testing.T, s *Conn) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); isQuiet(socketOf(s.conn)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing came")
		}
	}
}

// A deadline that passed while the process stood still does not hide what had come: it is read first.
func TestWhatCameIsReadBeforeADeadlineCounts(t *testing.T) {
	long := bytes.Repeat([]byte("x"), 3*readBuffer)
	for name, passed := range map[string]func(*Limits){
		"idle":   func(l *Limits) { l.IdleTimeout = time.Nanosecond },
		"header": func(l *Limits) { l.HeaderTimeout = time.Nanosecond },
		"body":   func(l *Limits) { l.BodyTimeout = time.Nanosecond },
	} {
		l := DefaultLimits
		passed(&l)
		s, conn := testConn(t, l)
		io.WriteString(conn, requestHead+"Long: "+string(long[:5000])+"\r\nContent-Length: 6144\r\n\r\n")
		conn.Write(long)
		awaitData(t, s)
		time.Sleep(10 * time.Millisecond) // for the rest of it
		if req, err := s.ReadRequest(); err != nil || len(req.Body) != len(long) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// A connection that is to end soon is told so while a message comes, between two, or while one is awaited: it still gives the
// message, and ends when nothing comes.
func TestEndsBetweenMessages(t *testing.T) {
	s, conn := testConn(t, DefaultLimits)
	s.SetIdleDeadline(time.Now()) // before anything is awaited
	io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	awaitData(t, s)
	if req, err := s.ReadRequest(); err != nil || req.Target != "/1" {
		t.Errorf("sent before: got %+v, %v", req, err)
	}
	if _, err := s.ReadRequest(); err != ErrIdle {
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
	if _, err := quiet.ReadRequest(); err != ErrIdle {
		t.Errorf("while nothing comes: got %v", err)
	}
}

// The last answer on a connection is whole at a client that reads slowly and has sent more than is read: a close with
// something unread would reset the connection, and what of the answer is on the way would be gone.
func TestLastAnswerIsNotOvertakenByAReset(t *testing.T) {
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
	time.Sleep(300 * time.Millisecond)
	got, err := io.ReadAll(conn)
	if err != nil || !bytes.HasSuffix(got, answer) {
		t.Errorf("%d bytes of over %d, %v", len(got), len(answer), err)
	}
	conn.Close()
	if err := <-answered; err != nil {
		t.Error(err)
	}
}

// A look that a signal interrupts is made again, and not for ever.
func TestInterruptedLook(t *testing.T) {
	s, conn := testConn(t, DefaultLimits)
	io.WriteString(conn, "x")
	awaitData(t, s)
	times, calls := 0, 0
	recvfrom = func(fd int, b []byte, flags int) (int, syscall.Sockaddr, error) {
		if calls++; calls <= times {
			return -1, nil, syscall.EINTR
		}
		return syscall.Recvfrom(fd, b, flags)
	}
	defer func() { recvfrom = syscall.Recvfrom }()
	for times = range 10 {
		if calls = 0; s.HasPending() != (times < maxInterrupted) || calls > maxInterrupted {
			t.Errorf("interrupted %d times: %d calls", times, calls)
		}
	}
}
