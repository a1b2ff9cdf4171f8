package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/binframe"
	"hollymast/internal/fleet"
	"hollymast/internal/msgrpc"
	"hollymast/internal/platformtest"
)

// startChanged starts a router whose settings and calls a test changes first.
func startChanged(t *testing.T, change func(p *Router), servers ...string) *runningRouter {
	t.Helper()
	r, _ := startLogged(t, change, servers...)
	return r
}

// startLogged is startChanged that also returns the router's log.
func startLogged(t *testing.T, change func(p *Router), servers ...string) (*runningRouter, *logBuffer) {
	t.Helper()
	told, err := parseConfig([]byte(configText(newDiscoveryServer(t, 1))), Environment{})
	if err != nil {
		t.Fatal(err)
	}
	for i, address := range servers {
		told.History.Events = append(told.History.Events, event(i+1, fmt.Sprintf("s-%d", i), address, "ready"))
	}
	told.History.Revision = uint64(len(servers))
	noted := &logBuffer{}
	p, err := New(told, zerolog.New(noted))
	if err != nil {
		t.Fatal(err)
	}
	change(p)
	ctx, stop := context.WithCancel(context.Background())
	r := &runningRouter{p, stop, make(chan struct{})}
	go func() { p.Serve(ctx); close(r.done) }()
	t.Cleanup(func() { stop(); <-r.done })
	waitFor(t, "the router is well", r.ready.Load)
	return r, noted
}

// log records what a router logs.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// longGrace makes an endpoint list valid for so long that its age withdraws nothing.
func longGrace(p *Router) {
	p.config.grace, p.config.connectTimeout = 4_000_000, 1_000_000
	p.config.Deployment.MaxCommandDelay = attempt.MaxEndpointsAge(p.config.grace)
}

// fill writes to a connection until it accepts no more, also of what the kernel moves on a little later, and returns
// how much.
func fill(t *testing.T, conn net.Conn) (filled int) {
	const moved = 50 * time.Millisecond
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Error(err)
		return 0
	}
	conn.(*net.TCPConn).SetWriteBuffer(2048) // the kernel makes it no longer by itself
	for before := -1; before < filled; time.Sleep(moved) {
		before = filled
		raw.Control(func(fd uintptr) {
			for {
				n, err := syscall.Write(int(fd), make([]byte, 4096))
				if err != nil {
					return
				}
				filled += n
			}
		})
	}
	return filled
}

// narrow listens with buffers smaller than one long message, and serves each connection.
func listenNarrow(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) })
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// The deadline stated to a server is at most what the client has left when the frame arrives, with the allowed excess
// of 0.15 s, whatever delayed the frame.
func TestStatedDeadlineIsTimeLeft(t *testing.T) {
	const late = 600 * time.Millisecond
	var nth atomic.Int32
	filled := make(chan int, 8)
	for name, way := range map[string]struct {
		serve func(c net.Conn, answer func())
		dial  func(conn net.Conn)
		body  int
		want  string
	}{
		"a dial comes up late": {
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
			dial: func(conn net.Conn) { filled <- fill(t, conn) },
			want: "1: done",
		},
		"no room for the rest": {
			serve: func(_ net.Conn, answer func()) { time.Sleep(late); answer() },
			dial:  func(conn net.Conn) { conn.(*net.TCPConn).SetWriteBuffer(2048) },
			body:  msgrpc.MaxBody, want: "1: TryLater",
		},
		"a second attempt after an error": {
			serve: func(c net.Conn, answer func()) {
				if nth.Add(1) == 1 {
					f, _ := platformtest.ReadFrame(c)
					time.Sleep(late)
					c.Write(platformtest.AnswerFrame(101, f.ID, "", nil))
				}
				answer()
			},
			dial: func(net.Conn) {}, want: "1: done",
		},
	} {
		t.Run(name, func(t *testing.T) {
			var begun time.Time
			server := listenNarrow(t, func(c net.Conn) { way.serve(c, func() { checkDeadlines(t, c, &begun) }) })
			r := startChanged(t, func(p *Router) {
				longGrace(p)
				p.calls.dial = func(ctx context.Context, address string) (net.Conn, error) {
					conn, err := systemCalls.dial(ctx, address)
					if err == nil {
						way.dial(conn)
					}
					return conn, err
				}
			}, server)
			c := r.dial(t)
			begun = time.Now()
			c.send(0, 1, "again", []any{map[string]string{"ref": "0000000000000001", "allow": fmt.Sprint(clientTimeout.Milliseconds()),
				"project": "acme", "lookup": "7f3a9c21e0b4d655", "spec": "memory_mb:512;lanes:2"}, make([]byte, way.body)})
			c.expect(way.want)
		})
	}
}

const clientTimeout = 1500 * time.Millisecond

// checkDeadlines answers what comes on a connection, and compares the deadline stated in each frame with what is left
// of the allowed time.
func checkDeadlines(t *testing.T, c net.Conn, begun *time.Time) {
	const slack = 150 * time.Millisecond
	for in := bufio.NewReader(c); ; {
		f, err := platformtest.ReadFrame(in)
		if err != nil {
			return
		}
		if f.Code != platformtest.AttemptCode {
			continue
		}
		var most int
		for field := range strings.SplitSeq(f.Fields, ",") {
			fmt.Sscanf(field, "max=%d", &most)
		}
		left := clientTimeout - time.Since(*begun)
		if told := time.Duration(most) * time.Millisecond; most == 0 || told > left+slack {
			t.Errorf("told %v where the client has %v left", told, left.Round(time.Millisecond))
		}
		c.Write(platformtest.AnswerFrame(97, f.ID, "remark=resident", []byte("done")))
	}
}

// An attempt whose deadline has passed when its connection is established is withdrawn, however fresh its endpoint
// list: it provably never ran.
func TestExpiredAttemptIsNotWritten(t *testing.T) {
	p := idleRouter(t)
	longGrace(p)
	conn, theirs := platformtest.ConnPair(t)
	p.handleEndpoints(p.now(), []fleet.Endpoint{{Name: "s-0", Address: theirs.LocalAddr().String(), Zone: "east", State: control.Ready}})
	p.readEndpoints()
	p.step(p.now(), nil)
	const left = 20 * time.Millisecond
	s := p.newCall(fleet.ID("s-0"), control.Micros(left.Microseconds()))
	s.message = &binframe.Attempt{ID: 1}
	s.conn = p.newServerConn(p.now(), p.poolOf(s.to)) // it dials
	defer s.conn.cancelDial()
	s.conn.writes.post(s.queued(nil))
	time.Sleep(left + time.Millisecond)
	s.conn.writes.connected(conn)
	waitFor(t, "it is withdrawn", s.conn.writes.empty)
	theirs.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if n, _ := theirs.Read(make([]byte, 8)); n > 0 || s.currentStage() == attempt.Writing {
		t.Errorf("%d bytes were written, stage %d", n, s.currentStage())
	}
}
