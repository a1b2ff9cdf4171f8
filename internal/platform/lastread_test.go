package platform

import (
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hollymast/control"
	"hollymast/internal/platformtest"
)

// slowWriteConn is the router's end of a connection on which writes wait until release is closed.
type slowWriteConn struct {
	*net.TCPConn
	release chan struct{}
}

func (c *slowWriteConn) Write(b []byte) (int, error) {
	<-c.release
	return c.TCPConn.Write(b)
}

// TestRequestIsReadWhileResponseIsWritten guards against a connection that closes after a last read that came before its
// last write: what arrived during that write stayed unread.
func TestRequestIsReadWhileResponseIsWritten(t *testing.T) {
	r := start(t, modelServer(t, echo))
	routerConn, peerConn := platformtest.ConnPair(t)
	slow := &slowWriteConn{routerConn.(*net.TCPConn), make(chan struct{})}
	c := newTestClient(t, peerConn)
	client := r.serveClient(slow)
	c.sendRequest(1, "again")
	platformtest.WaitFor(t, "the first request is answered", func() bool {
		idle, _ := client.idle()
		return idle && !client.writes.empty()
	})
	client.closeWhenIdle(0)
	time.Sleep(2 * lastReadTime)
	c.sendRequest(2, "again")
	time.Sleep(2 * drainAfterIdle) // longer than a request may cross a close
	close(slow.release)
	c.expect("1: body 1")
	c.expect("2: body 2")
	c.expect("closed")
}

// TestLastReadOfFloodIsNotSlowedDown guards against pauses between the rejections of what was read last from a
// connection: a stopping router would not get to the end of it before the kill.
func TestLastReadOfFloodIsNotSlowedDown(t *testing.T) {
	const flood = 500
	r := start(t, modelServer(t, echo))
	routerConn, peerConn := platformtest.ConnPair(t)
	var messages []byte
	for n := range flood {
		message, err := msgpack.Marshal([]any{0, n + 1, "unknown", []any{map[string]string{}, []byte{}}})
		if err != nil {
			t.Fatal(err)
		}
		messages = append(messages, message...)
	}
	if _, err := peerConn.Write(messages); err != nil {
		t.Fatal(err)
	}
	go io.Copy(io.Discard, peerConn)
	client := r.serveClient(routerConn)
	client.closeBy(finalReadTime)
	begin := time.Now()
	<-client.writes.written
	if took := time.Since(begin); took > duration(stopReadingBeforeKill) {
		t.Errorf("everything is answered after %v", took)
	}
}

// TestStopReadsQueueAfterEarliestKill guards against a router that closes its listener over unread requests at the time of
// the earliest kill although no kill has come.
func TestStopReadsQueueAfterEarliestKill(t *testing.T) {
	r := idleRouter(t)
	r.config.Deployment.Classes = []control.Class{{MaxDeadline: 50_000}}
	shortUntil := time.Now().Add(duration(r.config.Deployment.EarliestKill()))
	l := &failingListener{TCPListener: r.listener, fault: func() error {
		if time.Now().Before(shortUntil) {
			return syscall.EMFILE
		}
		return nil
	}}
	c := dialAddress(t, r.Address())
	c.sendRequest(1, "again")
	c.sendRequest(2, "again")
	r.beginStop()
	r.stopListening()
	r.accept(l)
	c.expect("1: TryLater")
	c.expect("2: TryLater")
	c.expect("closed")
}

// TestStopEndsClientsThatNeverPause guards against clients that keep a stopping router busy until the kill by asking again
// as soon as they are rejected.
func TestStopEndsClientsThatNeverPause(t *testing.T) {
	const clients = 8
	r := start(t, modelServer(t, echo))
	for range clients {
		c := r.dial(t)
		go func() {
			for n := 1; n <= maxOpenPerClient; n++ {
				c.sendRequest(n, "again", withID(int(rand.Int64()))...)
			}
			for n := maxOpenPerClient + 1; c.receive() != "closed"; n++ {
				c.sendRequest(n, "again", withID(int(rand.Int64()))...)
			}
		}()
	}
	platformtest.WaitFor(t, "all are served", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.clients) == clients
	})
	begin := time.Now()
	r.stop()
	<-r.done
	if took, limit := time.Since(begin), duration(r.config.Deployment.EarliestKill()-stopReadingBeforeKill); took > limit {
		t.Errorf("the router ended after %v, want at most %v", took, limit)
	}
}
