package platform

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/binframe"
	"hollymast/internal/fleet"
	"hollymast/internal/msgrpc"
	"hollymast/internal/platformtest"
)

// The deadline stated to a server is at most the time that the client has left when the frame arrives, plus the
// permitted excess of 0.15 s, whatever delayed the frame.
func TestStatedDeadlineIsTimeLeft(t *testing.T) {
	const late = 600 * time.Millisecond
	var connections atomic.Int32
	filled := make(chan int, 8)
	for name, test := range map[string]struct {
		serve func(c net.Conn, answer func())
		dial  func(conn net.Conn)
		body  int
		want  string
	}{
		"a slow dial": {
			serve: func(_ net.Conn, answer func()) { answer() },
			dial:  func(net.Conn) { time.Sleep(late) },
			want:  "1: done",
		},
		"no room for the first byte": {
			serve: func(c net.Conn, answer func()) {
				time.Sleep(late)
				io.ReadFull(c, make([]byte, <-filled))
				answer()
			},
			dial: func(conn net.Conn) { filled <- fillSendBuffer(t, conn) },
			want: "1: done",
		},
		"no room for the rest": {
			serve: func(_ net.Conn, answer func()) { time.Sleep(late); answer() },
			dial:  func(conn net.Conn) { conn.(*net.TCPConn).SetWriteBuffer(2048) },
			body:  msgrpc.MaxBody, want: "1: TryLater",
		},
		"a second attempt after an error": {
			serve: func(c net.Conn, answer func()) {
				if connections.Add(1) == 1 {
					f, _ := platformtest.ReadFrame(c)
					time.Sleep(late)
					c.Write(platformtest.AnswerFrame(codeError, f.ID, "", nil))
				}
				answer()
			},
			dial: func(net.Conn) {}, want: "1: done",
		},
	} {
		t.Run(name, func(t *testing.T) {
			var began time.Time
			server := listenSmallBuffer(t, func(c net.Conn) { test.serve(c, func() { checkDeadlines(t, c, &began) }) })
			r := startWith(t, func(r *Router) {
				longGrace(r)
				r.connFuncs.dial = func(ctx context.Context, address string) (net.Conn, error) {
					conn, err := defaultConnFuncs.dial(ctx, address)
					if err == nil {
						test.dial(conn)
					}
					return conn, err
				}
			}, server)
			c := r.dial(t)
			began = time.Now()
			c.sendMessage(0, 1, "again", []any{requestFields(1), make([]byte, test.body)})
			c.expect(test.want)
		})
	}
}

// checkDeadlines answers the attempts that arrive on a connection and compares the deadline stated in each frame with
// the time left of the client's timeout.
func checkDeadlines(t *testing.T, c net.Conn, began *time.Time) {
	const slack = 150 * time.Millisecond
	for in := bufio.NewReader(c); ; {
		f, err := platformtest.ReadFrame(in)
		if err != nil {
			return
		}
		if f.Code != platformtest.AttemptCode {
			continue
		}
		left := clientTimeout - time.Since(*began)
		if stated := statedTimeout(f.Fields); stated == 0 || stated > left+slack {
			t.Errorf("%v is stated, but the client has %v left", stated, left.Round(time.Millisecond))
		}
		c.Write(platformtest.AnswerFrame(codeOK, f.ID, "remark=resident", []byte("done")))
	}
}

// An attempt whose deadline has passed by the time its connection is established is withdrawn, however fresh its
// endpoint list is; it has provably not run.
func TestExpiredAttemptIsNotWritten(t *testing.T) {
	r := idleRouter(t)
	longGrace(r)
	conn, peerConn := platformtest.ConnPair(t)
	r.stepWithServer(peerConn.LocalAddr().String())
	const left = 20 * time.Millisecond
	call := r.newCall(fleet.ID("s-0"), control.Micros(left.Microseconds()))
	call.message = &binframe.Attempt{ID: 1}
	call.conn = r.newServerConn(r.loop.Now(), r.poolFor(call.server)) // not connected yet
	defer call.conn.cancelDial()
	call.conn.writes.post(call.queueEntry(nil))
	time.Sleep(left + time.Millisecond)
	call.conn.writes.connected(conn)
	platformtest.WaitFor(t, "it is withdrawn", call.conn.writes.empty)
	if n := readSoon(peerConn); n > 0 || call.currentStage() == attempt.Writing {
		t.Errorf("%d bytes were written, stage %d", n, call.currentStage())
	}
}
