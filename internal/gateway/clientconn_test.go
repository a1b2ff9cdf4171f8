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
	"hollymast/internal/attempt"
	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
	"hollymast/internal/rest"
)

func TestBadClients(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
	half := inferText("h", "forecast-1")
	for name, c := range map[string]struct{ in, want string }{
		"half a body":     {half[:len(half)-3], "HTTP/1.1 408"},
		"slow header":     {half[:20], "HTTP/1.1 408"},
		"two framings":    {"POST /v2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 400"},
		"no JSON":         {strings.Replace(half, `{"id"`, `["id"`, 1), "HTTP/1.1 400"},
		"no such call":    {"GET /v3 HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 404"},
		"wrong method":    {"GET /v2/models/forecast-1/infer HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 405"},
		"unknown to us":   {inferText("u", "unheard-1"), "HTTP/1.1 404"},
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
			t.Errorf("a server got job %q", rec.Request)
		}
	}
}

// A client that closes its own side gets its one answer at once; one that leaves has its execution called off.
func TestClientLeaves(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
	tg.call("first", "forecast-1", time.Second)
	tg.servers[0].SetFaults(fakeserver.Faults{Silent: true})
	conn, r := tg.dialClient()
	io.WriteString(conn, inferText("half", "ticket-1"))
	for tg.received("half") == 0 {
		time.Sleep(time.Millisecond)
	}
	begun := time.Now()
	conn.(*net.TCPConn).CloseWrite()
	line, err := r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "HTTP/1.1 504") || time.Since(begun) > 500*time.Millisecond {
		t.Errorf("got %q, %v after %s", line, err, time.Since(begun))
	}
	for left := 1; left > 0; time.Sleep(time.Millisecond) { // no job stays in hand, though its server is silent
		if left = tg.inFlight(); time.Since(begun) > 900*time.Millisecond {
			t.Fatal("the execution was not called off before its limit")
		}
	}
}

// inHand counts the jobs that the gateway has in hand.
// Nothing is written for a job whose client left while a connection was still being opened (found by hmmodelcheck).
func TestClientLeavesBeforeItsJobIsWritten(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", func(c *Config) { c.MaxDials = 1 }, serverOptions(0))
	tg.gateway.dialing <- struct{}{} // somebody else dials
	conn, _ := tg.dialClient()
	if _, err := conn.Write([]byte(inferText("1", "ticket-1"))); err != nil {
		t.Fatal(err)
	}
	for tg.inFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	conn.Close()
	for given := false; !given; time.Sleep(time.Millisecond) {
		done := make(chan bool)
		tg.gateway.post(func(control.Micros) {
			given := true
			for _, req := range tg.gateway.requests {
				given = given && req.answer.Given
			}
			done <- given
		})
		given = <-done
	}
	<-tg.gateway.dialing
	for tg.inFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if n := tg.received("1"); n > 0 {
		t.Errorf("written %d times", n)
	}
}

func TestPipelinedJobs(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
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

func TestIdleClientsAndBounds(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
	for range 200 {
		tg.dialClient()
	}
	if word := tg.call("busy", "forecast-1", time.Second); word != invariant.Succeeded {
		t.Errorf("got %s", word)
	}
	for range 120 {
		tg.dialClient()
	}
	conn, r := tg.dialClient()
	defer conn.Close()
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 503") {
		t.Errorf("beyond the bound: got %q, %v", line, err)
	}
}

// An execution is not written once its client has closed, though nobody has read the close: it may be half closed, or reset, or
// closed behind a request that was sent ahead.
func TestNothingIsWrittenForAClientThatHasGone(t *testing.T) {
	for name, c := range map[string]struct {
		leave  func(nc *net.TCPConn)
		result control.Result
	}{
		"stays":       {func(*net.TCPConn) {}, control.Succeeded},
		"sends ahead": {func(nc *net.TCPConn) { io.WriteString(nc, inferText("2", "forecast-1")) }, control.Succeeded},
		"closes":      {func(nc *net.TCPConn) { nc.Close() }, control.NotSent},
		"half closes": {func(nc *net.TCPConn) { nc.CloseWrite() }, control.NotSent},
		"resets":      {func(nc *net.TCPConn) { nc.SetLinger(0); nc.Close() }, control.NotSent},
		"closes behind a request": {func(nc *net.TCPConn) {
			io.WriteString(nc, inferText("2", "forecast-1"))
			nc.Close()
		}, control.NotSent},
	} {
		tg := newTestGateway(t)
		address, _ := recordingServer(t, new(atomic.Int64))
		call := tg.newCall(address, time.Second)
		l, err := listenTCP("127.0.0.1:0")
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
		call.request.clientCheckedAt.Store(int64(tg.gateway.now() - attempt.MaxClientCheckAge - 1))
		call.request.response, call.request.id = make(chan *rest.Response, 1), 1
		call.request.answer.Give() // the turn has it answered
		c.leave(conn.(*net.TCPConn))
		time.Sleep(10 * time.Millisecond)
		to := &serverConn{gateway: tg.gateway, address: address}
		if result := to.exchange(call); result.result != c.result {
			t.Errorf("%s: got %v", name, result.result)
		}
		if x := to.client.Load(); x != nil {
			x.Close()
		}
		call.cancel()
		for _, x := range []io.Closer{l, conn, accepted} {
			x.Close()
		}
	}
}

// A client that sends a request ahead and closes behind it is seen to be gone: its execution is called off.
func TestCloseBehindARequestIsSeen(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
	tg.call("first", "forecast-1", time.Second)
	tg.servers[0].SetFaults(fakeserver.Faults{Silent: true})
	conn, _ := tg.dialClient()
	io.WriteString(conn, inferText("1", "ticket-1")+inferText("2", "ticket-1"))
	for tg.received("1") == 0 {
		time.Sleep(time.Millisecond)
	}
	conn.Close()
	closed := time.Now()
	for tg.inFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if late := time.Since(closed); late > 500*time.Millisecond || tg.received("2") > 0 {
		t.Errorf("over after %v; the second was sent %d times", late, tg.received("2"))
	}
}

// A client that sends several requests and closes its side has an answer to each.
func TestHalfClosedClientHasAllItsAnswers(t *testing.T) {
	m := serverOptions(0)
	m.ExecutionTime = 100 * time.Millisecond
	tg := newTestGateway(t, m)
	conn, r := tg.dialClient()
	io.WriteString(conn, inferText("1", "ticket-1")+inferText("2", "ticket-1")+inferText("3", "ticket-1"))
	conn.(*net.TCPConn).CloseWrite()
	if lines, err := readStatusLines(r, 3); err != nil {
		t.Errorf("got %q, %v", lines, err)
	}
}
