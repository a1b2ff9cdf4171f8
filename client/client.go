// Package client calls one hollymast router or several: with one deadline a call, an idempotency key on every attempt,
// retries that do no harm and stay a small part of the calls, pauses as the routers advise, and reconnects that are spread
// out. It keeps no global state.
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
	open       []int            // connections, idle or in use, by router
	keysIssued uint64
}

// Defaults of Options.
const (
	defaultConnections = 64
	defaultPatience    = 10 * time.Second
)

// New returns a client that has no connection yet. The error says what is wrong with the options.
func New(o Options) (*Client, error) {
	if len(o.Routers) == 0 {
		return nil, errors.New("no router is told")
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
		o.DefaultTimeout = defaultPatience
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

// Close closes the connections that are idle now, and the others at the end of their exchanges.
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

// now returns the time since the start in the form that package retry takes, where 0 means none.
func (c *Client) now() control.Micros {
	return control.Micros(time.Since(c.started).Microseconds()) + 1
}

// at is the opposite of now.
func (c *Client) at(t control.Micros) time.Time {
	return c.started.Add(time.Duration(t-1) * time.Microsecond)
}

// Infer makes a call. It has one outcome: an answer, or an error that is a *Failed.
func (c *Client) Infer(ctx context.Context, call Call) (Response, error) {
	begun := time.Now()
	deadline := c.deadline(ctx, call, begun)
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
	answer, failed := state.run(ctx)
	attempts := state.retry.Attempts()
	kind := "finished"
	if failed != nil {
		kind = string(failed.Kind)
		failed.Attempts = attempts
	}
	if c.options.Hooks.CallEnded != nil {
		c.options.Hooks.CallEnded(kind, attempts, time.Since(begun))
	}
	if failed != nil {
		return Response{}, failed
	}
	answer.Attempts = attempts
	return answer, nil
}

// deadline returns the earlier of the context's deadline and the end of the call's patience. The default patience is for
// calls with neither.
func (c *Client) deadline(ctx context.Context, call Call, begun time.Time) time.Time {
	deadline, limited := ctx.Deadline()
	patience := call.Timeout
	if patience <= 0 {
		if limited {
			return deadline
		}
		if patience == 0 {
			patience = c.options.DefaultTimeout
		}
	}
	if at := begun.Add(patience); !limited || at.Before(deadline) {
		deadline = at
	}
	return deadline
}
