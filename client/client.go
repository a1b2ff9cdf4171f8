// Package client calls a hollymast router, or several, as a client should: one deadline a call, marks on every repeat, retries that
// do no harm and stay a small part of calls, pauses as advised, reconnects that spread out. It keeps no global state.
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

// Client keeps connections to routers. It may be used by many goroutines.
type Client struct {
	options   Options
	started   time.Time
	keyPrefix string

	mu         sync.Mutex
	random     *rand.Rand
	budget     *retry.Budget
	routers    *retry.Routers
	latencies  retry.Latencies
	idle       [][]*rest.Client
	open       []int
	keysIssued uint64
	closed     bool
}

// New gives a client that has no connection yet. Errors tell what is wrong with the options.
func New(o Options) (*Client, error) {
	if len(o.Routers) == 0 {
		return nil, errors.New("no router is told")
	}
	for _, a := range o.Routers {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, fmt.Errorf("router %q: %w", a, err)
		}
	}
	if o.Connections == 0 {
		o.Connections = 64
	}
	if o.Patience == 0 {
		o.Patience = 10 * time.Second
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	c := &Client{options: o, started: time.Now(), random: rand.New(rand.NewPCG(o.Seed, 0)), budget: retry.NewBudget(), idle: make([][]*rest.Client, len(o.Routers)),
		open: make([]int, len(o.Routers))}
	c.keyPrefix = strconv.FormatUint(c.random.Uint64(), 36) + "-"
	c.routers = retry.NewRouters(len(o.Routers), c.random.IntN(len(o.Routers)))
	return c, nil
}

// Close closes all connections that are idle, and the others when their exchanges end.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for i, idle := range c.idle {
		for _, x := range idle {
			x.Close()
		}
		c.idle[i] = nil
	}
}

func (c *Client) now() control.Micros {
	return control.Micros(time.Since(c.started).Microseconds()) + 1
}

func (c *Client) at(t control.Micros) time.Time {
	return c.started.Add(time.Duration(t-1) * time.Microsecond)
}

// Infer makes a call. It has one outcome: an answer, or a *Failed.
func (c *Client) Infer(ctx context.Context, call Call) (Answer, error) {
	begun := time.Now()
	deadline, told := ctx.Deadline()
	if patience := call.Patience; patience > 0 || !told {
		if patience == 0 {
			patience = c.options.Patience
		}
		if at := begun.Add(patience); !told || at.Before(deadline) {
			deadline = at
		}
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(c.options.Late))
	defer cancel()
	w := retry.Class{Effect: [...]control.Effect{control.NonIdempotent, control.Idempotent, control.IdempotentByKey}[call.Workload.Effect],
		Window: control.Micros(call.Workload.Window.Microseconds()), KeysPersisted: call.Workload.Remembered, HedgeSafe: call.Workload.Hedge}
	if call.Workload.Narrow {
		w.Scope = control.OneZone
	}
	c.mu.Lock()
	if call.Mark == "" {
		c.keysIssued++
		call.Mark = c.keyPrefix + strconv.FormatUint(c.keysIssued, 36)
	}
	c.budget.Deposit()
	c.mu.Unlock()
	t := &callState{client: c, call: &call, retry: retry.NewCall(w, c.now()+control.Micros(time.Until(deadline).Microseconds())), deadline: deadline, results: make(chan attemptResult, 8)}
	a, failed := t.run(ctx)
	kind := "finished"
	if failed != nil {
		kind = string(failed.Kind)
		failed.Tries = t.retry.Attempts()
	}
	if c.options.Hooks.Done != nil {
		c.options.Hooks.Done(kind, t.retry.Attempts(), time.Since(begun))
	}
	if failed != nil {
		return Answer{}, failed
	}
	a.Tries = t.retry.Attempts()
	return a, nil
}
