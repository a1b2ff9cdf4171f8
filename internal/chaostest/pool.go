package chaostest

import (
	"context"
	"net"
	"sync"
	"time"

	"hollymast/internal/rest"
)

// freeAddress finds a loopback address whose port is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// clientPool keeps idle client connections to one router.
type clientPool struct {
	address   string
	handshake rest.Handshake // nil: no TLS
	mu        sync.Mutex
	idle      []*rest.Client
}

const dialTimeout = time.Second

// get returns an idle connection, or dials a new one.
func (p *clientPool) get(ctx context.Context) (*rest.Client, error) {
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return rest.DialWithHandshake(ctx, p.address, &rest.DefaultLimits, p.handshake)
}

// takeIdle returns the idle connection that was used last, or nil. It closes those that the router has closed.
func (p *clientPool) takeIdle() *rest.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !c.Stale() {
			return c
		}
		c.Close()
	}
	return nil
}

func (p *clientPool) put(c *rest.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}
