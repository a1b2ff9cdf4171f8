package chaostest

import (
	"context"
	"hollymast/internal/rest"
	"net"
	"sync"
	"time"
)

// freeAddress finds a port on loopback that is free just now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// clientPool keeps connections to one router.
type clientPool struct {
	address string
	secure  rest.Handshake // nil: in plain text
	mu      sync.Mutex
	idle    []*rest.Client
}

func (c *clientPool) get(ctx context.Context) (*rest.Client, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		x := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if !x.Stale() {
			c.mu.Unlock()
			return x, nil
		}
		x.Close()
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return rest.DialWith(ctx, c.address, &rest.DefaultLimits, c.secure)
}

func (c *clientPool) put(x *rest.Client) {
	c.mu.Lock()
	c.idle = append(c.idle, x)
	c.mu.Unlock()
}

func (c *clientPool) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.idle {
		x.Close()
	}
	c.idle = nil
}
