package gateway

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"hollymast/control"
	"hollymast/internal/acceptqueue"
	"hollymast/internal/attempt"
	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
	"hollymast/internal/rest"
)

func TestInvalidRequests(t *testing.T) {
	tg := newTestGateway(t, serverConfig(0))
	validRequest := inferText("h", "forecast-1")
	for name, c := range map[string]struct{ in, want string }{
		"half a body":     {validRequest[:len(validRequest)-3], "HTTP/1.1 408"},
		"slow header":     {validRequest[:20], "HTTP/1.1 408"},
		"two framings":    {"POST /v2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 400"},
		"no JSON":         {strings.Replace(validRequest, `{"id"`, `["id"`, 1), "HTTP/1.1 400"},
		"no such call":    {"GET /v3 HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 404"},
		"wrong method":    {"GET /v2/models/forecast-1/infer HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 405"},
		"unknown model":   {inferText("u", "unheard-1"), "HTTP/1.1 404"},
		"load by clients": {"POST /v2/repository/models/forecast-1/load HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 405"},
	} {
		conn, r := tg.dialClient()
		io.WriteString(conn, c.in)
		if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, c.want) {
			t.Errorf("%s: got %q, %v", name, line, err)
		}
	}
	for _, rec := range tg.log.Records() {
		if rec.Kind == invariant.AttemptReceived {
			t.Errorf("the server received request %q", rec.Request)
		}
	}
}

// A client that closes its side of the connection is answered at once, and its attempt is cancelled.
func TestClientCloses(t *testing.T) {
	tg := newTestGateway(t, serverConfig(0))
	tg.call("first", "forecast-1", time.Second)
	tg.servers[0].SetFaults(fakeserver.Faults{Unresponsive: true})
	conn, r := tg.dialClient()
	io.WriteString(conn, inferText("half", "ticket-1"))
	waitUntil(t, "the server has the attempt", func() bool { return tg.attemptsReceived("half") > 0 })
	start := time.Now()
	conn.(*net.TCPConn).CloseWrite()
	line, err := r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "HTTP/1.1 504") || time.Since(start) > 500*time.Millisecond {
		t.Errorf("got %q, %v after %s", line, err, time.Since(start))
	}
	waitUntil(t, "no request is in flight, though the server is silent", func() bool { return tg.inFlight() == 0 })
	if took := time.Since(start); took > 900*time.Millisecond {
		t.Errorf("the attempt was cancelled only after %s", took)
	}
}

// No attempt is written for a request whose client closes while its server connection is still being dialled.
// hmmodelcheck found this case.
func TestClientClosesBeforeFirstByte(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", func(c *Config) { c.MaxDials = 1 }, serverConfig(0))
	tg.gateway.dialSemaphore <- struct{}{} // occupied by another connection
	conn, _ := tg.dialClient()
	if _, err := conn.Write([]byte(inferText("1", "ticket-1"))); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "a request is in flight", func() bool { return tg.inFlight() > 0 })
	conn.Close()
	waitUntil(t, "the request is answered", func() bool {
		answered := make(chan bool)
		tg.gateway.loop.Post(func(control.Micros) {
			all := true
			for _, req := range tg.gateway.requests {
				all = all && req.answer.Decided
			}
			answered <- all
		})
		return <-answered
	})
	<-tg.gateway.dialSemaphore
	waitUntil(t, "no request is in flight", func() bool { return tg.inFlight() == 0 })
	if n := tg.attemptsReceived("1"); n > 0 {
		t.Errorf("written %d times", n)
	}
}

func TestPipelinedRequests(t *testing.T) {
	tg := newTestGateway(t, serverConfig(0))
	conn, r := tg.dialClient()
	io.WriteString(conn, inferText("a", "forecast-1")+inferText("b", "forecast-2")+inferText("c", "forecast-1"))
	for _, want := range []string{"a", "b", "c"} {
		for blank := false; !blank; {
			line, err := r.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			blank = line == "\r\n"
		}
		body := make([]byte, len(`{"model_name":"m","id":"a","parameters":{"found":"began"},"outputs":[]}`))
		n, _ := r.Read(body)
		if got := gjson.GetBytes(body[:n], "id").Str; got != want {
			t.Errorf("got %q, want %q", body[:n], want)
		}
	}
}

func TestConnectionLimit(t *testing.T) {
	tg := newTestGateway(t, serverConfig(0))
	for range 200 {
		tg.dialClient()
	}
	if answer := tg.call("busy", "forecast-1", time.Second); answer != invariant.Succeeded {
		t.Errorf("got %s", answer)
	}
	for range 120 {
		tg.dialClient()
	}
	conn, r := tg.dialClient()
	defer conn.Close()
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 503") {
		t.Errorf("beyond the limit: got %q, %v", line, err)
	}
}

// An attempt is not written after its client has closed, half closed or reset the connection, even if the gateway has
// not read that yet or it comes behind a pipelined request.
func TestNothingIsWrittenForClosedClient(t *testing.T) {
	for name, c := range map[string]struct {
		client  func(conn *net.TCPConn)
		arrived func(conn *rest.Conn) bool // whether it has arrived at the gateway
		result  control.Result
	}{
		"stays": {func(*net.TCPConn) {}, func(*rest.Conn) bool { return true }, control.Succeeded},
		"pipelines a request": {func(conn *net.TCPConn) { io.WriteString(conn, inferText("2", "forecast-1")) },
			(*rest.Conn).HasPendingInput, control.Succeeded},
		"closes":      {func(conn *net.TCPConn) { conn.Close() }, (*rest.Conn).PeerClosed, control.NotSent},
		"half closes": {func(conn *net.TCPConn) { conn.CloseWrite() }, (*rest.Conn).PeerClosed, control.NotSent},
		"resets":      {func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() }, (*rest.Conn).PeerClosed, control.NotSent},
		"closes behind a request": {func(conn *net.TCPConn) {
			io.WriteString(conn, inferText("2", "forecast-1"))
			conn.Close()
		}, (*rest.Conn).PeerClosed, control.NotSent},
	} {
		tg := newTestGateway(t)
		address, _ := startRecordingServer(t, new(atomic.Int64))
		call := tg.newCall(address, time.Second)
		l, err := acceptqueue.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		call.request.client = rest.NewConn(accepted, &rest.DefaultLimits, nil)
		call.request.clientCheckedAt.Store(int64(tg.gateway.loop.Now() - attempt.MaxClientCheckAge - 1))
		call.request.response, call.request.id = make(chan *rest.Response, 1), 1
		call.request.answer.Decide() // so that the event loop does not answer it
		c.client(conn.(*net.TCPConn))
		waitUntil(t, "the client's action has arrived", func() bool { return c.arrived(call.request.client) })
		sc := &serverConn{gateway: tg.gateway, address: address}
		if result := sc.exchange(call); result.result != c.result {
			t.Errorf("%s: got %v", name, result.result)
		}
		if client := sc.client.Load(); client != nil {
			client.Close()
		}
		call.cancel()
		for _, c := range []io.Closer{l, conn, accepted} {
			c.Close()
		}
	}
}

// A close behind a pipelined request is detected, and the attempt in flight is cancelled.
func TestCloseBehindPipelinedRequest(t *testing.T) {
	tg := newTestGateway(t, serverConfig(0))
	tg.call("first", "forecast-1", time.Second)
	tg.servers[0].SetFaults(fakeserver.Faults{Unresponsive: true})
	conn, _ := tg.dialClient()
	io.WriteString(conn, inferText("1", "ticket-1")+inferText("2", "ticket-1"))
	waitUntil(t, "the server has the attempt", func() bool { return tg.attemptsReceived("1") > 0 })
	conn.Close()
	closed := time.Now()
	waitUntil(t, "no request is in flight", func() bool { return tg.inFlight() == 0 })
	if late := time.Since(closed); late > 500*time.Millisecond || tg.attemptsReceived("2") > 0 {
		t.Errorf("cancelled after %v; the second request was sent %d times", late, tg.attemptsReceived("2"))
	}
}

// A client that sends several requests and then closes its side of the connection gets all answers.
func TestHalfClosedClientGetsAllAnswers(t *testing.T) {
	server := serverConfig(0)
	server.ExecutionTime = 100 * time.Millisecond
	tg := newTestGateway(t, server)
	conn, r := tg.dialClient()
	io.WriteString(conn, inferText("1", "ticket-1")+inferText("2", "ticket-1")+inferText("3", "ticket-1"))
	conn.(*net.TCPConn).CloseWrite()
	if lines, err := readStatusLines(r, 3); err != nil {
		t.Errorf("got %q, %v", lines, err)
	}
}
