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
	"hollymast/internal/acceptqueue"
	"hollymast/internal/rest"
)

// sysCallError returns the error of a system call in the form that the standard library uses.
func sysCallError(call string, errno syscall.Errno) error {
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// A dial that fails because of a local shortage never counts against the server. One that fails in the network counts
// only if the failure persists.
func TestFailedDials(t *testing.T) {
	const localFailure, networkFailure, serverFailure = control.NotSent, control.ConnectFailed, control.Result(255)
	tg := newTestGatewayConfigured(t, "", func(c *Config) { c.DialTimeout = 40 * time.Millisecond })
	address, _ := startRecordingServer(t, new(atomic.Int64))
	realDial := tg.gateway.dial
	for errno, wantIfPersistent := range map[syscall.Errno]control.Result{syscall.EMFILE: localFailure, syscall.ENFILE: localFailure, syscall.ENOBUFS: localFailure,
		syscall.ENOMEM: localFailure, syscall.EADDRNOTAVAIL: localFailure, syscall.EINTR: localFailure, syscall.EAGAIN: localFailure, syscall.ENETUNREACH: networkFailure,
		syscall.EHOSTUNREACH: networkFailure, syscall.ENETDOWN: networkFailure, syscall.ECONNABORTED: networkFailure, syscall.ECONNREFUSED: serverFailure, syscall.ECONNRESET: serverFailure,
		syscall.ETIMEDOUT: serverFailure} {
		for name, times := range map[string]int{"once": 1, "always": 1 << 20} {
			tries := 0
			tg.gateway.dial = func(ctx context.Context, address string) (*rest.Client, error) {
				if tries++; tries <= times {
					return nil, sysCallError("connect", errno)
				}
				return realDial(ctx, address)
			}
			want := control.Succeeded
			switch {
			case wantIfPersistent == serverFailure:
				want = control.ConnectFailed
			case times > 1:
				want = wantIfPersistent
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

// failingListener fails the first accepts with errs.
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

// A failed accept closes no connection and later connections are served, whatever the error and however often it
// occurs.
func TestFailedAccepts(t *testing.T) {
	tg := newTestGateway(t, serverConfig(0))
	open, r := tg.dialClient()
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.EINTR, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH} {
		for _, times := range []int{1, 5} {
			l, err := acceptqueue.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			failing := &failingListener{Listener: l}
			for range times {
				failing.errs = append(failing.errs, errno)
			}
			ended := make(chan bool)
			go func() { defer close(ended); tg.gateway.accept(t.Context(), failing, clientListener) }()
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
		t.Errorf("the connection opened before the failures: %v", err)
	}
}
