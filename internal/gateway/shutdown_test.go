package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/fakeserver"
)

// Requests that were pipelined before the stop are answered in order, and so is one that arrives on an open connection some
// time after it; then the connection ends.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	m := serverOptions(0)
	m.ExecutionTime = 100 * time.Millisecond
	tg := newTestGateway(t, m)
	ahead, r := tg.dialClient()
	io.WriteString(ahead, inferText("a", "forecast-1")+inferText("b", "forecast-1")+inferText("c", "forecast-1"))
	waitUntil(t, "a request is in flight", func() bool { return tg.inFlight() > 0 })
	open, later := tg.dialClient()
	io.WriteString(open, "GET /v2/health/live HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := readStatusLines(later, 1); err != nil {
		t.Fatal(err)
	}
	tg.stop()
	if lines, err := readStatusLines(r, 3); err != nil {
		t.Errorf("sent ahead: got %q, %v", lines, err)
	}
	time.Sleep(200 * time.Millisecond)
	io.WriteString(open, inferText("d", "forecast-1"))
	if lines, err := readStatusLines(later, 1); err != nil || lines[0] != "HTTP/1.1 503 Service Unavailable" {
		t.Errorf("sent later: got %q, %v", lines, err)
	}
	for name, r := range map[string]*bufio.Reader{"ahead": r, "later": later} {
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("%s: then got %v", name, err)
		}
	}
}

// Connections that the kernel has accepted when the router stops are answered, also if the time for that has passed in a
// stall, and if no request is in flight.
func TestStopAnswersWaitingConnections(t *testing.T) {
	tg := newTestGateway(t)
	l, err := listenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, inferText("1", "forecast-1"))
	l.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	tg.gateway.accept(t.Context(), l, clientListener)
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if lines, err := readStatusLines(bufio.NewReader(conn), 1); err != nil {
		t.Errorf("got %q, %v", lines, err)
	}
	if _, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Error("it still listens")
	}
}

func TestStopWithManyNewConnections(t *testing.T) {
	tg := newTestGateway(t)
	var rs []*bufio.Reader
	for i := range 100 {
		conn, r := tg.dialClient()
		if i%2 == 0 { // the others send a little later
			io.WriteString(conn, inferText("1", "forecast-1"))
		} else {
			time.AfterFunc(30*time.Millisecond, func() { io.WriteString(conn, inferText("1", "forecast-1")) })
		}
		rs = append(rs, r)
	}
	tg.stop()
	for i, r := range rs {
		if _, err := readStatusLines(r, 1); err != nil {
			t.Errorf("connection %d: %v", i, err)
		}
	}
}

// Requests are read for as long as they keep coming, and each has its answer, and each connection its end, before the
// router may be killed.
func TestShutdownTimes(t *testing.T) {
	for _, longest := range []time.Duration{time.Millisecond, 50 * time.Millisecond, 2 * time.Second, 3 * time.Second, time.Hour} {
		config := Config{Deployment: control.Deployment{Classes: []control.Class{{MaxDeadline: 1000}, {MaxDeadline: micros(longest)}}}}
		killed := min(longest, 3*time.Second) + 700*time.Millisecond
		s := config.shutdownTimes()
		if s.readUntil < 600*time.Millisecond || s.answerBy < s.readUntil || s.closeBy <= s.answerBy || s.closeBy >= killed {
			t.Errorf("%v: %+v", longest, s)
		}
		if longest <= duration(control.MaxCountedDeadline) && s.answerBy < longest+100*time.Millisecond {
			t.Errorf("%v: a request is cut short: %+v", longest, s)
		}
	}
}

// A request that would take longer than a stopping router has left is answered before the kill: rejected where it may be
// repeated anywhere, so that its client can use the time left with another router, and else failed once it may have run.
func TestStopAnswersLongRequests(t *testing.T) {
	const rejected, failed = "HTTP/1.1 503 Service Unavailable", "HTTP/1.1 504 Gateway Timeout"
	inZone := func(c *Config) {
		booking, _ := c.Match("booking-1")
		c.Deployment.Classes[booking.Class].DedupScope = control.OneZone
	}
	for name, c := range map[string]struct {
		function string
		change   func(*Config)
		dialled  bool // and written
		want     string
	}{
		"must not be repeated":              {"ticket-1", func(*Config) {}, true, failed},
		"must not be repeated, not written": {"ticket-1", func(*Config) {}, false, rejected},
		"idempotent":                        {"forecast-1", func(*Config) {}, true, rejected},
		"idempotent by key":                 {"booking-1", func(*Config) {}, true, rejected},
		"idempotent by key in one zone":     {"booking-1", inZone, true, failed},
		"in one zone, not written":          {"booking-1", inZone, false, rejected},
	} {
		t.Run(name, func(t *testing.T) {
			tg := newTestGatewayConfigured(t, "", func(config *Config) {
				c.change(config)
				config.MaxDials = 1
			}, serverOptions(0))
			tg.servers[0].SetFaults(fakeserver.Faults{Unresponsive: true})
			if !c.dialled {
				tg.gateway.dialing <- struct{}{} // another connection dials
				defer func() { <-tg.gateway.dialing }()
			}
			conn, r := tg.dialClient()
			io.WriteString(conn, inferText("1", c.function))
			if c.dialled {
				waitUntil(t, "the server has the attempt", func() bool { return tg.received("1") > 0 })
			} else {
				waitUntil(t, "a request is in flight", func() bool { return tg.inFlight() > 0 })
			}
			tg.gateway.loop.Post(tg.gateway.answerOpen)
			began := time.Now()
			if lines, err := readStatusLines(r, 1); err != nil || lines[0] != c.want || time.Since(began) > 500*time.Millisecond {
				t.Errorf("got %q, %v after %v", lines, err, time.Since(began))
			}
			waitUntil(t, "no request is in flight", func() bool { return tg.inFlight() == 0 })
		})
	}
}

// A stopping router answers all that it has accepted, and accepts nothing more.
func TestStopAnswersAll(t *testing.T) {
	m := serverOptions(0)
	m.ExecutionTime = 100 * time.Millisecond
	tg := newTestGateway(t, m)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if answer := tg.call(fmt.Sprint(i), "ticket-1", time.Second); answer == "" {
				t.Errorf("request %d got no answer", i)
			}
		}()
	}
	waitUntil(t, "eight requests are in flight", func() bool { return tg.inFlight() == 8 })
	late, r := tg.dialClient() // accepted by the kernel at least
	io.WriteString(late, inferText("late", "ticket-1"))
	tg.stop()
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 ") {
		t.Errorf("a request that came just before the stop: got %q, %v", line, err)
	}
	wg.Wait()
	if v := tg.checkRules(); v.Succeeded == 0 {
		t.Errorf("got %+v", v)
	}
	if _, err := net.Dial("tcp", tg.gateway.Address()); err == nil {
		t.Error("it still listens")
	}
}
