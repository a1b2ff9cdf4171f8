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

// lockedConn is the router's end of a client connection. While a test holds the lock nothing is read, as if the
// reader were waiting for a processor.
type lockedConn struct {
	*net.TCPConn
	sync.RWMutex
}

func (l *lockedConn) Read(b []byte) (int, error) {
	raw, err := l.SyscallConn()
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
	l.RLock()
	defer l.RUnlock()
	return l.TCPConn.Read(b)
}

// clientDepartures are the ways in which a client abandons its request 1.
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

// A client abandons its request while the attempt waits to be written, and the router does not read that for a long
// time. No first byte is written.
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
				routerConn, peerConn := platformtest.ConnPair(t)
				locked := &lockedConn{TCPConn: routerConn.(*net.TCPConn)}
				r.serveClient(locked)
				c := newTestClient(t, peerConn)
				c.sendRequest(1, "again")
				<-waiting
				time.Sleep(maxUnreadAge) // now the attempt waits, and the reader waits for input
				locked.Lock()
				leave(c)
				time.Sleep(unreadFor)
				close(departed)
				select {
				case f := <-written:
					t.Errorf("a frame with code %d was written after the client had left", f.Code)
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
			routerConn, peerConn := platformtest.ConnPair(t)
			tracked := newTrackedConn(routerConn)
			if !tracked.readsDescriptor {
				t.Fatal("not read from the descriptor")
			}
			later := func() time.Time { return time.Now().Add(maxUnreadAge + time.Millisecond) }
			peerConn.Write([]byte("request"))
			b := make([]byte, 100)
			if n, err := tracked.Read(b); n != 7 || err != nil {
				t.Fatalf("read %d, %v", n, err)
			}
			if tracked.upToDate(time.Now()) {
				t.Error("up to date before the first input of a new connection is processed")
			}
			tracked.SetReadDeadline(time.Now().Add(maxUnreadAge))
			if _, err := tracked.Read(b); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal(err)
			}
			if !tracked.upToDate(later()) {
				t.Error("not up to date although nothing is unread")
			}
			leave(newTestClient(t, peerConn))
			platformtest.WaitFor(t, "unread input is detected", func() bool {
				tracked.processedUpTo = time.Now().Add(-maxUnreadAge - 1) // as if the reader had checked that long ago
				return !tracked.upToDate(time.Now())
			})
			if tracked.processedUpTo = time.Now(); !tracked.upToDate(time.Now()) {
				t.Error("the socket is checked again although the reader has just checked it")
			}
		})
	}
}
