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

// Client keeps a State level with a board. Its goroutine (Follow) dials and waits; what has come is read by it or by
// whoever needs the list now (CatchUp), under one lock.
type Client struct {
	grace          time.Duration // within which a change of the list must be heeded
	updated        func(fleet.Update)
	note           func(text string, err error)
	addressChanged chan struct{} // holds one: the address changed
	backoff        *backoff.Backoff

	startOnce sync.Once
	started   chan struct{}
	// urgentUntil bounds the waits after a watch that ended before its answer was whole: all that it would have told counts as
	// told since it was asked for. It belongs to Follow.
	urgentUntil time.Time

	mu      sync.Mutex
	address string
	state   State
	watch   *watch // nil: none stands
	// complete is the last time of which it is known that nothing the board had told by then is missing.
	complete time.Time
}

// NewClient follows from a state on. Told hears what each event changed, in their order, Note what went wrong. Told is called
// with a lock held: it may not wait.
func NewClient(state State, address string, grace time.Duration, seed uint64, told func(fleet.Update),
	note func(string, error)) *Client {
	return &Client{state: state, address: address, grace: grace, updated: told, note: note, addressChanged: make(chan struct{}, 1),
		started: make(chan struct{}), backoff: backoff.New(seed, pauseFirst, pauseMost)}
}

const (
	// silence is how long nothing may be heard. A line comes each second: one and a half without leaves time to ask again well
	// within the 4 s after which all counts as told.
	silence = 1500 * time.Millisecond
	// dialTime bounds connecting, a few round trips, well within the 2 s after a break.
	dialTime = 500 * time.Millisecond
	// pauseFirst and pauseMost are the waits between two failed tries, doubled each time: with a dial that hangs the longest
	// stays within the 2 s after a break.
	pauseFirst, pauseMost = 20 * time.Millisecond, time.Second
)

// SetAddress has the follower go on at another address. The old connection is read until the new one stands.
func (f *Client) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.address = address
	if f.watch != nil {
		f.watch.conn.SetReadDeadline(time.Now()) // wakes Follow
	}
	select {
	case f.addressChanged <- struct{}{}:
	default:
	}
}

// CatchUp reads all that the board has told this router so far and gives the time as of which the list is complete. While no
// connection stands, the list is as complete as it can be: that is now.
func (f *Client) CatchUp() (asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.watch; w != nil {
		if w.readAll(f) == nil {
			f.noteComplete(w)
			return w.complete
		}
		f.drop(w)
	}
	return time.Now()
}

// CompleteAsOf gives the last time of which it is known that nothing the board had told by then is missing; zero: none is known. While
// no connection stands, or a new one has not been answered whole, it stays what it was.
func (f *Client) CompleteAsOf() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.complete
}

// noteComplete takes in that all that has come on a watch was read. The lock is held.
func (f *Client) noteComplete(w *watch) {
	if f.state.UpToDate() && len(w.unread) == 0 && !w.skipping {
		f.complete = w.complete
	}
}

// Started is closed once the list can be relied on after a start: the board has answered, or had its time to, or can't be
// reached.
func (f *Client) Started() <-chan struct{} { return f.started }

func (f *Client) start() { f.startOnce.Do(func() { close(f.started) }) }

// Run runs until the context ends.
func (f *Client) Run(ctx context.Context) {
	defer f.close()
	for ctx.Err() == nil {
		before, began := f.Revision(), time.Now()
		w, err := f.open(ctx)
		if err == nil {
			if err = f.listen(ctx, w); !f.upToDate() {
				f.urgentUntil = time.Now().Add(f.grace)
			}
		}
		if ctx.Err() != nil {
			return
		}
		f.start()
		f.note("asking the notice board again", err)
		if errors.Is(err, errAddressChanged) {
			f.backoff.Well()
			f.takeAddressChange()
			continue
		}
		if f.Revision() > before || time.Since(began) >= silence { // it was worth asking
			f.backoff.Well()
		}
		select {
		case <-time.After(f.backoff.NextWithin(f.withinUrgency(pauseMost))):
		case <-f.addressChanged:
			f.backoff.Well()
		case <-ctx.Done():
		}
	}
}

// Revision is the number of the last event that was taken in.
func (f *Client) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Revision()
}

// upToDate tells whether the last watch was answered whole.
func (f *Client) upToDate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.UpToDate()
}

// withinUrgency bounds a wait. In a hurry a pause and a dial take a quarter of the grace each at most; the other half is for the answer
// and the way to the model server (attempt.Fresh).
func (f *Client) withinUrgency(usual time.Duration) time.Duration {
	if time.Now().Before(f.urgentUntil) {
		return min(usual, f.grace/4)
	}
	return usual
}

// open dials and asks for all that is new. The watch that stood before is read to its end first and then closed.
func (f *Client) open(ctx context.Context) (*watch, error) {
	f.mu.Lock()
	address := f.address
	f.mu.Unlock()
	dialer := net.Dialer{Timeout: f.withinUrgency(dialTime)}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.address != address {
		conn.Close()
		return nil, errAddressChanged
	}
	if f.watch != nil {
		f.watch.readAll(f)
		f.drop(f.watch)
	}
	w, err := newWatch(conn, address, f.state.Revision())
	if err != nil {
		conn.Close()
		return nil, err
	}
	f.state.Subscribed()
	f.watch = w
	return w, nil
}

// listen has a watch read until it breaks off, falls silent, leaves something out, or is to be elsewhere.
func (f *Client) listen(ctx context.Context, w *watch) error {
	unblock := context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		w.conn.SetReadDeadline(time.Now())
	})
	defer unblock()
	answerTime := time.AfterFunc(f.grace/4, f.start) // a board with nothing new says so at its next heartbeat only
	defer answerTime.Stop()
	for {
		err := w.wait(func(fd uintptr) error { return f.readReady(ctx, w, fd) })
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = f.lookAgain(ctx, w)
		}
		if errors.Is(err, errAddressChanged) {
			return err
		}
		if err != nil {
			return f.closeOld(w, err)
		}
	}
}

// readReady reads what has come, and has the watch waited for until silence has lasted.
func (f *Client) readReady(ctx context.Context, w *watch, fd uintptr) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.readOldUntilNew(ctx, w); err != nil {
		return err
	}
	if err := w.end(w.drain(fd, f)); err != nil {
		return err
	}
	f.noteComplete(w)
	w.conn.SetReadDeadline(w.lastLine.Add(silence))
	return nil
}

// readOldUntilNew tells why a watch is no longer to be listened to. The lock is held.
func (f *Client) readOldUntilNew(ctx context.Context, w *watch) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if f.address != w.address {
		return errAddressChanged
	}
	return nil
}

// takeAddressChange forgets that the address has changed: it is being asked.
func (f *Client) takeAddressChange() {
	select {
	case <-f.addressChanged:
	default:
	}
}

// lookAgain reads once more after the deadline of a watch has passed. Guards against a deadline that passed while this process
// was stopped: what came meanwhile is read before it counts.
func (f *Client) lookAgain(ctx context.Context, w *watch) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.readOldUntilNew(ctx, w); err != nil {
		return err
	}
	if err := w.readAll(f); err != nil {
		return err
	}
	if time.Since(w.lastLine) >= silence {
		return errSilent
	}
	w.conn.SetReadDeadline(w.lastLine.Add(silence))
	return nil
}

// handleLine takes in a line. The lock is held.
func (f *Client) handleLine(line []byte) error {
	meaning, err := f.state.HandleLine(line)
	if err != nil {
		return err
	}
	f.start()
	switch meaning {
	case EndpointsChanged:
		f.updated(f.state.Update())
	case Resubscribe:
		return errMissing
	}
	return nil
}

func (f *Client) handleLongLine() (skip bool) { return f.state.HandleLongLine() }

// closeOld closes a watch that has ended, and gives what ended it first.
func (f *Client) closeOld(w *watch, err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	err = w.end(err)
	f.drop(w)
	return err
}

// drop closes a watch. The lock is held.
func (f *Client) drop(w *watch) {
	w.end(net.ErrClosed)
	w.conn.Close()
	if f.watch == w {
		f.watch = nil
	}
}

func (f *Client) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watch != nil {
		f.drop(f.watch)
	}
}
