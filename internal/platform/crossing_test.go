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
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/fleet"
	"hollymast/internal/platformtest"
)

// Each test here makes two events race on real sockets, by delaying one until the other has happened.

// A request that arrives just before its idle connection would be closed is still read and served.
func TestRequestCrossesIdleClose(t *testing.T) {
	r := start(t, modelServer(t, echo))
	c, routerConn := r.dialHooked(t, onFirstDeadline(func(c *testClient) { c.sendRequest(2, "again") }))
	c.sendHealthCheck(1)
	c.expect("1: true")
	routerConn.closeWhenIdle(0)
	c.expect("2: body 2")
	c.expect("closed")
}

// A request that arrives at the last read of its connection during shutdown is answered before the connection closes.
func TestRequestCrossesShutdown(t *testing.T) {
	r := start(t, modelServer(t, echo))
	c, _ := r.dialHooked(t, onFirstDeadline(func(c *testClient) { c.sendRequest(2, "again") }))
	c.sendHealthCheck(1)
	c.expect("1: true")
	r.stop()
	c.expect("2: TryLater")
	c.expect("closed")
}

// A request that arrives so late in the shutdown that its answer might not come before the kill is rejected
// immediately.
func TestRequestCrossesKill(t *testing.T) {
	r := start(t, modelServer(t, echo))
	c := r.dial(t)
	r.loop.Post(func(now control.Micros) { r.stopRequestedAt = now - acceptRequestsFor })
	c.sendRequest(1, "again")
	c.expect("1: TryLater")
}

// A connection that is to close while a request is open closes after that request's answer.
func TestConnectionClosesAfterItsRequest(t *testing.T) {
	server, held := holdingServer(t)
	r := start(t, server)
	c, routerConn := r.dialHooked(t, ignoreReads)
	c.sendRequest(1, "again")
	a := <-held
	routerConn.closeWhenIdle(0)
	echo(a)
	c.expect("1: body 1")
	c.expect("closed")
}

// Making room does not immediately close a closing connection on which a request is still open.
func TestMakeRoomSparesOpenRequests(t *testing.T) {
	server, held := holdingServer(t)
	r := start(t, server)
	c, routerConn := r.dialHooked(t, ignoreReads)
	c.sendRequest(1, "again")
	a := <-held
	routerConn.abort()
	r.makeRoom(1)
	echo(a)
	c.expect("1: body 1")
	c.expect("closed")
}

// A first message that arrived in time during a stall of the process is accepted although its deadline has passed.
func TestMessageCrossesItsDeadline(t *testing.T) {
	r := start(t, modelServer(t, echo))
	c, _ := r.dialHooked(t, onFirstDeadline(func(c *testClient) { c.sendRequest(1, "again") }))
	c.expect("1: body 1") // comes after firstMessageTimeout
}

// Requests on connections that are pending when the listener closes are answered, and the connections are closed.
func TestWaitingConnectionsAreAccepted(t *testing.T) {
	r := idleRouter(t)
	const waiting = 3
	var clients []*testClient
	for range waiting {
		c := dialAddress(t, r.Address())
		c.sendRequest(1, "again")
		clients = append(clients, c)
	}
	r.beginStop()
	r.stopListening()
	r.accept(r.listener)
	for _, c := range clients {
		c.expect("1: TryLater")
		c.expect("closed")
	}
	if !r.allClientsClosed() {
		t.Error("a connection is still open")
	}
}

// The sender of an unreadable message reads the error and then the end of the connection; no reset overtakes the
// answer.
func TestAnswerPrecedesClose(t *testing.T) {
	r := start(t, modelServer(t, echo))
	c, _ := r.dialHooked(t, ignoreReads)
	c.conn.Write(append([]byte{0x94, 0, 1, 0xa1, 'x', 0x92, 0x80, 0xc6, 3, 0x93, 0x87, 0}, make([]byte, 64<<10)...))
	c.expect("1: Invalid")
	c.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if n, err := c.conn.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("read %d, %v instead of the end", n, err)
	}
}

// A request that its client cancels, or abandons by closing the connection, is not written to a server any more, even
// if the event loop has not handled that yet.
func TestClientLeavesBeforeFirstByte(t *testing.T) {
	for name, leave := range map[string]func(c *testClient){
		"cancels": func(c *testClient) { c.sendCancel(1) },
		"closes":  func(c *testClient) { c.conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			server, held := holdingServer(t)
			r := start(t, server)
			c := r.dial(t)
			c.sendRequest(1, "again")
			<-held
			chosen, release := make(chan *serverCall), make(chan bool)
			r.loop.Post(func(control.Micros) { // a further attempt is chosen while the step continues
				call := r.newCall(fleet.ID("s-0"), 1_000_000)
				call.request, call.attempt, call.timer = r.requests[1], 1, time.NewTimer(time.Hour)
				call.request.answer.AttemptBegan()
				chosen <- call
				<-release
			})
			call := <-chosen
			leave(c)
			platformtest.WaitFor(t, "the client's departure is read", call.request.abandoned.Load)
			if call.canWrite() {
				t.Error("the attempt was written")
			}
			close(release)
		})
	}
}

// None of the requests of a flooding client stay open: its reader sleeps between messages and would notice a
// cancellation late.
func TestFloodingClientHasNothingOpen(t *testing.T) {
	server, held := holdingServer(t)
	c := start(t, server).dial(t)
	c.sendRequest(1, "again")
	<-held
	for n := 2; n < 2+tolerableFaults; n++ {
		c.sendRequest(n, "unknown")
	}
	for n := 2; n < 2+tolerableFaults; n++ {
		c.expect(fmt.Sprintf("%d: Invalid", n))
	}
	c.expect("1: Aborted")
	c.sendRequest(100, "again")
	c.expect("100: TryLater")
}

// A duplicate answer to an attempt that has ended arrives during the request's next attempt. It is not mistaken for
// the answer to that attempt.
func TestDuplicateAnswerCrossesNextAttempt(t *testing.T) {
	var first receivedAttempt
	c := start(t, modelServer(t, func(a receivedAttempt) {
		if a.sequence == 1 {
			first = a
			a.conn.Write(a.answerFrame(codeError, a.ID, ""))
			return
		}
		first.conn.Write(first.answerFrame(codeOK, first.ID, "stale"))
		echo(a)
	})).dial(t)
	c.sendRequest(1, "again")
	c.expect("1: body 1")
}

// Of two idle connections the one that is already connected is used: the other may connect late, or never.
func TestConnectedConnectionIsPreferred(t *testing.T) {
	connected, dialing := &serverConn{up: true, idleSince: 1}, &serverConn{idleSince: 2}
	if !connected.preferredOver(dialing) || dialing.preferredOver(connected) {
		t.Error("the connection that is still being dialled is preferred")
	}
}

// limitDescriptors limits this process to the descriptors that are now open. exhaust takes those that become free
// below the limit; restore returns them and removes the limit.
func limitDescriptors(t *testing.T) (exhaust, restore func()) {
	t.Helper()
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	free, err := syscall.Dup(0)
	if err != nil {
		t.Fatal(err)
	}
	syscall.Close(free)
	limit := before
	limit.Cur = uint64(free)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	var taken []int
	exhaust = func() {
		for fd, err := syscall.Dup(0); err == nil; fd, err = syscall.Dup(0) {
			taken = append(taken, fd)
		}
	}
	restore = func() {
		for _, fd := range taken {
			syscall.Close(fd)
		}
		taken = nil
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(restore)
	return exhaust, restore
}

// A shortage of descriptors does not count against the server: the request waits for a descriptor.
func TestOutOfDescriptors(t *testing.T) {
	r := start(t, modelServer(t, echo))
	c := r.dial(t)
	c.sendHealthCheck(1)
	c.expect("1: true")
	exhaust, restore := limitDescriptors(t)
	exhaust()
	c.sendRequest(2, "again")
	platformtest.WaitFor(t, "a dial finds no descriptor", func() bool {
		exhaust() // peers of an earlier test may have closed others meanwhile
		return r.anomalyCount(outOfDescriptors) > 0
	})
	restore()
	c.expect("2: body 2")
	if n := r.anomalyCount(noServerConnection); n > 0 {
		t.Errorf("%d failures were counted against the server", n)
	}
}

// A configuration that is only partly written when the signal comes is read again, without another signal.
func TestReloadOfPartlyWrittenConfig(t *testing.T) {
	subscribed := make(chan bool, 1)
	whole := configText(listen(t, func(c net.Conn) {
		select {
		case subscribed <- true:
		default: // the router subscribes repeatedly, because it receives nothing
		}
		c.Read(make([]byte, 100))
	}))
	env := Environment{File: filepath.Join(t.TempDir(), "config.json")}
	if err := os.WriteFile(env.File, []byte(whole[:len(whole)/2]), 0o600); err != nil {
		t.Fatal(err)
	}
	log := &logBuffer{}
	r := newRouter(t, testConfig(t), zerolog.New(log))
	ctx, stop := context.WithCancel(context.Background())
	signals := make(chan os.Signal)
	var goroutines sync.WaitGroup
	goroutines.Go(func() { r.Serve(ctx) })
	goroutines.Go(func() { r.ReloadOn(ctx, signals, env) })
	t.Cleanup(func() { stop(); goroutines.Wait() })
	signals <- syscall.SIGHUP
	platformtest.WaitFor(t, "the partly written configuration is rejected", func() bool { return strings.Contains(log.String(), "invalid configuration") })
	if err := os.WriteFile(env.File, []byte(whole), 0o600); err != nil {
		t.Fatal(err)
	}
	select {
	case <-subscribed:
	case <-time.After(4 * time.Second):
		t.Error("no subscription at the new address")
	}
}

// A configuration that is only partly written when the router starts is read again too.
func TestStartWithPartlyWrittenConfig(t *testing.T) {
	whole := configText(unreachable)
	env := Environment{File: filepath.Join(t.TempDir(), "config.json")}
	if err := os.WriteFile(env.File, []byte(whole[:len(whole)/2]), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := LoadConfig(env); err == nil {
		t.Fatal("a partly written configuration was accepted")
	}
	written := time.AfterFunc(configWriteTime/4, func() { os.WriteFile(env.File, []byte(whole), 0o600) })
	defer written.Stop()
	if _, err := LoadConfigAtStart(env); err != nil {
		t.Error(err)
	}
}

// A router whose event loop hangs does not report that it is healthy, even though its readers continue.
func TestHealthCheckFailsWhileEventLoopHangs(t *testing.T) {
	r := start(t, modelServer(t, echo))
	release := make(chan bool)
	r.loop.Post(func(control.Micros) { <-release })
	c, routerConn := r.dialHooked(t, ignoreReads)
	c.sendHealthCheck(1)
	platformtest.WaitFor(t, "the health check is read", func() bool {
		routerConn.mu.Lock()
		defer routerConn.mu.Unlock()
		return routerConn.healthChecks == 1
	})
	c.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.conn.Read(make([]byte, 1)); n > 0 || !os.IsTimeout(err) {
		t.Errorf("answered, or closed: %d, %v", n, err)
	}
	c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	close(release)
	c.expect("1: true")
}

// A panic on a client connection closes only that connection, and is counted.
func TestPanicOnClientConnection(t *testing.T) {
	r := start(t, modelServer(t, echo))
	c, _ := r.dialHooked(t, func(c *testClient, n int, err error) {
		if n > 0 {
			panic("injected")
		}
	})
	c.sendRequest(1, "again")
	c.expect("closed")
	other := r.dial(t)
	other.sendRequest(1, "again", withID(255)...)
	other.expect("1: body 1")
	platformtest.WaitFor(t, "the panic is counted", func() bool { return r.anomalyCount(panicReadingClient) == 1 })
}

// A panic on a server connection closes only that connection.
func TestPanicOnServerConnection(t *testing.T) {
	r := start(t, modelServer(t, echo))
	c := r.dial(t)
	c.sendRequest(1, "again")
	c.expect("1: body 1")
	r.loop.Post(func(now control.Micros) {
		sc := r.newServerConn(now, r.pools[fleet.ID("s-0")])
		sc.dialing = nil // makes the dial panic
		go sc.run()
	})
	platformtest.WaitFor(t, "the panic is counted", func() bool { return r.anomalyCount(panicReadingServer) == 1 })
	c.sendRequest(2, "again")
	c.expect("2: body 2")
}

// A client that closes its connection before its first message is not counted as slow.
func TestEarlyCloseIsNotCountedAsSlow(t *testing.T) {
	r := start(t, modelServer(t, echo))
	c, routerConn := r.dialHooked(t, ignoreReads)
	c.conn.Close()
	<-routerConn.closed
	if n := r.anomalyCount(clientTooSlow); n > 0 {
		t.Errorf("counted %d times", n)
	}
}

// The timeout of a request starts when its message is read, even if the event loop handles the request later.
func TestDeadlineRunsWhileEventLoopHangs(t *testing.T) {
	got := make(chan receivedAttempt, 1)
	r := start(t, modelServer(t, func(a receivedAttempt) { got <- a; echo(a) }))
	const stall = 300 * time.Millisecond
	release := make(chan bool)
	r.loop.Post(func(control.Micros) { <-release })
	c, routerConn := r.dialHooked(t, ignoreReads)
	c.sendRequest(1, "again")
	platformtest.WaitFor(t, "the request is read", func() bool { idle, _ := routerConn.idle(); return !idle })
	time.Sleep(stall)
	close(release)
	if stated := (<-got).timeout(); stated == 0 || stated > clientTimeout-stall {
		t.Errorf("the server was given %v of %v, %v after they began", stated, clientTimeout, stall)
	}
	c.expect("1: body 1")
}

// A hanging dial ends when its connection is removed, which frees the descriptor.
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
	for { // until the accept queue is full and a further dial hangs
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	r := idleRouter(t)
	r.config.connectTimeout = 60_000_000
	sc := r.newServerConn(0, &serverPool{address: address})
	ended := make(chan struct{})
	go func() { sc.run(); close(ended) }()
	r.removeConn(sc)
	select {
	case <-ended:
	case <-time.After(4 * time.Second):
		t.Error("the dial goes on")
		sc.cancelDial()
		<-ended
	}
}
