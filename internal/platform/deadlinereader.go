package platform

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// deadlineReader reads from a connection with a deadline. Guards against a deadline that passed while this process stood still, or got
// no processor: what is here by then is read before the deadline counts, all of it.
type deadlineReader struct {
	conn        net.Conn
	lookedAgain bool // nothing was here
	lateBytes   int  // bytes that were read after a deadline
}

func (d *deadlineReader) setDeadline(at time.Time) {
	d.lookedAgain = false
	d.conn.SetReadDeadline(at)
}

func (d *deadlineReader) Read(b []byte) (int, error) {
	n, err := d.conn.Read(b)
	if n == 0 && !d.lookedAgain && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = d.readPending(b)
		d.lookedAgain = n == 0
		d.lateBytes += n
	}
	return n, err
}

// readPending reads what is here, without waiting where the connection lets it.
func (d *deadlineReader) readPending(b []byte) (n int, err error) {
	readNow := d.nonBlockingRead()
	if readNow == nil {
		d.conn.SetReadDeadline(time.Now().Add(lastReadTime))
		return d.conn.Read(b)
	}
	const most = 8 // others may have the deadline pass again before the look
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

// nonBlockingRead gives what reads without waiting, EAGAIN where nothing is here; nil where the connection can't.
func (d *deadlineReader) nonBlockingRead() func(b []byte) (int, error) {
	switch c := d.conn.(type) {
	case *trackedConn:
		if c.direct && c.raw != nil {
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
