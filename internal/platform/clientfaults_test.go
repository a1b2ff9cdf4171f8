package platform

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/internal/platformtest"
)

// failingListener is a listener whose Accept fails while fault returns an error.
type failingListener struct {
	*net.TCPListener
	calls atomic.Int32
	fault func() error
}

func (f *failingListener) Accept() (net.Conn, error) {
	f.calls.Add(1)
	if err := f.fault(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return f.TCPListener.Accept()
}

// acceptErrors are the errors of accept documented by Linux, except those that only a bug of this program can cause.
var acceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
	syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ENOSR, syscall.ESOCKTNOSUPPORT, syscall.EPROTONOSUPPORT,
	syscall.ETIMEDOUT}

// After any error of accept, whether once or for a while, the listener continues without a busy loop. It closes an
// idle client connection only if the process itself is out of descriptors.
func TestAcceptErrors(t *testing.T) {
	const duration = 150 * time.Millisecond
	for _, errno := range acceptErrors {
		for name, fault := range map[string]func(call int32, since time.Duration) bool{
			"once":        func(call int32, _ time.Duration) bool { return call == 1 },
			"for a while": func(_ int32, since time.Duration) bool { return since < duration },
		} {
			r := idleRouter(t)
			routerConn, peerConn := platformtest.ConnPair(t)
			idle := r.serveClient(routerConn)
			begin := time.Now()
			l := &failingListener{TCPListener: r.listener}
			l.fault = func() error {
				if fault(l.calls.Load(), time.Since(begin)) {
					return errno
				}
				return nil
			}
			var goroutines sync.WaitGroup
			goroutines.Go(func() { r.accept(l) })
			conn, err := net.Dial("tcp", r.Address())
			if err != nil {
				t.Fatal(err)
			}
			platformtest.WaitFor(t, "the connection is accepted", func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return len(r.clients) > 0 && l.calls.Load() > 1 && r.hasClient(conn)
			})
			if _, closing := idle.idle(); closing != (errno == syscall.EMFILE) {
				t.Errorf("%v %s: the idle client is closed: %t", errno, name, closing)
			}
			if maxAccepts := int32(20); l.calls.Load() > maxAccepts {
				t.Errorf("%v %s: %d calls of Accept", errno, name, l.calls.Load())
			}
			conn.Close()
			peerConn.Close()
			l.Close()
			goroutines.Wait()
			platformtest.WaitFor(t, "all connections end", r.allClientsClosed)
		}
	}
}

// hasClient reports whether conn is the client's end of one of the router's connections. The caller holds mu.
func (r *Router) hasClient(conn net.Conn) bool {
	for c := range r.clients {
		if c.conn.RemoteAddr().String() == conn.LocalAddr().String() {
			return true
		}
	}
	return false
}

// A stopping router accepts pending connections even if accept fails for a while, or if its deadline passed before it
// was called.
func TestWaitingConnectionsAreAcceptedDespiteErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ECONNABORTED, 0} {
		r := idleRouter(t)
		begin := time.Now()
		l := &failingListener{TCPListener: r.listener, fault: func() error {
			if errno != 0 && time.Since(begin) < 5*lastReadTime {
				return errno
			}
			return nil
		}}
		c := dialAddress(t, r.Address())
		c.sendRequest(1, "again")
		r.beginStop()
		r.stopListening()
		if errno == 0 {
			time.Sleep(2 * lastReadTime)
		}
		r.accept(l)
		c.expect("1: TryLater")
		c.expect("closed")
	}
}

// At start, listening is retried while the address is still in use, for example by a predecessor that was killed. A
// permanent error is returned immediately.
func TestListenIsRetried(t *testing.T) {
	predecessor, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	config := mustParseConfig(t, configText(unreachable))
	config.Listen = predecessor.Addr().String()
	closing := time.AfterFunc(5*minRereadPause, func() { predecessor.Close() })
	defer closing.Stop()
	newRouter(t, config, zerolog.Nop()).listener.Close()
	begin := time.Now()
	if _, err := listenAt("192.0.2.1:http-"); err == nil || time.Since(begin) > listenFor/2 {
		t.Errorf("got error %v after %v, want one immediately", err, time.Since(begin))
	}
}

// failingConn is the router's end of a connection. Its reads or writes fail once an error is set, or it returns one
// byte per read.
type failingConn struct {
	*net.TCPConn
	byteByByte            bool
	readError, writeError atomic.Pointer[syscall.Errno]
}

func (f *failingConn) opError(op string, errno *syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, *errno)}
}

func (f *failingConn) Read(p []byte) (int, error) {
	if f.byteByByte {
		p = p[:1]
	}
	n, err := f.TCPConn.Read(p)
	if errno := f.readError.Load(); errno != nil {
		return 0, f.opError("read", errno)
	}
	return n, err
}

func (f *failingConn) Write(p []byte) (int, error) {
	if errno := f.writeError.Load(); errno != nil {
		return 0, f.opError("write", errno)
	}
	return f.TCPConn.Write(p)
}

// A client connection that breaks, in whatever way, is treated as closed by the client: none of its requests is
// written to a server any more, and other clients are not affected.
func TestClientConnectionBreaks(t *testing.T) {
	held := make(chan receivedAttempt, 1)
	r := start(t, modelServer(t, func(a receivedAttempt) {
		if string(a.Body) == "body 1" {
			held <- a
		} else {
			echo(a)
		}
	}))
	other := r.dial(t)
	requests := 0
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE,
		syscall.ENOBUFS, syscall.ENOMEM} {
		for name, breakConn := range map[string]func(failing *failingConn, c *testClient){
			"read": func(failing *failingConn, c *testClient) {
				failing.readError.Store(&errno)
				c.conn.Write([]byte{0x93})
			},
			"write": func(failing *failingConn, c *testClient) {
				failing.writeError.Store(&errno)
				c.sendHealthCheck(2)
			},
		} {
			routerConn, peerConn := platformtest.ConnPair(t)
			failing := &failingConn{TCPConn: routerConn.(*net.TCPConn)}
			c := newTestClient(t, peerConn)
			client := r.serveClient(failing)
			requests++
			c.sendRequest(1, "once", withID(1000+requests)...)
			var a receivedAttempt
			select {
			case a = <-held:
			case <-time.After(5 * time.Second):
				t.Fatalf("%v %s: not forwarded", errno, name)
			}
			client.mu.Lock()
			req := client.open[1]
			client.mu.Unlock()
			breakConn(failing, c)
			select {
			case <-client.closed:
			case <-time.After(5 * time.Second):
				t.Fatalf("%v %s: the connection does not end", errno, name)
			}
			if !req.abandoned.Load() {
				t.Errorf("%v %s: its request goes on", errno, name)
			}
			echo(a)
			other.sendRequest(requests+1, "again")
			other.expect(fmt.Sprintf("%d: body %d", requests+1, requests+1))
		}
	}
}

// Requests are read correctly from a connection that returns one byte per read.
func TestShortReads(t *testing.T) {
	r := start(t, modelServer(t, echo))
	routerConn, peerConn := platformtest.ConnPair(t)
	c := newTestClient(t, peerConn)
	r.serveClient(&failingConn{TCPConn: routerConn.(*net.TCPConn), byteByByte: true})
	for n := 1; n <= 3; n++ {
		c.sendRequest(n, "again")
	}
	got := map[string]bool{}
	for range 3 {
		got[c.receive()] = true
	}
	if !got["1: body 1"] || !got["2: body 2"] || !got["3: body 3"] {
		t.Errorf("got %v", got)
	}
}
