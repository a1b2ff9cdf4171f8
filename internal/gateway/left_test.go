package gateway

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/fakeserver"
	"hollymast/internal/fleet"
	"hollymast/internal/invariant"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// slack is by how much the time that a server is told may exceed what its client has left.
const timeoutTolerance = 150 * time.Millisecond

// toldLeft is a server's end of an exchange: when its request was whole, and the time that it told.
type statedTimeout struct {
	receivedAt time.Time
	timeout    time.Duration
}

// listens gives a server that notes what it is told, and takes its time for one request.
func recordingServer(t *testing.T, slow *atomic.Int64) (address string, heard chan statedTimeout) {
	heard = make(chan statedTimeout, 64)
	return listenRaw(t, func(_ int, nc *net.TCPConn) {
		client := rest.NewConn(nc, &rest.DefaultLimits, nil)
		msg, err := client.ReadRequest()
		if err != nil {
			return
		}
		if strings.HasSuffix(msg.Target, "/infer") { // else it is an order to load
			ms, _ := strconv.Atoi(msg.Header.Get(kserve.TimeoutHeader))
			heard <- statedTimeout{time.Now(), time.Duration(ms) * time.Millisecond}
			time.Sleep(time.Duration(slow.Swap(0)))
		}
		client.WriteResponse(&rest.Response{Status: 200, Header: rest.Header{}, Body: []byte(`{}`), Close: true})
	}), heard
}

// However late the first byte goes out, the server is told what is left then.
func TestServersAreToldWhatIsLeft(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", func(c *Config) { c.MaxDials = 1 })
	tg.gateway.dialing <- struct{}{} // somebody else dials
	address, heard := recordingServer(t, new(atomic.Int64))
	call := tg.newCall(address, time.Second)
	time.AfterFunc(500*time.Millisecond, func() { <-tg.gateway.dialing })
	sc := &serverConn{gateway: tg.gateway, address: address}
	if result := sc.exchange(call); result.result != control.Succeeded {
		t.Fatalf("got %v", result.result)
	}
	call.cancel()
	if h := <-heard; h.timeout > call.deadline.Sub(h.receivedAt)+timeoutTolerance || h.timeout < 100*time.Millisecond {
		t.Errorf("told %v with %v left", h.timeout, call.deadline.Sub(h.receivedAt))
	}
}

// sendingNow gives an execution that is chosen in the next turn, by a list that stays fresh.
func (tg *testGateway) newCall(address string, allow time.Duration) *serverCall {
	chosen := make(chan *serverCall)
	tg.gateway.post(func(control.Micros) { chosen <- tg.gateway.newCall(fleet.ID(address), micros(allow)) })
	call := <-chosen
	call.writeBefore += micros(time.Hour)
	req := &request{message: inferRequest("1", "forecast-1", allow), call: kserve.Call{Kind: kserve.Infer, Model: "forecast-1"}}
	req.clientCheckedAt.Store(int64(tg.gateway.now() + micros(time.Hour)))
	call.request, call.message = req, tg.gateway.attemptMessage(req, 0)
	return call
}

// A stop of the process between a turn's clock and its choice costs the execution its time.
func TestTimeCountsFromTheTurnsClock(t *testing.T) {
	tg := newTestGateway(t)
	s := make(chan *serverCall)
	tg.gateway.post(func(now control.Micros) {
		tg.gateway.stepTime = now - 700_000
		s <- tg.gateway.newCall(1, 1_000_000)
	})
	if left := time.Until((<-s).deadline); left > 300*time.Millisecond {
		t.Errorf("%v are left of 300ms", left)
	}
}

// A request's time counts from when it came, not from when it was read: after a stop of the process, or behind another one that
// was sent ahead.
func TestTimeCountsFromWhenARequestCame(t *testing.T) {
	const limit, late = time.Second, 400 * time.Millisecond
	for name, ahead := range map[string]int{"read late": 0, "sent ahead": 1} {
		var slow atomic.Int64
		tg := newTestGatewayConfigured(t, "", func(c *Config) { c.Deployment.Classes[0].LatencyObjective = micros(limit) })
		address, heard := recordingServer(t, &slow)
		if err := os.WriteFile(tg.endpointFile, []byte("[a]\naddress = "+address+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		for tg.call("first", "forecast-1", limit) != invariant.Succeeded { // the list is read, and a copy loaded
			time.Sleep(10 * time.Millisecond)
		}
		<-heard
		slow.Store(int64(ahead) * int64(late))
		l, err := listenTCP("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		body := inferRequest("1", "forecast-1", limit).Body
		began := time.Now()
		for range ahead + 1 {
			fmt.Fprintf(conn, "POST /v2/models/forecast-1/infer HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		if ahead == 0 {
			time.Sleep(late)
		}
		go tg.gateway.accept(l, false)
		var h statedTimeout
		for range ahead + 1 {
			select {
			case h = <-heard:
			case <-time.After(5 * time.Second):
				t.Fatalf("%s: not sent", name)
			}
		}
		if left := limit - h.receivedAt.Sub(began); h.timeout > left+timeoutTolerance || h.timeout < left-timeoutTolerance {
			t.Errorf("%s: told %v with %v left", name, h.timeout, left)
		}
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
