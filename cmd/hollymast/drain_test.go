package main

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"hollymast/internal/discovery"
	"hollymast/internal/platformtest"
)

const (
	gracePeriod = 500 * time.Millisecond
	socketSlack = 50 * time.Millisecond // added to every time limit that is observed on sockets
)

// firstFunctionKey is the key of the first function that tests call. It has bits set over its whole width.
const firstFunctionKey = 0x7f3a9c21e0b4d600

// twoServers are two model servers, one of which drains during the test.
type twoServers struct {
	draining, staying *platformtest.ModelServer
	events            []discovery.Event // list both as ready
}

func newTwoServers(t *testing.T) twoServers {
	s := twoServers{draining: platformtest.NewModelServer(t), staying: platformtest.NewModelServer(t)}
	s.events = []discovery.Event{
		platformtest.Event(1, "s-0", s.draining.Address(), "ready"),
		platformtest.Event(2, "s-1", s.staying.Address(), "ready"),
	}
	return s
}

// drainEvent is event 3, which lists the first server as draining.
func (s *twoServers) drainEvent() discovery.Event {
	return platformtest.Event(3, "s-0", s.draining.Address(), "draining")
}

// callEach sends one request to each of n functions. Request references count up from ref, function keys from function.
func callEach(c *platformtest.Client, ref, function uint64, n int) {
	for i := range uint64(n) {
		c.SendRequest(ref+i, function+i)
	}
}

// countServed waits for n answers and returns how many were successful.
func countServed(c *platformtest.Client, n int) (served int) {
	for range n {
		if c.AwaitAnswer() {
			served++
		}
	}
	return served
}

// framesAfterGrace describes the frames that a server received later than the grace period and socketSlack after its drain.
func framesAfterGrace(s *platformtest.ModelServer, drainedAt time.Time, grace time.Duration) (late []string) {
	for _, frame := range s.Received() {
		if after := frame.At.Sub(drainedAt) - grace - socketSlack; after > 0 {
			late = append(late, fmt.Sprintf("code %d: %v", frame.Code, after.Round(time.Millisecond)))
		}
	}
	return late
}

// TestDrainDuringStall guards against routing by an endpoint list that became outdated while the process was stalled. A server drains
// during the stall, and requests that wait in the router's sockets must not be sent to it after the grace period.
func TestDrainDuringStall(t *testing.T) {
	for _, c := range []struct {
		stall time.Duration
		busy  bool // requests are in flight when the stall begins
	}{
		{300 * time.Millisecond, false}, {600 * time.Millisecond, false}, {1600 * time.Millisecond, false}, {5 * time.Second, false},
		{300 * time.Millisecond, true}, {600 * time.Millisecond, true}, {1600 * time.Millisecond, true}, {5 * time.Second, true},
	} {
		t.Run(fmt.Sprintf("%v busy=%t", c.stall, c.busy), func(t *testing.T) {
			t.Parallel()
			testDrainDuringStall(t, c.stall, c.busy)
		})
	}
}

func testDrainDuringStall(t *testing.T, stall time.Duration, busy bool) {
	const functions = 12 // enough that some are loaded on the server that drains
	servers := newTwoServers(t)
	discoveryServer := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, servers.events...)
	router := startRouter(t, platformtest.Deployment{Grace: gracePeriod}.Configuration(discoveryServer.Address(), servers.events...))
	client := router.waitReady()
	ref := uint64(1)
	callAll := func(c *platformtest.Client) {
		callEach(c, ref, firstFunctionKey, functions)
		ref += functions
	}
	mustServeAll := func(c *platformtest.Client) {
		t.Helper()
		if served := countServed(c, functions); served != functions {
			t.Errorf("%d of %d requests were served", served, functions)
		}
	}
	callAll(client)
	mustServeAll(client)
	if len(servers.draining.Received()) == 0 {
		t.Fatal("the server that is to drain was never used")
	}
	inFlight, late := platformtest.Dial(t, router.address), platformtest.Dial(t, router.address)
	if busy {
		callAll(inFlight)
	}
	router.suspend()
	drainedAt := discoveryServer.Publish(servers.drainEvent())
	joining := platformtest.NewModelServer(t) // more events after the drain; the last one is another drain
	discoveryServer.Publish(platformtest.Event(4, "s-2", joining.Address(), "ready"))
	discoveryServer.Publish(platformtest.Event(5, "s-2", joining.Address(), "draining"))
	callAll(client)
	callAll(late)
	time.Sleep(stall)
	router.resume()
	mustServeAll(client)
	mustServeAll(late)
	if busy {
		countServed(inFlight, functions) // not checked: requests that lost all their slack in the stall may be rejected
	}
	callAll(client)
	mustServeAll(client)
	if late := framesAfterGrace(servers.draining, drainedAt, gracePeriod); len(late) > 0 {
		t.Errorf("frames after the grace period: %v", late)
	}
	if n := len(joining.Received()); n > 0 && stall > gracePeriod+socketSlack {
		t.Errorf("%d frames were sent to a server that joined and drained during the stall", n)
	}
}

// TestNoLoadAfterGrace is TestDrainDuringStall for load commands: the functions called after the stall are not loaded on any server yet.
func TestNoLoadAfterGrace(t *testing.T) {
	const (
		functions = 24 // enough that both servers get load commands
		stall     = 1600 * time.Millisecond
	)
	servers := newTwoServers(t)
	discoveryServer := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, servers.events...)
	deployment := platformtest.Deployment{Grace: gracePeriod, LoadsOnCommandOnly: true}
	router := startRouter(t, deployment.Configuration(discoveryServer.Address(), servers.events...))
	client := router.waitReady()
	callEach(client, 1, 1, functions)
	if served := countServed(client, functions); served != functions {
		t.Errorf("%d of %d requests were served", served, functions)
	}
	if servers.draining.LoadCommandCount() == 0 || servers.staying.LoadCommandCount() == 0 {
		t.Fatalf("%d and %d load commands: both servers should get some", servers.draining.LoadCommandCount(), servers.staying.LoadCommandCount())
	}
	router.suspend()
	drainedAt := discoveryServer.Publish(servers.drainEvent())
	callEach(client, 101, 101, functions)
	time.Sleep(stall)
	router.resume()
	if served := countServed(client, functions); served != functions {
		t.Errorf("%d of %d requests were served after the stall", served, functions)
	}
	if late := framesAfterGrace(servers.draining, drainedAt, gracePeriod); len(late) > 0 {
		t.Errorf("frames after the grace period: %v", late)
	}
}

// TestDrainDuringReload guards against an event that is lost when the discovery address changes: the last event of the old server is a
// drain, the router is stalled before it reads that event, and the new server answers late.
func TestDrainDuringReload(t *testing.T) {
	const functions = 12
	servers := newTwoServers(t)
	oldDiscovery := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, servers.events...)
	answer := make(chan bool)
	newDiscovery := platformtest.NewDiscovery(t, "127.0.0.1:0", func(net.Conn, int) bool { <-answer; return false }, servers.events...)
	router := startRouter(t, platformtest.Deployment{Grace: gracePeriod}.Configuration(oldDiscovery.Address(), servers.events...))
	client := router.waitReady()
	callEach(client, 1, 1, functions)
	if served := countServed(client, functions); served != functions {
		t.Errorf("%d of %d requests were served", served, functions)
	}
	if len(servers.draining.Received()) == 0 {
		t.Fatal("the server that is to drain was never used")
	}
	router.suspend()
	drainedAt := oldDiscovery.Publish(servers.drainEvent())
	newDiscovery.Publish(servers.drainEvent())
	router.writeConfig(platformtest.Deployment{Grace: gracePeriod}.Configuration(newDiscovery.Address(), servers.events...))
	router.signal(syscall.SIGHUP)
	time.Sleep(gracePeriod + socketSlack)
	router.resume()
	callEach(client, 101, 1, functions)
	if served := countServed(client, functions); served != functions {
		t.Errorf("%d of %d requests were served after the stall", served, functions)
	}
	close(answer)
	if late := framesAfterGrace(servers.draining, drainedAt, gracePeriod); len(late) > 0 {
		t.Errorf("frames after the grace period: %v", late)
	}
	if len(newDiscovery.SubscriptionTimes()) == 0 {
		t.Error("the router did not subscribe at the new address")
	}
}

// TestDrainOnQuarterOfACore guards against outdated routing decisions when the router has only a quarter of a core and clients flood it:
// one server after another drains.
func TestDrainOnQuarterOfACore(t *testing.T) {
	const (
		grace     = 250 * time.Millisecond
		servers   = 4
		functions = 16
		flooders  = 4
	)
	modelServers := make([]*platformtest.ModelServer, servers)
	var events []discovery.Event
	for i := range modelServers {
		modelServers[i] = platformtest.NewModelServer(t)
		events = append(events, platformtest.Event(uint64(i+1), fmt.Sprint("s-", i), modelServers[i].Address(), "ready"))
	}
	discoveryServer := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	router := startRouter(t, platformtest.Deployment{Grace: grace}.Configuration(discoveryServer.Address(), events...))
	client := router.waitReady()
	served, requests := 0, 0
	callAll := func() {
		callEach(client, uint64(requests+1), 1, functions)
		requests += functions
		served += countServed(client, functions)
	}
	callAll()
	for range flooders {
		flooder := platformtest.Dial(t, router.address)
		t.Cleanup(flooder.Flood())
	}
	stopThrottling := router.throttle(25*time.Millisecond, 100*time.Millisecond)
	drainedAt := make([]time.Time, servers-1)
	for i := range drainedAt {
		callAll()
		drainedAt[i] = discoveryServer.Publish(platformtest.Event(uint64(servers+i+1), fmt.Sprint("s-", i), modelServers[i].Address(), "draining"))
		for time.Since(drainedAt[i]) < 2*grace {
			callAll()
		}
	}
	stopThrottling()
	for i, at := range drainedAt {
		if late := framesAfterGrace(modelServers[i], at, grace); len(late) > 0 {
			t.Errorf("server %d: frames after the grace period: %v", i, late)
		}
	}
	if served < requests*9/10 {
		t.Errorf("%d of %d requests were served", served, requests)
	}
}

// slowDiscovery starts a discovery service that answers each subscription after a delay.
func slowDiscovery(t *testing.T, delay time.Duration, events ...discovery.Event) *platformtest.Discovery {
	return platformtest.NewDiscovery(t, "127.0.0.1:0", func(net.Conn, int) bool { time.Sleep(delay); return false }, events...)
}

// TestDrainAfterReloadToSlowDiscovery guards against a drain that is never read because the discovery service at the new address
// takes 2 s for an answer: what it has to tell counts as announced 4 s after the reload.
func TestDrainAfterReloadToSlowDiscovery(t *testing.T) {
	t.Parallel()
	const (
		functions      = 12
		answerDelay    = 2 * time.Second
		announcedAfter = 4 * time.Second
		duration       = 6 * time.Second
	)
	servers := newTwoServers(t)
	oldDiscovery := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, servers.events...)
	newDiscovery := slowDiscovery(t, answerDelay, servers.events...)
	router := startRouter(t, platformtest.Deployment{Grace: gracePeriod}.Configuration(oldDiscovery.Address(), servers.events...))
	client := router.waitReady()
	router.writeConfig(platformtest.Deployment{Grace: gracePeriod}.Configuration(newDiscovery.Address(), servers.events...))
	router.signal(syscall.SIGHUP)
	reloadedAt := time.Now()
	newDiscovery.Publish(servers.drainEvent())
	for round := uint64(0); time.Since(reloadedAt) < duration; round++ {
		callEach(client, 1+round*functions, firstFunctionKey, functions)
		if served := countServed(client, functions); served != functions {
			t.Errorf("%d of %d requests were served", served, functions)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if len(servers.draining.Received()) == 0 {
		t.Fatal("the server that is to drain was never used")
	}
	if late := framesAfterGrace(servers.draining, reloadedAt.Add(announcedAfter), gracePeriod); len(late) > 0 {
		t.Errorf("%d frames after the grace period, the last one %s", len(late), late[len(late)-1])
	}
}

// TestDrainBeforeStartWithSlowDiscovery guards against a router that serves by the list of its configuration because discovery takes
// longer than a quarter of the grace period for its first answer: a server has drained since the configuration was written.
func TestDrainBeforeStartWithSlowDiscovery(t *testing.T) {
	t.Parallel()
	const functions = 12
	servers := newTwoServers(t)
	discoveryServer := slowDiscovery(t, 2*time.Second, append(servers.events, servers.drainEvent())...)
	router := startRouter(t, platformtest.Deployment{Grace: gracePeriod}.Configuration(discoveryServer.Address(), servers.events...))
	client := router.waitReady()
	callEach(client, 1, firstFunctionKey, functions)
	if served := countServed(client, functions); served != functions {
		t.Errorf("%d of %d requests were served", served, functions)
	}
	if n := len(servers.draining.Received()); n > 0 {
		t.Errorf("%d frames were sent to a server that drained before the start", n)
	}
}
