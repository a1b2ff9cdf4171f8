package platformtest

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

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

// SendRequest sends a request of the class "again" for a function, and does not wait for its answer.
func (c *Client) SendRequest(id, function uint64) {
	c.t.Helper()
	c.send("again", map[string]string{"ref": fmt.Sprintf("%016x", id), "allow": "8900", "project": "acme",
		"lookup": fmt.Sprintf("%016x", function), "spec": "memory_mb:512;lanes:2"}, []byte("body"))
}

// AwaitAnswer waits for the next answer. served is false if it is an error.
func (c *Client) AwaitAnswer() (served bool) {
	c.t.Helper()
	v, err := c.dec.DecodeSlice()
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	return v[2] == nil
}

// CheckHealth sends a health check and returns the answer.
func (c *Client) CheckHealth() bool {
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
