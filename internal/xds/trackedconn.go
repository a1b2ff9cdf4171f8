package xds

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// trackedConn is a connection that knows whether all that has arrived on it was read.
type trackedConn struct {
	net.Conn
	reading  atomic.Bool               // the reader has processed what it was given before, and asks for more
	lastRead atomic.Pointer[time.Time] // when it was last given something; nil: never
}

// Read records that its reader has processed what it was given before.
func (c *trackedConn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(b)
	now := time.Now()
	c.lastRead.Store(&now)
	c.reading.Store(false)
	return n, err
}

// unread reports whether something has arrived that the reader has not processed. It reports false where it can't know.
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

// dialer dials a control plane and keeps hold of the latest connection.
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

// settled reports whether all that has arrived was read, and long enough ago to have come out of its stream.
func (d *dialer) settled() bool {
	c := d.current.Load()
	if c == nil {
		return true
	}
	lastRead := c.lastRead.Load()
	return !c.unread() && (lastRead == nil || time.Since(*lastRead) >= deliveryTime)
}
