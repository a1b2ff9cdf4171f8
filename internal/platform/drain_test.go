package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/discovery"
	"hollymast/internal/fleet"
	"hollymast/internal/platformtest"
)

// After a stall between reading the endpoint list and reading the step's clock, a choice counts as no newer than its
// endpoint list, so neither an attempt nor a load command is written.
func TestStallBetweenEndpointsAndStep(t *testing.T) {
	r := idleRouter(t)
	r.readEndpoints()
	r.step(r.loop.Now(), nil)
	call, load := r.newCall(1, 1_000_000), r.newCall(1, r.config.loadTimeout)
	if !call.canWrite() {
		t.Error("not written from a list that is up to date")
	}
	time.Sleep(duration(attempt.MaxEndpointsAge(r.config.grace)) + time.Millisecond) // the process is stalled
	var stale *serverCall
	r.step(r.loop.Now(), []func(control.Micros){func(control.Micros) { stale = r.newCall(1, 1_000_000) }})
	if stale.canWrite() || load.canWrite() {
		t.Error("written from a list that is older than half the grace")
	}
	r.readEndpoints()
	r.step(r.loop.Now(), nil)
	if again := r.newCall(1, 1_000_000); !again.canWrite() {
		t.Error("not written after the list was read again")
	}
}

// Nothing is sent to a server that is not listed as ready, even if it was chosen.
func TestNothingIsSentToUnreadyServer(t *testing.T) {
	r := idleRouter(t)
	for _, state := range []control.ServerState{control.Draining, control.Removed} {
		r.listServer(r.loop.Now(), unreachable, state)
		call := r.newCall(fleet.ID("s-0"), 1_000_000)
		call.load.Server = call.server
		r.dispatch(r.loop.Now(), call, []byte("frame"))
		if call.conn != nil || len(r.pools) > 0 {
			t.Errorf("state %d: it has a connection", state)
		}
		call.timer.Stop()
	}
}

// The state line has an upper bound on how late the last first byte to a draining server was, and the age of the
// oldest endpoint list used.
func TestStateLogReportsLateFirstBytes(t *testing.T) {
	r := idleRouter(t)
	r.stepWithServer(unreachable)
	call := r.newCall(fleet.ID("s-0"), 1_000_000)
	call.conn = &serverConn{pool: r.poolFor(call.server)}
	time.Sleep(2 * time.Millisecond) // the endpoint list ages
	if !call.canWrite() {
		t.Fatal("not written")
	}
	r.loop.PreviousEndpointsAsOf = r.loop.EndpointsAsOf
	r.listServer(r.loop.Now(), unreachable, control.Draining)
	var line bytes.Buffer
	r.log = zerolog.New(&line)
	r.logState()
	var logged struct {
		Oldest     int64 `json:"oldest_list_us"`
		AfterDrain int64 `json:"after_drain_us"`
	}
	if err := json.Unmarshal(line.Bytes(), &logged); err != nil {
		t.Fatal(err)
	}
	grace := int64(r.config.grace)
	if logged.Oldest < 2000 || logged.Oldest > grace/2 || logged.AfterDrain < 2000 || logged.AfterDrain > grace/2 {
		t.Errorf("%s", &line)
	}
}

// Within a step endpoint updates are handled first: other events lead to further attempts, which must not be chosen
// from the older list.
func TestEndpointUpdatesComeFirstInStep(t *testing.T) {
	server := platformtest.NewModelServer(t)
	service := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, platformtest.Event(1, "s-0", server.Address(), "ready"))
	r := startDeployment(t, platformtest.Deployment{Grace: time.Second}.Configuration(service.Address(), platformtest.Event(1, "s-0", server.Address(), "ready")))
	platformtest.WaitFor(t, "the router is ready", r.ready.Load)
	state := make(chan control.ServerState, 1)
	r.loop.Post(func(control.Micros) { // a long step
		r.loop.Post(func(control.Micros) { state <- r.fleet.Get(fleet.ID("s-0")).State })
		service.Publish(platformtest.Event(2, "s-0", server.Address(), "draining"))
		for r.discovery.Revision() < 2 {
			r.discovery.CatchUp()
		}
	})
	if got := <-state; got != control.Draining {
		t.Errorf("an event before the update finds the server in state %d", got)
	}
}

// A router that starts with an outdated configuration makes no choices before discovery has answered.
func TestStartWithOutdatedConfig(t *testing.T) {
	const grace = 2 * time.Second // early requests are held for half of it
	draining, ready := platformtest.NewModelServer(t), platformtest.NewModelServer(t)
	known := []discovery.Event{platformtest.Event(1, "s-0", draining.Address(), "ready")}
	answer := make(chan bool)
	service := platformtest.NewDiscovery(t, "127.0.0.1:0", func(net.Conn, int) bool { <-answer; return false }, known...)
	announced := service.Publish(platformtest.Event(2, "s-0", draining.Address(), "draining"))
	service.Publish(platformtest.Event(3, "s-1", ready.Address(), "ready"))
	r := startDeployment(t, platformtest.Deployment{Grace: grace}.Configuration(service.Address(), known...))
	platformtest.WaitFor(t, "the router subscribes", func() bool { return len(service.SubscriptionTimes()) == 1 })
	client := platformtest.Dial(t, r.Address())
	client.SendRequest(1, 1)
	platformtest.WaitFor(t, "the request is read", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for c := range r.clients {
			if idle, _ := c.idle(); !idle {
				return true
			}
		}
		return false
	})
	const severalSteps = 20 * time.Millisecond // longer than several event-loop steps
	time.Sleep(severalSteps)
	if r.ready.Load() {
		t.Error("the router is ready before discovery has answered")
	}
	close(answer)
	if !client.AwaitAnswer() {
		t.Error("the request was not served")
	}
	if n := len(draining.Received()); n > 0 {
		t.Errorf("%d frames were sent to the server, which drained %v earlier", n, time.Since(announced))
	}
}

// If the connection has no room for the first byte, the check before it is repeated when there is room.
func TestCheckIsRepeatedWhenConnectionHasRoom(t *testing.T) {
	routerConn, peerConn := platformtest.ConnPair(t)
	filled := fillSendBuffer(t, routerConn)
	checks, allowed := make(chan bool, 1000), make(chan bool, 1)
	allowed <- true
	q := &writeQueue{conn: routerConn, maxQueuedBytes: 1 << 20}
	q.post(queuedFrame{data: []byte("late"), checkAndWrite: func(write func() bool) bool {
		checks <- true
		select {
		case <-allowed: // the first time
			if write() {
				t.Error("the connection had room")
			}
			return false
		default:
			return true // the grace has passed
		}
	}, writeEnded: func(bool) { t.Error("the frame was written") }})
	awaitCheck := func() {
		select {
		case <-checks:
		case <-time.After(4 * time.Second):
			t.Fatal("the check was not made")
		}
	}
	awaitCheck()
	if n, err := io.ReadFull(peerConn, make([]byte, filled)); err != nil {
		t.Fatalf("read %d: %v", n, err)
	}
	awaitCheck()
	platformtest.WaitFor(t, "it is withdrawn", q.empty)
	if n := readSoon(peerConn); n > 0 {
		t.Errorf("%d bytes were written after the grace", n)
	}
}

// A uid that returns at another address is another incarnation: its calls use new connections to that address. If
// another server has the old address by then, it receives nothing meant for the old incarnation.
func TestUIDReturnsAtAnotherAddress(t *testing.T) {
	first, second := platformtest.NewModelServer(t), platformtest.NewModelServer(t)
	events := []discovery.Event{platformtest.Event(1, "s-0", first.Address(), "ready")}
	service := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	r := startDeployment(t, platformtest.Deployment{Grace: time.Second}.Configuration(service.Address(), events...))
	platformtest.WaitFor(t, "the router is ready", r.ready.Load)
	client := platformtest.Dial(t, r.Address())
	client.SendRequest(1, 1)
	if !client.AwaitAnswer() || len(first.Received()) == 0 {
		t.Fatal("the first incarnation was not used")
	}
	before := len(first.Received())
	service.Publish(platformtest.Event(2, "s-0", "", "gone"))
	service.Publish(platformtest.Event(3, "s-0", second.Address(), "ready")) // in the same batch as its removal
	service.Publish(platformtest.Event(4, "s-1", first.Address(), "draining"))
	platformtest.WaitFor(t, "the list is read", func() bool { return r.discovery.Revision() == 4 })
	for ref := range uint64(10) {
		client.SendRequest(ref+2, ref+1)
	}
	for range 10 {
		if !client.AwaitAnswer() {
			t.Error("a request was not served")
		}
	}
	if n := len(first.Received()) - before; n > 0 {
		t.Errorf("%d frames went to the old address", n)
	}
}

// A discovery service that accepts connections but sends nothing does not prevent a router from becoming ready: it
// has a quarter of the grace period to answer.
func TestStartWithSilentDiscovery(t *testing.T) {
	const grace = 200 * time.Millisecond
	end := make(chan bool)
	service := platformtest.NewDiscovery(t, "127.0.0.1:0", func(net.Conn, int) bool { <-end; return true })
	t.Cleanup(func() { close(end) })
	server := platformtest.NewModelServer(t)
	r := startDeployment(t, platformtest.Deployment{Grace: grace}.Configuration(service.Address(), platformtest.Event(1, "s-0", server.Address(), "ready")))
	platformtest.WaitFor(t, "the router is ready", r.ready.Load)
	client := platformtest.Dial(t, r.Address())
	client.SendRequest(1, 1)
	if !client.AwaitAnswer() {
		t.Error("the request was not served")
	}
}

// Nothing chosen before is written on a connection that is established after the grace period.
func TestDialOutlastsGracePeriod(t *testing.T) {
	r := idleRouter(t)
	conn, peerConn := platformtest.ConnPair(t)
	r.stepWithServer(peerConn.LocalAddr().String())
	call := r.newCall(fleet.ID("s-0"), 1_000_000)
	call.conn = r.newServerConn(r.loop.Now(), r.poolFor(call.server)) // not connected yet
	defer call.conn.cancelDial()
	call.conn.writes.post(queuedFrame{data: []byte("late"), checkAndWrite: call.checkAndWrite, writeEnded: call.writeEnded})
	time.Sleep(duration(attempt.MaxEndpointsAge(r.config.grace)) + time.Millisecond)
	call.conn.writes.connected(conn)
	platformtest.WaitFor(t, "it is withdrawn", call.conn.writes.empty)
	if n := readSoon(peerConn); n > 0 || call.currentStage() == attempt.Writing {
		t.Errorf("%d bytes were written, stage %d", n, call.currentStage())
	}
}
