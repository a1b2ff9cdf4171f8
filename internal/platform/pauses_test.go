package platform

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hollymast/internal/platformtest"
)

// sendCancels cancels a request that was never sent, many times.
func (c *testClient) sendCancels(count int) {
	one, err := msgpack.Marshal([]any{2, "forget", []any{9}})
	if err != nil {
		c.t.Fatal(err)
	}
	c.conn.Write(bytes.Repeat(one, count))
}

// total returns the number of events of all kinds.
func (c *counter[Kind]) total() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, count := range c.counts {
		n += count
	}
	return n
}

// TestMessagesWithoutEffectArePaced guards against a client whose messages without effect are read as fast as it sends them.
func TestMessagesWithoutEffectArePaced(t *testing.T) {
	r := start(t, platformtest.NewModelServer(t).Address())
	c := r.dial(t)
	const messages = 20_000
	begin := time.Now()
	c.sendCancels(messages)
	time.Sleep(time.Second)
	read := r.messages.total()
	elapsed := time.Since(begin).Seconds()
	limits := r.clientRate.Limits()
	if most := float64(limits.Burst) + (limits.PerSecond+limits.SharedPerSecond)*(elapsed+0.2); float64(read) > most || read < limits.Burst {
		t.Errorf("%d messages were read in %.1f s, at most %.0f expected", read, elapsed, most)
	}
}

// TestServedRequestsAreNotPaced guards against limits on requests that are served: a client may send them as fast as they are.
func TestServedRequestsAreNotPaced(t *testing.T) {
	r := start(t, platformtest.NewModelServer(t).Address())
	c := r.dial(t)
	const requests = 600 // several bursts
	for number := 1; number <= requests; number++ {
		c.sendRequest(number, "again")
		c.expect(fmt.Sprintf("%d: body %d", number, number))
	}
}

// TestFloodingClientMakesRoom guards against a client that never stops sending keeping its connection when room is needed for others.
func TestFloodingClientMakesRoom(t *testing.T) {
	r := startWith(t, func(r *Router) { r.clientRate.SetRate(1) }, platformtest.NewModelServer(t).Address())
	c := r.dial(t)
	flooding := make(chan struct{})
	go func() {
		defer close(flooding)
		for {
			if _, err := c.conn.Write([]byte("\x93\x02\xa6forget\x91\x09")); err != nil {
				return
			}
		}
	}()
	time.Sleep(300 * time.Millisecond) // the burst is used up
	r.closeIdleClients(1)
	platformtest.WaitFor(t, "the connection has ended", r.allClientsClosed)
	c.conn.Close()
	<-flooding
}

// TestCloseBehindUnreadMessagesIsNoticed guards against the connection of a client that has left staying open, with its requests, until
// all that it had sent before has been read.
func TestCloseBehindUnreadMessagesIsNoticed(t *testing.T) {
	server := platformtest.NewModelServer(t)
	r := startWith(t, func(r *Router) { r.clientRate.SetRate(1) }, server.Address())
	server.HoldAnswers()
	c := r.dial(t)
	c.sendRequest(1, "again")
	platformtest.WaitFor(t, "the request is sent", func() bool { return len(server.Received()) > 0 })
	c.sendCancels(5000) // fits into the receive buffer, so that the close arrives
	c.conn.Close()
	closedAt := time.Now()
	platformtest.WaitFor(t, "the connection has ended", r.allClientsClosed)
	if took := time.Since(closedAt); took > time.Second {
		t.Errorf("the close was noticed after %v", took)
	}
}
