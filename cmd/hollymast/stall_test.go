package main

import (
	"fmt"
	"net"
	"slices"
	"strings"
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

// checkNoneAfter fails the test for each frame that came later than the grace after a drain.
func checkNoFramesAfter(t *testing.T, s *platformtest.ModelServer, told time.Time, grace time.Duration) {
	t.Helper()
	for _, frame := range s.Received() {
		if late := frame.At.Sub(told) - grace - socketSlack; late > 0 {
			t.Errorf("a frame of code %d begins %v after the grace", frame.Code, late.Round(time.Millisecond))
		}
	}
}

// TestStoppedRouterKeepsDrain guards against choices from a list that grew old while the process was stopped: one server
// drains meanwhile, and requests that wait in the router's sockets must not be sent there after the grace.
func TestStoppedRouterKeepsDrain(t *testing.T) {
	const functions = 12 // some of them have their copy on the server that drains
	for _, c := range []struct {
		stopped time.Duration
		busy    bool
	}{
		{300 * time.Millisecond, false}, {600 * time.Millisecond, false}, {1600 * time.Millisecond, false}, {5 * time.Second, false},
		{300 * time.Millisecond, true}, {600 * time.Millisecond, true}, {1600 * time.Millisecond, true}, {5 * time.Second, true},
	} {
		t.Run(fmt.Sprintf("%v busy=%t", c.stopped, c.busy), func(t *testing.T) {
			t.Parallel()
			drains, stays := platformtest.NewModelServer(t), platformtest.NewModelServer(t)
			events := []discovery.Event{platformtest.Event(1, "s-0", drains.Address(), "ready"), platformtest.Event(2, "s-1", stays.Address(), "ready")}
			plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
			router := startRouter(t, platformtest.Deployment{Grace: gracePeriod}.Configuration(plane.Address(), events...))
			client := router.waitReady()
			ref := uint64(0)
			callAll := func(client *platformtest.Client) {
				for f := range uint64(functions) {
					ref++
					client.Call(ref, 0x7f3a9c21e0b4d600+f)
				}
			}
			answerAll := func(client *platformtest.Client) {
				for range functions {
					if !client.Answer() {
						t.Error("a request was not served")
					}
				}
			}
			awaitAll := func(client *platformtest.Client) { // those that the stop has cost all their slack may be refused
				for range functions {
					client.Answer()
				}
			}
			callAll(client)
			answerAll(client)
			if len(drains.Received()) == 0 {
				t.Fatal("the server that is to drain was never used")
			}
			others := []*platformtest.Client{client, platformtest.Dial(t, router.address), platformtest.Dial(t, router.address)}
			if c.busy { // what is under way when the process stops
				callAll(others[1])
			}
			router.suspend()
			told := plane.Publish(platformtest.Event(3, "s-0", drains.Address(), "draining"))
			joins := platformtest.NewModelServer(t) // further events behind it, the last one another drain
			plane.Publish(platformtest.Event(4, "s-2", joins.Address(), "ready"))
			plane.Publish(platformtest.Event(5, "s-2", joins.Address(), "draining"))
			callAll(others[0])
			callAll(others[2])
			time.Sleep(c.stopped)
			router.resume()
			answerAll(others[0])
			answerAll(others[2])
			if c.busy {
				awaitAll(others[1])
			}
			callAll(client) // and what comes afterwards
			answerAll(client)
			checkNoFramesAfter(t, drains, told, gracePeriod)
			if n := len(joins.Received()); n > 0 && c.stopped > gracePeriod+socketSlack {
				t.Errorf("%d frames went to a server that came and drained during the stop", n)
			}
		})
	}
}

// TestAnswerDuringStopIsTaken guards against giving up an execution whose answer came while the process was stopped, or the rest
// of it.
func TestAnswerDuringStopIsTaken(t *testing.T) {
	for name, hold := range map[string]func(*platformtest.ModelServer){"whole": (*platformtest.ModelServer).Hold,
		"its second half": (*platformtest.ModelServer).HoldHalf} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := platformtest.NewModelServer(t)
			events := []discovery.Event{platformtest.Event(1, "s-0", server.Address(), "ready")}
			plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
			router := startRouter(t, platformtest.Deployment{Grace: gracePeriod}.Configuration(plane.Address(), events...))
			client := router.waitReady()
			client.Call(1, 1) // its copy stands from now on
			if !client.Answer() {
				t.Fatal("a request was not served")
			}
			hold(server)
			client.Call(2, 1)
			for len(server.Received()) < 2 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond) // what has come of the answer is read
			router.suspend()
			server.Release()
			time.Sleep(1600 * time.Millisecond) // beyond the time that such an execution and an answer in pieces are given
			router.resume()
			if !client.Answer() {
				t.Error("a request was not served")
			}
			if n := len(server.Received()); n != 2 {
				t.Errorf("%d executions for 2 requests", n)
			}
		})
	}
}

// TestReloadIsFollowedByADrain guards against events that are missed between two addresses of the notice board: a drain is told
// by the old one as the last that it tells, the router is stopped before it reads it, and the new one takes its time to answer.
func TestReloadIsFollowedByADrain(t *testing.T) {
	drains, stays := platformtest.NewModelServer(t), platformtest.NewModelServer(t)
	events := []discovery.Event{platformtest.Event(1, "s-0", drains.Address(), "ready"), platformtest.Event(2, "s-1", stays.Address(), "ready")}
	old := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	answer := make(chan bool)
	fresh := platformtest.NewDiscovery(t, "127.0.0.1:0", func(net.Conn, int) bool { <-answer; return false }, events...)
	router := startRouter(t, platformtest.Deployment{Grace: gracePeriod}.Configuration(old.Address(), events...))
	client := router.waitReady()
	const functions = 12
	callAll := func(first uint64) {
		for f := range uint64(functions) {
			client.Call(first+f, f+1)
		}
		for range functions {
			if !client.Answer() {
				t.Error("a request was not served")
			}
		}
	}
	callAll(1)
	if len(drains.Received()) == 0 {
		t.Fatal("the server that is to drain was never used")
	}
	router.suspend()
	told := old.Publish(platformtest.Event(3, "s-0", drains.Address(), "draining")) // the last that the old address tells
	fresh.Publish(platformtest.Event(3, "s-0", drains.Address(), "draining"))
	router.writeConfig(platformtest.Deployment{Grace: gracePeriod}.Configuration(fresh.Address(), events...))
	router.signal(syscall.SIGHUP)
	time.Sleep(gracePeriod + socketSlack)
	router.resume()
	callAll(101)
	close(answer)
	checkNoFramesAfter(t, drains, told, gracePeriod)
	if len(fresh.Subscriptions()) == 0 {
		t.Error("the new address was not asked")
	}
}

// TestQuarterOfACoreKeepsShortGrace guards against choices that grow old on a small share of a core while clients flood the
// router: one server after another drains.
func TestQuarterOfACoreKeepsShortGrace(t *testing.T) {
	const (
		grace     = 250 * time.Millisecond
		servers   = 4
		functions = 16
		flooders  = 4
	)
	fakes := make([]*platformtest.ModelServer, servers)
	var events []discovery.Event
	for i := range fakes {
		fakes[i] = platformtest.NewModelServer(t)
		events = append(events, platformtest.Event(uint64(i+1), fmt.Sprint("s-", i), fakes[i].Address(), "ready"))
	}
	plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	router := startRouter(t, platformtest.Deployment{Grace: grace}.Configuration(plane.Address(), events...))
	client := router.waitReady()
	served, ref := 0, uint64(0)
	callAll := func() {
		for f := range uint64(functions) {
			ref++
			client.Call(ref, f+1)
		}
		for range functions {
			if client.Answer() {
				served++
			}
		}
	}
	callAll()
	for range flooders {
		flood := platformtest.Dial(t, router.address)
		t.Cleanup(flood.Flood())
	}
	end := router.throttle(25*time.Millisecond, 100*time.Millisecond)
	told := make([]time.Time, servers-1)
	for i := range told {
		callAll()
		told[i] = plane.Publish(platformtest.Event(uint64(servers+i+1), fmt.Sprint("s-", i), fakes[i].Address(), "draining"))
		for time.Since(told[i]) < 2*grace {
			callAll()
		}
	}
	end()
	for i, at := range told {
		checkNoFramesAfter(t, fakes[i], at, grace)
	}
	if served < int(ref)*9/10 {
		t.Errorf("%d of %d requests were served", served, ref)
	}
}

// TestStoppedRouterOrdersNothingAfterTheGrace is TestStoppedRouterKeepsDrain for orders to load: what is asked for after the stop
// stands nowhere yet.
func TestStoppedRouterOrdersNothingAfterTheGrace(t *testing.T) {
	const functions = 24 // their orders go to both servers
	drains, stays := platformtest.NewModelServer(t), platformtest.NewModelServer(t)
	events := []discovery.Event{platformtest.Event(1, "s-0", drains.Address(), "ready"), platformtest.Event(2, "s-1", stays.Address(), "ready")}
	plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	deployment := platformtest.Deployment{Grace: gracePeriod, LoadsOnCommandOnly: true}
	router := startRouter(t, deployment.Configuration(plane.Address(), events...))
	client := router.waitReady()
	callAll := func(first uint64) {
		for f := range uint64(functions) {
			client.Call(first+f, first+f)
		}
	}
	answerAll := func() {
		for range functions {
			if !client.Answer() {
				t.Error("a request was not served")
			}
		}
	}
	callAll(1)
	answerAll()
	if drains.LoadCommands() == 0 || stays.LoadCommands() == 0 {
		t.Fatalf("%d and %d orders: both servers should get some", drains.LoadCommands(), stays.LoadCommands())
	}
	router.suspend()
	told := plane.Publish(platformtest.Event(3, "s-0", drains.Address(), "draining"))
	callAll(101)
	time.Sleep(1600 * time.Millisecond)
	router.resume()
	answerAll()
	checkNoFramesAfter(t, drains, told, gracePeriod)
}

// A request that comes while the process is stopped is read late. The deadline that its server is told is still at most what the
// client has left, with the page's slack of 0.15 s.
func TestStoppedRouterTellsWhatIsLeft(t *testing.T) {
	const allowed, slack = 8900 * time.Millisecond, 150 * time.Millisecond // of platformtest's clients
	for _, stopped := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint(stopped), func(t *testing.T) {
			t.Parallel()
			server := platformtest.NewModelServer(t)
			known := platformtest.Event(1, "s-0", server.Address(), "ready")
			plane := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, known)
			router := startRouter(t, platformtest.Deployment{Grace: 4 * time.Second}.Configuration(plane.Address(), known))
			clients := []*platformtest.Client{router.waitReady(), platformtest.Dial(t, router.address)}
			clients[0].Call(1, 1)
			if !clients[0].Answer() {
				t.Fatal("not served")
			}
			requests := func() []platformtest.Received {
				return slices.DeleteFunc(server.Received(), func(r platformtest.Received) bool { return r.Code != platformtest.AttemptCode })
			}
			before := len(requests())
			router.suspend()
			asked := time.Now()
			for i, c := range append(clients, platformtest.Dial(t, router.address)) { // the last is accepted afterwards
				c.Call(uint64(i+2), 1)
			}
			time.Sleep(stopped)
			router.resume()
			checked := 0
			until := time.Now().Add(4 * time.Second)
			for checked < len(clients)+1 && time.Now().Before(until) {
				time.Sleep(10 * time.Millisecond)
				frames := requests()[before:]
				for ; checked < len(frames); checked++ {
					_, figure, _ := strings.Cut(frames[checked].Fields, "max=")
					most := 0
					fmt.Sscanf(figure, "%d", &most)
					left := allowed - frames[checked].At.Sub(asked)
					if told := time.Duration(most) * time.Millisecond; most == 0 || told > left+slack {
						t.Errorf("told %v where the client has %v left", told, left.Round(time.Millisecond))
					}
				}
			}
			if checked < len(clients)+1 {
				t.Errorf("%d of %d requests reached the server", checked, len(clients)+1)
			}
		})
	}
}
