package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/rest"
)

// sysCallError returns a system call's error as the standard library does.
func sysCallError(call string, errno syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// A dial that fails through a local shortage never counts against the server, and one that fails in the network only if
// that lasts.
func TestFailedDials(t *testing.T) {
	const ours, way, server = control.NotSent, control.ConnectFailed, control.Result(255)
	tg := newTestGatewayConfigured(t, "", func(c *Config) { c.DialTimeout = 40 * time.Millisecond })
	address, _ := recordingServer(t, new(atomic.Int64))
	connect := tg.gateway.dial
	for errno, lasting := range map[syscall.Errno]control.Result{syscall.EMFILE: ours, syscall.ENFILE: ours, syscall.ENOBUFS: ours,
		syscall.ENOMEM: ours, syscall.EADDRNOTAVAIL: ours, syscall.EINTR: ours, syscall.EAGAIN: ours, syscall.ENETUNREACH: way,
		syscall.EHOSTUNREACH: way, syscall.ENETDOWN: way, syscall.ECONNABORTED: way, syscall.ECONNREFUSED: server, syscall.ECONNRESET: server,
		syscall.ETIMEDOUT: server} {
		for name, times := range map[string]int{"once": 1, "always": 1 << 20} {
			tries := 0
			tg.gateway.dial = func(ctx context.Context, address string) (*rest.Client, error) {
				if tries++; tries <= times {
					return nil, sysCallError("connect", errno)
				}
				return connect(ctx, address)
			}
			want := control.Succeeded
			switch {
			case lasting == server:
				want = control.ConnectFailed
			case times > 1:
				want = lasting
			}
			call := tg.newCall(address, time.Second)
			if result := (&serverConn{gateway: tg.gateway, address: address}).exchange(call); result.result != want {
				t.Errorf("%v %s: got %v, want %v", errno, name, result.result, want)
			}
			call.cancel()
			if tries > 20 {
				t.Errorf("%v %s: %d tries", errno, name, tries)
			}
		}
	}
}

// A failed read or write proves that nothing ran only if no byte was written.
func TestFailedExchanges(t *testing.T) {
	for errno, want := range map[syscall.Errno]control.Result{syscall.ETIMEDOUT: control.ConnectionReset, syscall.EHOSTUNREACH: control.ConnectionReset,
		syscall.ENETUNREACH: control.ConnectionReset, syscall.ECONNRESET: control.ConnectionReset, syscall.EPIPE: control.ConnectionReset,
		syscall.ENOBUFS: control.Failed, syscall.ENOMEM: control.Failed} {
		for progress := rest.NothingWritten; progress < rest.ResponseRead; progress++ {
			got := BrokenExchangeResult(progress, fmt.Errorf("exchange broken: %w", sysCallError("read", errno)))
			if progress == rest.NothingWritten && got != control.NotSent || progress > rest.NothingWritten && got != want {
				t.Errorf("%v at %d: got %v", errno, progress, got)
			}
		}
	}
}

// failingListener fails some accepts before the others.
type failingListener struct {
	net.Listener
	errs []syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		errno := l.errs[0]
		l.errs = l.errs[1:]
		return nil, sysCallError("accept", errno)
	}
	return l.Listener.Accept()
}

// A failed accept closes no connection, and the next ones are served, whatever the error and however often it occurs.
func TestFailedAccepts(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
	open, r := tg.dialClient()
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.EINTR, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH} {
		for _, times := range []int{1, 5} {
			l, err := listenTCP("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			fails := &failingListener{Listener: l}
			for range times {
				fails.errs = append(fails.errs, errno)
			}
			ended := make(chan bool)
			go func() { defer close(ended); tg.gateway.accept(t.Context(), fails, clientListener) }()
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			conn.SetDeadline(time.Now().Add(5 * time.Second))
			io.WriteString(conn, "GET /v2/health/live HTTP/1.1\r\nHost: a\r\n\r\n")
			if _, err := io.ReadFull(conn, make([]byte, 15)); err != nil {
				t.Errorf("%v %d times: %v", errno, times, err)
			}
			conn.Close()
			l.Close()
			<-ended
		}
	}
	io.WriteString(open, "GET /v2/health/live HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := readStatusLines(r, 1); err != nil {
		t.Errorf("the connection that was open: %v", err)
	}
}
