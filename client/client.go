// Package client sends inference requests to one or more hollymast routers. A call has one deadline and one idempotency
// key for all of its attempts. Retries are made only where they do no harm, are limited to a small share of the calls, and
// follow the delays that routers advise. Reconnects are spread over time. The package keeps no global state.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"hollymast/control"
	"hollymast/internal/rest"
	"hollymast/internal/retry"
)

// Client keeps connections to routers. It is safe for concurrent use.
type Client struct {
	options   Options
	started   time.Time
	keyPrefix string

	mu         sync.Mutex
	closed     bool
	random     *rand.Rand
	budget     *retry.Budget
	routers    *retry.Routers
	latencies  retry.Latencies
	idle       [][]*rest.Client // by router
	open       []int            // number of connections, idle or in use, by router
	keysIssued uint64
}

// Defaults of Options.
const (
	defaultConnections = 64
	defaultTimeout     = 10 * time.Second
)

// New returns a client, which has no connections yet. The error says which option is invalid.
func New(o Options) (*Client, error) {
	if len(o.Routers) == 0 {
		return nil, errors.New("no router address is given")
	}
	for _, address := range o.Routers {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("router %q: %w", address, err)
		}
	}
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
	if o.DefaultTimeout == 0 {
		o.DefaultTimeout = defaultTimeout
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	random := rand.New(rand.NewPCG(o.Seed, 0))
	return &Client{
		options:   o,
		started:   time.Now(),
		keyPrefix: strconv.FormatUint(random.Uint64(), 36) + "-",
		random:    random,
		budget:    retry.NewBudget(),
		routers:   retry.NewRouters(len(o.Routers), random.IntN(len(o.Routers))),
		idle:      make([][]*rest.Client, len(o.Routers)),
		open:      make([]int, len(o.Routers)),
	}, nil
}

// Close closes idle connections immediately, and the others at the end of their exchanges.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for i, idle := range c.idle {
		for _, conn := range idle {
			conn.Close()
		}
		c.idle[i] = nil
	}
}

// now returns the time since the client was created, plus one microsecond, because 0 means "not set" in package retry.
func (c *Client) now() control.Micros {
	return control.Micros(time.Since(c.started).Microseconds()) + 1
}

// timeOf converts a time as returned by now into a time.Time.
func (c *Client) timeOf(t control.Micros) time.Time {
	return c.started.Add(time.Duration(t-1) * time.Microsecond)
}

// Infer makes a call. It returns a response or an error that is a *CallError.
func (c *Client) Infer(ctx context.Context, call Call) (Response, error) {
	startedAt := time.Now()
	deadline := c.deadline(ctx, call, startedAt)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(c.options.LateResponseTimeout))
	defer cancel()
	c.mu.Lock()
	if call.IdempotencyKey == "" {
		c.keysIssued++
		call.IdempotencyKey = c.keyPrefix + strconv.FormatUint(c.keysIssued, 36)
	}
	c.budget.Deposit()
	c.mu.Unlock()
	state := c.newCallState(&call, deadline)
	response, callErr := state.run(ctx)
	attempts := state.retry.Attempts()
	kind := "finished"
	if callErr != nil {
		kind = string(callErr.Kind)
		callErr.Attempts = attempts
	}
	if c.options.Hooks.CallEnded != nil {
		c.options.Hooks.CallEnded(kind, attempts, time.Since(startedAt))
	}
	if callErr != nil {
		return Response{}, callErr
	}
	response.Attempts = attempts
	return response, nil
}

// deadline returns the earlier of the context's deadline and the end of the call's timeout. The default timeout applies to
// calls that have neither.
func (c *Client) deadline(ctx context.Context, call Call, startedAt time.Time) time.Time {
	deadline, hasDeadline := ctx.Deadline()
	timeout := call.Timeout
	if timeout <= 0 {
		if hasDeadline {
			return deadline
		}
		if timeout == 0 {
			timeout = c.options.DefaultTimeout
		}
	}
	if at := startedAt.Add(timeout); !hasDeadline || at.Before(deadline) {
		deadline = at
	}
	return deadline
}
