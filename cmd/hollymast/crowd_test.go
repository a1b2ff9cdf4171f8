package main

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hollymast/internal/discovery"
	"hollymast/internal/platformtest"
)

// maxOpenPerConn is the number of requests that the protocol allows a client to have open on one connection.
const maxOpenPerConn = 32

// encodeCall returns a request of a class for a random function.
func encodeCall(number int, class string, timeout time.Duration, body []byte) []byte {
	return encodeRequest(uint64(number), rand.Uint64(), rand.Uint64(), class, timeout, body)
}

// crowdBehavior is what each client of a crowd does.
type crowdBehavior struct {
	behave         func(conn net.Conn, timeout time.Duration) // on one connection, until it ends
	reconnectAfter time.Duration                              // pause before the next connection
}

const (
	// quickReconnect is the pause of a client that connects again almost at once; slowReconnect keeps the rate of
	// connections that end by themselves below what one core can accept.
	quickReconnect, slowReconnect = 10 * time.Millisecond, 200 * time.Millisecond
	// fewOpen is a number of open requests with which the bodies of a crowd fit into the router's memory.
	fewOpen = 4
)

var crowdBehaviors = map[string]crowdBehavior{
	"many open requests": {func(conn net.Conn, timeout time.Duration) {
		keepOpen(conn, maxOpenPerConn, "again", timeout, []byte{})
	}, quickReconnect},
	"large bodies": {func(conn net.Conn, timeout time.Duration) {
		keepOpen(conn, fewOpen, "again", timeout, make([]byte, 16<<10))
	}, quickReconnect},
	"invalid requests": {func(conn net.Conn, timeout time.Duration) {
		keepOpen(conn, maxOpenPerConn, "unknown", timeout, []byte{})
	}, quickReconnect},
	"flood of invalid requests": {func(conn net.Conn, timeout time.Duration) {
		go io.Copy(io.Discard, conn)
		for number, err := 1, error(nil); err == nil; number++ {
			_, err = conn.Write(encodeCall(number, "unknown", timeout, []byte{}))
		}
	}, quickReconnect},
	"silence":       {func(conn net.Conn, _ time.Duration) { io.Copy(io.Discard, conn) }, quickReconnect},
	"health checks": {checkHealthRepeatedly, quickReconnect},
	"half a message": {func(conn net.Conn, _ time.Duration) {
		conn.Write([]byte{0x94, 0, 1})
		io.Copy(io.Discard, conn)
	}, quickReconnect},
	"unreadable messages": {func(conn net.Conn, _ time.Duration) {
		conn.Write([]byte{0xc1})
		io.Copy(io.Discard, conn)
	}, quickReconnect},
	"close after a request": {func(conn net.Conn, timeout time.Duration) {
		conn.Write(encodeCall(1, "again", timeout, []byte{}))
	}, slowReconnect},
}

// keepOpen keeps a number of requests open on a connection until the connection ends: it asks again as soon as it has an
// answer.
func keepOpen(conn net.Conn, limit int, class string, timeout time.Duration, body []byte) {
	open := make(chan struct{}, limit)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for answers := msgpack.NewDecoder(conn); ; <-open {
			if _, err := answers.DecodeSlice(); err != nil {
				return
			}
		}
	}()
	for number := 1; ; number++ {
		select {
		case open <- struct{}{}:
		case <-ended:
			return
		}
		if _, err := conn.Write(encodeCall(number, class, timeout, body)); err != nil {
			return
		}
	}
}

// checkHealthRepeatedly checks the router's health again as soon as it has the answer, until the connection ends.
func checkHealthRepeatedly(conn net.Conn, _ time.Duration) {
	answers := msgpack.NewDecoder(conn)
	for number := 1; ; number++ {
		text, err := msgpack.Marshal([]any{0, number, "isWell", []any{map[string]string{}}})
		if err != nil {
			panic(err) // can't happen for these types
		}
		conn.Write(text)
		if _, err := answers.DecodeSlice(); err != nil {
			return
		}
	}
}

// Environment variables that make the test program run as a crowd: the router's address, the behavior and the timeout of requests.
// A crowd in the process of the test would delay the clients whose answers are timed.
const (
	crowdAddressEnv  = "HOLLYMAST_TEST_CROWD_ADDRESS"
	crowdBehaviorEnv = "HOLLYMAST_TEST_CROWD_BEHAVIOR"
	crowdTimeoutEnv  = "HOLLYMAST_TEST_CROWD_TIMEOUT"
	crowdSizeEnv     = "HOLLYMAST_TEST_CROWD_SIZE"
)

// crowdSize is the number of clients of a crowd. The router has connections for 128.
const crowdSize = 400

// runCrowd runs clients with one behavior, which connect again as soon as their connection ends, until the process is killed.
func runCrowd(address string, behavior crowdBehavior, timeout time.Duration, size int) {
	const dialTimeout = 2 * time.Second
	var clients sync.WaitGroup
	for range size {
		clients.Go(func() {
			for ; ; time.Sleep(behavior.reconnectAfter) {
				if conn, err := net.DialTimeout("tcp", address, dialTimeout); err == nil {
					behavior.behave(conn, timeout)
					conn.Close()
				}
			}
		})
	}
	clients.Wait()
}

// runCrowdFromEnv runs a crowd if the environment asks for one.
func runCrowdFromEnv() {
	address := os.Getenv(crowdAddressEnv)
	if address == "" {
		return
	}
	timeout, err := time.ParseDuration(os.Getenv(crowdTimeoutEnv))
	if err != nil {
		panic(err) // only startClients sets it
	}
	size, err := strconv.Atoi(os.Getenv(crowdSizeEnv))
	if err != nil {
		panic(err)
	}
	name := os.Getenv(crowdBehaviorEnv)
	behaviors := map[string]crowdBehavior{connectionFlood: {checkHealthOnce, 0}}
	for _, more := range []map[string]crowdBehavior{crowdBehaviors, floodBehaviors, memoryBehaviors} {
		maps.Copy(behaviors, more)
	}
	for name, flood := range gatewayFloods {
		behaviors[name] = flood.crowdBehavior
	}
	runCrowd(address, behaviors[name], timeout, size)
}

// startCrowd starts a crowd in a process of its own, which ends when end is called.
func startCrowd(t *testing.T, address, behavior string, timeout time.Duration) (end func()) {
	t.Helper()
	return startClients(t, address, behavior, timeout, crowdSize)
}

// startClients starts a number of clients with one behavior in a process of their own, which ends when end is called.
func startClients(t *testing.T, address, behavior string, timeout time.Duration, size int) (end func()) {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), crowdAddressEnv+"="+address, crowdBehaviorEnv+"="+behavior, crowdTimeoutEnv+"="+timeout.String(),
		crowdSizeEnv+"="+strconv.Itoa(size), "GOMAXPROCS=2")
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	return func() {
		command.Process.Kill()
		command.Wait()
	}
}

// newcomerRequests is the number of requests that a newcomer sends.
const newcomerRequests = 2

// newcomers are well-behaved clients that each open a connection, send two requests on it and wait for both answers.
type newcomers struct {
	address string
	timeout time.Duration
	mu      sync.Mutex
	ends    map[string]int // number of requests by how they ended
	all     sync.WaitGroup
}

// The ends of a newcomer's request. A page of the platform excuses the first request on a connection that closes without an
// answer, and any request that crosses a close.
const (
	endAnswered = "answered"
	endExcused  = "excused"
	endLate     = "lost: no answer in time"
	endUnread   = "lost: its connection was closed"
)

// connect lets one client connect and send its requests.
func (n *newcomers) connect() {
	const answerSlack = 550 * time.Millisecond // until then an answer that comes too late still counts as one
	conn, err := net.Dial("tcp", n.address)
	if err != nil {
		return
	}
	n.all.Go(func() {
		defer conn.Close()
		for number := 1; number <= newcomerRequests; number++ {
			if _, err := conn.Write(encodeCall(number, "again", n.timeout, []byte("body"))); err != nil {
				return
			}
		}
		sentAt := time.Now()
		conn.SetReadDeadline(sentAt.Add(n.timeout + answerSlack))
		answers := msgpack.NewDecoder(conn)
		for answered := range newcomerRequests {
			if _, err := answers.DecodeSlice(); err != nil {
				n.recordUnanswered(newcomerRequests-answered, time.Since(sentAt))
				return
			}
			n.record(endAnswered)
		}
	})
}

// recordUnanswered records requests that were sent on one connection a time ago and have no answer.
func (n *newcomers) recordUnanswered(unanswered int, age time.Duration) {
	for number := newcomerRequests - unanswered + 1; number <= newcomerRequests; number++ {
		switch {
		case age >= n.timeout:
			n.record(endLate)
		case number == 1 || age <= resendWindow:
			n.record(endExcused)
		default:
			n.record(endUnread)
		}
	}
}

func (n *newcomers) record(end string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends[end]++
}

// TestCrowdLeavesNothingUnread guards against requests that stay unread in the accept queue, or on a connection that the router
// closes, while more clients connect than it has connections for: until their clients give up, or until it closes its listener
// after SIGTERM.
func TestCrowdLeavesNothingUnread(t *testing.T) {
	useBuiltRouter(t)
	running := make(chan struct{}, 2) // limits concurrent crowds: each keeps a core and more busy
	for _, behavior := range slices.Sorted(maps.Keys(crowdBehaviors)) {
		for _, deadline := range []time.Duration{500 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%s, deadline %v", behavior, deadline), func(t *testing.T) {
				t.Parallel()
				running <- struct{}{}
				defer func() { <-running }()
				ends := restartBesideCrowd(t, deadline, behavior)
				t.Logf("%v", ends)
				if lost := ends[endLate] + ends[endUnread]; lost > 0 {
					t.Errorf("%d requests were lost", lost)
				}
				if ends[endAnswered] == 0 {
					t.Error("no request was answered")
				}
			})
		}
	}
}

// useBuiltRouter makes the test run a router built without the race detector, which would need ten times the CPU time for a crowd, unless
// routerBinaryEnv names another.
func useBuiltRouter(t *testing.T) {
	t.Helper()
	if os.Getenv(routerBinaryEnv) != "" {
		return
	}
	file := filepath.Join(t.TempDir(), "hollymast")
	if output, err := exec.Command("go", "build", "-o", file, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, output)
	}
	t.Setenv(routerBinaryEnv, file)
}

// restartBesideCrowd plays a planned restart of a router that has a crowd of clients, and returns how the requests of its newcomers
// ended.
func restartBesideCrowd(t *testing.T, deadline time.Duration, behavior string) map[string]int {
	const (
		connectEvery = 40 * time.Millisecond
		crowdBefore  = time.Second            // before SIGTERM
		connectFor   = 400 * time.Millisecond // after SIGTERM
		killSlack    = 700 * time.Millisecond // the kill comes this and the longest deadline after SIGTERM
	)
	server := platformtest.NewModelServer(t)
	events := []discovery.Event{platformtest.Event(1, "s-0", server.Address(), "ready")}
	discoveryServer := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	router := startRouter(t, platformtest.Deployment{Grace: gracePeriod, Deadline: deadline}.Configuration(discoveryServer.Address(), events...))
	router.waitReady()
	defer startCrowd(t, router.address, behavior, deadline)()
	clients := &newcomers{address: router.address, timeout: deadline, ends: map[string]int{}}
	connectUntil := func(end time.Time) {
		for time.Now().Before(end) {
			clients.connect()
			time.Sleep(connectEvery)
		}
	}
	connectUntil(time.Now().Add(crowdBefore))
	stoppedAt := time.Now()
	router.signal(syscall.SIGTERM)
	connectUntil(stoppedAt.Add(connectFor))
	select {
	case <-router.ended:
	case <-time.After(time.Until(stoppedAt.Add(killSlack + deadline))):
		router.command.Process.Kill()
	}
	clients.all.Wait()
	return clients.ends
}
