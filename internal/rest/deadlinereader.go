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
type deadlineReader struct {
	conn        net.Conn
	readPending atomic.Bool
	receivedAt  time.Time // when what was read last was here
}

// lastLook is for how long bytes that are here are read once a deadline has passed: they are read at once, but the rest of a
// message may have to be copied, or of a secret record may still be on its way.
const lastReadTime = 50 * time.Millisecond

func (l *deadlineReader) setDeadline(at time.Time) {
	l.readPending.Store(false)
	l.conn.SetReadDeadline(at)
}

// cut ends a read that waits, without a last look.
func (l *deadlineReader) interrupt() {
	l.readPending.Store(true)
	l.conn.SetReadDeadline(time.Unix(1, 0))
}

func (l *deadlineReader) Read(b []byte) (int, error) {
	n, err := l.read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || l.readPending.Swap(true) {
		return n, err
	}
	if e, ok := peekSocket(socketOf(l.conn)); !ok || e != 0 {
		return n, err
	}
	l.conn.SetReadDeadline(time.Now().Add(lastReadTime))
	return l.read(b)
}

// read notes when what it gives was here. Guards against a client's time that begins when it is read: while the process stood
// still, that may be long after.
func (l *deadlineReader) read(b []byte) (int, error) {
	n, err := l.conn.Read(b)
	if n > 0 {
		l.receivedAt = time.Now().Add(-sinceLastData(socketOf(l.conn)))
	}
	return n, err
}
