package client

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"hollymast/internal/platformtest"
	"hollymast/internal/rest"
)

// A cancelled call does not count as a failure of its router: routers still get requests in turn.
func TestCancellationCountsAgainstNoRouter(t *testing.T) {
	slow := make(chan bool)
	r := startRouters(t, 2, func(received receivedRequest) *rest.Response { <-slow; return succeed(received) })
	var ended atomic.Int32
	lib := newClient(t, Options{Routers: r.addresses, Hooks: Hooks{AttemptEnded: func(Attempt, string, time.Duration) { ended.Add(1) }}})
	const callsPerRouter = 4 // one more than the failures that eject a router
	for range 2 * callsPerRouter {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		lib.Infer(ctx, Call{Model: "m", Body: body, Timeout: time.Second})
		cancel()
	}
	close(slow)
	platformtest.WaitFor(t, "the ends of all attempts", func() bool { return ended.Load() == 2*callsPerRouter })
	r.mu.Lock()
	r.requests = nil
	r.mu.Unlock()
	perRouter := [2]int{}
	for range 2 * callsPerRouter {
		if _, err := lib.Infer(context.Background(), Call{Model: "m", Body: body}); err != nil {
			t.Error(err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, received := range r.requests {
		perRouter[received.router]++
	}
	if perRouter != [2]int{callsPerRouter, callsPerRouter} {
		t.Errorf("requests per router: %v", perRouter)
	}
}

// The time taken to make a body counts against the deadline: the router gets the remaining time as its timeout, and if
// none remains, nothing is sent.
func TestSlowBodies(t *testing.T) {
	r := startRouters(t, 1, succeed)
	lib := newClient(t, Options{Routers: r.addresses})
	slow := func(Attempt) []byte { time.Sleep(200 * time.Millisecond); return body }
	if _, err := lib.Infer(context.Background(), Call{Model: "m", BodyFor: slow, Timeout: time.Second}); err != nil {
		t.Error(err)
	}
	if _, err := lib.Infer(context.Background(), Call{Model: "m", BodyFor: slow, Timeout: 100 * time.Millisecond}); err == nil {
		t.Error("the call succeeded although its deadline passed before it was sent")
	}
	time.Sleep(50 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.requests) != 1 || r.requests[0].timeout > 800*time.Millisecond {
		t.Errorf("received %+v", r.requests)
	}
}
