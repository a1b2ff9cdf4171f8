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
