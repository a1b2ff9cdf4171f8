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
	"github.com/vmihailenco/msgpack/v5"

	"hollymast/internal/platformtest"
)

// failing is a listener whose accepts fail for as long as fault returns an error.
type failing struct {
	*net.TCPListener
	calls atomic.Int32
	fault func() error
}

func (f *failing) Accept() (net.Conn, error) {
	f.calls.Add(1)
	if err := f.fault(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return f.TCPListener.Accept()
}

// acceptErrors are all that Linux documents of accept, but for those that a fault of our own would cause.
var acceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
	syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ENOSR, syscall.ESOCKTNOSUPPORT, syscall.EPROTONOSUPPORT,
	syscall.ETIMEDOUT}

// Whatever accept fails with, once or for a while: the listener goes on, without a busy loop, and closes no idle
// client connection unless the process itself is out of descriptors.
func TestAcceptFails(t *testing.T) {
	const lasts = 150 * time.Millisecond
	for _, errno := range acceptErrors {
		for name, fault := range map[string]func(nth int32, since time.Duration) bool{
			"once":        func(nth int32, _ time.Duration) bool { return nth == 1 },
			"for a while": func(_ int32, since time.Duration) bool { return since < lasts },
		} {
			p := idleRouter(t)
			ours, theirs := platformtest.ConnPair(t)
			idle := p.serveClient(ours)
			begin := time.Now()
			l := &failing{TCPListener: p.listener}
			l.fault = func() error {
				if fault(l.calls.Load(), time.Since(begin)) {
					return errno
				}
				return nil
			}
			var all sync.WaitGroup
			all.Go(func() { p.accept(l) })
			conn, err := net.Dial("tcp", p.Address())
			if err != nil {
				t.Fatal(err)
			}
			until(t, "the connection is accepted", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return p.rejectedConns == 0 && len(p.clients) > 0 && l.calls.Load() > 1 && p.accepts(conn)
			})
			if _, ends := idle.idle(); ends != (errno == syscall.EMFILE) {
				t.Errorf("%v %s: an idle client is ended: %t", errno, name, ends)
			}
			if most := int32(20); l.calls.Load() > most {
				t.Errorf("%v %s: %d accepts", errno, name, l.calls.Load())
			}
			conn.Close()
			theirs.Close()
			l.Close()
			all.Wait()
			until(t, "all connections end", p.allClientsClosed)
		}
	}
}

// accepts reports whether the router has the other end of a connection.
func (r *Router) accepts(conn net.Conn) bool {
	for c := range r.clients {
		if c.conn.RemoteAddr().String() == conn.LocalAddr().String() {
			return true
		}
	}
	return false
}

// A stopping router accepts waiting connections though accept fails meanwhile, or its deadline passed before it was
// called.
func TestWaitingConnectionsAreAcceptedInSpiteOfFaults(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ECONNABORTED, 0} {
		p := idleRouter(t)
		begin := time.Now()
		l := &failing{TCPListener: p.listener, fault: func() error {
			if errno != 0 && time.Since(begin) < 5*lastReadTime {
				return errno
			}
			return nil
		}}
		conn, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		p.stopListening()
		if errno == 0 {
			time.Sleep(2 * lastReadTime)
		}
		p.accept(l)
		p.mu.Lock()
		if len(p.clients) != 1 {
			t.Errorf("%v: the connection was not accepted", errno)
		}
		p.mu.Unlock()
		conn.Close()
		until(t, "all connections end", p.allClientsClosed)
	}
}

// A start whose address is still taken, as by a predecessor that was killed, retries; a permanent error is returned
// at once.
func TestListenIsTriedAgain(t *testing.T) {
	before, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	told, err := parseConfig([]byte(configuration("127.0.0.1:1")), Environment{})
	if err != nil {
		t.Fatal(err)
	}
	told.Listen = before.Addr().String()
	gone := time.AfterFunc(5*minRereadPause, func() { before.Close() })
	defer gone.Stop()
	p, err := New(told, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	p.listener.Close()
	begin := time.Now()
	if _, err := listenAt("192.0.2.1:http-"); err == nil || time.Since(begin) > listenFor/2 {
		t.Errorf("%v after %v", err, time.Since(begin))
	}
}

// broken is the router's end of a connection whose reads or writes fail from some time on, or that brings one byte at
// a time.
type broken struct {
	*net.TCPConn
	short           bool
	reading, writes atomic.Pointer[syscall.Errno]
}

func (b *broken) fails(op string, errno *syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, *errno)}
}

func (b *broken) Read(p []byte) (int, error) {
	if b.short {
		p = p[:1]
	}
	n, err := b.TCPConn.Read(p)
	if errno := b.reading.Load(); errno != nil {
		return 0, b.fails("read", errno)
	}
	return n, err
}

func (b *broken) Write(p []byte) (int, error) {
	if errno := b.writes.Load(); errno != nil {
		return 0, b.fails("write", errno)
	}
	return b.TCPConn.Write(p)
}

// A client connection that breaks, in whatever way, is a client that left: none of its requests is written any more,
// and no other client notices.
func TestClientConnectionBreaks(t *testing.T) {
	held := make(chan asked, 1)
	r := start(t, discoveryServer(t, 1), modelServer(t, func(a asked) {
		if string(a.body) == "body 1" {
			held <- a
		} else {
			good(a)
		}
	}))
	other := r.caller(t)
	nth := 0
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.EPIPE,
		syscall.ENOBUFS, syscall.ENOMEM} {
		for name, broke := range map[string]func(b *broken, c *caller){
			"read": func(b *broken, c *caller) {
				b.reading.Store(&errno)
				c.conn.Write([]byte{0x93})
			},
			"write": func(b *broken, c *caller) {
				b.writes.Store(&errno)
				c.send(0, 2, "isWell", []any{map[string]string{}})
			},
		} {
			ours, theirs := platformtest.ConnPair(t)
			theirs.SetDeadline(time.Now().Add(5 * time.Second))
			b := &broken{TCPConn: ours.(*net.TCPConn)}
			c := &caller{t, theirs, msgpack.NewDecoder(theirs)}
			client := r.serveClient(b)
			nth++
			c.call(1, "once", "ref", fmt.Sprintf("%016x", 1000+nth))
			var a asked
			select {
			case a = <-held:
			case <-time.After(5 * time.Second):
				t.Fatalf("%v %s: not sent", errno, name)
			}
			client.mu.Lock()
			j := client.open[1]
			client.mu.Unlock()
			broke(b, c)
			select {
			case <-client.closed:
			case <-time.After(5 * time.Second):
				t.Fatalf("%v %s: the connection does not end", errno, name)
			}
			if !j.abandoned.Load() {
				t.Errorf("%v %s: its request goes on", errno, name)
			}
			good(a)
			other.call(nth+1, "again")
			other.expect(fmt.Sprintf("%d: body %d", nth+1, nth+1))
		}
	}
}

// A connection that brings one byte at a time brings its requests.
func TestShortReads(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	ours, theirs := platformtest.ConnPair(t)
	theirs.SetDeadline(time.Now().Add(5 * time.Second))
	c := &caller{t, theirs, msgpack.NewDecoder(theirs)}
	r.serveClient(&broken{TCPConn: ours.(*net.TCPConn), short: true})
	for n := 1; n <= 3; n++ {
		c.call(n, "again")
	}
	got := map[string]bool{}
	for range 3 {
		got[c.receive()] = true
	}
	if !got["1: body 1"] || !got["2: body 2"] || !got["3: body 3"] {
		t.Errorf("got %v", got)
	}
}
