package acceptqueue

import (
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"
)

// listen listens on a free port until the test ends.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// dial opens a connection that stays open until the test ends.
func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func TestLength(t *testing.T) {
	l := listen(t)
	for want := range 4 {
		if n, ok := Length(l); n != want || !ok {
			t.Errorf("got %d, %t, want %d", n, ok, want)
		}
		dial(t, l)
	}
	l.Close()
	if _, ok := Length(l); ok {
		t.Error("a closed listener has a length")
	}
}

// faultyListener is a listener whose Accept fails a number of times.
type faultyListener struct {
	*net.TCPListener
	faults []error
}

func (l *faultyListener) Accept() (net.Conn, error) {
	if len(l.faults) > 0 {
		err := l.faults[0]
		l.faults = l.faults[1:]
		return nil, err
	}
	return l.TCPListener.Accept()
}

// Drain accepts all that is queued, even if accepts fail for a while or the deadline of the listener has passed, and
// nothing that comes later.
func TestDrain(t *testing.T) {
	const queued = 3
	for name, faults := range map[string][]error{
		"no fault": nil, "short of descriptors": slices.Repeat([]error{syscall.EMFILE}, 20), "aborted": {syscall.ECONNABORTED},
		"process stalled": {os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
	} {
		l := &faultyListener{listen(t), faults}
		for range queued {
			dial(t, l)
		}
		l.SetDeadline(time.Unix(1, 0))
		served := 0
		emptied := Drain(l, time.Now().Add(5*time.Second), func(conn net.Conn) {
			served++
			conn.Close()
			late := net.Dialer{Timeout: 20 * time.Millisecond}
			if conn, err := late.Dial("tcp", l.Addr().String()); err == nil {
				conn.Close()
				t.Errorf("%s: a new connection is accepted", name)
			}
		})
		if !emptied || served != queued {
			t.Errorf("%s: emptied %t, %d of %d connections", name, emptied, served, queued)
		}
	}
}

func TestDrainEndsAtDeadline(t *testing.T) {
	l := listen(t)
	dial(t, l)
	faulty := &faultyListener{l, slices.Repeat([]error{syscall.EMFILE}, 1<<20)}
	begin := time.Now()
	if Drain(faulty, begin.Add(20*time.Millisecond), func(net.Conn) {}) {
		t.Error("the queue was emptied")
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("it took %v", took)
	}
}
