package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hollymast/internal/platformtest"
)

// stalling is the router's end of a client connection: while a test holds the lock, nothing is read, as by a reader
// that waits for the processor.
type lockedConn struct {
	*net.TCPConn
	sync.RWMutex
}

func (s *lockedConn) Read(b []byte) (int, error) {
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if err != nil {
		return 0, err
	}
	s.RLock()
	defer s.RUnlock()
	return s.TCPConn.Read(b)
}

// leaving are the ways in which a client stops waiting for its request 1.
var departures = map[string]func(c *testClient){
	"cancels":     func(c *testClient) { c.send(2, "forget", []any{1}) },
	"closes":      func(c *testClient) { c.conn.Close() },
	"half closes": func(c *testClient) { c.conn.(*net.TCPConn).CloseWrite() },
	"resets":      func(c *testClient) { c.conn.(*net.TCPConn).SetLinger(0); c.conn.Close() },
	"cancels behind another request": func(c *testClient) {
		c.call(2, "again", "lookup", "00000000000000ff")
		c.send(2, "forget", []any{1})
		c.send(2, "forget", []any{2})
	},
}

// A client leaves while its attempt waits, and nobody reads that for long: no first byte follows.
func TestUnreadDepartureWithdrawsAttempt(t *testing.T) {
	const unread, watched = 130 * time.Millisecond, 300 * time.Millisecond
	for how, leave := range departures {
		for where, way := range map[string]struct {
			dial   func(conn net.Conn, filled chan<- int, left <-chan bool)
			accept func(c net.Conn, filled <-chan int, left <-chan bool)
		}{
			"in a dial": {dial: func(_ net.Conn, _ chan<- int, left <-chan bool) { <-left }},
			"for room": {
				dial: func(conn net.Conn, filled chan<- int, _ <-chan bool) { filled <- fill(t, conn) },
				accept: func(c net.Conn, filled <-chan int, left <-chan bool) {
					<-left
					io.ReadFull(c, make([]byte, <-filled))
				},
			},
			"between two attempts": {accept: func(c net.Conn, _ <-chan int, left <-chan bool) {
				f, _ := platformtest.ReadFrame(c)
				<-left
				c.Write(platformtest.AnswerFrame(101, f.ID, "", nil))
			}},
		} {
			t.Run(how+" "+where, func(t *testing.T) {
				t.Parallel()
				waits, left, filled, first := make(chan bool, 8), make(chan bool), make(chan int, 8), make(chan platformtest.Frame, 8)
				var nth atomic.Int32
				server := listenNarrow(t, func(c net.Conn) {
					if way.accept != nil && nth.Add(1) == 1 {
						waits <- true
						way.accept(c, filled, left)
					}
					for {
						f, err := platformtest.ReadFrame(c)
						if err != nil {
							return
						}
						first <- f
					}
				})
				r := startChanged(t, func(p *Router) {
					longGrace(p)
					p.calls.dial = func(ctx context.Context, address string) (net.Conn, error) {
						conn, err := systemCalls.dial(ctx, address)
						if err == nil && way.dial != nil {
							waits <- true
							way.dial(conn, filled, left)
						}
						return conn, err
					}
				}, server)
				ours, theirs := platformtest.ConnPair(t)
				stalled := &lockedConn{TCPConn: ours.(*net.TCPConn)}
				r.serveClient(stalled)
				c := &testClient{t, theirs, msgpack.NewDecoder(theirs)}
				c.call(1, "again")
				<-waits
				time.Sleep(maxUnreadAge) // the attempt waits, and the reader for what comes
				stalled.Lock()
				leave(c)
				time.Sleep(unread)
				close(left)
				select {
				case f := <-first:
					t.Errorf("a frame of code %d follows", f.Code)
				case <-time.After(watched):
				}
				stalled.Unlock()
			})
		}
	}
}

// What a trackedConn knows of unread input while its reader does not return.
func TestTrackedConnDetectsUnreadInput(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			ours, theirs := platformtest.ConnPair(t)
			s := newTrackedConn(ours)
			if !s.direct {
				t.Fatal("not read from the descriptor")
			}
			later := func() time.Time { return time.Now().Add(maxUnreadAge + time.Millisecond) }
			theirs.Write([]byte("request"))
			b := make([]byte, 100)
			if n, err := s.Read(b); n != 7 || err != nil {
				t.Fatalf("read %d, %v", n, err)
			}
			if s.upToDate(time.Now()) {
				t.Error("what was read of a new connection is not taken in yet")
			}
			s.SetReadDeadline(time.Now().Add(maxUnreadAge))
			if _, err := s.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal(err)
			}
			if !s.upToDate(later()) {
				t.Error("nothing is unread")
			}
			leave(&testClient{t, theirs, msgpack.NewDecoder(theirs)})
			waitFor(t, "it is told that something is unread", func() bool {
				s.asOf = time.Now().Add(-maxUnreadAge - 1) // the reader looked that long ago
				return !s.upToDate(time.Now())
			})
			if s.asOf = time.Now(); !s.upToDate(time.Now()) {
				t.Error("where the reader looked just now it is looked again")
			}
		})
	}
}
