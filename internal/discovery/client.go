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

// Client keeps a State in sync with a discovery server. Run dials the server and waits for events. Received bytes
// are read either by Run or by a caller of CatchUp that needs the current endpoint list; one lock covers both.
type Client struct {
	grace          time.Duration // time within which a change of the endpoint list must take effect
	onUpdate       func(fleet.Update)
	reportError    func(text string, err error)
	addressChanged chan struct{} // capacity 1; signals that the address has changed
	backoff        *backoff.Backoff

	startOnce sync.Once
	started   chan struct{}
	// fastReconnectUntil is the time until which reconnect delays are shortened. It is set when a watch ends before it
	// is up to date: the events that were still to come count as received at the time of the subscription, so their
	// grace period is already running. Only Run uses it.
	fastReconnectUntil time.Time

	mu      sync.Mutex
	address string
	state   State
	watch   *watch // nil: not connected
	// completeAsOf is the latest time at which the state is known to contain everything that the server had sent.
	completeAsOf  time.Time
	subscriptions int // sent so far
}

// NewClient returns a client that continues from the given state. onUpdate is called with each change, in order and
// with a lock held, so it must not block or call the client. report is called with each connection error.
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
	// silenceTimeout is how long a connection may receive nothing before it counts as broken. The server sends a message
	// every second; 1.5 s leaves time to reconnect well within the 4 s after which every event counts as received.
	silenceTimeout = 1500 * time.Millisecond
	// dialTimeout is several round trips, and well within the 2 s allowed for reconnecting after a break.
	dialTimeout = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay between failed attempts: the longest delay and a dial that times out
	// together stay within those 2 s.
	minBackoff, maxBackoff = 20 * time.Millisecond, time.Second
)

// SetAddress switches the client to another address. The old connection is read until the new one is established.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
	if c.watch != nil {
		c.watch.conn.SetReadDeadline(time.Now()) // wake Run
	}
	select {
	case c.addressChanged <- struct{}{}:
	default:
	}
}

// CatchUp reads everything that the server has sent so far and returns the time as of which the endpoint list is
// complete. Without a connection there is nothing more to read, and it returns the current time.
//
// It leaves closing an ended connection to Run: a close waits for all readers of the descriptor, and Run may be such a
// reader that waits for the lock held here, which would be a deadlock.
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

// CompleteAsOf returns the latest time at which the endpoint list is known to contain everything that the server had
// sent, or zero if it never was. It does not advance without a connection, or until a new one is up to date.
func (c *Client) CompleteAsOf() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completeAsOf
}

// noteComplete advances completeAsOf after everything that arrived on a watch was read. The caller holds the lock.
func (c *Client) noteComplete(w *watch) {
	if c.state.UpToDate() && len(w.partialLine) == 0 && !w.skippingLine {
		c.completeAsOf = w.completeAsOf
	}
}

// Started returns a channel that is closed when waiting for the first endpoint list is over: the server has answered,
// has not answered in time, or can't be reached.
func (c *Client) Started() <-chan struct{} { return c.started }

func (c *Client) markStarted() { c.startOnce.Do(func() { close(c.started) }) }

// Run keeps the state in sync until the context ends. It must be called only once.
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
		c.reportError("reconnecting to discovery", describeEnd(w, err))
		if errors.Is(err, errAddressChanged) {
			c.backoff.Reset()
			c.clearAddressChanged()
			continue
		}
		if c.Revision() > revision || time.Since(began) >= silenceTimeout { // the connection was usable
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

// Revision returns the revision of the last event that was applied.
func (c *Client) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Revision()
}

// Subscriptions returns how many subscriptions were sent so far.
func (c *Client) Subscriptions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.subscriptions
}

// upToDate reports whether the last watch reached the server's current revision.
func (c *Client) upToDate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.UpToDate()
}

// boundReconnectWait shortens a delay or a dial timeout until fastReconnectUntil: each takes at most a quarter of the
// grace period. The other half is left for the server's answer and for sending to the model server
// (attempt.MaxEndpointsAge).
func (c *Client) boundReconnectWait(usual time.Duration) time.Duration {
	if time.Now().Before(c.fastReconnectUntil) {
		return min(usual, c.grace/4)
	}
	return usual
}

// open dials and subscribes to all events after the current revision. Between the two it reads what the previous watch
// has received, and closes that watch.
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
	c.subscriptions++
	return w, nil
}

// readWatch reads a watch until the connection breaks or times out, an event is missing, or the address changes.
func (c *Client) readWatch(ctx context.Context, w *watch) error {
	unblock := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		w.conn.SetReadDeadline(time.Now())
	})
	defer unblock()
	// A server without new events sends nothing until its next heartbeat.
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

// readReady reads what has arrived and sets the read deadline to silenceTimeout after the last line.
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

// stopReason returns why a watch must no longer be read (the context has ended or the address has changed), or nil. The
// caller holds the lock.
func (c *Client) stopReason(ctx context.Context, w *watch) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if c.address != w.address {
		return errAddressChanged
	}
	return nil
}

// clearAddressChanged removes a pending address change signal that is being handled.
func (c *Client) clearAddressChanged() {
	select {
	case <-c.addressChanged:
	default:
	}
}

// readAfterDeadline reads once more after the read deadline of a watch has passed. The deadline may have passed while
// this process was stalled; lines that arrived meanwhile must be read before the connection counts as silent.
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

// handleLine applies one line. The caller holds the lock.
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

// handleLongLine handles a line that exceeds maxLine. The caller holds the lock.
func (c *Client) handleLongLine() (skip bool) { return c.state.HandleLongLine() }

// closeEnded closes a watch that has ended and returns the first error that ended it.
func (c *Client) closeEnded(w *watch, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err = w.markEnded(err)
	c.closeWatch(w)
	return err
}

// closeWatch closes a watch. The caller holds the lock, and must be Run's goroutine outside a read (see CatchUp).
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
