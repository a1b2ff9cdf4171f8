package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/fleet"
)

// event returns the line of an event that changes one server; fullEvent returns that of a full list with one server.
func event(revision int, uid, endpoint, state string) string {
	return eventLine(revision, "false", uid, endpoint, state)
}

func fullEvent(revision int, uid, endpoint, state string) string {
	return eventLine(revision, "true", uid, endpoint, state)
}

func eventLine(revision int, all, uid, endpoint, state string) string {
	return fmt.Sprintf(`{"rev":%d,"pool":{"rev":1,"all":%s,"targets":[{"uid":%q,"endpoint":%q,"az":"east","pod_group":2,`+
		`"state":%q,"capacity_hint":4,"boot_ms":0}]}}`, revision, all, uid, endpoint, state)
}

func TestHandleLine(t *testing.T) {
	for _, c := range []struct {
		name    string
		line    string
		effect  Effect
		fails   bool
		servers int
	}{
		{"server added", event(4, "b", "10.0.0.2:1", "ready"), EndpointsChanged, false, 2},
		{"server gone", event(4, "a", "", "gone"), EndpointsChanged, false, 0},
		{"full list", fullEvent(4, "c", "10.0.0.3:1", "draining"), EndpointsChanged, false, 1},
		{"old event again", fullEvent(3, "c", "10.0.0.3:1", "ready"), None, false, 1},
		{"event after a gap", fullEvent(5, "c", "10.0.0.3:1", "ready"), Resubscribe, false, 1},
		{"heartbeat with the current revision", "3", None, false, 1},
		{"heartbeat with a later revision", "4", Resubscribe, false, 1},
		{"heartbeat object with the current revision", `{"rev":3}`, None, false, 1},
		{"heartbeat object with a later revision", `{"rev":4}`, Resubscribe, false, 1},
		{"event that does not concern the list", `{"rev":4,"pool":null}`, None, false, 1},
		{"not a number", "x3", None, true, 1},
		{"truncated event", event(4, "b", "10.0.0.2:1", "ready")[:80], None, true, 1},
		{"unknown state", fullEvent(4, "b", "10.0.0.2:1", "asleep"), None, true, 1},
	} {
		var s State
		s.Restore(History{Revision: 3})
		subscription := s.Subscribe()
		s.revision = 2
		if _, err := subscription.HandleLine([]byte(fullEvent(3, "a", "10.0.0.1:1", "ready"))); err != nil {
			t.Fatal(err)
		}
		effect, err := subscription.HandleLine([]byte(c.line + "\n"))
		if effect != c.effect || (err != nil) != c.fails || len(s.Endpoints()) != c.servers {
			t.Errorf("%s: %v, %v, %d servers", c.name, effect, err, len(s.Endpoints()))
		}
	}
}

// startServer starts a discovery server that sends each connection and its subscription to the channels.
func startServer(t *testing.T) (string, chan net.Conn, chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns, subscriptions := make(chan net.Conn, 8), make(chan string, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			subscriptions <- line
			conns <- c
		}
	}()
	return l.Addr().String(), conns, subscriptions
}

// testGrace is the grace period of a typical deployment.
const testGrace = 500 * time.Millisecond

// sendLists returns an onUpdate callback for NewClient that sends the whole list to the channel after each update.
func sendLists(lists chan<- []fleet.Endpoint) func(fleet.Update) {
	list := map[string]fleet.Endpoint{}
	return func(update fleet.Update) { lists <- apply(list, update) }
}

// apply applies an update to a list and returns the list, sorted by name.
func apply(list map[string]fleet.Endpoint, update fleet.Update) []fleet.Endpoint {
	if update.Full {
		clear(list)
	}
	for _, e := range update.Endpoints {
		if list[e.Name] = e; e.State == control.Removed {
			delete(list, e.Name)
		}
	}
	return slices.SortedFunc(maps.Values(list), compareByName)
}

// startClient runs a client until the test ends and returns it with the channel of its lists.
func startClient(t *testing.T, address string) (*Client, chan []fleet.Endpoint) {
	t.Helper()
	lists := make(chan []fleet.Endpoint, 8)
	c := NewClient(State{}, address, testGrace, 1, sendLists(lists), func(string, error) {})
	runClient(t, c)
	return c, lists
}

// runClient runs a client until the test ends.
func runClient(t *testing.T, c *Client) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	t.Cleanup(func() { stop(); <-ended })
}

// reserveAddress returns a bound address, which refuses connections and can't be taken by another program, and a function
// that starts to listen on it.
func reserveAddress(t *testing.T) (address string, startListening func() net.Listener) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	t.Cleanup(func() { file.Close() })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", name.(*syscall.SockaddrInet4).Port), func() net.Listener {
		t.Helper()
		if err := syscall.Listen(fd, syscall.SOMAXCONN); err != nil {
			t.Fatal(err)
		}
		l, err := net.FileListener(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		return l
	}
}

func receive[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(4 * time.Second): // after this time every event counts as received
		t.Fatalf("timed out after 4 s waiting for %s", what)
		panic("not reached")
	}
}

func TestClientResubscribesAfterBreakWithinEvent(t *testing.T) {
	address, conns, subscriptions := startServer(t)
	_, lists := startClient(t, address)
	c := receive(t, "a connection", conns)
	receive(t, "a subscription", subscriptions)
	fmt.Fprint(c, fullEvent(1, "a", "10.0.0.1:1", "ready"), "\n", event(2, "b", "10.0.0.2:1", "ready")[:60])
	receive(t, "the first list", lists)
	c.Close()
	c = receive(t, "another connection", conns)
	if line := receive(t, "another subscription", subscriptions); line != "watch 1\n" {
		t.Errorf("subscribed with %q", line)
	}
	fmt.Fprintln(c, event(2, "b", "10.0.0.2:1", "ready"))
	if list := receive(t, "the second list", lists); len(list) != 2 {
		t.Errorf("got %v", list)
	}
}

func TestClientReconnectsAfterSilence(t *testing.T) {
	address, conns, subscriptions := startServer(t)
	startClient(t, address)
	receive(t, "a connection", conns) // the test sends nothing on it
	receive(t, "a subscription", subscriptions)
	receive(t, "another connection", conns)
}

func TestClientChangesAddress(t *testing.T) {
	address, conns, subscriptions := startServer(t)
	client, lists := startClient(t, address)
	c := receive(t, "a connection", conns)
	receive(t, "a subscription", subscriptions)
	fmt.Fprintln(c, fullEvent(1, "a", "10.0.0.1:1", "ready"))
	receive(t, "the first list", lists)
	other, conns, subscriptions := startServer(t)
	client.SetAddress(other)
	c = receive(t, "a connection elsewhere", conns)
	if line := receive(t, "a subscription elsewhere", subscriptions); line != "watch 1\n" {
		t.Errorf("subscribed with %q", line)
	}
	fmt.Fprintln(c, event(2, "a", "", "gone"))
	if list := receive(t, "the second list", lists); len(list) != 0 {
		t.Errorf("got %v", list)
	}
}

// Reconnects back off from a server that closes the connection after each subscription, since some hundred routers may
// reconnect at the same time.
func TestClientBacksOffFromServerThatBreaksOff(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	startClient(t, l.Addr().String())
	const limit = 12 // 20 ms doubled seven times exceeds 2 s; without backoff there would be a hundred
	n := 0
	for l.(*net.TCPListener).SetDeadline(time.Now().Add(2 * time.Second)); ; n++ {
		c, err := l.Accept()
		if err != nil {
			break
		}
		bufio.NewReader(c).ReadString('\n')
		fmt.Fprintln(c, 0)
		c.Close()
	}
	if n > limit {
		t.Errorf("subscribed %d times in 2 s", n)
	}
}

// newState returns a state that has applied event 1 with server a, and a subscription to the events after it.
func newState(t *testing.T) (*State, *Subscription) {
	t.Helper()
	s := &State{}
	if _, err := s.Subscribe().HandleLine([]byte(fullEvent(1, "a", "10.0.0.1:1", "ready"))); err != nil {
		t.Fatal(err)
	}
	return s, s.Subscribe()
}

// An unusable event leaves the list unchanged and is requested again. If it is still unusable, it is skipped and the
// drain after it is applied.
func TestUnusableEventIsSkippedOnRepeat(t *testing.T) {
	for name, bad := range map[string]string{
		"invalid JSON":  `{"rev":2,"pool":[`,
		"unknown state": event(2, "b", "10.0.0.2:1", "asleep"),
		"no address":    event(2, "b", "", "ready"),
		"not an object": "two",
	} {
		s, subscription := newState(t)
		if _, err := subscription.HandleLine([]byte(bad)); err == nil {
			t.Errorf("%s: accepted", name)
		}
		if list := s.Endpoints(); len(list) != 1 || list[0].State != control.Ready || s.Revision() != 1 {
			t.Errorf("%s: the list is %v at revision %d", name, list, s.Revision())
		}
		subscription = s.Subscribe()
		if _, err := subscription.HandleLine([]byte(bad)); err != nil {
			t.Errorf("%s: not skipped on repeat: %v", name, err)
		}
		effect, err := subscription.HandleLine([]byte(event(3, "a", "10.0.0.1:1", "draining")))
		if list := s.Endpoints(); err != nil || effect != EndpointsChanged || list[0].State != control.Draining {
			t.Errorf("%s: the drain after it gave %v, %v, %v", name, effect, err, list)
		}
	}
}

// After a heartbeat, the next unusable event is requested again instead of being skipped at once.
func TestHeartbeatResetsRetry(t *testing.T) {
	s, subscription := newState(t)
	if _, err := subscription.HandleLine([]byte("noise")); err == nil {
		t.Error("accepted")
	}
	subscription = s.Subscribe()
	subscription.HandleLine([]byte("1"))
	if _, err := subscription.HandleLine([]byte("noise")); err == nil {
		t.Error("skipped at once")
	}
}

// Events in a gap are requested once more before the gap is accepted.
func TestGapIsRequestedOnce(t *testing.T) {
	s, subscription := newState(t)
	gap := []byte(event(3, "b", "10.0.0.2:1", "ready"))
	if effect, err := subscription.HandleLine(gap); effect != Resubscribe || err != nil {
		t.Errorf("the first time: %v, %v", effect, err)
	}
	if subscription = s.Subscribe(); s.Revision() != 1 {
		t.Errorf("subscribed after revision %d", s.Revision())
	}
	if effect, err := subscription.HandleLine(gap); effect != EndpointsChanged || err != nil {
		t.Errorf("the second time: %v, %v", effect, err)
	}
}

// Events after a gap in a configuration are not applied.
func TestRestoreStopsAtGap(t *testing.T) {
	parseEvent := func(line string) (e Event) {
		if err := json.Unmarshal([]byte(line), &e); err != nil {
			t.Fatal(err)
		}
		return e
	}
	s := &State{}
	history := History{Revision: 5, Events: []Event{parseEvent(fullEvent(1, "a", "10.0.0.1:1", "ready")),
		parseEvent(event(2, "b", "10.0.0.2:1", "ready")),
		parseEvent(event(4, "c", "10.0.0.3:1", "ready"))}}
	if err := s.Restore(history); err != nil {
		t.Fatal(err)
	}
	if s.Revision() != 2 || len(s.Endpoints()) != 2 {
		t.Errorf("at revision %d: %v", s.Revision(), s.Endpoints())
	}
}

// A heartbeat confirms that the answer to the subscription is complete.
func TestUpToDate(t *testing.T) {
	s, subscription := newState(t)
	if subscription.UpToDate() {
		t.Error("up to date before the heartbeat")
	}
	if subscription.HandleLine([]byte("1")); !subscription.UpToDate() {
		t.Error("not up to date after the heartbeat")
	}
	if subscription = s.Subscribe(); subscription.UpToDate() {
		t.Error("up to date before the new subscription was answered")
	}
}

// Guards against an event that is lost because a heartbeat in the form of an object was taken for it: the heartbeat ran ahead
// of the event. Such a heartbeat confirms a complete list like one in the form of a number.
func TestHeartbeatObjectIsNoEvent(t *testing.T) {
	s, subscription := newState(t)
	if subscription.HandleLine([]byte(`{"rev":1}`)); !subscription.UpToDate() {
		t.Error("not up to date after the heartbeat")
	}
	if effect, err := subscription.HandleLine([]byte(`{"rev":2}`)); effect != Resubscribe || err != nil || s.Revision() != 1 || subscription.UpToDate() {
		t.Errorf("a heartbeat ahead of its event gave %v, %v at revision %d", effect, err, s.Revision())
	}
	effect, err := subscription.HandleLine([]byte(event(2, "a", "10.0.0.1:1", "draining")))
	if list := s.Endpoints(); err != nil || effect != EndpointsChanged || list[0].State != control.Draining {
		t.Errorf("the event gave %v, %v, %v", effect, err, list)
	}
}

// An update contains only the servers that an event changed, or all servers if the event requires the full list.
func TestUpdate(t *testing.T) {
	ready := func(uid, endpoint string) EndpointMessage {
		return EndpointMessage{UID: uid, Address: endpoint, State: "ready"}
	}
	gone := func(uid string) EndpointMessage { return EndpointMessage{UID: uid, State: "gone"} }
	for _, c := range []struct {
		name    string
		rev     uint64
		message UpdateMessage
		full    bool
		updated string // names and states of the updated servers
	}{
		{"server added", 2, UpdateMessage{Endpoints: []EndpointMessage{ready("b", "10.0.0.2:1")}}, false, "b 2 "},
		{"server gone", 2, UpdateMessage{Endpoints: []EndpointMessage{gone("a")}}, false, "a 0 "},
		{"unknown server gone", 2, UpdateMessage{Endpoints: []EndpointMessage{gone("b")}}, false, ""},
		{"no change", 2, UpdateMessage{Endpoints: []EndpointMessage{ready("a", "10.0.0.1:1")}}, false, ""},
		{"server returns at another address", 2, UpdateMessage{Endpoints: []EndpointMessage{gone("a"), ready("a", "10.0.0.9:1")}},
			false, "a 2 "},
		{"server added and gone", 2, UpdateMessage{Endpoints: []EndpointMessage{ready("b", "10.0.0.2:1"), gone("b")}},
			false, ""},
		{"address moves to another server", 2, UpdateMessage{Endpoints: []EndpointMessage{ready("b", "10.0.0.1:1"), gone("a")}},
			false, "a 0 b 2 "},
		{"all", 2, UpdateMessage{All: true, Endpoints: []EndpointMessage{ready("b", "10.0.0.2:1")}}, true, "b 2 "},
		{"after a gap", 3, UpdateMessage{Endpoints: []EndpointMessage{ready("b", "10.0.0.2:1")}}, true, "a 2 b 2 "},
	} {
		s := State{}
		s.Subscribe().Apply(Event{1, &UpdateMessage{Endpoints: []EndpointMessage{ready("a", "10.0.0.1:1")}}})
		if update := s.Update(); !update.Full || len(update.Endpoints) != 1 {
			t.Errorf("the first event updated %v", update)
		}
		for range 2 { // the first time, a gap is only requested again
			s.Subscribe().Apply(Event{c.rev, &c.message})
		}
		update, updated := s.Update(), ""
		for _, e := range update.Endpoints {
			updated += fmt.Sprint(e.Name, " ", e.State, " ")
		}
		if update.Full != c.full || updated != c.updated {
			t.Errorf("%s: updated %v", c.name, update)
		}
	}
}
