// Package platformtest provides fake peers of a router for tests: a discovery service, model servers and a client.
// They speak the platform's protocols on loopback and record what they receive and when.
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

// Deployment holds the start settings of a router that differ between tests.
type Deployment struct {
	Grace              time.Duration // time after which a draining server must not be sent anything new
	LoadsOnCommandOnly bool          // model servers load functions only on command, not when a request needs one
	Deadline           time.Duration // time after which clients give up; 0: 9 s
	SlowStart          time.Duration // how long model servers take to reach full capacity
	Routers            int           // number of routers in the fleet; 0: one
}

// settings returns the start settings, with one idempotent class, "again".
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

// Configuration returns the configuration file of a router. events is the endpoint history that the router knows when
// it starts.
func (d Deployment) Configuration(discoveryAddress string, events ...discovery.Event) string {
	known := discovery.History{Events: events}
	if len(events) > 0 {
		known.Revision = events[len(events)-1].Revision
	}
	text, err := json.Marshal(known)
	if err != nil {
		panic(err) // can't happen: only plain values
	}
	return fmt.Sprintf(`{"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "board": %q,
		"limits": {"cores": 1, "memory_mb": 64, "sockets": 256}, "known": %s, "settings": %s}`, discoveryAddress, text, d.settings())
}

// ConnPair returns the two ends of a connection, which are closed when the test ends.
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

// acceptEach serves each connection in a goroutine until the test ends, and then waits until all have ended.
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

// WaitFor waits up to 4 s for a condition that another goroutine is about to fulfil. what describes the condition for
// the failure message.
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
