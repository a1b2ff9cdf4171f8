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
		c := rest.NewConn(nc, &rest.DefaultLimits, nil)
		q, err := c.ReadRequest()
		if err != nil {
			return
		}
		if strings.HasSuffix(q.Target, "/infer") { // else it is an order to load
			ms, _ := strconv.Atoi(q.Header.Get(kserve.TimeoutHeader))
			heard <- statedTimeout{time.Now(), time.Duration(ms) * time.Millisecond}
			time.Sleep(time.Duration(slow.Swap(0)))
		}
		c.WriteResponse(&rest.Response{Status: 200, Header: rest.Header{}, Body: []byte(`{}`), Close: true})
	}), heard
}

// However late the first byte goes out, the server is told what is left then.
func TestServersAreToldWhatIsLeft(t *testing.T) {
	f := newTestGatewayConfigured(t, "", func(t *Config) { t.MaxDials = 1 })
	f.gateway.dialing <- struct{}{} // somebody else dials
	address, heard := recordingServer(t, new(atomic.Int64))
	s := f.newCall(address, time.Second)
	time.AfterFunc(500*time.Millisecond, func() { <-f.gateway.dialing })
	l := &serverConn{gateway: f.gateway, address: address}
	if e := l.exchange(s); e.result != control.Succeeded {
		t.Fatalf("got %v", e.result)
	}
	s.cancel()
	if h := <-heard; h.timeout > s.deadline.Sub(h.receivedAt)+timeoutTolerance || h.timeout < 100*time.Millisecond {
		t.Errorf("told %v with %v left", h.timeout, s.deadline.Sub(h.receivedAt))
	}
}

// sendingNow gives an execution that is chosen in the next turn, by a list that stays fresh.
func (f *testGateway) newCall(address string, allow time.Duration) *serverCall {
	chosen := make(chan *serverCall)
	f.gateway.post(func(control.Micros) { chosen <- f.gateway.newCall(fleet.ID(address), micros(allow)) })
	s := <-chosen
	s.writeBefore += micros(time.Hour)
	j := &request{message: inferRequest("1", "forecast-1", allow), call: kserve.Call{Kind: kserve.Infer, Model: "forecast-1"}}
	j.clientCheckedAt.Store(int64(f.gateway.now() + micros(time.Hour)))
	s.request, s.message = j, f.gateway.attemptMessage(j, 0)
	return s
}

// A stop of the process between a turn's clock and its choice costs the execution its time.
func TestTimeCountsFromTheTurnsClock(t *testing.T) {
	f := newTestGateway(t)
	s := make(chan *serverCall)
	f.gateway.post(func(now control.Micros) {
		f.gateway.stepTime = now - 700_000
		s <- f.gateway.newCall(1, 1_000_000)
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
		f := newTestGatewayConfigured(t, "", func(t *Config) { t.Deployment.Classes[0].LatencyObjective = micros(limit) })
		address, heard := recordingServer(t, &slow)
		if err := os.WriteFile(f.endpointFile, []byte("[a]\naddress = "+address+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		for f.call("first", "forecast-1", limit) != invariant.Finished { // the list is read, and a copy loaded
			time.Sleep(10 * time.Millisecond)
		}
		<-heard
		slow.Store(int64(ahead) * int64(late))
		l, err := listenTCP("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		body := inferRequest("1", "forecast-1", limit).Body
		began := time.Now()
		for range ahead + 1 {
			fmt.Fprintf(nc, "POST /v2/models/forecast-1/infer HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		if ahead == 0 {
			time.Sleep(late)
		}
		go f.gateway.accept(l, false)
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
		f := newTestGateway(t)
		address, _ := recordingServer(t, new(atomic.Int64))
		s := f.newCall(address, time.Second)
		l, err := listenTCP("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		s.request.client = rest.NewConn(accepted, &rest.DefaultLimits, nil)
		s.request.clientCheckedAt.Store(int64(f.gateway.now() - attempt.MaxClientCheckAge - 1))
		s.request.response, s.request.id = make(chan *rest.Response, 1), 1
		s.request.answer.Give() // the turn has it answered
		c.leave(nc.(*net.TCPConn))
		time.Sleep(10 * time.Millisecond)
		to := &serverConn{gateway: f.gateway, address: address}
		if e := to.exchange(s); e.result != c.result {
			t.Errorf("%s: got %v", name, e.result)
		}
		if x := to.client.Load(); x != nil {
			x.Close()
		}
		s.cancel()
		for _, x := range []io.Closer{l, nc, accepted} {
			x.Close()
		}
	}
}

// A client that sends a request ahead and closes behind it is seen to be gone: its execution is called off.
func TestCloseBehindARequestIsSeen(t *testing.T) {
	f := newTestGateway(t, serverOptions(0))
	f.call("first", "forecast-1", time.Second)
	f.servers[0].Fail(fakeserver.Faults{Silent: true})
	nc, _ := f.dialClient()
	io.WriteString(nc, inferText("1", "ticket-1")+inferText("2", "ticket-1"))
	for f.received("1") == 0 {
		time.Sleep(time.Millisecond)
	}
	nc.Close()
	closed := time.Now()
	for f.inFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if late := time.Since(closed); late > 500*time.Millisecond || f.received("2") > 0 {
		t.Errorf("over after %v; the second was sent %d times", late, f.received("2"))
	}
}

// A client that sends several requests and closes its side has an answer to each.
func TestHalfClosedClientHasAllItsAnswers(t *testing.T) {
	m := serverOptions(0)
	m.Work = 100 * time.Millisecond
	f := newTestGateway(t, m)
	nc, r := f.dialClient()
	io.WriteString(nc, inferText("1", "ticket-1")+inferText("2", "ticket-1")+inferText("3", "ticket-1"))
	nc.(*net.TCPConn).CloseWrite()
	if lines, err := readStatusLines(r, 3); err != nil {
		t.Errorf("got %q, %v", lines, err)
	}
}
