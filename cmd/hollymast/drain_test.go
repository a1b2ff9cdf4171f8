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
	socketSlack = 50 * time.Millisecond // every time limit is this much longer on sockets
)

// manyFunctions is the first of the functions that tests call: a key with all its bits in use.
const manyFunctions = 0x7f3a9c21e0b4d600

// twoServers are model servers, of which one is to drain.
type twoServers struct {
	draining, staying *platformtest.ModelServer
	events            []discovery.Event // both are ready
}

func newTwoServers(t *testing.T) twoServers {
	s := twoServers{draining: platformtest.NewModelServer(t), staying: platformtest.NewModelServer(t)}
	s.events = []discovery.Event{
		platformtest.Event(1, "s-0", s.draining.Address(), "ready"),
		platformtest.Event(2, "s-1", s.staying.Address(), "ready"),
	}
	return s
}

// drain is the event after the first two with which the one server drains.
func (s *twoServers) drain() discovery.Event {
	return platformtest.Event(3, "s-0", s.draining.Address(), "draining")
}

// callEach sends a request for each of n functions, numbered from ref.
func callEach(c *platformtest.Client, ref, function uint64, n int) {
	for i := range uint64(n) {
		c.SendRequest(ref+i, function+i)
	}
}

// countServed waits for n answers and returns how many of them are a success.
func countServed(c *platformtest.Client, n int) (served int) {
	for range n {
		if c.AwaitAnswer() {
			served++
		}
	}
	return served
}

// framesAfterGrace returns how long after the grace period of a drain frames came, but for the slack.
func framesAfterGrace(s *platformtest.ModelServer, drainedAt time.Time, grace time.Duration) (late []string) {
	for _, frame := range s.Received() {
		if after := frame.At.Sub(drainedAt) - grace - socketSlack; after > 0 {
			late = append(late, fmt.Sprintf("code %d: %v", frame.Code, after.Round(time.Millisecond)))
		}
	}
	return late
}

// TestDrainDuringStall guards against choices from an endpoint list that grew old while the process was stalled: a server drains
// meanwhile, and requests that wait in the router's sockets must not be sent to it after the grace period.
func TestDrainDuringStall(t *testing.T) {
	for _, c := range []struct {
		stall time.Duration
		busy  bool // with requests in flight when it begins
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
	const functions = 12 // some of them are loaded on the server that drains
	servers := newTwoServers(t)
	plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, servers.events...)
	router := startRouter(t, platformtest.Deployment{Grace: gracePeriod}.Configuration(plane.Address(), servers.events...))
	client := router.waitReady()
	ref := uint64(1)
	callAll := func(c *platformtest.Client) {
		callEach(c, ref, manyFunctions, functions)
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
	drainedAt := plane.Publish(servers.drain())
	joining := platformtest.NewModelServer(t) // further events behind it, the last one another drain
	plane.Publish(platformtest.Event(4, "s-2", joining.Address(), "ready"))
	plane.Publish(platformtest.Event(5, "s-2", joining.Address(), "draining"))
	callAll(client)
	callAll(late)
	time.Sleep(stall)
	router.resume()
	mustServeAll(client)
	mustServeAll(late)
	if busy {
		countServed(inFlight, functions) // those that have lost all their slack in the stall may be rejected
	}
	callAll(client)
	mustServeAll(client)
	if late := framesAfterGrace(servers.draining, drainedAt, gracePeriod); len(late) > 0 {
		t.Errorf("frames after the grace period: %v", late)
	}
	if n := len(joining.Received()); n > 0 && stall > gracePeriod+socketSlack {
		t.Errorf("%d frames went to a server that came and drained during the stall", n)
	}
}

// TestNoLoadAfterGrace is TestDrainDuringStall for load commands: the functions that are called after the stall are loaded nowhere yet.
func TestNoLoadAfterGrace(t *testing.T) {
	const (
		functions = 24 // both servers get load commands for some of them
		stall     = 1600 * time.Millisecond
	)
	servers := newTwoServers(t)
	plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, servers.events...)
	deployment := platformtest.Deployment{Grace: gracePeriod, LoadsOnCommandOnly: true}
	router := startRouter(t, deployment.Configuration(plane.Address(), servers.events...))
	client := router.waitReady()
	callEach(client, 1, 1, functions)
	if served := countServed(client, functions); served != functions {
		t.Errorf("%d of %d requests were served", served, functions)
	}
	if servers.draining.LoadCommandCount() == 0 || servers.staying.LoadCommandCount() == 0 {
		t.Fatalf("%d and %d load commands: both servers should get some", servers.draining.LoadCommandCount(), servers.staying.LoadCommandCount())
	}
	router.suspend()
	drainedAt := plane.Publish(servers.drain())
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

// TestDrainDuringReload guards against events that are missed between two discovery addresses: a drain is the last event of the old one,
// the router is stalled before it reads it, and the new one takes its time to answer.
func TestDrainDuringReload(t *testing.T) {
	const functions = 12
	servers := newTwoServers(t)
	before := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, servers.events...)
	answer := make(chan bool)
	after := platformtest.NewDiscovery(t, "127.0.0.1:0", func(net.Conn, int) bool { <-answer; return false }, servers.events...)
	router := startRouter(t, platformtest.Deployment{Grace: gracePeriod}.Configuration(before.Address(), servers.events...))
	client := router.waitReady()
	callEach(client, 1, 1, functions)
	if served := countServed(client, functions); served != functions {
		t.Errorf("%d of %d requests were served", served, functions)
	}
	if len(servers.draining.Received()) == 0 {
		t.Fatal("the server that is to drain was never used")
	}
	router.suspend()
	drainedAt := before.Publish(servers.drain())
	after.Publish(servers.drain())
	router.writeConfig(platformtest.Deployment{Grace: gracePeriod}.Configuration(after.Address(), servers.events...))
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
	if len(after.SubscriptionTimes()) == 0 {
		t.Error("the new address was not asked")
	}
}

// TestDrainOnQuarterOfACore guards against choices that grow old on a small share of a core while clients flood the router: one server
// after another drains.
func TestDrainOnQuarterOfACore(t *testing.T) {
	const (
		grace     = 250 * time.Millisecond
		servers   = 4
		functions = 16
		flooders  = 4
	)
	models := make([]*platformtest.ModelServer, servers)
	var events []discovery.Event
	for i := range models {
		models[i] = platformtest.NewModelServer(t)
		events = append(events, platformtest.Event(uint64(i+1), fmt.Sprint("s-", i), models[i].Address(), "ready"))
	}
	plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	router := startRouter(t, platformtest.Deployment{Grace: grace}.Configuration(plane.Address(), events...))
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
	end := router.throttle(25*time.Millisecond, 100*time.Millisecond)
	drainedAt := make([]time.Time, servers-1)
	for i := range drainedAt {
		callAll()
		drainedAt[i] = plane.Publish(platformtest.Event(uint64(servers+i+1), fmt.Sprint("s-", i), models[i].Address(), "draining"))
		for time.Since(drainedAt[i]) < 2*grace {
			callAll()
		}
	}
	end()
	for i, at := range drainedAt {
		if late := framesAfterGrace(models[i], at, grace); len(late) > 0 {
			t.Errorf("server %d: frames after the grace period: %v", i, late)
		}
	}
	if served < requests*9/10 {
		t.Errorf("%d of %d requests were served", served, requests)
	}
}
