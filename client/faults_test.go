package client

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"hollymast/internal/platformtest"
	"hollymast/internal/rest"
)

// A caller that gives up says nothing of the router that was asked: routers are asked in turn as before.
func TestCancellationCountsAgainstNoRouter(t *testing.T) {
	slow := make(chan bool)
	r := startRouters(t, 2, func(h receivedRequest) *rest.Response { <-slow; return succeed(h) })
	var ended atomic.Int32
	lib := newClient(t, Options{Routers: r.addresses, Hooks: Hooks{AttemptEnded: func(Attempt, string, time.Duration) { ended.Add(1) }}})
	const each = 4 // one more than would eject a router
	for range 2 * each {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		lib.Infer(ctx, Call{Model: "m", Body: body, Timeout: time.Second})
		cancel()
	}
	close(slow)
	platformtest.WaitFor(t, "the ends of all attempts", func() bool { return ended.Load() == 2*each })
	r.mu.Lock()
	r.requests = nil
	r.mu.Unlock()
	asked := [2]int{}
	for range 2 * each {
		if _, err := lib.Infer(context.Background(), Call{Model: "m", Body: body}); err != nil {
			t.Error(err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.requests {
		asked[h.router]++
	}
	if asked != [2]int{each, each} {
		t.Errorf("asked %v", asked)
	}
}

// Making a body costs the attempt its time: the router gets what is left, and with nothing left nothing is sent.
func TestSlowBodies(t *testing.T) {
	r := startRouters(t, 1, succeed)
	lib := newClient(t, Options{Routers: r.addresses})
	slow := func(Attempt) []byte { time.Sleep(200 * time.Millisecond); return body }
	if _, err := lib.Infer(context.Background(), Call{Model: "m", BodyFor: slow, Timeout: time.Second}); err != nil {
		t.Error(err)
	}
	if _, err := lib.Infer(context.Background(), Call{Model: "m", BodyFor: slow, Timeout: 100 * time.Millisecond}); err == nil {
		t.Error("answered in no time")
	}
	time.Sleep(50 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.requests) != 1 || r.requests[0].timeout > 800*time.Millisecond {
		t.Errorf("received %+v", r.requests)
	}
}
