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

// faulty is a server connection on which reads fail once a request is written.
type failingReadConn struct {
	*net.TCPConn
	asked <-chan receivedFrame
	err   error
}

func (f *failingReadConn) Read([]byte) (int, error) {
	<-f.asked
	return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", f.err)}
}

// Each system call towards a server fails with each error, once, for a while, or for good. Each row is a
// non-idempotent request: it has one final answer in time, runs at most once, and the server is not blamed for what
// may be a local failure.
func TestSystemCallErrors(t *testing.T) {
	const once, while, forGood = time.Nanosecond, 100 * time.Millisecond, time.Hour
	const served, refused, mayHaveRun = "1: body 1", "1: TryLater", "1: Aborted"
	type row struct {
		call  string
		err   syscall.Errno
		lasts time.Duration
		want  string
		blame bool // the server may be
	}
	var rows []row
	add := func(call string, lasts time.Duration, want string, blame bool, errs ...syscall.Errno) {
		for _, err := range errs {
			rows = append(rows, row{call, err, lasts, want, blame})
		}
	}
	ownFaults := []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL,
		syscall.EINTR, syscall.EAGAIN}
	wayFaults := []syscall.Errno{syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.ECONNABORTED}
	broken := []syscall.Errno{syscall.EPIPE, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}
	for _, lasts := range []time.Duration{once, while} {
		add("dial", lasts, served, false, append(ownFaults, wayFaults...)...)
		add("write", lasts, served, false, syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM)
	}
	add("dial", forGood, refused, false, ownFaults...)
	add("dial", forGood, refused, true, wayFaults...)
	add("dial", forGood, refused, true, syscall.ECONNREFUSED)
	add("write", forGood, refused, false, syscall.EINTR, syscall.ENOBUFS, syscall.ENOMEM)
	add("write", once, served, false, broken...)
	add("write", forGood, refused, false, broken...)
	add("short write", once, served, false, 0)
	add("read", forGood, mayHaveRun, true, broken...)
	add("read", forGood, mayHaveRun, false, syscall.ENOMEM, syscall.ENOBUFS)
	for _, row := range rows {
		t.Run(fmt.Sprintf("%s %v %v", row.call, row.err, row.lasts), func(t *testing.T) {
			t.Parallel()
			var first atomic.Int64 // when the call failed first
			var runs atomic.Int32
			var mended atomic.Bool
			fails := func(call string) bool {
				if call != row.call || mended.Load() {
					return false
				}
				now := time.Now().UnixNano()
				return first.CompareAndSwap(0, now) || time.Duration(now-first.Load()) < row.lasts && row.lasts > once
			}
			out := make(chan receivedFrame, 8)
			address := modelServer(t, func(a receivedFrame) {
				runs.Add(1)
				if row.call == "read" && !mended.Load() {
					out <- a
					return
				}
				echo(a)
			})
			r, noted := startLogged(t, func(p *Router) {
				longGrace(p)
				p.calls.dial = func(ctx context.Context, address string) (net.Conn, error) {
					if fails("dial") {
						return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", row.err)}
					}
					conn, err := systemCalls.dial(ctx, address)
					if err == nil && fails("read") {
						return &failingReadConn{conn.(*net.TCPConn), out, row.err}, nil
					}
					return conn, err
				}
				p.calls.write = func(fd int, b []byte) (int, error) {
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
			begun := time.Now()
			c.call(1, "once")
			c.expect(row.want)
			if took := time.Since(begun); took > clientTimeout+500*time.Millisecond {
				t.Errorf("answered after %v", took)
			}
			if n := runs.Load(); n > 1 || n == 1 != (row.want != refused) {
				t.Errorf("it ran %d times", n)
			}
			if row.blame {
				return
			}
			mended.Store(true)
			c.call(2, "again", "allow", "3000")
			c.expect("2: body 2")
			if text := noted.String(); strings.Contains(text, "server ejected") {
				t.Error(text)
			}
		})
	}
}

// A first byte that is retried again and again does not delay its connection's end: the event loop may close it.
func TestCloseDoesNotWaitForFirstByte(t *testing.T) {
	ours, _ := platformtest.ConnPair(t)
	tried := make(chan bool, 1)
	o := &writeQueue{conn: ours, maxQueuedBytes: 1000, firstWrite: func(int, []byte) (int, error) {
		select {
		case tried <- true:
		default:
		}
		return -1, syscall.ENOBUFS
	}}
	o.post(queuedFrame{data: []byte("never"), begin: func(write func() bool) bool { write(); return false }})
	<-tried
	begun := time.Now()
	o.close()
	if took := time.Since(begun); took > writeTimeout/4 {
		t.Errorf("the close took %v", took)
	}
	waitFor(t, "the writer ends", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return !o.writing
	})
}
