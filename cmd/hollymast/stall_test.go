package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"hollymast/internal/discovery"
	"hollymast/internal/platformtest"
)

// TestAnswerDuringStall guards against giving up an attempt whose answer, or the rest of it, came while the process was stalled.
func TestAnswerDuringStall(t *testing.T) {
	const stall = 1600 * time.Millisecond // longer than such an attempt, and an answer in pieces, may take
	for name, hold := range map[string]func(*platformtest.ModelServer){
		"whole":           (*platformtest.ModelServer).HoldAnswers,
		"its second half": (*platformtest.ModelServer).HoldSecondHalves,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := platformtest.NewModelServer(t)
			events := []discovery.Event{platformtest.Event(1, "s-0", server.Address(), "ready")}
			plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
			router := startRouter(t, platformtest.Deployment{Grace: gracePeriod}.Configuration(plane.Address(), events...))
			client := router.waitReady()
			client.SendRequest(1, 1) // loads the function
			if !client.AwaitAnswer() {
				t.Fatal("a request was not served")
			}
			hold(server)
			client.SendRequest(2, 1)
			platformtest.WaitFor(t, "the attempt", func() bool { return len(server.Received()) >= 2 })
			time.Sleep(20 * time.Millisecond) // for the router to read what came of the answer, of which nothing can be seen from outside
			router.suspend()
			server.ReleaseAnswers()
			time.Sleep(stall)
			router.resume()
			if !client.AwaitAnswer() {
				t.Error("a request was not served")
			}
			if n := len(server.Received()); n != 2 {
				t.Errorf("%d attempts for 2 requests", n)
			}
		})
	}
}

// A request that comes during a stall is read late. The deadline that its server is given is still at most what the client has left, with
// the 0.15 s of slack that the platform allows.
func TestTimeoutAfterStall(t *testing.T) {
	for _, stall := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint(stall), func(t *testing.T) {
			t.Parallel()
			testTimeoutAfterStall(t, stall)
		})
	}
}

func testTimeoutAfterStall(t *testing.T, stall time.Duration) {
	const (
		timeout = 8900 * time.Millisecond // of platformtest's clients
		slack   = 150 * time.Millisecond
		clients = 3
	)
	server := platformtest.NewModelServer(t)
	ready := platformtest.Event(1, "s-0", server.Address(), "ready")
	plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, ready)
	router := startRouter(t, platformtest.Deployment{Grace: 4 * time.Second}.Configuration(plane.Address(), ready))
	first, second := router.waitReady(), platformtest.Dial(t, router.address)
	first.SendRequest(1, 1)
	if !first.AwaitAnswer() {
		t.Fatal("not served")
	}
	attempts := func() []platformtest.ReceivedFrame {
		return slices.DeleteFunc(server.Received(), func(r platformtest.ReceivedFrame) bool { return r.Code != platformtest.AttemptCode })
	}
	before := len(attempts())
	router.suspend()
	calledAt := time.Now()
	for i, c := range []*platformtest.Client{first, second, platformtest.Dial(t, router.address)} { // the last is accepted after the stall
		c.SendRequest(uint64(i+2), 1)
	}
	time.Sleep(stall)
	router.resume()
	platformtest.WaitFor(t, "an attempt for each request", func() bool { return len(attempts()) >= before+clients })
	for _, attempt := range attempts()[before:] {
		_, field, _ := strings.Cut(attempt.Fields, "max=")
		milliseconds := 0
		fmt.Sscanf(field, "%d", &milliseconds)
		left := timeout - attempt.At.Sub(calledAt)
		if given := time.Duration(milliseconds) * time.Millisecond; milliseconds == 0 || given > left+slack {
			t.Errorf("the server is given %v where the client has %v left", given, left.Round(time.Millisecond))
		}
	}
}

// TestAnswerInTimeAfterStall guards against a deadline that counts from when a request was read, though it came while the process was
// stalled: a request that no server answers still gets its final answer before its client's patience ends.
func TestAnswerInTimeAfterStall(t *testing.T) {
	t.Parallel()
	const (
		timeout = 8900 * time.Millisecond // of platformtest's clients
		stall   = time.Second
		slack   = 50 * time.Millisecond
	)
	server := platformtest.NewModelServer(t)
	ready := platformtest.Event(1, "s-0", server.Address(), "ready")
	plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, ready)
	router := startRouter(t, platformtest.Deployment{Grace: 4 * time.Second}.Configuration(plane.Address(), ready))
	client := router.waitReady()
	server.HoldAnswers()
	router.suspend()
	sentAt := time.Now()
	client.SendRequest(1, 1)
	time.Sleep(stall)
	router.resume()
	if client.AwaitAnswer() {
		t.Error("served, though the server holds its answers")
	}
	if took := time.Since(sentAt); took > timeout+slack {
		t.Errorf("answered after %v, where its client waits %v", took, timeout)
	}
}
