package main

import (
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"hollymast/internal/discovery"
	"hollymast/internal/platformtest"
)

// maxBody is the size of the largest body that the protocol allows.
const maxBody = 16 << 10

// memoryBehaviors are what each client of a crowd does to make the router hold memory.
var memoryBehaviors = map[string]crowdBehavior{
	"half of a large request": {func(conn net.Conn, timeout time.Duration) {
		message := encodeCall(1, "again", timeout, make([]byte, maxBody))
		conn.Write(message[:len(message)/2])
		readResponses(conn)
	}, quickReconnect},
	"large requests in small pieces": {func(conn net.Conn, timeout time.Duration) {
		go readResponses(conn)
		for number := 1; ; number++ {
			for piece := range slices.Chunk(encodeCall(number, "again", timeout, make([]byte, maxBody)), 256) {
				if _, err := conn.Write(piece); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	}, quickReconnect},
	"fields without an end": {func(conn net.Conn, _ time.Duration) {
		const fields, valueLength = 32, 1 << 10
		values := map[string]string{}
		for n := range fields {
			values[fmt.Sprint("field-", n)] = strings.Repeat("x", valueLength)
		}
		message := mustEncode([]any{0, 1, "isWell", []any{values}})
		conn.Write(message[:len(message)-1])
		readResponses(conn)
	}, quickReconnect},
	"very many short fields": {func(conn net.Conn, _ time.Duration) {
		const fields = 60_000
		values := map[string]string{}
		for n := range fields {
			values[strconv.Itoa(n)] = ""
		}
		conn.Write(mustEncode([]any{0, 1, "isWell", []any{values}}))
		readResponses(conn)
	}, quickReconnect},
	"many large requests": {func(conn net.Conn, timeout time.Duration) {
		keepOpen(conn, maxOpenPerConn, "again", timeout, make([]byte, maxBody))
	}, quickReconnect},
	"unread large responses": {func(conn net.Conn, timeout time.Duration) {
		for number := 1; ; number++ {
			if _, err := conn.Write(encodeRequest(uint64(number), uint64(time.Now().UnixNano()), 1, "again", timeout, make([]byte, maxBody))); err != nil {
				return
			}
		}
	}, quickReconnect},
}

// anonymousMemory returns the memory of a process that is not mapped from files, in MB.
func anonymousMemory(t *testing.T, pid int) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, field, _ := strings.Cut(string(status), "RssAnon:")
	kb, err := strconv.Atoi(strings.Fields(field)[0])
	if err != nil {
		t.Fatal(err)
	}
	return float64(kb) / 1024
}

// TestCrowdStaysWithinMemory guards against hundreds of clients that together make the process hold more memory than it is granted.
func TestCrowdStaysWithinMemory(t *testing.T) {
	useBuiltRouter(t)
	running := make(chan struct{}, 2) // limits concurrent crowds: each keeps a core and more busy
	for _, behavior := range slices.Sorted(maps.Keys(memoryBehaviors)) {
		t.Run(behavior, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			const limit = 64 // MB
			if peak := memoryBesideCrowd(t, behavior); peak > limit {
				t.Errorf("the process used %.1f MB, limit %d MB", peak, limit)
			}
		})
	}
}

// memoryBesideCrowd lets a crowd use a router's connections up, and returns the most memory that the router used, in MB.
func memoryBesideCrowd(t *testing.T, behavior string) (peak float64) {
	const (
		clients        = 300
		length         = 5 * time.Second
		timeout        = 3 * time.Second
		sampleInterval = 10 * time.Millisecond
	)
	server := platformtest.NewModelServer(t)
	events := []discovery.Event{platformtest.Event(1, "s-0", server.Address(), "ready")}
	discoveryServer := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	configuration := platformtest.Deployment{Grace: gracePeriod, Deadline: timeout}.Configuration(discoveryServer.Address(), events...)
	router := startRouter(t, strings.Replace(configuration, `"sockets": 256`, `"sockets": 384`, 1))
	router.waitReady()
	usual := &usualClients{address: router.address, timeout: timeout, ends: map[string]int{}}
	end := time.Now().Add(length)
	usual.all.Go(func() { usual.sendSteadily(1, 20*time.Millisecond, end) })
	defer startClients(t, router.address, behavior, timeout, clients)()
	for time.Now().Before(end) {
		peak = max(peak, anonymousMemory(t, router.command.Process.Pid))
		time.Sleep(sampleInterval)
	}
	usual.all.Wait()
	router.signal(syscall.SIGTERM) // it logs its state
	<-router.ended
	t.Logf("%s", router.lastState)
	if lost := usual.ends[endUnanswered]; lost > 0 {
		t.Errorf("%d usual requests were answered too late or never", lost)
	}
	t.Logf("%.1f MB; usual requests: %v, longest wait %v", peak, usual.ends, usual.longest.Round(time.Millisecond))
	return peak
}
