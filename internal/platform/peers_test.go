package platform

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hollymast/internal/platformtest"
)

// listen serves each connection with handle until the test ends, and returns the listening address.
func listen(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	return listenWith(t, net.ListenConfig{}, handle)
}

// listenSmallBuffer is listen with receive buffers smaller than one long message.
func listenSmallBuffer(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	return listenWith(t, net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 2048) })
	}}, handle)
}

func listenWith(t *testing.T, config net.ListenConfig, handle func(net.Conn)) string {
	t.Helper()
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
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
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}

// receivedAttempt is the frame of an attempt received by a fake server.
type receivedAttempt struct {
	platformtest.Frame
	sequence int // number of this attempt among those that the server received, from 1
	conn     net.Conn
}

// answerFrame returns an encoded answer with the given id.
func (a receivedAttempt) answerFrame(code byte, id uint64, body string) []byte {
	return platformtest.AnswerFrame(code, id, "remark=resident", []byte(body))
}

// timeout returns the time left that the frame states; zero if none.
func (a receivedAttempt) timeout() time.Duration { return statedTimeout(a.Fields) }

// statedTimeout returns the time left that a frame's fields state; zero if none.
func statedTimeout(fields string) time.Duration {
	var ms int
	for field := range strings.SplitSeq(fields, ",") {
		fmt.Sscanf(field, "max=%d", &ms)
	}
	return time.Duration(ms) * time.Millisecond
}

// echo answers an attempt with its body.
func echo(a receivedAttempt) { a.conn.Write(a.answerFrame(codeOK, a.ID, string(a.Body))) }

// Codes of a server's answers.
const (
	codeOK         = 97
	codeOverloaded = 100
	codeError      = 101
)

// attemptHandler returns a connection handler of a fake server that calls do for each attempt.
func attemptHandler(do func(a receivedAttempt)) func(net.Conn) {
	var sequence atomic.Int32
	return func(c net.Conn) {
		in := bufio.NewReader(c)
		for {
			f, err := platformtest.ReadFrame(in)
			if err != nil {
				return
			}
			if f.Code == platformtest.AttemptCode {
				do(receivedAttempt{f, int(sequence.Add(1)), c})
			}
		}
	}
}

// modelServer runs a fake model server that calls do for each attempt, and returns its address.
func modelServer(t *testing.T, do func(a receivedAttempt)) string {
	t.Helper()
	return listen(t, attemptHandler(do))
}

// holdingServer runs a fake model server that answers nothing and sends each attempt to held.
func holdingServer(t *testing.T) (address string, held chan receivedAttempt) {
	t.Helper()
	held = make(chan receivedAttempt, 256) // more than any test sends
	return modelServer(t, func(a receivedAttempt) { held <- a }), held
}

// fillSendBuffer writes to a connection until it accepts no more, even after the kernel has passed on some of the
// data, and returns the number of bytes written.
func fillSendBuffer(t *testing.T, conn net.Conn) (filled int) {
	const kernelDelay = 50 * time.Millisecond
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Error(err)
		return 0
	}
	conn.(*net.TCPConn).SetWriteBuffer(2048) // keeps the kernel from growing the buffer
	for before := -1; before < filled; time.Sleep(kernelDelay) {
		before = filled
		raw.Control(func(fd uintptr) {
			for {
				n, err := syscall.Write(int(fd), make([]byte, 4096))
				if err != nil {
					return
				}
				filled += n
			}
		})
	}
	return filled
}

// readSoon returns how many bytes can be read from a connection within 20 ms.
func readSoon(conn net.Conn) int {
	conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	n, _ := conn.Read(make([]byte, 8))
	return n
}

// testClient is a client on one connection.
type testClient struct {
	t    *testing.T
	conn net.Conn
	dec  *msgpack.Decoder
}

// newTestClient returns a client that uses conn. All its reads and writes must end within 5 s.
func newTestClient(t *testing.T, conn net.Conn) *testClient {
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	return &testClient{t, conn, msgpack.NewDecoder(conn)}
}

// dial connects a client to the router.
func (r *runningRouter) dial(t *testing.T) *testClient {
	t.Helper()
	return dialAddress(t, r.Address())
}

// dialAddress connects a client to a router's address.
func dialAddress(t *testing.T, address string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return newTestClient(t, conn)
}

func (c *testClient) sendMessage(v ...any) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	c.conn.Write(b)
}

// sendHealthCheck sends a health check, and sendCancel cancels a request.
func (c *testClient) sendHealthCheck(number int) {
	c.sendMessage(0, number, "isWell", []any{map[string]string{}})
}
func (c *testClient) sendCancel(number int) { c.sendMessage(2, "forget", []any{number}) }

// clientTimeout is the timeout of requests that don't set another.
const clientTimeout = 1500 * time.Millisecond

// requestFields returns the fields of a request. changes are alternating names and values.
func requestFields(id int, changes ...string) map[string]string {
	f := map[string]string{"ref": fmt.Sprintf("%016x", id), "allow": fmt.Sprint(clientTimeout.Milliseconds()), "project": "acme",
		"lookup": "7f3a9c21e0b4d655", "spec": "memory_mb:512;lanes:2"}
	for i := 0; i < len(changes); i += 2 {
		f[changes[i]] = changes[i+1]
	}
	return f
}

// sendRequest sends a request of a class. Its id is its number unless changes set another.
func (c *testClient) sendRequest(number int, class string, changes ...string) {
	c.sendMessage(0, number, class, []any{requestFields(number, changes...), []byte(fmt.Sprint("body ", number))})
}

// withID returns changes that set a request's id, for tests with requests on several connections.
func withID(id int) []string { return []string{"ref", fmt.Sprintf("%016x", id)} }

// receive returns the next answer as "number: text", or "closed" if the connection has ended.
func (c *testClient) receive() string {
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

func (c *testClient) expect(want string) {
	c.t.Helper()
	if got := c.receive(); got != want {
		c.t.Errorf("got %q, want %q", got, want)
	}
}

// longRequest returns a request that takes several reads, because it has a long body and unknown fields.
func longRequest(t *testing.T, number int, class string) []byte {
	t.Helper()
	fields := requestFields(number)
	for i := range 8 {
		fields[fmt.Sprint("unknown", i)] = strings.Repeat("x", 1000)
	}
	b, err := msgpack.Marshal([]any{0, number, class, []any{fields, make([]byte, 16<<10)}})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// hookedConn is the router's end of a connection. hook is called with the result of each read before the router gets
// it.
type hookedConn struct {
	*net.TCPConn
	hook func(n int, err error)
}

func (h *hookedConn) Read(b []byte) (int, error) {
	n, err := h.TCPConn.Read(b)
	h.hook(n, err)
	return n, err
}

// dialHooked connects a client to a router and returns it with the router's end of the connection. hook is called
// after each read by the router.
func (r *runningRouter) dialHooked(t *testing.T, hook func(c *testClient, n int, err error)) (*testClient, *clientConn) {
	t.Helper()
	routerConn, peerConn := platformtest.ConnPair(t)
	c := newTestClient(t, peerConn)
	return c, r.serveClient(&hookedConn{routerConn.(*net.TCPConn), func(n int, err error) { hook(c, n, err) }})
}

// ignoreReads is a hook that does nothing.
func ignoreReads(*testClient, int, error) {}

// onFirstDeadline returns a hook that calls act at the first read whose deadline has passed: what act sends is
// pending when the router reads again.
func onFirstDeadline(act func(c *testClient)) func(c *testClient, n int, err error) {
	var done atomic.Bool
	return func(c *testClient, n int, err error) {
		if errors.Is(err, os.ErrDeadlineExceeded) && done.CompareAndSwap(false, true) {
			act(c)
		}
	}
}

// openRequestCount returns how many requests are open on a connection.
func (c *clientConn) openRequestCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
