package client

import (
	"context"
	"crypto/tls"
	"hollymast/internal/rest"
	"net"
	"time"
)

// get gives a connection to a router: an idle one, or a new one as soon as one may be made.
func (c *Client) acquire(ctx context.Context, router int) (*rest.Client, error) {
	for {
		c.mu.Lock()
		for n := len(c.idle[router]); n > 0; n = len(c.idle[router]) {
			conn := c.idle[router][n-1]
			c.idle[router] = c.idle[router][:n-1]
			if !conn.Stale() {
				c.mu.Unlock()
				return conn, nil
			}
			conn.Close()
			c.connectionEnded(router, true)
		}
		allowed, at := c.routers.MayConnect(c.now(), router)
		if allowed = allowed && c.open[router] < c.options.Connections; allowed {
			c.open[router]++
			c.routers.ConnectionOpened(router)
		}
		c.mu.Unlock()
		if !allowed {
			wait := max(time.Millisecond, time.Until(c.at(at)))
			t := time.NewTimer(wait)
			select {
			case <-t.C:
				continue
			case <-ctx.Done():
				t.Stop()
				return nil, ctx.Err()
			}
		}
		var secure rest.Handshake
		if c.options.TLS != nil {
			secure = func(ctx context.Context, nc net.Conn, address string) (net.Conn, error) {
				config := c.options.TLS.Clone()
				if config.ServerName == "" {
					config.ServerName, _, _ = net.SplitHostPort(address)
				}
				s := tls.Client(nc, config)
				return s, s.HandshakeContext(ctx)
			}
		}
		conn, err := rest.DialWith(ctx, c.options.Routers[router], &rest.DefaultLimits, secure)
		if err != nil {
			c.mu.Lock()
			c.open[router]--
			c.routers.ConnectionClosed(router)
			c.mu.Unlock()
			return nil, err
		}
		if c.options.Hooks.Connected != nil {
			c.options.Hooks.Connected(c.options.Routers[router])
		}
		return conn, nil
	}
}

// gone counts a connection that is no more; the lock is held.
func (c *Client) connectionEnded(router int, broke bool) {
	c.open[router]--
	if !broke {
		c.routers.ConnectionClosed(router)
		return
	}
	c.routers.ConnectionLost(c.now(), router, c.random)
	if c.options.Hooks.Lost != nil {
		c.options.Hooks.Lost(c.options.Routers[router])
	}
}

// put keeps a connection for the next call, unless it ends.
func (c *Client) release(router int, x *rest.Client, ends bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ends || c.closed {
		x.Close()
		c.connectionEnded(router, false)
		return
	}
	c.idle[router] = append(c.idle[router], x)
}

// lose closes a connection that broke.
func (c *Client) discard(router int, x *rest.Client) {
	x.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connectionEnded(router, true)
}
