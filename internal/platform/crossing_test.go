package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"hollymast/control"
	"hollymast/internal/fleet"
	"hollymast/internal/platformtest"
)

// Each test here forces two events to cross, on real sockets: it holds one until the other has happened.

// crossed is the router's end of a connection; hook sees what a read returned before the router does.
type crossed struct {
	*net.TCPConn
	hook func(n int, err error)
}

func (x *crossed) Read(b []byte) (int, error) {
	n, err := x.TCPConn.Read(b)
	x.hook(n, err)
	return n, err
}

// crossing returns a client of a router, and the router's end of its connection.
func (r *running) crossing(t *testing.T, hook func(c *caller, n int, err error)) (*caller, *clientConn) {
	t.Helper()
	ours, theirs := platformtest.ConnPair(t)
	theirs.SetDeadline(time.Now().Add(5 * time.Second))
	c := &caller{t, theirs, msgpack.NewDecoder(theirs)}
	return c, r.serveClient(&crossed{ours.(*net.TCPConn), func(n int, err error) { hook(c, n, err) }})
}

// once returns a hook that acts at the first read whose deadline has passed: what it sends is pending when the router
// reads again.
func once(act func(c *caller)) func(c *caller, n int, err error) {
	var done atomic.Bool
	return func(c *caller, n int, err error) {
		if errors.Is(err, os.ErrDeadlineExceeded) && done.CompareAndSwap(false, true) {
			act(c)
		}
	}
}

// until waits for what another goroutine is about to do.
func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	platformtest.WaitFor(t, what, done)
}

// A request that comes as its idle connection is about to close is read before, and served.
func TestRequestCrossesIdleClose(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	c, ours := r.crossing(t, once(func(c *caller) { c.call(2, "again") }))
	c.send(0, 1, "isWell", []any{map[string]string{}})
	c.expect("1: true")
	ours.closeWhenIdle(0)
	c.expect("2: body 2")
	c.expect("closed")
}

// A request that comes at a stopping router's last read of its connections is answered before the end.
func TestRequestCrossesShutdown(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	c, _ := r.crossing(t, once(func(c *caller) { c.call(2, "again") }))
	c.send(0, 1, "isWell", []any{map[string]string{}})
	c.expect("1: true")
	r.stop()
	c.expect("2: TryLater")
	c.expect("closed")
}

// A request that comes so late in the shutdown that its answer might not come before the kill is rejected at once.
func TestRequestCrossesKill(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	c := r.caller(t)
	r.queue.Post(func(now control.Micros) { r.stopRequestedAt = now - acceptRequestsFor })
	c.call(1, "again")
	c.expect("1: TryLater")
}

// A connection that is to close while a request is open closes with that request's answer.
func TestConnectionClosesAfterItsRequest(t *testing.T) {
	held := make(chan asked, 1)
	r := start(t, discoveryServer(t, 1), modelServer(t, func(a asked) { held <- a }))
	c, ours := r.crossing(t, func(*caller, int, error) {})
	c.call(1, "again")
	a := <-held
	ours.closeWhenIdle(0)
	good(a)
	c.expect("1: body 1")
	c.expect("closed")
}

// Room is needed while a request is open on a closing connection: that one is not closed at once.
func TestMakingRoomSparesOpenRequests(t *testing.T) {
	held := make(chan asked, 1)
	r := start(t, discoveryServer(t, 1), modelServer(t, func(a asked) { held <- a }))
	c, ours := r.crossing(t, func(*caller, int, error) {})
	c.call(1, "again")
	a := <-held
	ours.abort()
	r.makeRoom(1)
	good(a)
	c.expect("1: body 1")
	c.expect("closed")
}

// A first message that came during a stall of the process counts as in time.
func TestMessageCrossesItsDeadline(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	c, _ := r.crossing(t, once(func(c *caller) { c.call(1, "again") }))
	c.expect("1: body 1") // after firstWithin
}

// Connections that wait at the listener when it closes are served.
func TestWaitingConnectionsAreAccepted(t *testing.T) {
	told, err := parseConfig([]byte(configuration(discoveryServer(t, 1))), Environment{})
	if err != nil {
		t.Fatal(err)
	}
	p, err := New(told, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	const waiting = 3
	var conns []net.Conn
	for range waiting {
		c, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	p.stopListening()
	p.accept(p.listener)
	p.mu.Lock()
	accepted := len(p.clients)
	p.mu.Unlock()
	if accepted != waiting {
		t.Errorf("%d of %d were accepted", accepted, waiting)
	}
	for _, c := range conns {
		c.Close()
	}
	until(t, "all connections end", p.allClientsClosed)
}

// The sender of an unreadable message reads the error, and then the end: no reset overtakes the answer.
func TestAnswerIsNotLostToTheClose(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	c, _ := r.crossing(t, func(*caller, int, error) {})
	c.conn.Write(append([]byte{0x94, 0, 1, 0xa1, 'x', 0x92, 0x80, 0xc6, 3, 0x93, 0x87, 0}, make([]byte, 64<<10)...))
	c.expect("1: Invalid")
	c.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if n, err := c.conn.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("read %d, %v instead of the end", n, err)
	}
}

// What a client cancels, or leaves by closing, is not written any more, though the event loop has yet to handle it.
func TestClientLeavesBeforeTheFirstByte(t *testing.T) {
	for name, leave := range map[string]func(c *caller){
		"cancels": func(c *caller) { c.send(2, "forget", []any{1}) },
		"closes":  func(c *caller) { c.conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			held := make(chan asked, 1)
			r := start(t, discoveryServer(t, 1), modelServer(t, func(a asked) { held <- a }))
			c := r.caller(t)
			c.call(1, "again")
			<-held
			chosen, turn := make(chan *serverCall), make(chan bool)
			r.queue.Post(func(control.Micros) { // a further execution is chosen, and the turn lasts
				s := r.newCall(fleet.ID("s-0"), 1_000_000)
				s.request, s.attempt, s.timer = r.requests[1], 1, time.NewTimer(time.Hour)
				s.request.answer.AttemptBegan()
				chosen <- s
				<-turn
			})
			s := <-chosen
			leave(c)
			until(t, "the client's leaving is read", s.request.abandoned.Load)
			if s.begun() {
				t.Error("it was written")
			}
			close(turn)
		})
	}
}

// A client that floods has nothing open: its reader sleeps between messages, and would see a cancellation late.
func TestFloodingClientHasNothingOpen(t *testing.T) {
	held := make(chan asked, 1)
	c := start(t, discoveryServer(t, 1), modelServer(t, func(a asked) { held <- a })).caller(t)
	c.call(1, "again")
	<-held
	for n := 2; n < 2+tolerableFaults; n++ {
		c.call(n, "unheard")
	}
	for n := 2; n < 2+tolerableFaults; n++ {
		c.expect(fmt.Sprintf("%d: Invalid", n))
	}
	c.expect("1: Aborted")
	c.call(100, "again")
	c.expect("100: TryLater")
}

// A duplicate answer to an attempt that has ended comes during the request's next attempt: it is not taken for that
// one's.
func TestDuplicateAnswerCrossesNextAttempt(t *testing.T) {
	var first asked
	c := start(t, discoveryServer(t, 1), modelServer(t, func(a asked) {
		if a.nth == 1 {
			first = a
			a.conn.Write(a.answer(101, a.id, ""))
			return
		}
		first.conn.Write(first.answer(97, first.id, "stale"))
		good(a)
	})).caller(t)
	c.call(1, "again")
	c.expect("1: body 1")
}

// Of two free connections the connected one is used: the other may connect late, or never.
func TestConnectedConnectionComesFirst(t *testing.T) {
	stands, comes := &serverConn{up: true, idleSince: 1}, &serverConn{idleSince: 2}
	if !stands.preferredOver(comes) || comes.preferredOver(stands) {
		t.Error("the one that is still dialled comes first")
	}
}

// A shortage of descriptors does not count against the server: the request waits for one.
func TestOutOfDescriptors(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	c := r.caller(t)
	c.send(0, 1, "isWell", []any{map[string]string{}})
	c.expect("1: true")
	free, err := syscall.Dup(0)
	if err != nil {
		t.Fatal(err)
	}
	syscall.Close(free)
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before) })
	none := before
	none.Cur = uint64(free)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	c.call(2, "again")
	until(t, "a dial finds no descriptor", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.anomalies["out of descriptors for a server"] > 0
	})
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	c.expect("2: body 2")
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.anomalies["no connection to a server"]; n > 0 {
		t.Errorf("%d held against the server", n)
	}
}

// lines passes on each line of a log.
type lines chan string

func (l lines) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// A configuration that is half written at its signal is read again, without another signal.
func TestReloadCrossesTheWriting(t *testing.T) {
	asked := make(chan bool, 8)
	whole := configuration(listen(t, func(c net.Conn) {
		select {
		case asked <- true:
		default: // it is asked again and again, since it says nothing
		}
		c.Read(make([]byte, 100))
	}))
	env := Environment{File: filepath.Join(t.TempDir(), "config.json")}
	if err := os.WriteFile(env.File, []byte(whole[:len(whole)/2]), 0o600); err != nil {
		t.Fatal(err)
	}
	told, err := parseConfig([]byte(configuration(discoveryServer(t, 1))), Environment{})
	if err != nil {
		t.Fatal(err)
	}
	log := make(lines, 100)
	p, err := New(told, zerolog.New(log))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	signals := make(chan os.Signal)
	var all sync.WaitGroup
	all.Go(func() { p.Serve(ctx) })
	all.Go(func() { p.ReloadOn(ctx, signals, env) })
	t.Cleanup(func() { stop(); all.Wait() })
	signals <- syscall.SIGHUP
	for !strings.Contains(<-log, "invalid configuration") {
	}
	if err := os.WriteFile(env.File, []byte(whole), 0o600); err != nil {
		t.Fatal(err)
	}
	select {
	case <-asked:
	case <-time.After(4 * time.Second):
		t.Error("the new notice board was not asked")
	}
}

// So is one that a start finds half written.
func TestStartCrossesTheWriting(t *testing.T) {
	whole := configuration("127.0.0.1:1")
	env := Environment{File: filepath.Join(t.TempDir(), "config.json")}
	if err := os.WriteFile(env.File, []byte(whole[:len(whole)/2]), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadConfig(env); err == nil {
		t.Fatal("half of it was taken")
	}
	written := time.AfterFunc(configWriteTime/4, func() { os.WriteFile(env.File, []byte(whole), 0o600) })
	defer written.Stop()
	if _, err := LoadConfigAtStart(env); err != nil {
		t.Error(err)
	}
}

// A router whose event loop hangs does not report itself healthy, though its readers go on.
func TestHealthCheckFailsWhileEventLoopHangs(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	turn := make(chan bool)
	r.queue.Post(func(control.Micros) { <-turn })
	c, ours := r.crossing(t, func(*caller, int, error) {})
	c.send(0, 1, "isWell", []any{map[string]string{}})
	until(t, "the question is read", func() bool {
		ours.mu.Lock()
		defer ours.mu.Unlock()
		return ours.healthChecks == 1
	})
	c.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.conn.Read(make([]byte, 1)); n > 0 || !os.IsTimeout(err) {
		t.Errorf("answered, or closed: %d, %v", n, err)
	}
	c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	close(turn)
	c.expect("1: true")
}

// A panic on one connection closes that one, and is logged; the others go on.
func TestFaultOnOneConnection(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	c, _ := r.crossing(t, func(c *caller, n int, err error) {
		if n > 0 {
			panic("planted")
		}
	})
	c.call(1, "again")
	c.expect("closed")
	other := r.caller(t)
	other.call(1, "again", "ref", "00000000000000ff")
	other.expect("1: body 1")
	until(t, "the fault is told", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.anomalies["panic reading a client"] == 1
	})
}

// A panic on a server connection closes that one.
func TestFaultOnOneServerConnection(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	c := r.caller(t)
	c.call(1, "again")
	c.expect("1: body 1")
	r.queue.Post(func(now control.Micros) {
		l := r.newServerConn(now, r.pools[fleet.ID("s-0")])
		l.dialing = nil // the dial panics
		go l.run()
	})
	until(t, "the fault is told", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.anomalies["panic reading a server"] == 1
	})
	c.call(2, "again")
	c.expect("2: body 2")
}

// A client that leaves before its first message is not counted as slow.
func TestLeavingIsNotCountedAsSlow(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	c, ours := r.crossing(t, func(*caller, int, error) {})
	c.conn.Close()
	<-ours.closed
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.anomalies["client closed: no whole message in time"]; n > 0 {
		t.Errorf("counted %d times", n)
	}
}

// A request's timeout runs from when its message was read, though its step comes later.
func TestDeadlineRunsWhileEventLoopHangs(t *testing.T) {
	got := make(chan asked, 1)
	r := start(t, discoveryServer(t, 1), modelServer(t, func(a asked) { got <- a; good(a) }))
	const stood = 300
	turn := make(chan bool)
	r.queue.Post(func(control.Micros) { <-turn })
	c, ours := r.crossing(t, func(*caller, int, error) {})
	c.call(1, "again")
	until(t, "the job is read", func() bool { idle, _ := ours.idle(); return !idle })
	time.Sleep(stood * time.Millisecond)
	close(turn)
	var most int
	for field := range strings.SplitSeq((<-got).fields, ",") {
		fmt.Sscanf(field, "max=%d", &most)
	}
	if most == 0 || most > 1500-stood {
		t.Errorf("the server was given %d ms of 1500, %d after they began", most, stood)
	}
	c.expect("1: body 1")
}

// A hanging dial ends with its connection, whose descriptor is then free for another.
func TestDialEndsWithItsConnection(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port)
	for { // until its queue is full and a further dial hangs
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	told, err := parseConfig([]byte(configuration("127.0.0.1:1")), Environment{})
	if err != nil {
		t.Fatal(err)
	}
	told.connectTimeout = 60_000_000
	p, err := New(told, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer p.listener.Close()
	l := p.newServerConn(0, &serverPool{address: address})
	ended := make(chan struct{})
	go func() { l.run(); close(ended) }()
	p.removeConn(l)
	select {
	case <-ended:
	case <-time.After(4 * time.Second):
		t.Error("the dial goes on")
		l.cancelDial()
		<-ended
	}
}
