package main

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hollymast/internal/discovery"
	"hollymast/internal/platformtest"
)

// floodBehaviors are what each client of a flood does: it sends at full speed on one connection, until that ends.
var floodBehaviors = map[string]crowdBehavior{
	"flood of health checks":         {sendHealthChecks(readResponses), slowReconnect},
	"flood of unread health checks":  {sendHealthChecks(leaveUnread), slowReconnect},
	"flood of cancelled requests":    {sendCancelledRequests([]byte{}), slowReconnect},
	"flood of cancelled bodies":      {sendCancelledRequests(make([]byte, 16<<10)), slowReconnect},
	"flood of cancellations":         {sendCancellations, slowReconnect},
	"flood of requests beyond limit": {sendRequestsBeyondLimit, slowReconnect},
	"flood of unknown classes":       {crowdBehaviors["flood of invalid requests"].behave, slowReconnect},
	"flood of single bytes":          {sendSingleBytes, slowReconnect},
	"flood of many fields":           {sendManyFields, slowReconnect},
	"requests for new functions":     {keepRequestsOpen, slowReconnect},
}

// connectionFlood opens connections at full speed, sends one health check on each and closes it.
const connectionFlood = "flood of connections"

// responseReader is what a client does with the responses that it gets.
type responseReader func(conn net.Conn)

func readResponses(conn net.Conn) { io.Copy(io.Discard, conn) }

// leaveUnread reads nothing.
func leaveUnread(net.Conn) {}

// messagesPerWrite is the number of messages that a flooding client sends at a time.
const messagesPerWrite = 64

// sendBatches sends messages at full speed until the connection ends. encode returns the nth message, from 1.
func sendBatches(conn net.Conn, read responseReader, encode func(number uint32) []byte) {
	go read(conn)
	for number := uint32(1); ; {
		var batch []byte
		for range messagesPerWrite {
			batch = append(batch, encode(number)...)
			number++
		}
		if _, err := conn.Write(batch); err != nil {
			return
		}
	}
}

// mustEncode returns a message in the encoding of the clients' protocol.
func mustEncode(message []any) []byte {
	text, err := msgpack.Marshal(message)
	if err != nil {
		panic(err) // can't happen for the types of messages
	}
	return text
}

func sendHealthChecks(read responseReader) func(net.Conn, time.Duration) {
	return func(conn net.Conn, _ time.Duration) {
		sendBatches(conn, read, func(number uint32) []byte {
			return mustEncode([]any{0, number, "isWell", []any{map[string]string{}}})
		})
	}
}

func encodeCancellation(number uint32) []byte { return mustEncode([]any{2, "forget", []any{number}}) }

// sendCancelledRequests sends requests for ever new functions and cancels each at once.
func sendCancelledRequests(body []byte) func(net.Conn, time.Duration) {
	return func(conn net.Conn, timeout time.Duration) {
		sendBatches(conn, readResponses, func(number uint32) []byte {
			return append(encodeCall(int(number), "again", timeout, body), encodeCancellation(number)...)
		})
	}
}

// sendCancellations cancels requests that were never sent.
func sendCancellations(conn net.Conn, _ time.Duration) {
	sendBatches(conn, readResponses, encodeCancellation)
}

// sendRequestsBeyondLimit sends requests for ever new functions without regard to how many are open.
func sendRequestsBeyondLimit(conn net.Conn, timeout time.Duration) {
	sendBatches(conn, readResponses, func(number uint32) []byte { return encodeCall(int(number), "again", timeout, []byte{}) })
}

// sendSingleBytes sends requests byte by byte.
func sendSingleBytes(conn net.Conn, timeout time.Duration) {
	go readResponses(conn)
	for number := 1; ; number++ {
		for _, b := range encodeCall(number, "again", timeout, []byte{}) {
			if _, err := conn.Write([]byte{b}); err != nil {
				return
			}
		}
	}
}

// checkHealthOnce sends one health check and closes the connection without waiting for the response.
func checkHealthOnce(conn net.Conn, _ time.Duration) {
	conn.Write(mustEncode([]any{0, 1, "isWell", []any{map[string]string{}}}))
}

// sendManyFields sends health checks with as many and as long fields as the router reads.
func sendManyFields(conn net.Conn, _ time.Duration) {
	const fields, valueLength = 32, 1 << 10
	values := map[string]string{}
	for n := range fields {
		values[fmt.Sprint("field-", n)] = strings.Repeat("x", valueLength)
	}
	sendBatches(conn, readResponses, func(number uint32) []byte { return mustEncode([]any{0, number, "isWell", []any{values}}) })
}

// keepRequestsOpen keeps as many requests for ever new functions open as the protocol allows.
func keepRequestsOpen(conn net.Conn, timeout time.Duration) {
	keepOpen(conn, maxOpenPerConn, "again", timeout, []byte{})
}

// usualClients measure how long well-behaved clients wait for responses.
type usualClients struct {
	address string
	timeout time.Duration
	mu      sync.Mutex
	ends    map[string]int // number of requests by how they ended
	longest time.Duration  // wait for a response
	all     sync.WaitGroup
}

// usualConn is one connection of a usual client.
type usualConn struct {
	clients *usualClients
	conn    net.Conn
	mu      sync.Mutex
	sentAt  map[uint32]time.Time // by number, of the requests without a response
	closed  chan struct{}        // closed when the router has closed the connection
}

// answerSlack is how long after its client's deadline a response still counts as one.
const answerSlack = 550 * time.Millisecond

// sendSteadily sends requests with a pause between them until end, and waits for the responses. It connects again when the router closes its
// connection.
func (u *usualClients) sendSteadily(firstFunction uint64, pause time.Duration, end time.Time) {
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", u.address)
		if err != nil {
			time.Sleep(pause)
			continue
		}
		c := &usualConn{clients: u, conn: conn, sentAt: map[uint32]time.Time{}, closed: make(chan struct{})}
		var reading sync.WaitGroup
		reading.Go(c.readResponses)
		c.sendRequests(firstFunction, pause, end)
		conn.Close()
		reading.Wait()
	}
}

// sendRequests sends requests until end or until the connection is closed, and waits for the responses.
func (c *usualConn) sendRequests(firstFunction uint64, pause time.Duration, end time.Time) {
	const functions = 4
	for number := uint32(1); time.Now().Before(end); number++ {
		c.mu.Lock()
		c.sentAt[number] = time.Now()
		c.mu.Unlock()
		c.conn.Write(encodeRequest(uint64(number), rand.Uint64(), firstFunction+uint64(number%functions), "again", c.clients.timeout, []byte("body")))
		select {
		case <-c.closed:
			return
		case <-time.After(pause):
		}
	}
	select {
	case <-c.closed:
	case <-time.After(c.clients.timeout + 2*answerSlack):
	}
}

// readResponses records the responses and, when the connection ends, the requests that have none.
func (c *usualConn) readResponses() {
	defer close(c.closed)
	for responses := msgpack.NewDecoder(c.conn); ; {
		response, err := responses.DecodeSlice()
		if err != nil {
			c.recordUnanswered(time.Now())
			return
		}
		var number uint32
		fmt.Sscan(fmt.Sprint(response[1]), &number)
		c.mu.Lock()
		wait := time.Since(c.sentAt[number])
		delete(c.sentAt, number)
		c.mu.Unlock()
		c.clients.record(response[2] == nil, wait, wait > c.clients.timeout+answerSlack)
	}
}

// recordUnanswered records the requests without a response as lost, unless all of them crossed the close of an idle connection: then the
// client may send them again.
func (c *usualConn) recordUnanswered(closedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sentAt := range c.sentAt {
		if closedAt.Sub(sentAt) > resendWindow {
			for range c.sentAt {
				c.clients.record(false, 0, true)
			}
			return
		}
	}
}

// The ends of a request of a usual client.
const (
	endServed     = "served"
	endNotServed  = "refused or failed"
	endUnanswered = "lost: late or unanswered"
)

func (u *usualClients) record(served bool, wait time.Duration, lost bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.longest = max(u.longest, wait)
	switch {
	case lost:
		u.ends[endUnanswered]++
	case served:
		u.ends[endServed]++
	default:
		u.ends[endNotServed]++
	}
}

// TestFloodOnOneConnectionDelaysNobody guards against clients that send at full speed, each on one connection, and delay the responses of
// other clients beyond their deadlines, or take the process over its memory limit.
func TestFloodOnOneConnectionDelaysNobody(t *testing.T) {
	useBuiltRouter(t)
	running := make(chan struct{}, 2) // limits concurrent floods: each keeps a core and more busy
	for _, behavior := range slices.Sorted(maps.Keys(floodBehaviors)) {
		t.Run(behavior, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			floodBesideClients(t, behavior)
		})
	}
}

// TestConnectionFloodDelaysNobody guards against clients that open and close connections at full speed and delay the responses of
// others beyond their deadlines.
func TestConnectionFloodDelaysNobody(t *testing.T) {
	useBuiltRouter(t)
	floodBesideClients(t, connectionFlood)
}

// floodBesideClients floods a router that has a quarter of a core, and checks what other clients see and how much memory the router uses.
func floodBesideClients(t *testing.T, behavior string) {
	const (
		flooders    = 8
		floodLength = 5 * time.Second
		timeout     = time.Second // the operators' reports have 0.84 to 1.18 s
		pause       = 20 * time.Millisecond
		memoryLimit = 64 // MB, as in the configuration
		newcomers   = 10
	)
	server := platformtest.NewModelServer(t)
	events := []discovery.Event{platformtest.Event(1, "s-0", server.Address(), "ready")}
	discoveryServer := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, events...)
	router := startRouter(t, platformtest.Deployment{Grace: gracePeriod, Deadline: timeout}.Configuration(discoveryServer.Address(), events...))
	router.waitReady()
	defer router.throttle(5*time.Millisecond, 20*time.Millisecond)()
	clients := &usualClients{address: router.address, timeout: timeout, ends: map[string]int{}}
	begin := time.Now()
	end := begin.Add(floodLength)
	for n := range uint64(2) {
		clients.all.Go(func() { clients.sendSteadily(n, pause, end) })
	}
	time.Sleep(floodLength / newcomers)
	endFlood := startClients(t, router.address, behavior, timeout, flooders)
	for n := range uint64(newcomers) {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * floodLength / newcomers)))
		clients.all.Go(func() { clients.sendSteadily(n, 5*pause, time.Now().Add(floodLength/newcomers)) })
	}
	clients.all.Wait()
	endFlood()
	var usage resourceUsage
	usage.measure(t, router.command.Process.Pid)
	router.signal(syscall.SIGTERM) // it logs its state
	<-router.ended
	t.Logf("%s", router.lastState)
	t.Logf("%v, longest wait %v, %.1f MB", clients.ends, clients.longest.Round(time.Millisecond), usage.memory)
	if lost := clients.ends[endUnanswered]; lost > 0 {
		t.Errorf("%d requests were answered too late or never", lost)
	}
	if served, all := clients.ends[endServed], clients.ends[endServed]+clients.ends[endNotServed]; served < all/2 {
		t.Errorf("%d of %d requests were served", served, all)
	}
	if usage.memory > memoryLimit {
		t.Errorf("the process used %.1f MB, limit %d MB", usage.memory, memoryLimit)
	}
}
