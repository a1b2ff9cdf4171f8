package platform

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// deadlineReader reads from a connection with a deadline for the arrival of bytes, not for reading them. If the
// deadline passes while this process is stalled or waits for a processor, everything that has arrived by then is read
// before the deadline takes effect.
type deadlineReader struct {
	conn      net.Conn
	rechecked bool // nothing was pending when checked after the deadline
	finished  bool // nothing more is read from the connection, only remaining is returned
	remaining []byte
}

// setDeadline sets the deadline of subsequent reads; the zero time means none.
func (d *deadlineReader) setDeadline(at time.Time) {
	d.rechecked = false
	d.conn.SetReadDeadline(at)
}

// finish buffers what is pending now, up to what a well-behaved client may have in transit. After that nothing is
// read from the connection, so that a client that sends faster than it is read can't prolong it.
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

// Read reads from the connection. Past the deadline it returns only pending input, and then os.ErrDeadlineExceeded.
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

// readPending reads pending input, without blocking if the connection supports that.
func (d *deadlineReader) readPending(b []byte) (n int, err error) {
	readNow := d.nonBlockingRead()
	if readNow == nil {
		d.conn.SetReadDeadline(time.Now().Add(lastReadTime))
		return d.conn.Read(b)
	}
	const maxTries = 8 // the new deadline may pass again before the read
	for tries := 0; tries < maxTries; tries++ {
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

// nonBlockingRead returns a read function that returns EAGAIN if nothing is pending, or nil if the connection has
// none.
func (d *deadlineReader) nonBlockingRead() func(b []byte) (int, error) {
	switch c := d.conn.(type) {
	case *trackedConn:
		if c.readsDescriptor && c.raw != nil {
			return func(b []byte) (int, error) { return c.read(b, noWait) }
		}
	case syscall.Conn:
		if raw, err := c.SyscallConn(); err == nil {
			return func(b []byte) (int, error) { return readAvailable(raw, b) }
		}
	}
	return nil
}
