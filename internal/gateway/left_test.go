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
const slack = 150 * time.Millisecond

// toldLeft is a server's end of an exchange: when its request was whole, and the time that it told.
type toldLeft struct {
	at   time.Time
	left time.Duration
}

// listens gives a server that notes what it is told, and takes its time for one request.
func listens(t *testing.T, slow *atomic.Int64) (address string, heard chan toldLeft) {
	heard = make(chan toldLeft, 64)
	return raw(t, func(_ int, nc *net.TCPConn) {
		c := rest.NewConn(nc, &rest.DefaultLimits, nil)
		q, err := c.ReadRequest()
		if err != nil {
			return
		}
		if strings.HasSuffix(q.Target, "/infer") { // else it is an order to load
			ms, _ := strconv.Atoi(q.Header.Get(kserve.TimeoutHeader))
			heard <- toldLeft{time.Now(), time.Duration(ms) * time.Millisecond}
			time.Sleep(time.Duration(slow.Swap(0)))
		}
		c.WriteResponse(&rest.Response{Status: 200, Header: rest.Header{}, Body: []byte(`{}`), Close: true})
	}), heard
}

// However late the first byte goes out, the server is told what is left then.
func TestServersAreToldWhatIsLeft(t *testing.T) {
	f := newFieldChanged(t, "", func(t *Config) { t.MaxDials = 1 })
	f.g.dials <- struct{}{} // somebody else dials
	address, heard := listens(t, new(atomic.Int64))
	s := f.sendingNow(address, time.Second)
	time.AfterFunc(500*time.Millisecond, func() { <-f.g.dials })
	l := &link{g: f.g, address: address}
	if e := l.carry(s); e.result != control.Succeeded {
		t.Fatalf("got %v", e.result)
	}
	s.cancel()
	if h := <-heard; h.left > s.deadline.Sub(h.at)+slack || h.left < 100*time.Millisecond {
		t.Errorf("told %v with %v left", h.left, s.deadline.Sub(h.at))
	}
}

// sendingNow gives an execution that is chosen in the next turn, by a list that stays fresh.
func (f *field) sendingNow(address string, allow time.Duration) *sending {
	chosen := make(chan *sending)
	f.g.tell(func(control.Micros) { chosen <- f.g.sending(fleet.ID(address), micros(allow)) })
	s := <-chosen
	s.until += micros(time.Hour)
	j := &job{request: request("1", "forecast-1", allow), call: kserve.Call{Kind: kserve.Infer, Model: "forecast-1"}}
	j.seen.Store(int64(f.g.now() + micros(time.Hour)))
	s.job, s.request = j, f.g.execution(j, 0)
	return s
}

// A stop of the process between a turn's clock and its choice costs the execution its time.
func TestTimeCountsFromTheTurnsClock(t *testing.T) {
	f := newField(t)
	s := make(chan *sending)
	f.g.tell(func(now control.Micros) {
		f.g.clock = now - 700_000
		s <- f.g.sending(1, 1_000_000)
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
		f := newFieldChanged(t, "", func(t *Config) { t.Deployment.Classes[0].LatencyObjective = micros(limit) })
		address, heard := listens(t, &slow)
		if err := os.WriteFile(f.list, []byte("[a]\naddress = "+address+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		for f.ask("first", "forecast-1", limit) != invariant.Succeeded { // the list is read, and a copy loaded
			time.Sleep(10 * time.Millisecond)
		}
		<-heard
		slow.Store(int64(ahead) * int64(late))
		l, err := listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		body := request("1", "forecast-1", limit).Body
		began := time.Now()
		for range ahead + 1 {
			fmt.Fprintf(nc, "POST /v2/models/forecast-1/infer HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		if ahead == 0 {
			time.Sleep(late)
		}
		go f.g.accept(l, false)
		var h toldLeft
		for range ahead + 1 {
			select {
			case h = <-heard:
			case <-time.After(5 * time.Second):
				t.Fatalf("%s: not sent", name)
			}
		}
		if left := limit - h.at.Sub(began); h.left > left+slack || h.left < left-slack {
			t.Errorf("%s: told %v with %v left", name, h.left, left)
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
		"sends ahead": {func(nc *net.TCPConn) { io.WriteString(nc, text("2", "forecast-1")) }, control.Succeeded},
		"closes":      {func(nc *net.TCPConn) { nc.Close() }, control.NotSent},
		"half closes": {func(nc *net.TCPConn) { nc.CloseWrite() }, control.NotSent},
		"resets":      {func(nc *net.TCPConn) { nc.SetLinger(0); nc.Close() }, control.NotSent},
		"closes behind a request": {func(nc *net.TCPConn) {
			io.WriteString(nc, text("2", "forecast-1"))
			nc.Close()
		}, control.NotSent},
	} {
		f := newField(t)
		address, _ := listens(t, new(atomic.Int64))
		s := f.sendingNow(address, time.Second)
		l, err := listen("127.0.0.1:0")
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
		s.job.client = rest.NewConn(accepted, &rest.DefaultLimits, nil)
		s.job.seen.Store(int64(f.g.now() - attempt.MaxClientCheckAge - 1))
		s.job.answer, s.job.id = make(chan *rest.Response, 1), 1
		s.job.state.Give() // the turn has it answered
		c.leave(nc.(*net.TCPConn))
		time.Sleep(10 * time.Millisecond)
		to := &link{g: f.g, address: address}
		if e := to.carry(s); e.result != c.result {
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
	f := newField(t, usual(0))
	f.ask("first", "forecast-1", time.Second)
	f.servers[0].SetFaults(fakeserver.Faults{Silent: true})
	nc, _ := f.talk()
	io.WriteString(nc, text("1", "ticket-1")+text("2", "ticket-1"))
	for f.received("1") == 0 {
		time.Sleep(time.Millisecond)
	}
	nc.Close()
	closed := time.Now()
	for f.inHand() > 0 {
		time.Sleep(time.Millisecond)
	}
	if late := time.Since(closed); late > 500*time.Millisecond || f.received("2") > 0 {
		t.Errorf("over after %v; the second was sent %d times", late, f.received("2"))
	}
}

// A client that sends several requests and closes its side has an answer to each.
func TestHalfClosedClientHasAllItsAnswers(t *testing.T) {
	m := usual(0)
	m.ExecutionTime = 100 * time.Millisecond
	f := newField(t, m)
	nc, r := f.talk()
	io.WriteString(nc, text("1", "ticket-1")+text("2", "ticket-1")+text("3", "ticket-1"))
	nc.(*net.TCPConn).CloseWrite()
	if lines, err := answers(r, 3); err != nil {
		t.Errorf("got %q, %v", lines, err)
	}
}
