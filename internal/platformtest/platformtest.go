// Package platformtest holds fake peers of a router for tests: a notice board, model servers and a client. They speak the
// platform's protocols on loopback and record what reaches them and when.
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
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hollymast/internal/discovery"
)

// Deployment is what tests vary of a router's start settings.
type Deployment struct {
	Grace              time.Duration // within which nothing new may go to a server that was told to drain
	LoadsOnCommandOnly bool          // model servers load what they are ordered to, and nothing for a request
	Deadline           time.Duration // after which clients give up; 0: 9 s
	SlowStart          time.Duration // how long model servers take to reach full capacity
	Routers            int           // in the fleet; 0: one
}

// settings are start settings with one restartable class, "again".
func (d Deployment) settings() string {
	absent := "load"
	if d.LoadsOnCommandOnly {
		absent = "miss"
	}
	aim, deadline := 8*time.Second, cmp.Or(d.Deadline, 9*time.Second)
	return fmt.Sprintf(`{"balancers": %d, "tick": 1000, "zones": ["east"],
	"ceilings": {"cancel": true, "conn_idle": 15000000, "connect_timeout": 250000, "max_retry_after": 2000000, "retry_after": true,
		"streams_per_conn": 100, "try_limit": 3},
	"classes": [{"name": "again", "aim": %d, "hard_limit": %d, "importance": 1, "semantics": "pure", "window": 0}],
	"contract": {"stop_sending_within": %d, "cold": %d, "cold_from": 0.25, "fall": 1000000, "fall_multiple": 2},
	"customers": [{"name": "acme", "allowance_per_s": 1000}],
	"specifics": {"when_absent": %q, "linger_idle": 60000000, "order_limit": 4000000, "kind_memory_mb": [1000], "load_control": true}}`,
		max(1, d.Routers), min(aim, deadline/2).Microseconds(), deadline.Microseconds(), d.Grace.Microseconds(),
		d.SlowStart.Microseconds(), absent)
}

// Configuration is a router's configuration file. The events are those that it knows at its start.
func (d Deployment) Configuration(boardAddress string, events ...discovery.Event) string {
	known := discovery.History{Events: events}
	if len(events) > 0 {
		known.Revision = events[len(events)-1].Revision
	}
	text, err := json.Marshal(known)
	if err != nil {
		panic(err) // plain values
	}
	return fmt.Sprintf(`{"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "board": %q,
		"limits": {"cores": 1, "memory_mb": 64, "sockets": 256}, "known": %s, "settings": %s}`, boardAddress, text, d.settings())
}

// Event is one event of the notice board about one server. The first is the whole list.
func Event(rev uint64, uid, address, state string) discovery.Event {
	return discovery.Event{Revision: rev, Update: &discovery.UpdateMessage{All: rev == 1, Targets: []discovery.EndpointMessage{
		{UID: uid, Endpoint: address, Zone: "east", Weight: 4, State: state}}}}
}

// Line is an event as a board writes it.
func Line(e discovery.Event) []byte {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err) // plain values
	}
	return append(text, '\n')
}

// Discovery is a fake notice board. It tells each watcher the events it asks for and a heartbeat each second.
type Discovery struct {
	listener net.Listener
	mu       sync.Mutex
	events   []discovery.Event
	watchers map[net.Conn]struct{}
	asked    []time.Time
	written  int64 // bytes, to all watchers
	ended    chan struct{}
	script   func(c net.Conn, nth int) (handled bool)
}

// NewDiscovery starts a board that ends with the test. Script, where there is one, is asked first what to do with the nth watch,
// counted from 1.
func NewDiscovery(t testing.TB, address string, script func(c net.Conn, nth int) (handled bool), events ...discovery.Event) *Discovery {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	b := &Discovery{listener: l, events: events, watchers: map[net.Conn]struct{}{}, ended: make(chan struct{}), script: script}
	acceptEach(t, l, b.watch)
	t.Cleanup(func() { close(b.ended) }) // before the connections are waited for
	return b
}

// Connected gives the two ends of a connection, as the one who dialled and the one who accepted have them.
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

// acceptEach serves each connection until the test ends, and has all of them ended by then.
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

// Address is where it listens.
func (b *Discovery) Address() string { return b.listener.Addr().String() }

// Asked gives when each watch was asked for.
func (b *Discovery) Subscriptions() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.asked...)
}

// Publish adds an event and writes it to all watchers. It gives the time from which the event counts as told.
func (b *Discovery) Publish(e discovery.Event) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, e)
	told := time.Now()
	for c := range b.watchers {
		b.write(c, Line(e))
	}
	return told
}

// write writes to a watcher. The lock is held.
func (b *Discovery) write(c net.Conn, text []byte) error {
	n, err := c.Write(text)
	b.written += int64(n)
	return err
}

// Written gives the bytes that it wrote to all watchers.
func (b *Discovery) Written() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written
}

func (b *Discovery) watch(c net.Conn) {
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return
	}
	var last uint64
	fmt.Sscanf(line, "watch %d", &last)
	b.mu.Lock()
	b.asked = append(b.asked, time.Now())
	nth := len(b.asked)
	b.mu.Unlock()
	if b.script != nil && b.script(c, nth) {
		return
	}
	b.mu.Lock()
	for _, e := range b.events {
		if e.Revision > last {
			b.write(c, Line(e))
		}
	}
	b.watchers[c] = struct{}{}
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.watchers, c)
	}()
	for b.heartbeat(c) {
		select {
		case <-time.After(time.Second):
		case <-b.ended:
			return
		}
	}
}

func (b *Discovery) heartbeat(c net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var last uint64
	if n := len(b.events); n > 0 {
		last = b.events[n-1].Revision
	}
	return b.write(c, fmt.Appendln(nil, last)) == nil
}

// The codes of frames to model servers.
const (
	AttemptCode = 65
	LoadCode    = 69
	codeOK      = 97 // of their answers
)

// Received is one frame as a model server got it.
type Received struct {
	Code   byte
	At     time.Time // of its first byte
	Fields string
}

// ModelServer is a fake model server: it has everything loaded and answers each execution with its body.
type ModelServer struct {
	listener net.Listener
	mu       sync.Mutex
	received []Received
	accepted int
	held     []func() // answers
	hold     func(frame []byte) (now []byte)
}

// NewModelServer starts one that ends with the test.
func NewModelServer(t testing.TB) *ModelServer { return NewModelServerAt(t, "127.0.0.1:0") }

// NewModelServerAt starts one at an address; at 0.0.0.0 it stands for as many as there are addresses 127.x.y.z.
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

// Address is where it listens.
func (s *ModelServer) Address() string { return s.listener.Addr().String() }

// Accepted counts the connections so far.
func (s *ModelServer) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Received gives what came so far.
func (s *ModelServer) Received() []Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Received(nil), s.received...)
}

// Hold has answers wait until Release.
func (s *ModelServer) Hold() { s.holdBack(func([]byte) []byte { return nil }) }

// HoldHalf has the second half of answers wait until Release.
func (s *ModelServer) HoldHalf() {
	s.holdBack(func(frame []byte) []byte { return frame[:len(frame)/2] })
}

func (s *ModelServer) holdBack(hold func(frame []byte) (now []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = hold
}

// Release gives all that waits.
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
			pods := "1"
			for field := range strings.SplitSeq(f.Fields, ",") {
				if value, is := strings.CutPrefix(field, "pods="); is {
					pods = value
				}
			}
			s.answer(c, AnswerFrame(codeOK, f.ID, "pods="+pods, nil))
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

// ReadFrame reads one.
func ReadFrame(in io.Reader) (f Frame, err error) {
	const check = 4 // bytes behind the body
	var head [16]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return f, err
	}
	fields := int(binary.BigEndian.Uint16(head[2:]))
	rest := make([]byte, fields+int(binary.BigEndian.Uint32(head[4:]))+check)
	if _, err := io.ReadFull(in, rest); err != nil {
		return f, err
	}
	return Frame{head[1], binary.BigEndian.Uint64(head[8:]), string(rest[:fields]), rest[fields : len(rest)-check]}, nil
}

// AnswerFrame is a model server's answer.
func AnswerFrame(code byte, id uint64, fields string, body []byte) []byte {
	const mark = 108
	b := []byte{mark, code}
	b = binary.BigEndian.AppendUint16(b, uint16(len(fields)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, id)
	rest := append([]byte(fields), body...)
	return binary.BigEndian.AppendUint32(append(b, rest...), crc32.ChecksumIEEE(rest))
}

// Client is one connection of a client.
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
	const longest = 30 * time.Second
	conn.SetDeadline(time.Now().Add(longest))
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

// Call sends a request of the class "again" for a function, and waits for no answer.
func (c *Client) Call(ref, function uint64) {
	c.t.Helper()
	c.send("again", map[string]string{"ref": fmt.Sprintf("%016x", ref), "allow": "8900", "project": "acme",
		"lookup": fmt.Sprintf("%016x", function), "spec": "memory_mb:512;lanes:2"}, []byte("body"))
}

// Answer waits for the next answer. Served tells that it is no error.
func (c *Client) Answer() (served bool) {
	c.t.Helper()
	v, err := c.dec.DecodeSlice()
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	return v[2] == nil
}

// Well asks whether the router is well.
func (c *Client) Healthy() bool {
	c.t.Helper()
	c.send("isWell", map[string]string{})
	v, err := c.dec.DecodeSlice()
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	return v[3].([]any)[0] == true
}

// Flood sends requests of a class that doesn't exist at full speed, and reads what comes, until it is told to end.
func (c *Client) Flood() (end func()) {
	var both sync.WaitGroup
	both.Go(func() { io.Copy(io.Discard, c.conn) })
	both.Go(func() {
		for number := 1; ; number++ {
			b, err := msgpack.Marshal([]any{0, number, "unheard", []any{map[string]string{}, []byte{}}})
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
		both.Wait()
	}
}

// Until waits for what another goroutine is about to do.
func WaitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for range 4000 {
		if done() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("not within 4 s: %s", what)
}

// LoadCommands counts the orders to load that came so far.
func (s *ModelServer) LoadCommands() int {
	n := 0
	for _, frame := range s.Received() {
		if frame.Code == LoadCode {
			n++
		}
	}
	return n
}
