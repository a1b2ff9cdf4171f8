// Package platformtest holds fake peers of a router for tests: a discovery service, model servers and a client. They speak
// the platform's protocols on loopback and record what they receive and when.
package platformtest

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"hollymast/internal/discovery"
)

// Deployment is what tests vary of a router's start settings.
type Deployment struct {
	Grace              time.Duration // after which nothing new may go to a draining server
	LoadsOnCommandOnly bool          // model servers load on command only, not for a request
	Deadline           time.Duration // after which clients give up; 0: 9 s
	SlowStart          time.Duration // how long model servers take to reach full capacity
	Routers            int           // in the fleet; 0: one
}

// settings returns start settings with one idempotent class, "again".
func (d Deployment) settings() string {
	onMiss := "load"
	if d.LoadsOnCommandOnly {
		onMiss = "miss"
	}
	objective, deadline := 8*time.Second, cmp.Or(d.Deadline, 9*time.Second)
	return fmt.Sprintf(`{"balancers": %d, "tick": 1000, "zones": ["east"],
	"ceilings": {"cancel": true, "conn_idle": 15000000, "connect_timeout": 250000, "max_retry_after": 2000000, "retry_after": true,
		"streams_per_conn": 100, "try_limit": 3},
	"classes": [{"name": "again", "aim": %d, "hard_limit": %d, "importance": 1, "semantics": "pure", "window": 0}],
	"contract": {"stop_sending_within": %d, "cold": %d, "cold_from": 0.25, "fall": 1000000, "fall_multiple": 2},
	"customers": [{"name": "acme", "allowance_per_s": 1000}],
	"specifics": {"when_absent": %q, "linger_idle": 60000000, "order_limit": 4000000, "kind_memory_mb": [1000], "load_control": true}}`,
		max(1, d.Routers), min(objective, deadline/2).Microseconds(), deadline.Microseconds(), d.Grace.Microseconds(),
		d.SlowStart.Microseconds(), onMiss)
}

// Configuration returns a router's configuration file, with the events that it knows at its start.
func (d Deployment) Configuration(discoveryAddress string, events ...discovery.Event) string {
	known := discovery.History{Events: events}
	if len(events) > 0 {
		known.Revision = events[len(events)-1].Revision
	}
	text, err := json.Marshal(known)
	if err != nil {
		panic(err) // plain values
	}
	return fmt.Sprintf(`{"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "board": %q,
		"limits": {"cores": 1, "memory_mb": 64, "sockets": 256}, "known": %s, "settings": %s}`, discoveryAddress, text, d.settings())
}

// ConnPair returns the two ends of a connection, which is closed with the test.
func ConnPair(t testing.TB) (dialled, accepted net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if dialled, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialled.Close() })
	if accepted, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return dialled, accepted
}

// acceptEach serves each connection until the test ends, and waits for all of them to end.
func acceptEach(t testing.TB, l net.Listener, serve func(net.Conn)) {
	var mu sync.Mutex
	conns := map[net.Conn]struct{}{}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns[c] = struct{}{}
			mu.Unlock()
			all.Go(func() {
				serve(c)
				c.Close()
				mu.Lock()
				defer mu.Unlock()
				delete(conns, c)
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for c := range conns {
			c.Close()
		}
		mu.Unlock()
		all.Wait()
	})
}

// WaitFor waits for a condition that another goroutine is about to meet; what names it.
func WaitFor(t testing.TB, what string, met func() bool) {
	t.Helper()
	for range 4000 {
		if met() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("not within 4 s: %s", what)
}
