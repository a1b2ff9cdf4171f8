package rest

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// deadlineReader reads from a connection with a deadline. It guards against a deadline that passed while this process was
// stalled: what had arrived by then is read before the deadline counts, once for each deadline.
type deadlineReader struct {
	conn        net.Conn
	pendingRead atomic.Bool // what was pending at the deadline was read
	receivedAt  time.Time   // when the bytes of the last read had arrived
}

// pendingReadTimeout is for how long pending bytes are read after a deadline: they are read at once, but the rest of a message
// may have to be copied, or that of a TLS record may be in transit.
const pendingReadTimeout = 50 * time.Millisecond

// setDeadline sets the deadline of reads; zero means none.
func (r *deadlineReader) setDeadline(at time.Time) {
	r.pendingRead.Store(false)
	r.conn.SetReadDeadline(at)
}

// interrupt ends a blocked read, without reading what is pending.
func (r *deadlineReader) interrupt() {
	r.pendingRead.Store(true)
	r.conn.SetReadDeadline(time.Unix(1, 0))
}

// Read is part of io.Reader.
func (r *deadlineReader) Read(b []byte) (int, error) {
	n, err := r.read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || r.pendingRead.Swap(true) {
		return n, err
	}
	if e, ok := peekSocket(socketOf(r.conn)); !ok || e != 0 {
		return n, err
	}
	r.conn.SetReadDeadline(time.Now().Add(pendingReadTimeout))
	return r.read(b)
}

// read records when the bytes that it returns had arrived. It guards against a request's deadline that begins when the
// request is read: after a stall of this process that may be long after it arrived.
func (r *deadlineReader) read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if n > 0 {
		r.receivedAt = time.Now().Add(-sinceLastData(socketOf(r.conn)))
	}
	return n, err
}
