package platform

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hollymast/internal/platformtest"
)

// failingReadConn is a server connection on which reads fail once the server has received a request.
type failingReadConn struct {
	*net.TCPConn
	received <-chan receivedAttempt
	err      error
}

func (f *failingReadConn) Read([]byte) (int, error) {
	<-f.received
	return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", f.err)}
}

// Each system call on a server connection fails with each error: once, for a while, or permanently. Each row is a
// non-idempotent request. It gets one final answer in time and runs at most once, and the server is not ejected for a
// failure that may be local.
func TestSystemCallErrors(t *testing.T) {
	const once, shortly, permanently = time.Nanosecond, 100 * time.Millisecond, time.Hour
	const served, rejected, failed = "1: body 1", "1: TryLater", "1: Aborted"
	type row struct {
		call     string
		err      syscall.Errno
		duration time.Duration
		want     string
		blame    bool // the server may be ejected
	}
	var rows []row
	add := func(call string, duration time.Duration, want string, blame bool, errs ...syscall.Errno) {
		for _, err := range errs {
			rows = append(rows, row{call, err, duration, want, blame})
		}
	}
	localErrors := []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL,
		syscall.EINTR, syscall.EAGAIN}
	networkErrors := []syscall.Errno{syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.ECONNABORTED}
	broken := []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}
	for _, duration := range []time.Duration{once, shortly} {
		add("dial", duration, served, false, append(localErrors, networkErrors...)...)
		add("write", duration, served, false, syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM)
	}
	add("dial", permanently, rejected, false, localErrors...)
	add("dial", permanently, rejected, true, networkErrors...)
	add("dial", permanently, rejected, true, syscall.ECONNREFUSED)
	add("write", permanently, rejected, false, syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM)
	add("write", once, served, false, broken...)
	add("write", permanently, rejected, false, broken...)
	add("short write", once, served, false, 0)
	add("read", permanently, failed, true, broken...)
	add("read", permanently, failed, false, syscall.ENOMEM, syscall.ENOBUFS)
	for _, row := range rows {
		t.Run(fmt.Sprintf("%s %v %v", row.call, row.err, row.duration), func(t *testing.T) {
			t.Parallel()
			var first atomic.Int64 // when the call first failed, in ns
			var runs atomic.Int32
			var repaired atomic.Bool
			fails := func(call string) bool {
				if call != row.call || repaired.Load() {
					return false
				}
				now := time.Now().UnixNano()
				return first.CompareAndSwap(0, now) || time.Duration(now-first.Load()) < row.duration && row.duration > once
			}
			out := make(chan receivedAttempt, 8)
			address := modelServer(t, func(a receivedAttempt) {
				runs.Add(1)
				if row.call == "read" && !repaired.Load() {
					out <- a
					return
				}
				echo(a)
			})
			r, log := startLogged(t, func(r *Router) {
				longGrace(r)
				r.connFuncs.dial = func(ctx context.Context, address string) (net.Conn, error) {
					if fails("dial") {
						return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", row.err)}
					}
					conn, err := defaultConnFuncs.dial(ctx, address)
					if err == nil && fails("read") {
						return &failingReadConn{conn.(*net.TCPConn), out, row.err}, nil
					}
					return conn, err
				}
				r.connFuncs.write = func(fd int, b []byte) (int, error) {
					if fails("short write") {
						return syscall.Write(fd, b[:1])
					}
					if fails("write") {
						return -1, row.err
					}
					return syscall.Write(fd, b)
				}
			}, address)
			c := r.dial(t)
			began := time.Now()
			c.sendRequest(1, "once")
			c.expect(row.want)
			if took := time.Since(began); took > clientTimeout+500*time.Millisecond {
				t.Errorf("answered after %v", took)
			}
			if n := runs.Load(); n > 1 || n == 1 != (row.want != rejected) {
				t.Errorf("the request ran %d times", n)
			}
			if row.blame {
				return
			}
			repaired.Store(true)
			c.sendRequest(2, "again", "allow", "3000")
			c.expect("2: body 2")
			if text := log.String(); strings.Contains(text, "server ejected") {
				t.Error(text)
			}
		})
	}
}

// Closing a connection does not wait while the write of a first byte is being retried: the event loop closes
// connections and must not block.
func TestCloseDoesNotWaitForFirstByte(t *testing.T) {
	routerConn, _ := platformtest.ConnPair(t)
	attempted := make(chan bool, 1)
	q := &writeQueue{conn: routerConn, maxQueuedBytes: 1000, firstWrite: func(int, []byte) (int, error) {
		select {
		case attempted <- true:
		default:
		}
		return -1, syscall.ENOBUFS
	}}
	q.post(queuedFrame{data: []byte("never"), checkAndWrite: func(write func() bool) bool { write(); return false }})
	<-attempted
	began := time.Now()
	q.close()
	if took := time.Since(began); took > writeTimeout/4 {
		t.Errorf("the close took %v", took)
	}
	platformtest.WaitFor(t, "the writer ends", func() bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		return !q.writing
	})
}
