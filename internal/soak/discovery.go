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

// discoveryService tells routers the endpoint list, by the platform's protocol, and can break off, fall silent and move.
type discoveryService struct {
	mu       sync.Mutex
	listener net.Listener // nil: down
	address  string
	events   []discovery.Event
	watchers map[net.Conn]bool // value: silent
	// While routers can't be told what happens, it does not count as announced; zero: they can.
	blindUntil time.Time
	goes       sync.WaitGroup
	ended      chan struct{}
}

// For how long what happens does not count as announced, by the platform's pages: after watches fell silent, after the
// address moved, and, longer than any router waits to ask again, after discovery has resumed.
const (
	blindAfterSilence = 4 * time.Second
	blindAfterMove    = 4 * time.Second
	blindAfterResume  = 2 * time.Second
	blindWhileDown    = time.Hour
)

func newDiscoveryService() (*discoveryService, error) {
	d := &discoveryService{watchers: map[net.Conn]bool{}, ended: make(chan struct{})}
	return d, d.listen("127.0.0.1:0")
}

// listen starts to accept at an address.
func (d *discoveryService) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.listener, d.address = l, l.Addr().String()
	d.mu.Unlock()
	d.goes.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			d.goes.Go(func() { d.watch(conn) })
		}
	})
	return nil
}

// currentAddress returns the address that routers are told.
func (d *discoveryService) currentAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address
}

// history returns all events so far.
func (d *discoveryService) history() []discovery.Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.events)
}

// publish adds an event and tells it to the watchers that are not silent. announced is called with the time from which the
// event counts as announced, once that has come.
func (d *discoveryService) publish(update discovery.UpdateMessage, announced func(at time.Time)) {
	at, blind := d.send(update)
	if !blind {
		announced(at)
		return
	}
	d.goes.Go(func() {
		const poll = 50 * time.Millisecond
		for {
			select {
			case <-time.After(poll):
			case <-d.ended:
				return
			}
			d.mu.Lock()
			over := !time.Now().Before(d.blindUntil)
			d.mu.Unlock()
			if over {
				announced(time.Now())
				return
			}
		}
	})
}

// send adds an event and writes it. It returns when, and whether routers may not be told yet.
func (d *discoveryService) send(update discovery.UpdateMessage) (at time.Time, blind bool) {
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
	return at, at.Before(d.blindUntil)
}

// blindFor extends the time in which nothing counts as announced. The lock is held.
func (d *discoveryService) blindFor(span time.Duration) {
	if until := time.Now().Add(span); until.After(d.blindUntil) {
		d.blindUntil = until
	}
}

// watch serves one watch until its connection ends.
func (d *discoveryService) watch(conn net.Conn) {
	defer conn.Close()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return
	}
	var revision uint64
	fmt.Sscanf(line, "watch %d", &revision)
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
		case <-d.ended:
			return
		}
	}
}

// heartbeat writes the number of the last event; false: the connection has ended.
func (d *discoveryService) heartbeat(conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watchers[conn] {
		return true
	}
	_, err := fmt.Fprintln(conn, len(d.events))
	return err == nil
}

// breakOff closes all watches and accepts none until resume.
func (d *discoveryService) breakOff() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != nil {
		d.listener.Close()
		d.listener = nil
	}
	for conn := range d.watchers {
		conn.Close()
	}
	d.blindFor(blindWhileDown)
}

// resume accepts again after breakOff.
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
	d.blindUntil = time.Now().Add(blindAfterResume)
	return err
}

// silence has the open watches fall silent for good; a router that asks again is told all.
func (d *discoveryService) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.watchers {
		d.watchers[conn] = true
	}
	d.blindFor(blindAfterSilence)
}

// move opens another address. The old one accepts nothing more and closes its watches after oldWatchTime.
func (d *discoveryService) move() error {
	d.mu.Lock()
	old, watchers := d.listener, make([]net.Conn, 0, len(d.watchers))
	for conn := range d.watchers {
		d.watchers[conn] = true
		watchers = append(watchers, conn)
	}
	d.blindFor(blindAfterMove)
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

// close ends the service.
func (d *discoveryService) close() {
	close(d.ended)
	d.breakOff()
	d.goes.Wait()
}
