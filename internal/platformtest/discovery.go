package platformtest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"hollymast/internal/discovery"
)

// Event returns a discovery event about one server. The event with revision 1 is a full list.
func Event(rev uint64, uid, address, state string) discovery.Event {
	return discovery.Event{Revision: rev, Update: &discovery.UpdateMessage{All: rev == 1, Endpoints: []discovery.EndpointMessage{
		{UID: uid, Address: address, Zone: "east", Weight: 4, State: state}}}}
}

// EncodeEvent returns an event as the line that a discovery service sends.
func EncodeEvent(e discovery.Event) []byte {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // can't happen: only plain values
	}
	return append(text, '\n')
}

// Discovery is a fake discovery service. It sends each watcher the events after the revision that the watcher asks
// for, and a heartbeat each second.
type Discovery struct {
	listener      net.Listener
	mu            sync.Mutex
	events        []discovery.Event
	watchers      map[net.Conn]struct{}
	subscriptions []time.Time
	written       int64 // bytes written to all watchers
	ended         chan struct{}
	script        func(c net.Conn, nth int) (handled bool)
}

// NewDiscovery starts a discovery service that stops when the test ends. If script is not nil, it is called first
// with the connection and number, from 1, of each watch; if it returns true, the watch ends there.
func NewDiscovery(t testing.TB, address string, script func(c net.Conn, nth int) (handled bool), events ...discovery.Event) *Discovery {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	d := &Discovery{listener: l, events: events, watchers: map[net.Conn]struct{}{}, ended: make(chan struct{}), script: script}
	acceptEach(t, l, d.watch)
	t.Cleanup(func() { close(d.ended) }) // runs before the cleanup that waits for the connections
	return d
}

// Address returns the address that the service listens on.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// SubscriptionTimes returns the time of each subscription.
func (d *Discovery) SubscriptionTimes() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.subscriptions)
}

// Publish adds an event and sends it to all watchers. It returns the time from which the event counts as announced.
func (d *Discovery) Publish(e discovery.Event) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, e)
	announced := time.Now()
	for c := range d.watchers {
		d.write(c, EncodeEvent(e))
	}
	return announced
}

// write writes to a watcher. The caller holds mu.
func (d *Discovery) write(c net.Conn, text []byte) error {
	n, err := c.Write(text)
	d.written += int64(n)
	return err
}

// BytesWritten returns how many bytes the service has written to all watchers.
func (d *Discovery) BytesWritten() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.written
}

// watch serves one watcher until its connection or the test ends.
func (d *Discovery) watch(c net.Conn) {
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return
	}
	var revision uint64 // of the last event that the watcher knows
	fmt.Sscanf(line, "watch %d", &revision)
	d.mu.Lock()
	d.subscriptions = append(d.subscriptions, time.Now())
	nth := len(d.subscriptions)
	d.mu.Unlock()
	if d.script != nil && d.script(c, nth) {
		return
	}
	d.mu.Lock()
	for _, e := range d.events {
		if e.Revision > revision {
			d.write(c, EncodeEvent(e))
		}
	}
	d.watchers[c] = struct{}{}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.watchers, c)
	}()
	for d.heartbeat(c) {
		select {
		case <-time.After(time.Second):
		case <-d.ended:
			return
		}
	}
}

// heartbeat sends a watcher the revision of the last event, and reports whether the write succeeded.
func (d *Discovery) heartbeat(c net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var last uint64
	if n := len(d.events); n > 0 {
		last = d.events[n-1].Revision
	}
	return d.write(c, fmt.Appendln(nil, last)) == nil
}
