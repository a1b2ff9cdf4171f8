package xds

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// trackedConn is a connection that can tell whether all bytes that have arrived on it were read.
type trackedConn struct {
	net.Conn
	reading  atomic.Bool               // a Read is running: the reader has processed all bytes of earlier Reads
	lastRead atomic.Pointer[time.Time] // when the last Read returned; nil: none has
}

// Read records that the reader has processed all bytes of earlier Reads, and when it returns new ones.
func (c *trackedConn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(b)
	now := time.Now()
	c.lastRead.Store(&now)
	c.reading.Store(false)
	return n, err
}

// unread reports whether bytes have arrived that the reader has not processed. It reports false if it has no access to the socket.
func (c *trackedConn) unread() bool {
	if !c.reading.Load() {
		return true
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// dialer dials a control plane and keeps the latest connection.
type dialer struct {
	dial    func(ctx context.Context, address string) (net.Conn, error)
	current atomic.Pointer[trackedConn] // nil: none yet
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

func (d *dialer) connect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn}
	d.current.Store(c)
	return c, nil
}

// allDelivered reports whether all bytes that have arrived were read, long enough ago for the stream to have returned their
// messages.
func (d *dialer) allDelivered() bool {
	c := d.current.Load()
	if c == nil {
		return true
	}
	lastRead := c.lastRead.Load()
	return !c.unread() && (lastRead == nil || time.Since(*lastRead) >= deliveryTime)
}
