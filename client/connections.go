package client

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"hollymast/internal/rest"
)

// acquire returns a connection to a router: an idle one, or a new one as soon as a new one is allowed. The error is the
// context's or the dial's.
func (c *Client) acquire(ctx context.Context, router int) (*rest.Client, error) {
	for {
		conn, mayDial, retryAt := c.takeIdle(router)
		switch {
		case conn != nil:
			return conn, nil
		case mayDial:
			return c.dial(ctx, router)
		}
		// Polling also finds a connection that another call has released.
		timer := time.NewTimer(max(acquirePollInterval, time.Until(retryAt)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		}
	}
}

// acquirePollInterval is the minimum interval between two checks for a connection.
const acquirePollInterval = time.Millisecond

// takeIdle returns an idle connection. If there is none, mayDial tells whether to dial a new one, which is then already
// counted as open; otherwise retryAt tells when to check again.
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
		return nil, false, c.timeOf(at)
	}
	c.open[router]++
	c.routers.ConnectionOpened(router)
	return nil, true, time.Time{}
}

// dial makes a connection that is already counted as open.
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

// connectionClosed records that a connection was closed locally or could not be made. The caller holds the lock.
func (c *Client) connectionClosed(router int) {
	c.open[router]--
	c.routers.ConnectionClosed(router)
}

// connectionLost records that a connection broke. The caller holds the lock.
func (c *Client) connectionLost(router int) {
	c.open[router]--
	c.routers.ConnectionLost(c.now(), router, c.random)
	if c.options.Hooks.ConnectionLost != nil {
		c.options.Hooks.ConnectionLost(c.options.Routers[router])
	}
}

// connDisposition tells whether a connection is kept or closed after an attempt.
type connDisposition bool

const (
	keepConn  connDisposition = false
	closeConn connDisposition = true
)

// release ends the use of a connection and keeps it for the next call or closes it.
func (c *Client) release(router int, conn *rest.Client, disposition connDisposition) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if disposition == closeConn || c.closed {
		conn.Close()
		c.connectionClosed(router)
		return
	}
	c.idle[router] = append(c.idle[router], conn)
}

// discard closes a broken connection.
func (c *Client) discard(router int, conn *rest.Client) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connectionLost(router)
}
