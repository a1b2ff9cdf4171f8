package main

import (
	"net"
	"testing"
	"time"

	"hollymast/internal/discovery"
	"hollymast/internal/platformtest"
)

// TestClosedConnectionsSendNothing guards against requests that are sent to servers after their client has closed its connection, because
// they, and the close behind them, lay unread: in the router's socket, or in the client's once the socket was full.
func TestClosedConnectionsSendNothing(t *testing.T) {
	useBuiltRouter(t)
	for _, c := range []struct {
		name     string
		requests int
		body     int
	}{
		{"one small request", 1, 0},
		{"small requests", 32, 0},
		{"large requests", 8, 16 << 10},
		{"more than a socket holds", 32, 16 << 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if late := framesAfterDeparture(t, c.requests, c.body); len(late) > 0 {
				t.Errorf("%d attempts began after their client had left, the last one %v after", len(late), late[len(late)-1])
			}
		})
	}
}

// framesAfterDeparture lets clients send requests and close their connections while the router is stalled, and has a small part of
// a core afterwards. It returns how long after
// the close the attempts of these requests began.
func framesAfterDeparture(t *testing.T, requests, body int) (late []time.Duration) {
	const (
		clients       = 8
		rounds        = 5
		timeout       = 8 * time.Second
		stall         = 300 * time.Millisecond // three times as long as an attempt may begin after its client has left
		settleTime    = 300 * time.Millisecond
		throttleTime  = time.Second
		firstFunction = 0x1000
	)
	server := platformtest.NewModelServer(t)
	events := []discovery.Event{platformtest.Event(1, "s-0", server.Address(), "ready")}
	discoveryServer := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	router := startRouter(t, platformtest.Deployment{Grace: 4 * time.Second}.Configuration(discoveryServer.Address(), events...))
	first := router.waitReady()
	for n := range clients { // loads the functions, so that attempts can begin at once
		first.SendRequest(uint64(n+1), uint64(firstFunction+n))
	}
	if served := countServed(first, clients); served != clients {
		t.Fatalf("%d of %d requests were served", served, clients)
	}
	nextRef := uint64(clients + 1)
	for range rounds {
		conns := make([]net.Conn, clients)
		for n := range conns {
			conn, err := net.Dial("tcp", router.address)
			if err != nil {
				t.Fatal(err)
			}
			conns[n] = conn
		}
		time.Sleep(settleTime)
		router.suspend()
		for n, conn := range conns {
			var messages []byte
			for number := range requests {
				messages = append(messages, encodeRequest(uint64(number+1), nextRef, uint64(firstFunction+n), "again", timeout, make([]byte, body))...)
				nextRef++
			}
			conn.Write(messages)
			conn.Close()
		}
		closedAt := time.Now()
		time.Sleep(stall)
		endThrottling := router.throttle(3*time.Millisecond, 60*time.Millisecond)
		time.Sleep(throttleTime)
		endThrottling()
		time.Sleep(settleTime)
		for _, frame := range server.Received() {
			if frame.Code == platformtest.AttemptCode && frame.At.After(closedAt) {
				late = append(late, frame.At.Sub(closedAt).Round(time.Millisecond))
			}
		}
	}
	t.Logf("%d requests of clients that left, %d sent", rounds*clients*requests, len(late))
	return late
}
