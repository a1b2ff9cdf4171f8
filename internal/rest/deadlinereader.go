package rest

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// deadlineReader reads from a connection with a deadline. A deadline may pass while this process is stalled: bytes that
// arrived by then are still read before the deadline error is returned, once per deadline.
type deadlineReader struct {
	conn        net.Conn
	pendingRead atomic.Bool // the bytes that were pending at the deadline have been read
	receivedAt  time.Time   // when the bytes of the last read arrived
}

// pendingReadTimeout bounds reading pending bytes after a deadline. The read itself is immediate, but the rest of a
// message may have to be copied, or the rest of a TLS record may be in transit.
const pendingReadTimeout = 50 * time.Millisecond

// setDeadline sets the read deadline; zero means none.
func (r *deadlineReader) setDeadline(at time.Time) {
	r.pendingRead.Store(false)
	r.conn.SetReadDeadline(at)
}

// interrupt ends a blocked read without reading pending bytes.
func (r *deadlineReader) interrupt() {
	r.pendingRead.Store(true)
	r.conn.SetReadDeadline(time.Unix(1, 0))
}

// Read implements io.Reader.
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

// read records when the bytes that it returns arrived. A request's deadline is counted from that time, since after a
// stall of this process the request may be read long after it arrived.
func (r *deadlineReader) read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	if n > 0 {
		r.receivedAt = time.Now().Add(-sinceLastData(socketOf(r.conn)))
	}
	return n, err
}
