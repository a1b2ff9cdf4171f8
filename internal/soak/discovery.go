package soak

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"hollymast/internal/discovery"
	"hollymast/internal/platformtest"
)

// discoveryService sends routers the endpoint list over the platform's discovery protocol. It can go down, stop sending on open
// watches and move to another address.
type discoveryService struct {
	mu       sync.Mutex
	listener net.Listener // nil while the service is down
	address  string
	events   []discovery.Event
	watchers map[net.Conn]bool // value: whether the watch has been silenced
	// answerDelay is how long each watch waits for its first line, as from a crowded service.
	answerDelay time.Duration
	// unreachableUntil is the time until which routers may be unable to receive events: before it, no event counts as announced.
	unreachableUntil time.Time
	goroutines       sync.WaitGroup
	done             chan struct{}
}

// How long routers may be unable to receive events, as allowed by the platform's specification. An event published in that time
// counts as announced only at its end. The time after a resume is longer than any router waits before it reconnects; the answer
// delay comes on top of it.
const (
	unreachableAfterSilence = 4 * time.Second
	unreachableAfterMove    = 4 * time.Second
	unreachableAfterResume  = 2 * time.Second
	unreachableWhileDown    = time.Hour
)

func newDiscoveryService(answerDelay time.Duration) (*discoveryService, error) {
	d := &discoveryService{answerDelay: answerDelay, watchers: map[net.Conn]bool{}, done: make(chan struct{})}
	return d, d.listen("127.0.0.1:0")
}

// listen opens a listener at an address and serves watches on it.
func (d *discoveryService) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.listener, d.address = l, l.Addr().String()
	d.mu.Unlock()
	d.goroutines.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			d.goroutines.Go(func() { d.watch(conn) })
		}
	})
	return nil
}

// currentAddress returns the address that routers are configured with.
func (d *discoveryService) currentAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

// history returns all events published so far.
func (d *discoveryService) history() []discovery.Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.events)
}

// publish adds an event and sends it to all watchers that are not silenced. It calls announced with the time at which the event
// counts as announced, as soon as that time has come.
func (d *discoveryService) publish(update discovery.UpdateMessage, announced func(at time.Time)) {
	at, unreachable := d.broadcast(update)
	if !unreachable {
		announced(at)
		return
	}
	d.goroutines.Go(func() {
		const pollInterval = 50 * time.Millisecond
		for {
			select {
			case <-time.After(pollInterval):
			case <-d.done:
				return
			}
			d.mu.Lock()
			reachable := !time.Now().Before(d.unreachableUntil)
			d.mu.Unlock()
			if reachable {
				announced(time.Now())
				return
			}
		}
	})
}

// broadcast appends an event to the history and sends it to the watchers. It returns the time of sending and whether routers may
// be unable to receive events at that time.
func (d *discoveryService) broadcast(update discovery.UpdateMessage) (at time.Time, unreachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	event := discovery.Event{Revision: uint64(len(d.events) + 1), Update: &update}
	d.events = append(d.events, event)
	for conn, silent := range d.watchers {
		if !silent {
			conn.Write(platformtest.EncodeEvent(event))
		}
	}
	at = time.Now()
	return at, at.Before(d.unreachableUntil)
}

// extendUnreachable extends the time in which no event counts as announced. The caller holds mu.
func (d *discoveryService) extendUnreachable(duration time.Duration) {
	if until := time.Now().Add(duration); until.After(d.unreachableUntil) {
		d.unreachableUntil = until
	}
}

// watch serves one watch until its connection closes.
func (d *discoveryService) watch(conn net.Conn) {
	defer conn.Close()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return
	}
	var revision uint64
	fmt.Sscanf(line, "watch %d", &revision)
	select {
	case <-time.After(d.answerDelay):
	case <-d.done:
		return
	}
	d.mu.Lock()
	for _, event := range d.events[min(int(revision), len(d.events)):] {
		conn.Write(platformtest.EncodeEvent(event))
	}
	d.watchers[conn] = false
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.watchers, conn)
	}()
	for d.heartbeat(conn) {
		select {
		case <-time.After(time.Second):
		case <-d.done:
			return
		}
	}
}

// heartbeat sends the revision of the last event, unless the watch is silenced. It returns false if the connection has closed.
func (d *discoveryService) heartbeat(conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watchers[conn] {
		return true
	}
	_, err := fmt.Fprintln(conn, len(d.events))
	return err == nil
}

// takeDown closes all watches and accepts no connections until resume is called.
func (d *discoveryService) takeDown() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != nil {
		d.listener.Close()
		d.listener = nil
	}
	for conn := range d.watchers {
		conn.Close()
	}
	d.extendUnreachable(unreachableWhileDown)
}

// resume accepts connections again after takeDown.
func (d *discoveryService) resume() error {
	d.mu.Lock()
	down, address := d.listener == nil, d.address
	d.mu.Unlock()
	if !down {
		return nil
	}
	err := d.listen(address)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreachableUntil = time.Now().Add(unreachableAfterResume + d.answerDelay)
	return err
}

// silence stops all sending on the watches that are open now. A router that reconnects gets all events.
func (d *discoveryService) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.watchers {
		d.watchers[conn] = true
	}
	d.extendUnreachable(unreachableAfterSilence)
}

// move switches to a new address. The old one accepts no more connections and closes its watches after oldWatchTime.
func (d *discoveryService) move() error {
	d.mu.Lock()
	old, watchers := d.listener, make([]net.Conn, 0, len(d.watchers))
	for conn := range d.watchers {
		d.watchers[conn] = true
		watchers = append(watchers, conn)
	}
	d.extendUnreachable(unreachableAfterMove)
	d.mu.Unlock()
	if old != nil {
		old.Close()
	}
	const oldWatchTime = 1500 * time.Millisecond
	time.AfterFunc(oldWatchTime, func() {
		for _, conn := range watchers {
			conn.Close()
		}
	})
	return d.listen("127.0.0.1:0")
}

// close stops the service and waits for its goroutines.
func (d *discoveryService) close() {
	close(d.done)
	d.takeDown()
	d.goroutines.Wait()
}
