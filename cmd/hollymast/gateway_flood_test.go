package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
	"hollymast/internal/rest"
)

// gatewayFlood is what the clients of a flood do, and how many there are.
type gatewayFlood struct {
	crowdBehavior
	clients int
}

const (
	fewFlooders  = 8   // each sends at full speed on one connection
	manyFlooders = 300 // all hold connections
)

var gatewayFloods = map[string]gatewayFlood{
	"gateway: health checks": {crowdBehavior{sendHTTP(func() string { return "GET /v2/health/ready HTTP/1.1\r\nHost: a\r\n\r\n" }), slowReconnect}, fewFlooders},
	"gateway: unknown calls": {crowdBehavior{sendHTTP(func() string { return "GET /none HTTP/1.1\r\nHost: a\r\n\r\n" }), slowReconnect}, fewFlooders},
	"gateway: requests for new names": {crowdBehavior{sendHTTP(func() string {
		return fmt.Sprintf("POST /v2/models/m-%d/infer HTTP/1.1\r\nHost: a\r\nContent-Length: 13\r\n\r\n{\"inputs\":[]}", rand.Uint64())
	}), slowReconnect}, fewFlooders},
	"gateway: many short fields without an end": {crowdBehavior{func(conn net.Conn, _ time.Duration) {
		var head strings.Builder
		head.WriteString("POST /v2/models/m/infer HTTP/1.1\r\nHost: a\r\n")
		for n := range 62 {
			fmt.Fprintf(&head, "%d:\r\n", n)
		}
		conn.Write([]byte(head.String()))
		readResponses(conn)
	}, quickReconnect}, manyFlooders},
	"gateway: half of a large request": {crowdBehavior{func(conn net.Conn, _ time.Duration) {
		const length = 64 << 10
		fmt.Fprintf(conn, "POST /v2/models/m/infer HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
		conn.Write(make([]byte, length/2))
		readResponses(conn)
	}, quickReconnect}, manyFlooders},
}

// sendHTTP returns a behavior that sends requests at full speed on one connection, without waiting for the responses.
func sendHTTP(encode func() string) func(net.Conn, time.Duration) {
	return func(conn net.Conn, _ time.Duration) {
		sendBatches(conn, readResponses, func(uint32) []byte { return []byte(encode()) })
	}
}

// gatewayFloodSettings is a format of settings; its argument is the endpoint list file.
const gatewayFloodSettings = `
[router]
listen = 127.0.0.1:0
list = %s
[workload quick]
start_target = 500ms
time_limit = 1s
effect = restartable
[function *]
workload = quick
lanes = 2
`

// TestGatewayFloodDelaysNobody guards against clients that send to a gateway at full speed, each on one connection, and delay the responses
// of others beyond their deadlines, or that together make it hold much memory.
func TestGatewayFloodDelaysNobody(t *testing.T) {
	useBuiltRouter(t)
	t.Setenv("GOMAXPROCS", "1")
	running := make(chan struct{}, 2) // limits concurrent floods: each keeps a core and more busy
	for _, name := range slices.Sorted(maps.Keys(gatewayFloods)) {
		t.Run(strings.TrimPrefix(name, "gateway: "), func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			floodGateway(t, name)
		})
	}
}

// floodGateway floods a gateway that has a quarter of a core, and checks what other clients see and how much memory the gateway uses.
func floodGateway(t *testing.T, name string) {
	const (
		length      = 5 * time.Second
		timeout     = time.Second
		pause       = 20 * time.Millisecond
		clients     = 4
		memoryLimit = 128 // MB; nothing limits a gateway's memory but the machine
	)
	server := fakeserver.New(fakeserver.Config{MaxReplicas: 1000, Lanes: 20, Cores: 8, ExecutionTime: time.Millisecond, QueueLimit: 200,
		LoadTime: time.Millisecond, MaxConcurrentLoads: 8, OverloadRate: 1e6, OverloadWindow: time.Second, Seed: 1},
		fakeserver.NewStore(time.Millisecond, 8), invariant.NewLog())
	if err := server.Start(false); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	endpoints := filepath.Join(t.TempDir(), "workers.ini")
	if err := os.WriteFile(endpoints, fmt.Appendf(nil, "[a]\naddress = %s\n", server.Address()), 0o600); err != nil {
		t.Fatal(err)
	}
	address, gateway := startGateway(t, fmt.Sprintf(gatewayFloodSettings, endpoints))
	defer gateway.throttle(5*time.Millisecond, 20*time.Millisecond)()
	defer startClients(t, address, name, timeout, gatewayFloods[name].clients)()
	usual := &usualClients{address: address, timeout: timeout, ends: map[string]int{}}
	end := time.Now().Add(length)
	for n := range clients {
		usual.all.Go(func() { usual.sendHTTPSteadily(fmt.Sprint("m-usual-", n), pause, end) })
	}
	peak := 0.0
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for ; time.Now().Before(end); time.Sleep(pause) {
			peak = max(peak, anonymousMemory(t, gateway.command.Process.Pid))
		}
	})
	sampling.Wait()
	usual.all.Wait()
	t.Logf("%v, longest wait %v, %.1f MB", usual.ends, usual.longest.Round(time.Millisecond), peak)
	if lost := usual.ends[endUnanswered]; lost > 0 {
		t.Errorf("%d requests were answered too late or never", lost)
	}
	const socketSlack = 50 * time.Millisecond // what the platform adds to every time limit
	if usual.longest > timeout+socketSlack {
		t.Errorf("a response came %v after its request, deadline %v", usual.longest, timeout)
	}
	if served, all := usual.ends[endServed], usual.ends[endServed]+usual.ends[endNotServed]; served < all*9/10 {
		t.Errorf("%d of %d requests were served", served, all)
	}
	if peak > memoryLimit {
		t.Errorf("the process used %.1f MB, limit %d MB", peak, memoryLimit)
	}
}

// sendHTTPSteadily sends requests one by one with a pause between them until end. It connects again when its connection ends.
func (u *usualClients) sendHTTPSteadily(model string, pause time.Duration, end time.Time) {
	for time.Now().Before(end) {
		conn, err := rest.Dial(context.Background(), u.address, &rest.DefaultLimits)
		if err != nil {
			time.Sleep(pause)
			continue
		}
		for time.Now().Before(end) && !conn.Stale() {
			request := &rest.Request{Method: "POST", Target: "/v2/models/" + model + "/infer", Header: rest.Header{"Host": {"a"}}, Body: []byte(`{"inputs":[]}`)}
			sentAt := time.Now()
			response, _, err := conn.Do(request, sentAt.Add(u.timeout+answerSlack))
			if err != nil {
				u.record(false, time.Since(sentAt), true)
				break
			}
			u.record(response.Status == 200, time.Since(sentAt), false)
			if response.Close {
				break
			}
			time.Sleep(pause)
		}
		conn.Close()
	}
}
