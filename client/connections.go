package client

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"hollymast/internal/rest"
)

// acquire returns a connection to a router: an idle one, or a new one as soon as one may be made. The error is the context's
// or that of the dial.
func (c *Client) acquire(ctx context.Context, router int) (*rest.Client, error) {
	for {
		conn, mayDial, retryAt := c.takeIdle(router)
		switch {
		case conn != nil:
			return conn, nil
		case mayDial:
			return c.dial(ctx, router)
		}
		// A connection that another call gives back is found by looking again.
		timer := time.NewTimer(max(minAcquirePause, time.Until(retryAt)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		}
	}
}

// minAcquirePause is the pause between two looks for a connection.
const minAcquirePause = time.Millisecond

// takeIdle returns an idle connection. Where there is none, it returns whether to dial a new one, which it has counted as
// open then, or when to look again.
func (c *Client) takeIdle(router int) (conn *rest.Client, mayDial bool, retryAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.idle[router]); n > 0; n = len(c.idle[router]) {
		conn := c.idle[router][n-1]
		c.idle[router] = c.idle[router][:n-1]
		if !conn.Stale() {
			return conn, false, time.Time{}
		}
		conn.Close()
		c.connectionLost(router)
	}
	allowed, at := c.routers.MayConnect(c.now(), router)
	if !allowed || c.open[router] >= c.options.Connections {
		return nil, false, c.at(at)
	}
	c.open[router]++
	c.routers.ConnectionOpened(router)
	return nil, true, time.Time{}
}

// dial makes a connection that is counted as open already.
func (c *Client) dial(ctx context.Context, router int) (*rest.Client, error) {
	var handshake rest.Handshake // nil: plain text
	if c.options.TLS != nil {
		handshake = c.tlsHandshake
	}
	conn, err := rest.DialWithHandshake(ctx, c.options.Routers[router], &rest.DefaultLimits, handshake)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.connectionClosed(router)
		return nil, err
	}
	if c.options.Hooks.ConnectionOpened != nil {
		c.options.Hooks.ConnectionOpened(c.options.Routers[router])
	}
	return conn, nil
}

func (c *Client) tlsHandshake(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	config := c.options.TLS.Clone()
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	secure := tls.Client(conn, config)
	return secure, secure.HandshakeContext(ctx)
}

// connectionClosed counts a connection that this side closed or that was never made. The lock is held.
func (c *Client) connectionClosed(router int) {
	c.open[router]--
	c.routers.ConnectionClosed(router)
}

// connectionLost counts a connection that broke. The lock is held.
func (c *Client) connectionLost(router int) {
	c.open[router]--
	c.routers.ConnectionLost(c.now(), router, c.random)
	if c.options.Hooks.ConnectionLost != nil {
		c.options.Hooks.ConnectionLost(c.options.Routers[router])
	}
}

// connFate is what becomes of a connection after an attempt.
type connFate bool

const (
	keepConn  connFate = false
	closeConn connFate = true
)

// release gives a connection back, for the next call or to be closed.
func (c *Client) release(router int, conn *rest.Client, fate connFate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fate == closeConn || c.closed {
		conn.Close()
		c.connectionClosed(router)
		return
	}
	c.idle[router] = append(c.idle[router], conn)
}

// discard closes a connection that broke.
func (c *Client) discard(router int, conn *rest.Client) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connectionLost(router)
}
