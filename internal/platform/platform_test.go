package platform

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/fleet"
	"hollymast/internal/platformtest"
)

func TestServesRequestUnchanged(t *testing.T) {
	c := start(t, modelServer(t, echo)).dial(t)
	c.sendHealthCheck(1)
	c.expect("1: true")
	c.sendRequest(2, "again")
	c.expect("2: body 2")
}

// corruptAnswers are handlers that send a corrupt answer or none.
var corruptAnswers = map[string]func(a receivedAttempt){
	"check": func(a receivedAttempt) { b := a.answerFrame(codeOK, a.ID, "x"); b[len(b)-1]++; a.conn.Write(b) },
	"noise": func(a receivedAttempt) { a.conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) },
	"3 GB":  func(a receivedAttempt) { b := a.answerFrame(codeOK, a.ID, "x"); b[4] = 0xc0; a.conn.Write(b) },
	"reset": func(a receivedAttempt) { a.conn.Close() },
	"short": func(a receivedAttempt) { b := a.answerFrame(codeOK, a.ID, "x"); a.conn.Write(b[:len(b)-2]) },
}

// A request with a corrupt answer may have run: a non-idempotent one fails, and its client is not told that a retry
// is safe.
func TestCorruptAnswerMayHaveRun(t *testing.T) {
	for name, corrupt := range corruptAnswers {
		c := start(t, modelServer(t, corrupt)).dial(t)
		c.sendRequest(1, "once")
		if got := c.receive(); got != "1: Aborted" {
			t.Errorf("%s: got %q", name, got)
		}
	}
}

// An idempotent request with a corrupt answer is retried on another connection, and the server is not ejected.
func TestCorruptAnswerIsRetried(t *testing.T) {
	for _, name := range []string{"check", "noise", "3 GB"} {
		c := start(t, modelServer(t, func(a receivedAttempt) {
			if a.sequence == 1 {
				corruptAnswers[name](a)
			} else {
				echo(a)
			}
		})).dial(t)
		c.sendRequest(1, "again")
		if got := c.receive(); got != "1: body 1" {
			t.Errorf("%s: got %q", name, got)
		}
	}
}

// Answers that no call waits for are dropped, and the connection stays open.
func TestUnsolicitedAnswersAreDropped(t *testing.T) {
	conns := make(chan net.Conn, 8)
	c := start(t, modelServer(t, func(a receivedAttempt) {
		a.conn.Write(a.answerFrame(codeOK, a.ID+1, "not yours"))
		echo(a)
		echo(a)
		conns <- a.conn
	})).dial(t)
	for n := 1; n <= 3; n++ {
		c.sendRequest(n, "again")
		c.expect(fmt.Sprintf("%d: body %d", n, n))
	}
	first := <-conns
	for n := 2; n <= 3; n++ {
		if other := <-conns; other != first {
			t.Errorf("request %d came on another connection", n)
		}
	}
}

func TestOverloadedServerMeansNotRun(t *testing.T) {
	c := start(t, modelServer(t, func(a receivedAttempt) { a.conn.Write(a.answerFrame(codeOverloaded, a.ID, "")) })).dial(t)
	c.sendRequest(1, "once", "allow", "300")
	c.expect("1: TryLater")
}

func TestInvalidRequestsAreAnswered(t *testing.T) {
	r := start(t, modelServer(t, echo))
	for name, bad := range map[string]func(c *testClient){
		"an unknown class":   func(c *testClient) { c.sendRequest(1, "unknown") },
		"an unknown project": func(c *testClient) { c.sendRequest(1, "again", "project", "nobody") },
		"a huge timeout":     func(c *testClient) { c.sendRequest(1, "again", "allow", "86400000") },
		"no idempotency key": func(c *testClient) { c.sendRequest(1, "marked") },
		"too much memory":    func(c *testClient) { c.sendRequest(1, "again", "spec", "memory_mb:5000") },
		"a body of 60 MB":    func(c *testClient) { c.conn.Write([]byte{0x94, 0, 1, 0xa1, 'x', 0x92, 0x80, 0xc6, 3, 0x93, 0x87, 0}) },
	} {
		c := r.dial(t)
		bad(c)
		if got := c.receive(); got != "1: Invalid" {
			t.Errorf("%s: got %q", name, got)
		}
	}
	c := r.dial(t)
	c.sendRequest(1, "again") // other clients are not affected
	c.expect("1: body 1")
}

// Of two requests with the same id neither is served, because they can't be told apart.
func TestDuplicateRequestIDFailsBoth(t *testing.T) {
	c := start(t, modelServer(t, func(receivedAttempt) {})).dial(t)
	c.sendRequest(1, "again")
	c.sendRequest(2, "again", withID(1)...)
	c.expect("1: Invalid")
	c.expect("2: Invalid")
}

// Answers with the same number can't be told apart, so no request on such a connection gets a successful answer.
func TestDuplicateNumberClosesConnection(t *testing.T) {
	r := start(t, modelServer(t, func(receivedAttempt) {}))
	c := r.dial(t)
	c.sendRequest(1, "again")
	c.sendRequest(1, "again", withID(255)...)
	c.expect("1: Invalid")
	c.expect("1: Aborted")
	c.expect("closed")
}

func TestSilentConnectionsAreClosed(t *testing.T) {
	r := start(t, modelServer(t, echo))
	silent, partial := r.dial(t), r.dial(t)
	partial.conn.Write([]byte{0x94, 0, 1})
	for _, c := range []*testClient{silent, partial} {
		c.conn.SetDeadline(time.Now().Add(3 * time.Second))
		if _, err := c.conn.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
			t.Errorf("open after 3 s: %v", err)
		}
	}
}

func TestMoreThan32OpenAreRejected(t *testing.T) {
	c := start(t, modelServer(t, func(receivedAttempt) {})).dial(t)
	for n := 1; n <= maxOpenPerClient+1; n++ {
		c.sendRequest(n, "again")
	}
	c.expect(fmt.Sprintf("%d: TryLater", maxOpenPerClient+1))
}

// When the connection limit is reached, connections that never sent a message are closed to make room.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	r := start(t, modelServer(t, echo))
	for range r.maxClients + 20 {
		r.dial(t)
	}
	c := r.dial(t)
	c.sendRequest(1, "again")
	c.expect("1: body 1")
}

// Connections that have sent only part of a message, or one message and then nothing, are closed to make room too. A
// well-behaved client gets all its answers meanwhile.
func TestPartialMessagesMakeRoom(t *testing.T) {
	r := start(t, modelServer(t, echo))
	regular := r.dial(t)
	for n := 1; n <= r.maxClients; n++ {
		partial, staying := r.dial(t), r.dial(t)
		partial.conn.Write([]byte{0x94, 0, 1})
		staying.sendHealthCheck(1)
		regular.sendRequest(n, "again")
		regular.expect(fmt.Sprintf("%d: body %d", n, n))
	}
	if n := r.anomalyCount(clientRejected); n > 0 {
		t.Errorf("%d connections were rejected", n)
	}
}

func TestCancelledRequestIsNotAnswered(t *testing.T) {
	got := make(chan receivedAttempt, 1)
	r := start(t, modelServer(t, func(a receivedAttempt) {
		if a.sequence == 1 {
			got <- a
		} else {
			echo(a)
		}
	}))
	c, routerConn := r.dialHooked(t, ignoreReads)
	c.sendRequest(1, "again")
	a := <-got
	c.sendCancel(1)
	platformtest.WaitFor(t, "the cancellation is read", func() bool { return routerConn.openRequestCount() == 0 })
	handled := make(chan struct{})
	r.loop.Post(func(control.Micros) { close(handled) }) // handled after the cancellation
	<-handled
	echo(a)
	c.sendRequest(2, "again")
	c.expect("2: body 2")
}

// A server that is removed between the choice and the first byte is sent nothing.
func TestDrainBeforeFirstByte(t *testing.T) {
	r := start(t, modelServer(t, echo))
	done := make(chan bool)
	r.loop.Post(func(now control.Micros) {
		id := fleet.ID("s-0")
		call := r.newCall(id, 1_000_000)
		call.load.Server = id
		call.id, call.timer = 1, time.NewTimer(time.Hour)
		pool := r.poolFor(id)
		call.conn = r.newServerConn(now, pool)
		call.conn.open[1] = call
		r.listServer(now, pool.address, control.Removed)
		done <- call.progress.Ended && !call.canWrite()
	})
	if !<-done {
		t.Error("the call could still be written")
	}
}

// A new server at the address of a removed one gets new connections.
func TestReusedAddressGetsOwnConnections(t *testing.T) {
	conns := make(chan net.Conn, 2)
	address := modelServer(t, func(a receivedAttempt) { echo(a); conns <- a.conn })
	r := start(t, address)
	c := r.dial(t)
	c.sendRequest(1, "again")
	c.expect("1: body 1")
	r.loop.Post(func(now control.Micros) {
		r.handleEndpoints(now, []fleet.Endpoint{{Name: "s-9", Address: address, Zone: "east", State: control.Ready}})
	})
	c.sendRequest(2, "again")
	c.expect("2: body 2")
	if <-conns == <-conns {
		t.Error("a request to the new server used the old server's connection")
	}
}

// After a reload the router subscribes at the new discovery address, and requests in flight continue.
func TestReload(t *testing.T) {
	old, held := holdingServer(t)
	other := modelServer(t, echo)
	r := start(t, old)
	c := r.dial(t)
	c.sendRequest(1, "again")
	a := <-held
	changed := *r.config
	changed.DiscoveryAddress = platformtest.NewDiscovery(t, "127.0.0.1:0", nil, platformtest.Event(1, "s-0", old, "ready"),
		platformtest.Event(2, "s-0", old, "draining"), platformtest.Event(3, "s-1", other, "ready")).Address()
	r.Reload(&changed)
	for n := 2; ; n++ {
		c.sendRequest(n, "again", "allow", "200")
		if c.receive() == fmt.Sprintf("%d: body %d", n, n) {
			break
		}
		if n > 20 {
			t.Fatal("the new server was never used")
		}
	}
	echo(a)
	c.expect("1: body 1")
}

// A stopping router serves requests for a short time, answers those in flight, and ends.
func TestGracefulShutdown(t *testing.T) {
	server, held := holdingServer(t)
	r := start(t, server)
	c := r.dial(t)
	c.sendRequest(1, "again")
	a := <-held
	r.stop()
	time.Sleep(200 * time.Millisecond)
	late := r.dial(t)
	late.sendHealthCheck(1)
	late.expect("1: false")
	late.sendRequest(2, "again", withID(255)...)
	echo(<-held)
	late.expect("2: body 2")
	select {
	case <-r.acceptEnded:
	case <-time.After(2 * time.Second):
		t.Fatal("the listener stays open")
	}
	echo(a)
	c.expect("1: body 1")
	select {
	case <-r.done:
	case <-time.After(2 * time.Second):
		t.Error("the router is still running with no request in flight")
	}
}

// A connection whose peer does not read is closed once too many bytes are queued.
func TestWriteQueueIsBounded(t *testing.T) {
	routerConn, peerConn := net.Pipe()
	defer peerConn.Close()
	q := &writeQueue{conn: routerConn, maxQueuedBytes: 1000}
	accepted := 0
	for q.post(queuedFrame{data: make([]byte, 100)}) {
		accepted++
	}
	if accepted > 11 || !q.empty() {
		t.Errorf("%d frames were accepted", accepted)
	}
}

func TestInvalidConfigurations(t *testing.T) {
	for name, text := range map[string]string{"half a file": `{"name": "n0", "list`, "no settings": `{"listen": "127.0.0.1:1"}`,
		"no address": `{"listen": "here", "board": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 256}, "settings": ` + settingsText + `}`,
		"a bad seed": `{"listen": "127.0.0.1:1", "board": "127.0.0.1:1", "seed": "-", "limits": {"sockets": 256}, "settings": ` + settingsText + `}`,
		"few sockets": `{"listen": "127.0.0.1:1", "board": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 8}, "settings": ` + settingsText +
			`}`,
	} {
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(Environment{File: file}); err == nil {
			t.Errorf("%s: the configuration was accepted", name)
		}
	}
}

// The balancer's load-rate limit assumes a bound on how late a load command may be written. It matches the bound that
// a call gets.
func TestMaxCommandDelayMatchesWriteDeadline(t *testing.T) {
	r := idleRouter(t)
	if call := r.newCall(1, r.config.loadTimeout); call.writeBefore-call.chosenAt != r.config.Deployment.MaxCommandDelay || r.config.Deployment.MaxCommandDelay == 0 {
		t.Errorf("written %d late, configured %d", call.writeBefore-call.chosenAt, r.config.Deployment.MaxCommandDelay)
	}
}

// With few descriptors, making room does not close connections as long as there are no more than well-behaved clients
// use: a third of all descriptors.
func TestFewDescriptorsSpareWellBehavedClients(t *testing.T) {
	config := mustParseConfig(t, configText(unreachable))
	config.Sockets = minSockets
	r := newRouter(t, config, zerolog.Nop())
	for range config.Sockets / 3 {
		if !r.hasRoom() {
			t.Fatal("no room")
		}
		routerConn, peerConn := net.Pipe()
		defer peerConn.Close()
		r.clients[&clientConn{router: r, conn: routerConn}] = struct{}{}
	}
	for c := range r.clients {
		if _, closing := c.idle(); closing {
			t.Error("a regular client's connection was closed")
		}
	}
}
