package discovery

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"hollymast/internal/backoff"
	"hollymast/internal/fleet"
)

// Client keeps a State up to date with a discovery server. Its goroutine (Run) dials and waits; what has arrived
// is read by it or by whoever needs the endpoint list now (CatchUp), under one lock.
type Client struct {
	grace          time.Duration // within which a change of the list must take effect
	onUpdate       func(fleet.Update)
	reportError    func(text string, err error)
	addressChanged chan struct{} // capacity 1: the address changed
	backoff        *backoff.Backoff

	startOnce sync.Once
	started   chan struct{}
	// fastReconnectUntil bounds the waits after a watch that ended before it was up to date: all that it would have sent
	// counts as listed since it was asked for. It belongs to Run.
	fastReconnectUntil time.Time

	mu      sync.Mutex
	address string
	state   State
	watch   *watch // nil: not connected
	// completeAsOf is the last time of which it is known that the state holds all that the server had sent by then.
	completeAsOf time.Time
}

// NewClient returns a client that goes on from a state. onUpdate is called with each change, in their order,
// with a lock held: it must not block or call the client. report is called with what went wrong.
func NewClient(state State, address string, grace time.Duration, seed uint64, onUpdate func(fleet.Update),
	report func(string, error)) *Client {
	return &Client{
		state:          state,
		address:        address,
		grace:          grace,
		onUpdate:       onUpdate,
		reportError:    report,
		addressChanged: make(chan struct{}, 1),
		started:        make(chan struct{}),
		backoff:        backoff.New(seed, minBackoff, maxBackoff),
	}
}

const (
	// silenceTimeout is how long nothing may arrive before the connection counts as broken. A message comes each second:
	// one and a half without leaves time to reconnect well within the 4 s after which all counts as listed.
	silenceTimeout = 1500 * time.Millisecond
	// dialTimeout bounds connecting, a few round trips, well within the 2 s after a break.
	dialTimeout = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff between two failed attempts: with a dial that hangs the longest
	// stays within the 2 s after a break.
	minBackoff, maxBackoff = 20 * time.Millisecond, time.Second
)

// SetAddress makes the client go on at another address. The old connection is read until the new one is
// established.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
	if c.watch != nil {
		c.watch.conn.SetReadDeadline(time.Now()) // wakes Run
	}
	select {
	case c.addressChanged <- struct{}{}:
	default:
	}
}

// CatchUp reads all that the server has sent so far and returns the time as of which the endpoint list is
// complete. Without a connection, the list is as complete as it can be: that is now.
//
// It never closes a connection that has ended, since a close waits for the readers of the descriptor, and Run's goroutine
// may be one that waits for the lock: that goroutine closes it.
func (c *Client) CatchUp() (asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.watch; w != nil {
		if w.readAll(c) == nil {
			c.noteComplete(w)
			return w.completeAsOf
		}
	}
	return time.Now()
}

// CompleteAsOf returns the last time of which it is known that the endpoint list holds all that the server had
// sent by then; zero: none is known. While there is no connection, or a new one is not up to date yet, it stays
// what it was.
func (c *Client) CompleteAsOf() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completeAsOf
}

// noteComplete records that all that has arrived on a watch was read. The lock is held.
func (c *Client) noteComplete(w *watch) {
	if c.state.UpToDate() && len(w.partialLine) == 0 && !w.skippingLine {
		c.completeAsOf = w.completeAsOf
	}
}

// Started returns a channel that is closed once the list can be relied on after a start: the server has
// answered, has had its time to, or can't be reached.
func (c *Client) Started() <-chan struct{} { return c.started }

func (c *Client) markStarted() { c.startOnce.Do(func() { close(c.started) }) }

// Run keeps the state up to date until the context ends. It is called once.
func (c *Client) Run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		revision, began := c.Revision(), time.Now()
		w, err := c.open(ctx)
		if err == nil {
			if err = c.readWatch(ctx, w); !c.upToDate() {
				c.fastReconnectUntil = time.Now().Add(c.grace)
			}
		}
		if ctx.Err() != nil {
			return
		}
		c.markStarted()
		c.reportError("reconnecting to discovery", err)
		if errors.Is(err, errAddressChanged) {
			c.backoff.Reset()
			c.clearAddressChanged()
			continue
		}
		if c.Revision() > revision || time.Since(began) >= silenceTimeout { // the connection was of use
			c.backoff.Reset()
		}
		select {
		case <-time.After(c.backoff.NextWithin(c.boundReconnectWait(maxBackoff))):
		case <-c.addressChanged:
			c.backoff.Reset()
		case <-ctx.Done():
		}
	}
}

// Revision returns the number of the last event that was applied.
func (c *Client) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Revision()
}

// upToDate reports whether the last watch got up to date.
func (c *Client) upToDate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.UpToDate()
}

// boundReconnectWait bounds a wait. While a watch is urgent, a pause and a dial take a quarter of the grace each at most;
// the other half is for the answer and the way to the model server (attempt.MaxEndpointsAge).
func (c *Client) boundReconnectWait(usual time.Duration) time.Duration {
	if time.Now().Before(c.fastReconnectUntil) {
		return min(usual, c.grace/4)
	}
	return usual
}

// open dials and subscribes to all that is new. The previous watch is read to its end first and then closed.
func (c *Client) open(ctx context.Context) (*watch, error) {
	c.mu.Lock()
	address := c.address
	c.mu.Unlock()
	dialer := net.Dialer{Timeout: c.boundReconnectWait(dialTimeout)}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address != address {
		conn.Close()
		return nil, errAddressChanged
	}
	if c.watch != nil {
		c.watch.readAll(c)
		c.closeWatch(c.watch)
	}
	w, err := newWatch(conn, address, c.state.Revision())
	if err != nil {
		conn.Close()
		return nil, err
	}
	c.state.Subscribed()
	c.watch = w
	return w, nil
}

// readWatch reads a watch until it breaks off, falls silent, leaves out an event, or the address changes.
func (c *Client) readWatch(ctx context.Context, w *watch) error {
	unblock := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		w.conn.SetReadDeadline(time.Now())
	})
	defer unblock()
	// A server with nothing new says so only with its next heartbeat.
	answerTime := time.AfterFunc(c.grace/4, c.markStarted)
	defer answerTime.Stop()
	for {
		err := w.wait(func(fd uintptr) error { return c.readReady(ctx, w, fd) })
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = c.readAfterDeadline(ctx, w)
		}
		if errors.Is(err, errAddressChanged) {
			return err
		}
		if err != nil {
			return c.closeEnded(w, err)
		}
	}
}

// readReady reads what has arrived, and sets the deadline to the end of the silence allowed.
func (c *Client) readReady(ctx context.Context, w *watch, fd uintptr) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.stopReason(ctx, w); err != nil {
		return err
	}
	if err := w.markEnded(w.readAvailable(fd, c)); err != nil {
		return err
	}
	c.noteComplete(w)
	w.conn.SetReadDeadline(w.lastLine.Add(silenceTimeout))
	return nil
}

// stopReason returns why a watch is no longer to be read: the context has ended or the address has changed.
// The lock is held.
func (c *Client) stopReason(ctx context.Context, w *watch) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if c.address != w.address {
		return errAddressChanged
	}
	return nil
}

// clearAddressChanged clears the signal of an address change that is being acted on.
func (c *Client) clearAddressChanged() {
	select {
	case <-c.addressChanged:
	default:
	}
}

// readAfterDeadline reads once more after the deadline of a watch has passed. It guards against a deadline that passed
// while this process was stalled: what arrived meanwhile is read before the silence counts.
func (c *Client) readAfterDeadline(ctx context.Context, w *watch) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.stopReason(ctx, w); err != nil {
		return err
	}
	if err := w.readAll(c); err != nil {
		return err
	}
	if time.Since(w.lastLine) >= silenceTimeout {
		return errSilent
	}
	w.conn.SetReadDeadline(w.lastLine.Add(silenceTimeout))
	return nil
}

// handleLine applies a message. The lock is held.
func (c *Client) handleLine(line []byte) error {
	effect, err := c.state.HandleLine(line)
	if err != nil {
		return err
	}
	c.markStarted()
	switch effect {
	case EndpointsChanged:
		c.onUpdate(c.state.Update())
	case Resubscribe:
		return errEventMissing
	}
	return nil
}

// handleLongLine handles a message that is too long. The lock is held.
func (c *Client) handleLongLine() (skip bool) { return c.state.HandleLongLine() }

// closeEnded closes a watch that has ended, and returns what ended it first.
func (c *Client) closeEnded(w *watch, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err = w.markEnded(err)
	c.closeWatch(w)
	return err
}

// closeWatch closes a watch. The lock is held. Only Run's goroutine calls it, while it isn't reading (CatchUp says why).
func (c *Client) closeWatch(w *watch) {
	w.markEnded(net.ErrClosed)
	w.conn.Close()
	if c.watch == w {
		c.watch = nil
	}
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch != nil {
		c.closeWatch(c.watch)
	}
}
