package xds

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// watchedConn is a connection to a control plane of which it can be told whether all that came was read.
type trackedConn struct {
	net.Conn
	reading  atomic.Bool               // the reader has taken all that it was given before, and asks for more
	lastRead atomic.Pointer[time.Time] // when it was given something last; nil: never
}

// Read notes that its reader is done with what it got before.
func (c *trackedConn) Read(b []byte) (int, error) {
	c.reading.Store(true)
	n, err := c.Conn.Read(b)
	now := time.Now()
	c.lastRead.Store(&now)
	c.reading.Store(false)
	return n, err
}

// unread tells whether something has come that its reader has not taken. Where that can't be found out it says no.
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

// dialer dials a control plane and keeps the connection that stands.
type dialer struct {
	dial    func(ctx context.Context, address string) (net.Conn, error)
	current atomic.Pointer[trackedConn]
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

// settled tells whether all that came was read, and long enough ago to have come out of its stream.
func (d *dialer) settled() bool {
	c := d.current.Load()
	if c == nil {
		return true
	}
	last := c.lastRead.Load()
	return !c.unread() && (last == nil || time.Since(*last) >= deliveryTime)
}
