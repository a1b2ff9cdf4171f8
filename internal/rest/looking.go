package rest

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// looking reads from a connection with a deadline. Guards against a deadline that passed while this process stood still:
// what had come by then is read before the deadline counts, once for each.
type looking struct {
	nc     net.Conn
	looked atomic.Bool
	came   time.Time // when what was read last was here
}

// lastLook is for how long bytes that are here are read once a deadline has passed: they are read at once, but the rest of a
// message may have to be copied, or of a secret record may still be on its way.
const lastLook = 50 * time.Millisecond

func (l *looking) until(at time.Time) {
	l.looked.Store(false)
	l.nc.SetReadDeadline(at)
}

// cut ends a read that waits, without a last look.
func (l *looking) cut() {
	l.looked.Store(true)
	l.nc.SetReadDeadline(time.Unix(1, 0))
}

func (l *looking) Read(b []byte) (int, error) {
	n, err := l.read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || l.looked.Swap(true) {
		return n, err
	}
	if e, ok := glance(socket(l.nc)); !ok || e != 0 {
		return n, err
	}
	l.nc.SetReadDeadline(time.Now().Add(lastLook))
	return l.read(b)
}

// read notes when what it gives was here. Guards against a client's time that begins when it is read: while the process stood
// still, that may be long after.
func (l *looking) read(b []byte) (int, error) {
	n, err := l.nc.Read(b)
	if n > 0 {
		l.came = time.Now().Add(-unread(socket(l.nc)))
	}
	return n, err
}
