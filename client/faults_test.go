package client

import (
	"context"
	"testing"
	"time"

	"hollymast/internal/rest"
)

// Callers that give up say nothing of the routers that were asked: these are asked on in turn.
func TestCallersThatGiveUpCountAgainstNoRouter(t *testing.T) {
	slow := make(chan bool)
	r := begin(t, 2, func(h heard) *rest.Response { <-slow; return well(h) })
	lib := made(t, Options{Routers: r.addrs})
	const each = 4 // one more than would eject a router
	for range 2 * each {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		lib.Infer(ctx, Call{Model: "m", Body: body, Patience: time.Second})
		cancel()
	}
	close(slow)
	time.Sleep(20 * time.Millisecond) // for the ends of their tries
	r.mu.Lock()
	r.log = nil
	r.mu.Unlock()
	asked := [2]int{}
	for range 2 * each {
		if _, err := lib.Infer(context.Background(), Call{Model: "m", Body: body}); err != nil {
			t.Error(err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.log {
		asked[h.router]++
	}
	if asked != [2]int{each, each} {
		t.Errorf("asked %v", asked)
	}
}

// A body that takes its time to be made costs the try its time: the router is told what is left, and with nothing left nothing goes out.
func TestSlowBodies(t *testing.T) {
	r := begin(t, 1, well)
	lib := made(t, Options{Routers: r.addrs})
	slow := func(Try) []byte { time.Sleep(200 * time.Millisecond); return body }
	if _, err := lib.Infer(context.Background(), Call{Model: "m", BodyOf: slow, Patience: time.Second}); err != nil {
		t.Error(err)
	}
	if _, err := lib.Infer(context.Background(), Call{Model: "m", BodyOf: slow, Patience: 100 * time.Millisecond}); err == nil {
		t.Error("answered in no time")
	}
	time.Sleep(50 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.log) != 1 || r.log[0].timeout > 800*time.Millisecond {
		t.Errorf("heard %+v", r.log)
	}
}
