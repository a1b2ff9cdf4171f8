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

	"hollymast/internal/platformtest"
)

// lockedConn is the router's end of a client connection: while a test holds the lock nothing is read, as by a reader
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

// clientDepartures are the ways in which a client stops waiting for its request 1.
var clientDepartures = map[string]func(c *testClient){
	"cancels":     func(c *testClient) { c.sendCancel(1) },
	"closes":      func(c *testClient) { c.conn.Close() },
	"half closes": func(c *testClient) { c.conn.(*net.TCPConn).CloseWrite() },
	"resets":      func(c *testClient) { c.conn.(*net.TCPConn).SetLinger(0); c.conn.Close() },
	"cancels behind another request": func(c *testClient) {
		c.sendRequest(2, "again", "lookup", "00000000000000ff")
		c.sendCancel(1)
		c.sendCancel(2)
	},
}

// A client leaves while its attempt waits, and that lies unread for long: no first byte follows.
func TestUnreadDepartureWithdrawsAttempt(t *testing.T) {
	const unreadFor, watchedFor = 130 * time.Millisecond, 300 * time.Millisecond
	for how, leave := range clientDepartures {
		for where, hold := range map[string]struct {
			dial   func(conn net.Conn, filled chan<- int, departed <-chan bool)
			accept func(c net.Conn, filled <-chan int, departed <-chan bool)
		}{
			"in a dial": {dial: func(_ net.Conn, _ chan<- int, departed <-chan bool) { <-departed }},
			"for room": {
				dial: func(conn net.Conn, filled chan<- int, _ <-chan bool) { filled <- fillSendBuffer(t, conn) },
				accept: func(c net.Conn, filled <-chan int, departed <-chan bool) {
					<-departed
					io.ReadFull(c, make([]byte, <-filled))
				},
			},
			"between two attempts": {accept: func(c net.Conn, _ <-chan int, departed <-chan bool) {
				f, _ := platformtest.ReadFrame(c)
				<-departed
				c.Write(platformtest.AnswerFrame(codeError, f.ID, "", nil))
			}},
		} {
			t.Run(how+" "+where, func(t *testing.T) {
				t.Parallel()
				waiting, departed, filled, written := make(chan bool, 8), make(chan bool), make(chan int, 8), make(chan platformtest.Frame, 8)
				var connections atomic.Int32
				server := listenSmallBuffer(t, func(c net.Conn) {
					if hold.accept != nil && connections.Add(1) == 1 {
						waiting <- true
						hold.accept(c, filled, departed)
					}
					for {
						f, err := platformtest.ReadFrame(c)
						if err != nil {
							return
						}
						written <- f
					}
				})
				r := startWith(t, func(r *Router) {
					longGrace(r)
					r.connFuncs.dial = func(ctx context.Context, address string) (net.Conn, error) {
						conn, err := defaultConnFuncs.dial(ctx, address)
						if err == nil && hold.dial != nil {
							waiting <- true
							hold.dial(conn, filled, departed)
						}
						return conn, err
					}
				}, server)
				ours, theirs := platformtest.ConnPair(t)
				locked := &lockedConn{TCPConn: ours.(*net.TCPConn)}
				r.serveClient(locked)
				c := newTestClient(t, theirs)
				c.sendRequest(1, "again")
				<-waiting
				time.Sleep(maxUnreadAge) // the attempt waits, and the reader for what comes
				locked.Lock()
				leave(c)
				time.Sleep(unreadFor)
				close(departed)
				select {
				case f := <-written:
					t.Errorf("a frame of code %d follows", f.Code)
				case <-time.After(watchedFor):
				}
				locked.Unlock()
			})
		}
	}
}

// A trackedConn detects unread input while its reader does not return.
func TestTrackedConnDetectsUnreadInput(t *testing.T) {
	for how, leave := range clientDepartures {
		t.Run(how, func(t *testing.T) {
			ours, theirs := platformtest.ConnPair(t)
			s := newTrackedConn(ours)
			if !s.readsDescriptor {
				t.Fatal("not read from the descriptor")
			}
			later := func() time.Time { return time.Now().Add(maxUnreadAge + time.Millisecond) }
			theirs.Write([]byte("request"))
			b := make([]byte, 100)
			if n, err := s.Read(b); n != 7 || err != nil {
				t.Fatalf("read %d, %v", n, err)
			}
			if s.upToDate(time.Now()) {
				t.Error("what was read of a new connection is not processed yet")
			}
			s.SetReadDeadline(time.Now().Add(maxUnreadAge))
			if _, err := s.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal(err)
			}
			if !s.upToDate(later()) {
				t.Error("nothing is unread")
			}
			leave(newTestClient(t, theirs))
			platformtest.WaitFor(t, "unread input is detected", func() bool {
				s.processedUpTo = time.Now().Add(-maxUnreadAge - 1) // the reader looked that long ago
				return !s.upToDate(time.Now())
			})
			if s.processedUpTo = time.Now(); !s.upToDate(time.Now()) {
				t.Error("where the reader looked just now the socket is looked at again")
			}
		})
	}
}
