package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"

	"hollymast/control"
	"hollymast/internal/discovery"
	"hollymast/internal/fleet"
	"hollymast/internal/platformtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const settings = `{"balancers": 1, "tick": 1000, "zones": ["east"], "report": {"fields": ["cpu_share"], "how": "on_probe"},
	"ceilings": {"cancel": true, "conn_idle": 15000000, "connect_timeout": 250000, "max_retry_after": 2000000, "retry_after": true,
		"streams_per_conn": 100, "try_limit": 3},
	"classes": [{"name": "again", "aim": 1000000, "hard_limit": 4000000, "importance": 1, "semantics": "pure", "window": 0},
		{"name": "once", "aim": 1000000, "hard_limit": 4000000, "importance": 1, "semantics": "side_effect", "window": 0},
		{"name": "marked", "aim": 1000000, "hard_limit": 4000000, "importance": 1, "semantics": "token", "key_scope": "all", "window": 5000000}],
	"clients": {"marks_retry": true}, "contract": {"stop_sending_within": 500000}, "customers": [{"name": "acme", "allowance_per_s": 100}],
	"specifics": {"when_absent": "load", "linger_idle": 9000000, "order_limit": 4000000, "kind_memory_mb": [1000], "load_control": true}}`

// event returns a discovery event about one server.
func event(rev int, uid, endpoint, state string) discovery.Event {
	return discovery.Event{Revision: uint64(rev), Update: &discovery.UpdateMessage{All: rev == 1, Targets: []discovery.EndpointMessage{
		{UID: uid, Endpoint: endpoint, Zone: "east", Weight: 4, State: state}}}}
}

// discoveryServer returns the address of a discovery service that announces nothing but its revision and the given
// events.
func discoveryServer(t *testing.T, last int, events ...discovery.Event) string {
	return listen(t, func(c net.Conn) {
		for _, e := range events {
			text, _ := json.Marshal(e)
			fmt.Fprintf(c, "%s\n", text)
		}
		for range 100 {
			if _, err := fmt.Fprintln(c, last); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// listen serves each connection until the test ends.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}

// asked is one frame that a fake server received.
type asked struct {
	code   byte
	id     uint64
	fields string
	body   []byte
	nth    int // of this server
	conn   net.Conn
}

func (a asked) answer(code byte, id uint64, body string) []byte {
	return platformtest.AnswerFrame(code, id, "remark=resident", []byte(body))
}

// modelServer is a fake model server: do is called for each attempt.
func modelServer(t *testing.T, do func(a asked)) string {
	var nth atomic.Int32
	return listen(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			f, err := platformtest.ReadFrame(in)
			if err != nil {
				return
			}
			if f.Code == platformtest.AttemptCode {
				do(asked{f.Code, f.ID, f.Fields, f.Body, int(nth.Add(1)), c})
			}
		}
	})
}

// good answers with the body that it received.
func good(a asked) { a.conn.Write(a.answer(97, a.id, string(a.body))) }

// running is a router that serves until the test ends.
type running struct {
	*Router
	stop  context.CancelFunc
	ended chan struct{}
}

// configuration returns one without servers.
func configuration(boardAt string) string {
	return fmt.Sprintf(`{"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "board": %q,
		"limits": {"cores": 1, "memory_mb": 64, "sockets": 256}, "known": {"rev": 0, "notices": []}, "settings": %s}`, boardAt, settings)
}

func start(t *testing.T, boardAt string, servers ...string) *running {
	t.Helper()
	told, err := parseConfig([]byte(configuration(boardAt)), Environment{})
	if err != nil {
		t.Fatal(err)
	}
	for i, address := range servers {
		told.History.Events = append(told.History.Events, event(i+1, fmt.Sprintf("s-%d", i), address, "ready"))
	}
	told.History.Revision = uint64(len(servers))
	r := serve(t, told)
	until(t, "the router is well, as clients wait for", r.ready.Load)
	return r
}

// serve runs a router until the test ends.
func serve(t *testing.T, told *Config) *running {
	t.Helper()
	p, err := New(told, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &running{p, stop, make(chan struct{})}
	go func() { p.Serve(ctx); close(r.ended) }()
	t.Cleanup(func() { stop(); <-r.ended })
	return r
}

// caller is a client on one connection.
type caller struct {
	t    *testing.T
	conn net.Conn
	dec  *msgpack.Decoder
}

func (r *running) caller(t *testing.T) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return &caller{t, conn, msgpack.NewDecoder(conn)}
}

func (c *caller) send(v ...any) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	c.conn.Write(b)
}

func (c *caller) call(number int, class string, changes ...string) {
	f := map[string]string{"ref": fmt.Sprintf("%016x", number), "allow": "1500", "project": "acme", "lookup": "7f3a9c21e0b4d655",
		"spec": "memory_mb:512;lanes:2"}
	for i := 0; i < len(changes); i += 2 {
		f[changes[i]] = changes[i+1]
	}
	c.send(0, number, class, []any{f, []byte(fmt.Sprint("body ", number))})
}

// receive returns the next answer as "number: text", or what ended the connection.
func (c *caller) receive() string {
	v, err := c.dec.DecodeSlice()
	if err != nil {
		return "closed"
	}
	what := v[2]
	if what == nil {
		what = v[3]
	}
	switch first := what.([]any)[0].(type) {
	case []byte:
		return fmt.Sprintf("%v: %s", v[1], first)
	default:
		return fmt.Sprintf("%v: %v", v[1], first)
	}
}

func (c *caller) expect(want string) {
	c.t.Helper()
	if got := c.receive(); got != want {
		c.t.Errorf("got %q, want %q", got, want)
	}
}

func TestServesRequestUnchanged(t *testing.T) {
	c := start(t, discoveryServer(t, 1), modelServer(t, good)).caller(t)
	c.send(0, 1, "isWell", []any{map[string]string{}})
	c.expect("1: true")
	c.call(2, "again")
	c.expect("2: body 2")
}

// spoils are ways in which an answer fails to come.
var spoils = map[string]func(a asked){
	"check": func(a asked) { b := a.answer(97, a.id, "x"); b[len(b)-1]++; a.conn.Write(b) },
	"noise": func(a asked) { a.conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) },
	"3 GB":  func(a asked) { b := a.answer(97, a.id, "x"); b[4] = 0xc0; a.conn.Write(b) },
	"reset": func(a asked) { a.conn.Close() },
	"short": func(a asked) { b := a.answer(97, a.id, "x"); a.conn.Write(b[:len(b)-2]) },
}

// A request with a corrupt answer has run: a non-idempotent one fails, and its client is not told that a retry is
// safe.
func TestSpoiltAnswersMayHaveRun(t *testing.T) {
	for name, spoil := range spoils {
		c := start(t, discoveryServer(t, 1), modelServer(t, spoil)).caller(t)
		c.call(1, "once")
		if got := c.receive(); got != "1: Aborted" {
			t.Errorf("%s: got %q", name, got)
		}
	}
}

// An idempotent one runs again, on another connection; the server is not ejected.
func TestSpoiltAnswersRunAgain(t *testing.T) {
	for _, name := range []string{"check", "noise", "3 GB"} {
		c := start(t, discoveryServer(t, 1), modelServer(t, func(a asked) {
			if a.nth == 1 {
				spoils[name](a)
			} else {
				good(a)
			}
		})).caller(t)
		c.call(1, "again")
		if got := c.receive(); got != "1: body 1" {
			t.Errorf("%s: got %q", name, got)
		}
	}
}

// Answers to nothing are dropped, and the connection stays.
func TestSurplusAnswersAreDropped(t *testing.T) {
	conns := make(chan net.Conn, 8)
	c := start(t, discoveryServer(t, 1), modelServer(t, func(a asked) {
		a.conn.Write(a.answer(97, a.id+1, "not yours"))
		good(a)
		good(a)
		conns <- a.conn
	})).caller(t)
	for n := 1; n <= 3; n++ {
		c.call(n, "again")
		c.expect(fmt.Sprintf("%d: body %d", n, n))
	}
	first := <-conns
	for n := 2; n <= 3; n++ {
		if other := <-conns; other != first {
			t.Errorf("request %d came on another connection", n)
		}
	}
}

func TestFullServerProvesNothingRan(t *testing.T) {
	c := start(t, discoveryServer(t, 1), modelServer(t, func(a asked) { a.conn.Write(a.answer(100, a.id, "")) })).caller(t)
	c.call(1, "once", "allow", "300")
	c.expect("1: TryLater")
}

func TestBadInputIsAnsweredOrClosed(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	for name, bad := range map[string]func(c *caller){
		"an unknown class":   func(c *caller) { c.call(1, "unheard") },
		"an unknown project": func(c *caller) { c.call(1, "again", "project", "nobody") },
		"a huge patience":    func(c *caller) { c.call(1, "again", "allow", "86400000") },
		"no mark":            func(c *caller) { c.call(1, "marked") },
		"too much memory":    func(c *caller) { c.call(1, "again", "spec", "memory_mb:5000") },
		"a body of 60 MB":    func(c *caller) { c.conn.Write([]byte{0x94, 0, 1, 0xa1, 'x', 0x92, 0x80, 0xc6, 3, 0x93, 0x87, 0}) },
	} {
		c := r.caller(t)
		bad(c)
		if got := c.receive(); got != "1: Invalid" {
			t.Errorf("%s: got %q", name, got)
		}
	}
	c := r.caller(t)
	c.call(1, "again") // nobody else is harmed
	c.expect("1: body 1")
}

// Of two requests with one id neither is served, since they can't be told apart.
func TestRefTwiceServesNeither(t *testing.T) {
	c := start(t, discoveryServer(t, 1), modelServer(t, func(asked) {})).caller(t)
	c.call(1, "again")
	c.call(2, "again", "ref", fmt.Sprintf("%016x", 1))
	c.expect("1: Invalid")
	c.expect("2: Invalid")
}

// Answers to one number can't be told apart: no request of such a connection gets one that counts.
func TestNumberTwiceEndsTheConnection(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, func(asked) {}))
	c := r.caller(t)
	c.call(1, "again")
	c.call(1, "again", "ref", "00000000000000ff")
	c.expect("1: Invalid")
	c.expect("1: Aborted")
	c.expect("closed")
}

func TestSilentConnectionsAreClosed(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	silent, half := r.caller(t), r.caller(t)
	half.conn.Write([]byte{0x94, 0, 1})
	for _, c := range []*caller{silent, half} {
		c.conn.SetDeadline(time.Now().Add(3 * time.Second))
		if _, err := c.conn.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
			t.Errorf("open after 3 s: %v", err)
		}
	}
}

func TestMoreThan32OpenAreRejected(t *testing.T) {
	c := start(t, discoveryServer(t, 1), modelServer(t, func(asked) {})).caller(t)
	for n := 1; n <= maxOpenPerClient+1; n++ {
		c.call(n, "again")
	}
	c.expect(fmt.Sprintf("%d: TryLater", maxOpenPerClient+1))
}

// Connections beyond the limit make room among those that never sent a message.
func TestManySilentConnectionsLeaveRoom(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	for range r.maxClients + 20 {
		r.caller(t)
	}
	c := r.caller(t)
	c.call(1, "again")
	c.expect("1: body 1")
}

// So do those that have begun a message, or sent one and stay: neither costs a well-behaved client its answer.
func TestManyHalfMessagesLeaveRoom(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	usual := r.caller(t)
	for n := 1; n <= r.maxClients; n++ {
		half, stays := r.caller(t), r.caller(t)
		half.conn.Write([]byte{0x94, 0, 1})
		stays.send(0, 1, "isWell", []any{map[string]string{}})
		usual.call(n, "again")
		usual.expect(fmt.Sprintf("%d: body %d", n, n))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.anomalies["client rejected: too many connections"] > 0 {
		t.Errorf("%v", r.anomalies)
	}
}

func TestCancelledRequestIsNotAnswered(t *testing.T) {
	got := make(chan asked, 1)
	c := start(t, discoveryServer(t, 1), modelServer(t, func(a asked) {
		if a.nth == 1 {
			got <- a
		} else {
			good(a)
		}
	})).caller(t)
	c.call(1, "again")
	a := <-got
	c.send(2, "forget", []any{1})
	time.Sleep(20 * time.Millisecond)
	good(a)
	c.call(2, "again")
	c.expect("2: body 2")
}

// A server that drains between the choice and the first byte gets nothing.
func TestDrainBeforeTheFirstByte(t *testing.T) {
	r := start(t, discoveryServer(t, 1), modelServer(t, good))
	done := make(chan bool)
	r.queue.Post(func(now control.Micros) {
		id := fleet.ID("s-0")
		s := r.newCall(id, 1_000_000)
		s.load.Server = id
		s.id, s.timer = 1, time.NewTimer(time.Hour)
		pl := r.pools[id]
		if pl == nil {
			pl = &serverPool{id: id, address: "elsewhere"}
			r.pools[id] = pl
		}
		s.conn = r.newServerConn(now, pl)
		s.conn.open[1] = s
		r.handleEndpoints(now, []fleet.Endpoint{{Name: "s-0", Address: pl.address, Zone: "east"}}) // draining, or gone
		done <- s.progress.Ended && !s.begun()
	})
	if !<-done {
		t.Error("it could still be written")
	}
}

// A new server at the address of a removed one has connections of its own.
func TestAddressOfAnotherServer(t *testing.T) {
	conns := make(chan net.Conn, 2)
	address := modelServer(t, func(a asked) { good(a); conns <- a.conn })
	r := start(t, discoveryServer(t, 1), address)
	c := r.caller(t)
	c.call(1, "again")
	c.expect("1: body 1")
	r.queue.Post(func(now control.Micros) {
		r.handleEndpoints(now, []fleet.Endpoint{{Name: "s-9", Address: address, Zone: "east", State: control.Ready}})
	})
	c.call(2, "again")
	c.expect("2: body 2")
	if <-conns == <-conns {
		t.Error("the new server was sent to on the old one's connection")
	}
}

// After a reload the router asks the new discovery address, and requests in flight stay.
func TestReload(t *testing.T) {
	first := make(chan asked, 1)
	old, other := modelServer(t, func(a asked) { first <- a }), modelServer(t, good)
	r := start(t, discoveryServer(t, 1), old)
	c := r.caller(t)
	c.call(1, "again")
	a := <-first
	fresh := *r.config
	fresh.DiscoveryAddress = discoveryServer(t, 3, event(2, "s-0", old, "draining"), event(3, "s-1", other, "ready"))
	r.Reload(&fresh)
	for n := 2; ; n++ {
		c.call(n, "again", "allow", "200")
		if c.receive() == fmt.Sprintf("%d: body %d", n, n) {
			break
		}
		if n > 20 {
			t.Fatal("the new server was never used")
		}
	}
	good(a)
	c.expect("1: body 1")
}

// A stopping router serves for a little longer, answers the requests in flight, and ends.
func TestStop(t *testing.T) {
	first := make(chan asked, 2)
	r := start(t, discoveryServer(t, 1), modelServer(t, func(a asked) { first <- a }))
	c := r.caller(t)
	c.call(1, "again")
	a := <-first
	r.stop()
	time.Sleep(200 * time.Millisecond)
	late := r.caller(t)
	late.send(0, 1, "isWell", []any{map[string]string{}})
	late.expect("1: false")
	late.call(2, "again", "ref", "00000000000000ff")
	good(<-first)
	late.expect("2: body 2")
	time.Sleep(acceptConnectionsFor)
	good(a)
	c.expect("1: body 1")
	select {
	case <-r.ended:
	case <-time.After(2 * time.Second):
		t.Error("it goes on with nothing in hand")
	}
}

// The connection to a peer that does not read is closed once too many bytes are queued.
func TestOutboxIsBounded(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	o := &writeQueue{conn: ours, maxQueuedBytes: 1000}
	taken := 0
	for o.post(queuedFrame{data: make([]byte, 100)}) {
		taken++
	}
	if taken > 11 || !o.empty() {
		t.Errorf("%d taken", taken)
	}
}

func TestConfigurationFaults(t *testing.T) {
	for name, text := range map[string]string{"half a file": `{"name": "n0", "list`, "no settings": `{"listen": "127.0.0.1:1"}`,
		"no address": `{"listen": "here", "board": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 256}, "settings": ` + settings + `}`,
		"a bad seed": `{"listen": "127.0.0.1:1", "board": "127.0.0.1:1", "seed": "-", "limits": {"sockets": 256}, "settings": ` + settings + `}`,
		"few sockets": `{"listen": "127.0.0.1:1", "board": "127.0.0.1:1", "seed": "1", "limits": {"sockets": 8}, "settings": ` + settings +
			`}`,
	} {
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(Environment{File: file}); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// The balancer counts its load-rate limit by how late a load command may be written: as late as any choice is.
func TestLateIsAsLateAsAChoiceIsWritten(t *testing.T) {
	p := idleRouter(t)
	if s := p.newCall(1, p.config.loadTimeout); s.writeBefore-s.chosenAt != p.config.Deployment.MaxCommandDelay || p.config.Deployment.MaxCommandDelay == 0 {
		t.Errorf("written %d late, told %d", s.writeBefore-s.chosenAt, p.config.Deployment.MaxCommandDelay)
	}
}

// Where descriptors are few, room is not made among as many connections as well-behaved clients hold: a third of all.
func TestFewDescriptorsSpareWellBehavedClients(t *testing.T) {
	told, err := parseConfig([]byte(configuration("127.0.0.1:1")), Environment{})
	if err != nil {
		t.Fatal(err)
	}
	told.Sockets = minSockets
	p, err := New(told, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer p.listener.Close()
	for range told.Sockets / 3 {
		if !p.hasRoom() {
			t.Fatal("no room")
		}
		ours, theirs := net.Pipe()
		defer theirs.Close()
		p.clients[&clientConn{router: p, conn: ours}] = struct{}{}
	}
	for c := range p.clients {
		if _, ends := c.idle(); ends {
			t.Error("a usual client's connection was ended")
		}
	}
}
