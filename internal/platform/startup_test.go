package platform

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/internal/platformtest"
)

// Guards against requests that stay unanswered while a router that starts waits for a slow discovery service: clients of its
// predecessor send them before it is ready.
func TestRequestsDuringSlowStartAreAnswered(t *testing.T) {
	const (
		answerDelay = 2 * time.Second
		limit       = time.Second
	)
	server := platformtest.NewModelServer(t)
	event := platformtest.Event(1, "s-0", server.Address(), "ready")
	discovery := platformtest.NewDiscovery(t, "127.0.0.1:0", func(net.Conn, int) bool { time.Sleep(answerDelay); return false }, event)
	config := mustParseConfig(t, platformtest.Deployment{Grace: 500 * time.Millisecond}.Configuration(discovery.Address(), event))
	r := serve(t, newRouter(t, config, zerolog.Nop()))
	client := platformtest.Dial(t, r.Address())
	for _, sendAfter := range []time.Duration{0, 600 * time.Millisecond} { // held, then rejected; rejected at once
		time.Sleep(sendAfter)
		began := time.Now()
		client.SendRequest(uint64(began.UnixNano()), 1)
		if client.AwaitAnswer() {
			t.Error("served by a list that discovery has not confirmed")
		}
		if took := time.Since(began); took > limit {
			t.Errorf("answered after %v", took)
		}
	}
	if n := len(server.Received()); n > 0 {
		t.Errorf("%d frames were sent to a server before discovery answered", n)
	}
	platformtest.WaitFor(t, "the router is ready", client.CheckHealth)
	client.SendRequest(1, 1)
	if !client.AwaitAnswer() {
		t.Error("not served after the start")
	}
}

// A request that comes just before discovery answers is held and served.
func TestRequestDuringUsualStartIsServed(t *testing.T) {
	server := platformtest.NewModelServer(t)
	event := platformtest.Event(1, "s-0", server.Address(), "ready")
	discovery := platformtest.NewDiscovery(t, "127.0.0.1:0", func(net.Conn, int) bool { time.Sleep(100 * time.Millisecond); return false }, event)
	config := mustParseConfig(t, platformtest.Deployment{Grace: time.Second}.Configuration(discovery.Address(), event))
	r := serve(t, newRouter(t, config, zerolog.Nop()))
	client := platformtest.Dial(t, r.Address())
	client.SendRequest(1, 1)
	if !client.AwaitAnswer() {
		t.Error("not served")
	}
}
