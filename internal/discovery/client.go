package discovery

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"hollymast/internal/fleet"
)

// Client keeps a State in sync with a discovery server. Run opens watches and waits for their events; usually there is one,
// and more while the server is slow. Received bytes are read either by a watch's goroutine or by a caller of CatchUp that
// needs the current endpoint list; one lock covers both.
type Client struct {
	onUpdate    func(fleet.Update)
	reportError func(text string, err error)
	dial        func(ctx context.Context, network, address string) (net.Conn, error) // replaced in tests
	wake        chan struct{}                                                        // capacity 1; signals Run that another watch may be needed
	goroutines  sync.WaitGroup

	startOnce sync.Once
	started   chan struct{}

	mu       sync.Mutex
	address  string
	state    State
	schedule *schedule
	watches  watchList
	// completeAsOf is the latest time at which the state is known to contain everything that the server had sent.
	completeAsOf  time.Time
	subscriptions int // sent so far
}

// NewClient returns a client that continues from the given state. grace is the time within which a change of the endpoint
// list must take effect. onUpdate is called with each change, in order and with a lock held, so it must not block or call
// the client. report is called with each connection error.
func NewClient(state State, address string, grace time.Duration, seed uint64, onUpdate func(fleet.Update),
	report func(string, error)) *Client {
	return &Client{
		state:       state,
		address:     address,
		schedule:    newSchedule(seed, grace),
		onUpdate:    onUpdate,
		reportError: report,
		dial:        new(net.Dialer).DialContext,
		wake:        make(chan struct{}, 1),
		started:     make(chan struct{}),
	}
}

const (
	// MaxWatches bounds the connections that a client has at the same time, those being established included.
	MaxWatches = 3
	// dialTimeout is how long a connection may take to come up.
	dialTimeout = 3 * time.Second
	// startTimeout is how long the start waits for the server to confirm that no event is missing. After that time every
	// event counts as received, so a longer wait would keep no rule better.
	startTimeout = 4 * time.Second
)

// SetAddress switches the client to another address. A watch at the old one is read until one at the new one is up to date.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address == address {
		return
	}
	c.readAll()
	c.address = address
	c.watches.supersede()
	c.schedule.reset()
	c.wakeRun()
}

// wakeRun makes Run check whether another watch is needed.
func (c *Client) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// CatchUp reads everything that the server has sent so far and returns the time as of which the endpoint list is
// complete. Without a connection there is nothing more to read, and it returns the current time.
//
// It leaves closing an ended connection to the watch's goroutine: a close waits for all readers of the descriptor, and that
// goroutine may be such a reader that waits for the lock held here, which would be a deadlock.
func (c *Client) CatchUp() (asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAll()
}

// readAll reads everything that has arrived on all watches. It returns the time as of which the endpoint list is complete.
// The caller holds the lock.
func (c *Client) readAll() (asOf time.Time) {
	asOf = time.Now()
	for _, w := range c.watches {
		if w.conn == nil || w.readAll(c) != nil {
			continue
		}
		c.noteComplete(w)
		if w.completeAsOf.Before(asOf) {
			asOf = w.completeAsOf
		}
	}
	return asOf
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
	if w.phase() == receiving && w.subscription.UpToDate() && !w.withinLine() && w.completeAsOf.After(c.completeAsOf) {
		c.completeAsOf = w.completeAsOf
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

// Started returns a channel that is closed when waiting for the first endpoint list is over: the server has confirmed that
// no event is missing, has sent events and then nothing more for a while, has not done so within startTimeout, or can't be
// reached.
func (c *Client) Started() <-chan struct{} { return c.started }

func (c *Client) markStarted() { c.startOnce.Do(func() { close(c.started) }) }

// awaitQuiet ends the wait for the first endpoint list once a watch has received nothing more for a while after an event. Some
// servers send no heartbeat behind their answer, but up to a second later. A server that took long to begin its answer may
// take about as long between its parts. The caller holds the lock.
func (c *Client) awaitQuiet(w *watch) {
	select {
	case <-c.started:
		return
	default:
	}
	received := w.lastReceived
	time.AfterFunc(max(c.schedule.grace/4, 2*w.answerDelay), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if w.phase() == receiving && !w.withinLine() && w.lastReceived.Equal(received) {
			c.markStarted()
		}
	})
}

// Run keeps the state in sync until the context ends. It must be called only once.
func (c *Client) Run(ctx context.Context) {
	defer c.goroutines.Wait()
	defer c.close()
	startTimer := time.AfterFunc(startTimeout, c.markStarted)
	defer startTimer.Stop()
	for ctx.Err() == nil {
		select {
		case <-time.After(c.openIfDue(ctx)):
		case <-c.wake:
		case <-ctx.Done():
		}
	}
}

// openIfDue opens another watch if one is due, and returns how long to wait until the next check.
func (c *Client) openIfDue(ctx context.Context) (wait time.Duration) {
	opened, wait, late := c.addIfDue(ctx)
	if late != nil {
		c.reportError("opening another watch at discovery", late)
	}
	if opened != nil {
		c.goroutines.Go(func() { c.runWatch(opened) })
	}
	return wait
}

// addIfDue adds another watch if one is due. late describes the watch that should have received something by now, if any.
func (c *Client) addIfDue(ctx context.Context) (added *watch, wait time.Duration, late error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wait := time.Until(c.schedule.nextOpening(time.Now(), c.watches)); wait > 0 {
		return nil, wait, nil
	}
	c.readAll() // what arrived during a stall of this process
	now := time.Now()
	if wait := c.schedule.nextOpening(now, c.watches).Sub(now); wait > 0 {
		return nil, wait, nil
	}
	if w := c.schedule.opened(now, c.watches); w != nil {
		late = w.describe(now, errSilent)
	} else if w := c.watches.open().missingEvent(); w != nil {
		late = w.describe(now, errEventMissing)
	}
	added = c.addWatch(ctx, now)
	return added, c.schedule.nextOpening(now, c.watches).Sub(now), late
}

// addWatch adds a watch that is to be established. It ends another one if there would be too many. The caller holds the
// lock.
func (c *Client) addWatch(ctx context.Context, now time.Time) *watch {
	if open := c.watches.open(); len(open) >= MaxWatches {
		open.leastPromising().markEnded(errReplaced)
	}
	w := &watch{address: c.address, openedAt: now}
	w.context, w.cancel = context.WithCancel(ctx)
	c.watches = append(c.watches, w)
	return w
}

// runWatch establishes a watch and reads it until it ends.
func (c *Client) runWatch(w *watch) {
	err := c.establish(w)
	if err == nil {
		err = c.readWatch(w)
	}
	c.remove(w, err)
}

// establish connects and subscribes to all events after the current revision. Before that it reads what the other watches
// have received.
func (c *Client) establish(w *watch) error {
	dialContext, cancel := context.WithTimeout(w.context, dialTimeout)
	defer cancel()
	conn, err := c.dial(dialContext, "tcp", w.address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.endErr == nil {
		c.readAll()
		err = w.subscribe(conn, &c.state)
	}
	if err = w.markEnded(err); err != nil {
		conn.Close()
		return err
	}
	c.subscriptions++
	return nil
}

// readWatch reads a watch until it ends.
func (c *Client) readWatch(w *watch) error {
	unblock := context.AfterFunc(w.context, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		w.markEnded(w.context.Err())
	})
	defer unblock()
	for {
		err := w.wait(func(fd uintptr) error { return c.readReady(w, fd) })
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = c.readAfterDeadline(w)
		}
		if err != nil {
			return err
		}
	}
}

// readReady reads what has arrived.
func (c *Client) readReady(w *watch, fd uintptr) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := w.markEnded(w.readAvailable(fd, c)); err != nil {
		return err
	}
	c.noteComplete(w)
	return nil
}

// readAfterDeadline removes the read deadline of a watch that has not ended, and reads what has arrived.
func (c *Client) readAfterDeadline(w *watch) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.endErr == nil {
		w.conn.SetReadDeadline(time.Time{})
	}
	return w.readAll(c)
}

// handleLine applies one line. The caller holds the lock.
func (c *Client) handleLine(w *watch, line []byte) error {
	effect, err := w.subscription.HandleLine(line)
	if err != nil {
		return err
	}
	switch {
	case effect == EndpointsChanged:
		c.onUpdate(c.state.Update())
	case effect == Resubscribe && !w.missingEventKnown:
		w.missingEventKnown = true
		c.failed(w)
	}
	c.awaitQuiet(w)
	if w.phase() == receiving && w.subscription.UpToDate() {
		w.missingEventKnown = false
		c.markStarted()
		c.schedule.upToDate()
		c.watches.endAllExcept(w, errReplaced)
	}
	return nil
}

// failed makes the schedule open another watch soon, because this one has ended or misses an event. The caller holds the
// lock.
func (c *Client) failed(w *watch) {
	subscribed := w.subscription != nil
	useful := w.answered() && (w.subscription.Applied() || time.Since(w.subscribedAt) >= silenceTimeout)
	c.schedule.failed(time.Now(), useful, subscribed && !w.subscription.UpToDate())
	c.wakeRun()
}

// remove closes a watch that has ended and removes it.
func (c *Client) remove(w *watch, err error) {
	if unexpected := c.closeWatch(w, err); unexpected != nil {
		c.reportError("reconnecting to discovery", unexpected)
	}
}

// closeWatch closes and removes a watch that has ended. It returns why, if another one is needed in its place.
func (c *Client) closeWatch(w *watch, err error) (unexpected error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stopped := w.context.Err() != nil // the client has ended, or the watch was replaced while it was dialing
	end := w.markEnded(err)
	w.cancel()
	if w.conn != nil {
		w.conn.Close()
	}
	c.watches = c.watches.without(w)
	if stopped || w.superseded || errors.Is(end, errReplaced) {
		return nil
	}
	if w.conn == nil && len(c.watches.open()) == 0 {
		c.markStarted() // the server can't be reached
	}
	c.failed(w)
	return w.describe(time.Now(), end)
}

// close ends all watches.
func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watches.endAllExcept(nil, net.ErrClosed)
}
