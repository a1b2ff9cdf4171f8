package platform

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// deadlineReader reads from a connection with a deadline that bounds when bytes arrive, not when they are read. It
// guards against a deadline that passed while this process was stalled or had no processor: what has arrived by then
// is read, all of it, before the deadline counts.
type deadlineReader struct {
	conn      net.Conn
	rechecked bool // nothing was pending after the deadline
	finished  bool // nothing is read from the connection any more, only what remains
	remaining []byte
}

// setDeadline sets the deadline of later reads; zero: none.
func (d *deadlineReader) setDeadline(at time.Time) {
	d.rechecked = false
	d.conn.SetReadDeadline(at)
}

// finish reads what is pending now, up to what a usual client may have in transit; after that nothing is read from the
// connection. Guards against a client that sends faster than it is read.
func (d *deadlineReader) finish() {
	b := make([]byte, 2<<10)
	for len(d.remaining) < maxInTransit {
		n, err := d.readPending(b)
		if d.remaining = append(d.remaining, b[:n]...); n == 0 || err != nil {
			break
		}
	}
	d.finished = true
}

// Read reads; past the deadline only what is pending, and then returns os.ErrDeadlineExceeded.
func (d *deadlineReader) Read(b []byte) (int, error) {
	if d.finished {
		n := copy(b, d.remaining)
		if d.remaining = d.remaining[n:]; n == 0 {
			return 0, os.ErrDeadlineExceeded
		}
		return n, nil
	}
	n, err := d.conn.Read(b)
	if n == 0 && !d.rechecked && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = d.readPending(b)
		d.rechecked = n == 0
	}
	return n, err
}

// readPending reads what is pending, without blocking where the connection supports that.
func (d *deadlineReader) readPending(b []byte) (n int, err error) {
	readNow := d.nonBlockingRead()
	if readNow == nil {
		d.conn.SetReadDeadline(time.Now().Add(lastReadTime))
		return d.conn.Read(b)
	}
	const most = 8 // the deadline may pass again before the read
	for tries := 0; tries < most; tries++ {
		d.conn.SetReadDeadline(time.Now().Add(lastReadTime))
		switch n, err = readNow(b); {
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return 0, os.ErrDeadlineExceeded
		}
		return n, err
	}
	return 0, os.ErrDeadlineExceeded
}

// nonBlockingRead returns a read that returns EAGAIN where nothing is pending, or nil where the connection has none.
func (d *deadlineReader) nonBlockingRead() func(b []byte) (int, error) {
	switch c := d.conn.(type) {
	case *trackedConn:
		if c.readsDescriptor && c.raw != nil {
			return func(b []byte) (int, error) { return c.read(b, noWait) }
		}
	case syscall.Conn:
		if raw, err := c.SyscallConn(); err == nil {
			return func(b []byte) (int, error) {
				return readRaw(raw, noWait, func(fd int) (int, error) { return syscall.Read(fd, b) })
			}
		}
	}
	return nil
}
