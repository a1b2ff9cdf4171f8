// Package platformtest holds fake peers of a router for tests: a discovery service, model servers and a client. They speak
// the platform's protocols on loopback and record what they receive and when.
package platformtest

import (
	"bufio"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

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

// Event returns a discovery event about one server. The first lists all servers.
func Event(rev uint64, uid, address, state string) discovery.Event {
	return discovery.Event{Revision: rev, Update: &discovery.UpdateMessage{All: rev == 1, Targets: []discovery.EndpointMessage{
		{UID: uid, Endpoint: address, Zone: "east", Weight: 4, State: state}}}}
}

// Line returns an event as a discovery service writes it.
func Line(e discovery.Event) []byte {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // plain values
	}
	return append(text, '\n')
}

// Discovery is a fake discovery service. It sends each watcher the events that it subscribes to, and a heartbeat each
// second.
type Discovery struct {
	listener      net.Listener
	mu            sync.Mutex
	events        []discovery.Event
	watchers      map[net.Conn]struct{}
	subscriptions []time.Time
	written       int64 // bytes, to all watchers
	ended         chan struct{}
	script        func(c net.Conn, nth int) (handled bool)
}

// NewDiscovery starts a discovery service that ends with the test. script, if not nil, is called first with the nth watch,
// counted from 1.
func NewDiscovery(t testing.TB, address string, script func(c net.Conn, nth int) (handled bool), events ...discovery.Event) *Discovery {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	d := &Discovery{listener: l, events: events, watchers: map[net.Conn]struct{}{}, ended: make(chan struct{}), script: script}
	acceptEach(t, l, d.watch)
	t.Cleanup(func() { close(d.ended) }) // before the connections are waited for
	return d
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

// Address returns the address that it listens on.
func (d *Discovery) Address() string { return d.listener.Addr().String() }

// Subscriptions returns the time of each subscription.
func (d *Discovery) Subscriptions() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.subscriptions)
}

// Publish adds an event and writes it to all watchers. It returns the time from which the event counts as announced.
func (d *Discovery) Publish(e discovery.Event) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, e)
	announced := time.Now()
	for c := range d.watchers {
		d.write(c, Line(e))
	}
	return announced
}

// write writes to a watcher. The lock is held.
func (d *Discovery) write(c net.Conn, text []byte) error {
	n, err := c.Write(text)
	d.written += int64(n)
	return err
}

// Written returns how many bytes it wrote to all watchers.
func (d *Discovery) Written() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.written
}

func (d *Discovery) watch(c net.Conn) {
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return
	}
	var revision uint64 // of the last event that the watcher has
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
			d.write(c, Line(e))
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

func (d *Discovery) heartbeat(c net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var last uint64
	if n := len(d.events); n > 0 {
		last = d.events[n-1].Revision
	}
	return d.write(c, fmt.Appendln(nil, last)) == nil
}

// The codes of frames to model servers.
const (
	AttemptCode = 65
	LoadCode    = 69
	codeOK      = 97 // of their answers
)

// Received is one frame as a model server received it.
type Received struct {
	Code   byte
	At     time.Time // of its first byte
	Fields string
}

// ModelServer is a fake model server: it has everything loaded and answers each attempt with its body.
type ModelServer struct {
	listener net.Listener
	mu       sync.Mutex
	received []Received
	accepted int
	held     []func()                        // write the answers that wait
	hold     func(frame []byte) (now []byte) // the part of an answer that is written at once; nil: all
}

// NewModelServer starts a model server that ends with the test.
func NewModelServer(t testing.TB) *ModelServer { return NewModelServerAt(t, "127.0.0.1:0") }

// NewModelServerAt starts a model server at an address; at 0.0.0.0 it serves all addresses 127.x.y.z, as many servers.
func NewModelServerAt(t testing.TB, address string) *ModelServer {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := &ModelServer{listener: l}
	acceptEach(t, l, s.serve)
	return s
}

// Address returns the address that it listens on.
func (s *ModelServer) Address() string { return s.listener.Addr().String() }

// Accepted returns the number of connections so far.
func (s *ModelServer) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Received returns the frames so far.
func (s *ModelServer) Received() []Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// Hold makes answers wait until Release.
func (s *ModelServer) Hold() { s.holdBack(func([]byte) []byte { return nil }) }

// HoldHalf makes the second half of answers wait until Release.
func (s *ModelServer) HoldHalf() {
	s.holdBack(func(frame []byte) []byte { return frame[:len(frame)/2] })
}

func (s *ModelServer) holdBack(hold func(frame []byte) (now []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = hold
}

// Release writes all that waits.
func (s *ModelServer) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = nil
	for _, answer := range s.held {
		answer()
	}
	s.held = nil
}

func (s *ModelServer) answer(c net.Conn, frame []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hold != nil {
		now := s.hold(frame)
		c.Write(now)
		s.held = append(s.held, func() { c.Write(frame[len(now):]) })
		return
	}
	c.Write(frame)
}

func (s *ModelServer) serve(c net.Conn) {
	s.mu.Lock()
	s.accepted++
	s.mu.Unlock()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := time.Now()
		f, err := ReadFrame(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.received = append(s.received, Received{f.Code, at, f.Fields})
		s.mu.Unlock()
		switch f.Code {
		case AttemptCode:
			s.answer(c, AnswerFrame(codeOK, f.ID, "remark=resident", f.Body))
		case LoadCode:
			replicas := "1"
			for field := range strings.SplitSeq(f.Fields, ",") {
				if value, ok := strings.CutPrefix(field, "pods="); ok {
					replicas = value
				}
			}
			s.answer(c, AnswerFrame(codeOK, f.ID, "pods="+replicas, nil))
		}
	}
}

// Frame is one frame to a model server.
type Frame struct {
	Code   byte
	ID     uint64
	Fields string
	Body   []byte
}

// ReadFrame reads one frame.
func ReadFrame(in io.Reader) (f Frame, err error) {
	const checksum = 4 // bytes behind the body
	var head [16]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return f, err
	}
	fields := int(binary.BigEndian.Uint16(head[2:]))
	rest := make([]byte, fields+int(binary.BigEndian.Uint32(head[4:]))+checksum)
	if _, err := io.ReadFull(in, rest); err != nil {
		return f, err
	}
	return Frame{head[1], binary.BigEndian.Uint64(head[8:]), string(rest[:fields]), rest[fields : len(rest)-checksum]}, nil
}

// AnswerFrame returns a model server's answer.
func AnswerFrame(code byte, id uint64, fields string, body []byte) []byte {
	const magic = 108
	b := []byte{magic, code}
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	rest := append([]byte(fields), body...)
	return binary.BigEndian.AppendUint32(append(b, rest...), crc32.ChecksumIEEE(rest))
}

// Client is a client on one connection.
type Client struct {
	t      testing.TB
	conn   net.Conn
	dec    *msgpack.Decoder
	number int
}

// Dial connects to a router.
func Dial(t testing.TB, address string) *Client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	const testLimit = 30 * time.Second
	conn.SetDeadline(time.Now().Add(testLimit))
	return &Client{t: t, conn: conn, dec: msgpack.NewDecoder(conn)}
}

func (c *Client) send(method string, args ...any) {
	c.t.Helper()
	c.number++
	b, err := msgpack.Marshal([]any{0, c.number, method, args})
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.conn.Write(b); err != nil {
		c.t.Fatal(err)
	}
}

// Call sends a request of the class "again" for a function, and does not wait for its answer.
func (c *Client) Call(id, function uint64) {
	c.t.Helper()
	c.send("again", map[string]string{"ref": fmt.Sprintf("%016x", id), "allow": "8900", "project": "acme",
		"lookup": fmt.Sprintf("%016x", function), "spec": "memory_mb:512;lanes:2"}, []byte("body"))
}

// Answer waits for the next answer. served is false if it is an error.
func (c *Client) Answer() (served bool) {
	c.t.Helper()
	v, err := c.dec.DecodeSlice()
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	return v[2] == nil
}

// Healthy sends a health check and returns the answer.
func (c *Client) Healthy() bool {
	c.t.Helper()
	c.send("isWell", map[string]string{})
	v, err := c.dec.DecodeSlice()
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	return v[3].([]any)[0] == true
}

// Flood sends requests of a class that doesn't exist at full speed, and discards the answers, until end is called.
func (c *Client) Flood() (end func()) {
	var goroutines sync.WaitGroup
	goroutines.Go(func() { io.Copy(io.Discard, c.conn) })
	goroutines.Go(func() {
		for number := 1; ; number++ {
			b, err := msgpack.Marshal([]any{0, number, "unknown", []any{map[string]string{}, []byte{}}})
			if err != nil {
				return
			}
			if _, err := c.conn.Write(b); err != nil {
				return
			}
		}
	})
	return func() {
		c.conn.Close()
		goroutines.Wait()
	}
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

// LoadCommands returns the number of load commands so far.
func (s *ModelServer) LoadCommands() int {
	n := 0
	for _, frame := range s.Received() {
		if frame.Code == LoadCode {
			n++
		}
	}
	return n
}
