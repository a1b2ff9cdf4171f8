package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/acceptqueue"
	"hollymast/internal/fakeserver"
)

// Requests that were pipelined before the stop are answered in order, and so is one that arrives on an open connection
// later. Then the connections are closed.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	server := serverConfig(0)
	server.ExecutionTime = 100 * time.Millisecond
	tg := newTestGateway(t, server)
	pipelined, pipelinedReader := tg.dialClient()
	io.WriteString(pipelined, inferText("a", "forecast-1")+inferText("b", "forecast-1")+inferText("c", "forecast-1"))
	waitUntil(t, "a request is in flight", func() bool { return tg.inFlight() > 0 })
	idle, idleReader := tg.dialClient()
	io.WriteString(idle, "GET /v2/health/live HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := readStatusLines(idleReader, 1); err != nil {
		t.Fatal(err)
	}
	tg.stop()
	if lines, err := readStatusLines(pipelinedReader, 3); err != nil {
		t.Errorf("pipelined before the stop: got %q, %v", lines, err)
	}
	time.Sleep(200 * time.Millisecond)
	io.WriteString(idle, inferText("d", "forecast-1"))
	if lines, err := readStatusLines(idleReader, 1); err != nil || lines[0] != "HTTP/1.1 503 Service Unavailable" {
		t.Errorf("sent after the stop: got %q, %v", lines, err)
	}
	for name, r := range map[string]*bufio.Reader{"pipelined": pipelinedReader, "idle": idleReader} {
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("%s connection: got %v, want EOF", name, err)
		}
	}
}

// Connections in the accept queue are answered when the router stops, even if the deadline for accepting passed during
// a stall, and if no request is in flight.
func TestStopAnswersWaitingConnections(t *testing.T) {
	tg := newTestGateway(t)
	l, err := acceptqueue.Listen("127.0.0.1:0")
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

// shortListener is a listener whose Accept fails a number of times for want of descriptors, once its deadline has passed.
type shortListener struct {
	*net.TCPListener
	deadlinePassed bool
	shortages      int
}

func (l *shortListener) Accept() (net.Conn, error) {
	if !l.deadlinePassed {
		l.deadlinePassed = true
		return nil, os.ErrDeadlineExceeded
	}
	if l.shortages > 0 {
		l.shortages--
		return nil, sysCallError("accept", syscall.EMFILE)
	}
	return l.TCPListener.Accept()
}

// TestStopAnswersWaitingConnectionsDespiteShortage guards against a gateway that resets the rest of its accept queue at the
// first failed accept.
func TestStopAnswersWaitingConnectionsDespiteShortage(t *testing.T) {
	tg := newTestGateway(t)
	l, err := acceptqueue.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, inferText("1", "forecast-1"))
	tg.gateway.accept(t.Context(), &shortListener{TCPListener: l.(*net.TCPListener), shortages: 5}, clientListener)
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if lines, err := readStatusLines(bufio.NewReader(conn), 1); err != nil {
		t.Errorf("got %q, %v", lines, err)
	}
}

func TestStopWithManyNewConnections(t *testing.T) {
	tg := newTestGateway(t)
	var readers []*bufio.Reader
	for i := range 100 {
		conn, r := tg.dialClient()
		if i%2 == 0 { // the others send their request a little later
			io.WriteString(conn, inferText("1", "forecast-1"))
		} else {
			time.AfterFunc(30*time.Millisecond, func() { io.WriteString(conn, inferText("1", "forecast-1")) })
		}
		readers = append(readers, r)
	}
	tg.stop()
	for i, r := range readers {
		if _, err := readStatusLines(r, 1); err != nil {
			t.Errorf("connection %d: %v", i, err)
		}
	}
}

// Requests are read for at least 600 ms after the stop, and all requests are answered and all connections closed before
// the router may be killed.
func TestShutdownTimes(t *testing.T) {
	for _, maxDeadline := range []time.Duration{time.Millisecond, 50 * time.Millisecond, 2 * time.Second, 3 * time.Second, time.Hour} {
		config := Config{Deployment: control.Deployment{Classes: []control.Class{{MaxDeadline: 1000}, {MaxDeadline: micros(maxDeadline)}}}}
		killedAt := min(maxDeadline, 3*time.Second) + 700*time.Millisecond
		s := config.shutdownTimes()
		if s.readUntil < 600*time.Millisecond || s.answerBy < s.readUntil || s.closeBy <= s.answerBy || s.closeBy >= killedAt {
			t.Errorf("%v: %+v", maxDeadline, s)
		}
		if maxDeadline <= duration(control.MaxCountedDeadline) && s.answerBy < maxDeadline+100*time.Millisecond {
			t.Errorf("%v: a request is answered before its deadline: %+v", maxDeadline, s)
		}
	}
}

// A request that would not finish before the kill is answered in time. It is rejected if it was not written or may be
// retried anywhere, so that its client can use the remaining time with another router; otherwise it fails.
func TestStopAnswersLongRequests(t *testing.T) {
	const rejected, failed = "HTTP/1.1 503 Service Unavailable", "HTTP/1.1 504 Gateway Timeout"
	inZone := func(c *Config) {
		booking, _ := c.MatchFunction("booking-1")
		c.Deployment.Classes[booking.Class].DedupScope = control.OneZone
	}
	for name, c := range map[string]struct {
		function  string
		change    func(*Config)
		connected bool // and the request is written
		want      string
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
			}, serverConfig(0))
			tg.servers[0].SetFaults(fakeserver.Faults{Unresponsive: true})
			if !c.connected {
				tg.gateway.dialSemaphore <- struct{}{} // occupied by another connection
				defer func() { <-tg.gateway.dialSemaphore }()
			}
			conn, r := tg.dialClient()
			io.WriteString(conn, inferText("1", c.function))
			if c.connected {
				waitUntil(t, "the server has the attempt", func() bool { return tg.attemptsReceived("1") > 0 })
			} else {
				waitUntil(t, "a request is in flight", func() bool { return tg.inFlight() > 0 })
			}
			tg.gateway.loop.Post(tg.gateway.answerAllInFlight)
			start := time.Now()
			if lines, err := readStatusLines(r, 1); err != nil || lines[0] != c.want || time.Since(start) > 500*time.Millisecond {
				t.Errorf("got %q, %v after %v", lines, err, time.Since(start))
			}
			waitUntil(t, "no request is in flight", func() bool { return tg.inFlight() == 0 })
		})
	}
}

// A stopping router answers all requests that it has accepted, and accepts no more.
func TestStopAnswersAll(t *testing.T) {
	server := serverConfig(0)
	server.ExecutionTime = 100 * time.Millisecond
	tg := newTestGateway(t, server)
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
	late, r := tg.dialClient() // accepted at least by the kernel
	io.WriteString(late, inferText("late", "ticket-1"))
	tg.stop()
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 ") {
		t.Errorf("a request sent just before the stop: got %q, %v", line, err)
	}
	wg.Wait()
	if report := tg.checkRules(); report.Succeeded == 0 {
		t.Errorf("got %+v", report)
	}
	if _, err := net.Dial("tcp", tg.gateway.Address()); err == nil {
		t.Error("it still listens")
	}
}

// TestStopWaitsForRejectedConnections guards against a process that exits while it still answers a connection beyond the
// limit: Serve has to wait for it as for any other.
func TestStopWaitsForRejectedConnections(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", func(config *Config) { config.MaxClientConns = 1 }, serverConfig(0))
	first, _ := tg.dialClient()
	waitUntil(t, "the first connection is accepted", func() bool { return tg.gateway.clientCount.Load() == 1 })
	rejected, r := tg.dialClient()
	if lines, err := readStatusLines(r, 1); err != nil || lines[0] != "HTTP/1.1 503 Service Unavailable" {
		t.Fatalf("got %q, %v", lines, err)
	}
	first.Close()
	tg.stop()
	served := <-tg.ended
	tg.ended <- served             // for the cleanup
	rejected.Write([]byte("POST")) // is answered with a reset if the router's end is closed, and is discarded otherwise
	time.Sleep(50 * time.Millisecond)
	if _, err := rejected.Write([]byte("POST")); err == nil {
		t.Error("the connection is still open after Serve")
	}
}
