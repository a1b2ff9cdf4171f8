package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/discovery"
	"hollymast/internal/fleet"
	"hollymast/internal/platformtest"
)

// begun reports whether the first byte would be written now.
func (call *serverCall) beginsWrite() bool {
	wrote := false
	call.begin(func() bool {
		wrote = true
		return true
	})
	return wrote
}

// startWithConfig starts a router with a configuration; it need not be ready at once.
func startWithConfig(t *testing.T, configuration string) *runningRouter {
	t.Helper()
	told, err := parseConfig([]byte(configuration), Environment{})
	if err != nil {
		t.Fatal(err)
	}
	return serve(t, told)
}

// idleRouter returns a router that runs no event loop: the test runs its steps.
func idleRouter(t *testing.T) *Router {
	t.Helper()
	told, err := parseConfig([]byte(configText("127.0.0.1:1")), Environment{})
	if err != nil {
		t.Fatal(err)
	}
	return newRouter(t, told)
}

func newRouter(t *testing.T, told *Config) *Router {
	t.Helper()
	p, err := New(told, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.listener.Close() })
	return p
}

// A stall between reading the endpoint list and the step's clock makes the choice no newer than its list: neither an
// attempt nor a load command is written then.
func TestStallBetweenEndpointsAndStep(t *testing.T) {
	p := idleRouter(t)
	p.readEndpoints()
	p.step(p.now(), nil)
	fresh, order := p.newCall(1, 1_000_000), p.newCall(1, p.config.loadTimeout)
	if !fresh.beginsWrite() {
		t.Error("not written from a list that is up to date")
	}
	time.Sleep(duration(attempt.MaxEndpointsAge(p.config.grace)) + time.Millisecond) // the process is stopped
	var late *serverCall
	p.step(p.now(), []func(control.Micros){func(control.Micros) { late = p.newCall(1, 1_000_000) }})
	if late.beginsWrite() || order.beginsWrite() {
		t.Error("written from a list that is older than half the grace")
	}
	p.readEndpoints()
	p.step(p.now(), nil)
	if again := p.newCall(1, 1_000_000); !again.beginsWrite() {
		t.Error("not written after the next look")
	}
}

// A server that is not listed as ready is sent nothing, whatever was chosen.
func TestNothingIsSentToUnreadyServer(t *testing.T) {
	p := idleRouter(t)
	for _, state := range []control.ServerState{control.Draining, control.Removed} {
		p.handleEndpoints(p.now(), []fleet.Endpoint{{Name: "s-0", Address: "127.0.0.1:1", Zone: "east", State: state}})
		s := p.newCall(fleet.ID("s-0"), 1_000_000)
		s.load.Server = s.to
		p.dispatch(p.now(), s, []byte("frame"))
		if s.conn != nil || len(p.pools) > 0 {
			t.Errorf("state %d: it has a connection", state)
		}
		s.timer.Stop()
	}
}

// The log states an upper bound on how late the last first byte to a draining server was, and the age of the oldest
// endpoint list.
func TestStateLogReportsLateFirstBytes(t *testing.T) {
	p := idleRouter(t)
	var line bytes.Buffer
	p.log = zerolog.New(&line)
	ready := []fleet.Endpoint{{Name: "s-0", Address: "127.0.0.1:1", Zone: "east", State: control.Ready}}
	p.handleEndpoints(p.now(), ready)
	p.readEndpoints()
	p.step(p.now(), nil)
	s := p.newCall(fleet.ID("s-0"), 1_000_000)
	s.conn = &serverConn{pool: p.poolOf(s.to)}
	time.Sleep(2 * time.Millisecond)
	if !s.beginsWrite() {
		t.Fatal("not written")
	}
	ready[0].State = control.Draining
	p.endpointsAsOfBefore = p.endpointsAsOf
	p.handleEndpoints(p.now(), ready)
	p.logState()
	var told struct {
		List  int64 `json:"oldest_list_us"`
		Drain int64 `json:"after_drain_us"`
	}
	if err := json.Unmarshal(line.Bytes(), &told); err != nil {
		t.Fatal(err)
	}
	grace := int64(p.config.grace)
	if told.List < 2000 || told.List > grace/2 || told.Drain < 2000 || told.Drain > grace/2 {
		t.Errorf("%s", &line)
	}
}

// Within a step the endpoint list comes first: events before it lead to further attempts, which must not be chosen
// from the older list.
func TestEndpointUpdatesComeFirstInStep(t *testing.T) {
	server := platformtest.NewModelServer(t)
	plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, platformtest.Event(1, "s-0", server.Address(), "ready"))
	r := startWithConfig(t, platformtest.Deployment{Grace: time.Second}.Configuration(plane.Address(), platformtest.Event(1, "s-0", server.Address(), "ready")))
	waitFor(t, "the router is well", r.ready.Load)
	state := make(chan control.ServerState, 1)
	r.queue.Post(func(control.Micros) { // a turn that lasts
		r.queue.Post(func(control.Micros) { state <- r.fleet.Get(fleet.ID("s-0")).State })
		plane.Publish(platformtest.Event(2, "s-0", server.Address(), "draining"))
		for r.discovery.Revision() < 2 {
			r.discovery.CatchUp()
		}
	})
	if got := <-state; got != control.Draining {
		t.Errorf("a choice for what was heard before the list would find the server in state %d", got)
	}
}

// A router that starts with an old configuration chooses nothing before discovery has answered.
func TestStartWithOutdatedConfig(t *testing.T) {
	const grace = 2 * time.Second // the answer has a quarter of it to come
	drains, stays := platformtest.NewModelServer(t), platformtest.NewModelServer(t)
	known := []discovery.Event{platformtest.Event(1, "s-0", drains.Address(), "ready")}
	answer := make(chan bool)
	plane := platformtest.NewDiscovery(t, "127.0.0.1:0", func(net.Conn, int) bool { <-answer; return false }, known...)
	told := plane.Publish(platformtest.Event(2, "s-0", drains.Address(), "draining"))
	plane.Publish(platformtest.Event(3, "s-1", stays.Address(), "ready"))
	r := startWithConfig(t, platformtest.Deployment{Grace: grace}.Configuration(plane.Address(), known...))
	waitFor(t, "the board is asked", func() bool { return len(plane.Subscriptions()) == 1 })
	client := platformtest.Dial(t, r.Address())
	client.Call(1, 1)
	waitFor(t, "the request is read", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for c := range r.clients {
			if idle, _ := c.idle(); !idle {
				return true
			}
		}
		return false
	})
	const turns = 20 * time.Millisecond // several
	time.Sleep(turns)
	if r.ready.Load() {
		t.Error("the router is well before the board has answered")
	}
	close(answer)
	if !client.Answer() {
		t.Error("the request was not served")
	}
	if n := len(drains.Received()); n > 0 {
		t.Errorf("%d frames went to the server that drained %v before", n, time.Since(told))
	}
}

// Where the connection has no room for the first byte, the check is repeated when it has.
func TestCheckIsRepeatedWhenConnectionHasRoom(t *testing.T) {
	ours, theirs := platformtest.ConnPair(t)
	raw, err := ours.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	filled := 0
	fill := func(fd uintptr) {
		for {
			n, err := syscall.Write(int(fd), make([]byte, 4096))
			if err != nil {
				return
			}
			filled += n
		}
	}
	raw.Control(fill)
	time.Sleep(10 * time.Millisecond) // what the kernel still moves on
	raw.Control(fill)
	asked, allowed := make(chan bool, 1000), make(chan bool, 1)
	allowed <- true
	o := &writeQueue{conn: ours, maxQueuedBytes: 1 << 20}
	o.post(queuedFrame{data: []byte("late"), begin: func(write func() bool) bool {
		asked <- true
		select {
		case <-allowed: // the first time
			if write() {
				t.Error("there was room")
			}
			return false
		default:
			return true // the grace has passed
		}
	}, wrote: func(bool) { t.Error("it was written") }})
	ask := func() {
		select {
		case <-asked:
		case <-time.After(4 * time.Second):
			t.Fatal("the check does not come")
		}
	}
	ask()
	if n, err := io.ReadFull(theirs, make([]byte, filled)); err != nil {
		t.Fatalf("read %d: %v", n, err)
	}
	ask()
	waitFor(t, "it is withdrawn", o.empty)
	theirs.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if n, _ := theirs.Read(make([]byte, 8)); n > 0 {
		t.Errorf("%d bytes were written after the grace", n)
	}
}

// A uid that returns at another address is another incarnation: its calls go there, on connections of its own, and an
// address that another server has by then gets nothing meant for the old one.
func TestUIDReturnsAtAnotherAddress(t *testing.T) {
	first, second := platformtest.NewModelServer(t), platformtest.NewModelServer(t)
	events := []discovery.Event{platformtest.Event(1, "s-0", first.Address(), "ready")}
	plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	r := startWithConfig(t, platformtest.Deployment{Grace: time.Second}.Configuration(plane.Address(), events...))
	waitFor(t, "the router is well", r.ready.Load)
	client := platformtest.Dial(t, r.Address())
	client.Call(1, 1)
	if !client.Answer() || len(first.Received()) == 0 {
		t.Fatal("the first life was not used")
	}
	before := len(first.Received())
	plane.Publish(platformtest.Event(2, "s-0", "", "gone"))
	plane.Publish(platformtest.Event(3, "s-0", second.Address(), "ready")) // in one batch with its end
	plane.Publish(platformtest.Event(4, "s-1", first.Address(), "draining"))
	waitFor(t, "the list is read", func() bool { return r.discovery.Revision() == 4 })
	for ref := range uint64(10) {
		client.Call(ref+2, ref+1)
	}
	for range 10 {
		if !client.Answer() {
			t.Error("a request was not served")
		}
	}
	if n := len(first.Received()) - before; n > 0 {
		t.Errorf("%d frames went to the old address", n)
	}
}

// A discovery service that accepts and says nothing does not keep a router from getting ready: it had a quarter of
// the grace period to answer.
func TestStartWithSilentDiscovery(t *testing.T) {
	const grace = 200 * time.Millisecond
	silent := make(chan bool)
	plane := platformtest.NewDiscovery(t, "127.0.0.1:0", func(net.Conn, int) bool { <-silent; return true })
	t.Cleanup(func() { close(silent) })
	server := platformtest.NewModelServer(t)
	r := startWithConfig(t, platformtest.Deployment{Grace: grace}.Configuration(plane.Address(), platformtest.Event(1, "s-0", server.Address(), "ready")))
	waitFor(t, "the router is well", r.ready.Load)
	client := platformtest.Dial(t, r.Address())
	client.Call(1, 1)
	if !client.Answer() {
		t.Error("the request was not served")
	}
}

// A connection established after the grace period writes nothing that was chosen before.
func TestDialOutlastsGracePeriod(t *testing.T) {
	p := idleRouter(t)
	conn, theirs := platformtest.ConnPair(t)
	p.handleEndpoints(p.now(), []fleet.Endpoint{{Name: "s-0", Address: theirs.LocalAddr().String(), Zone: "east", State: control.Ready}})
	p.readEndpoints()
	p.step(p.now(), nil)
	s := p.newCall(fleet.ID("s-0"), 1_000_000)
	s.conn = p.newServerConn(p.now(), p.poolOf(s.to)) // it dials: nothing is up yet
	defer s.conn.cancelDial()
	s.conn.writes.post(queuedFrame{data: []byte("late"), begin: s.begin, wrote: s.wrote})
	time.Sleep(duration(attempt.MaxEndpointsAge(p.config.grace)) + time.Millisecond)
	s.conn.writes.connected(conn)
	waitFor(t, "it is withdrawn", s.conn.writes.empty)
	theirs.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if n, _ := theirs.Read(make([]byte, 8)); n > 0 || s.currentStage() == attempt.Writing {
		t.Errorf("%d bytes were written, stage %d", n, s.currentStage())
	}
}
