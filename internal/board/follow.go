package board

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

// Follower keeps a State level with a board. Its goroutine (Follow) dials and waits; what has come is read by it or by
// whoever needs the list now (CatchUp), under one lock.
type Follower struct {
	grace  time.Duration // within which a change of the list must be heeded
	told   func(fleet.Update)
	note   func(text string, err error)
	turned chan struct{} // holds one: the address changed
	pause  *backoff.Backoff

	startOnce sync.Once
	started   chan struct{}
	// hurryUntil bounds the waits after a watch that ended before its answer was whole: all that it would have told counts as
	// told since it was asked for. It belongs to Follow.
	hurryUntil time.Time

	mu      sync.Mutex
	address string
	state   State
	watch   *watch // nil: none stands
	// complete is the last time of which it is known that nothing the board had told by then is missing.
	complete time.Time
}

// NewFollower follows from a state on. Told hears what each event changed, in their order, Note what went wrong. Told is called
// with a lock held: it may not wait.
func NewFollower(state State, address string, grace time.Duration, seed uint64, told func(fleet.Update),
	note func(string, error)) *Follower {
	return &Follower{state: state, address: address, grace: grace, told: told, note: note, turned: make(chan struct{}, 1),
		started: make(chan struct{}), pause: backoff.New(seed, pauseFirst, pauseMost)}
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

// Turn has the follower go on at another address. The old connection is read until the new one stands.
func (f *Follower) Turn(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.address = address
	if f.watch != nil {
		f.watch.conn.SetReadDeadline(time.Now()) // wakes Follow
	}
	select {
	case f.turned <- struct{}{}:
	default:
	}
}

// CatchUp reads all that the board has told this router so far and gives the time as of which the list is complete. While no
// connection stands, the list is as complete as it can be: that is now.
func (f *Follower) CatchUp() (asOf time.Time) {
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

// Complete gives the last time of which it is known that nothing the board had told by then is missing; zero: none is known. While
// no connection stands, or a new one has not been answered whole, it stays what it was.
func (f *Follower) Complete() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.complete
}

// noteComplete takes in that all that has come on a watch was read. The lock is held.
func (f *Follower) noteComplete(w *watch) {
	if f.state.Level() && len(w.unread) == 0 && !w.skipping {
		f.complete = w.complete
	}
}

// Started is closed once the list can be relied on after a start: the board has answered, or had its time to, or can't be
// reached.
func (f *Follower) Started() <-chan struct{} { return f.started }

func (f *Follower) start() { f.startOnce.Do(func() { close(f.started) }) }

// Follow runs until the context ends.
func (f *Follower) Follow(ctx context.Context) {
	defer f.close()
	for ctx.Err() == nil {
		before, began := f.Last(), time.Now()
		w, err := f.ask(ctx)
		if err == nil {
			if err = f.listen(ctx, w); !f.level() {
				f.hurryUntil = time.Now().Add(f.grace)
			}
		}
		if ctx.Err() != nil {
			return
		}
		f.start()
		f.note("asking the notice board again", err)
		if errors.Is(err, errTurned) {
			f.pause.Well()
			f.turnTaken()
			continue
		}
		if f.Last() > before || time.Since(began) >= silence { // it was worth asking
			f.pause.Well()
		}
		select {
		case <-time.After(f.pause.NextWithin(f.atMost(pauseMost))):
		case <-f.turned:
			f.pause.Well()
		case <-ctx.Done():
		}
	}
}

// Last is the number of the last event that was taken in.
func (f *Follower) Last() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Last()
}

// level tells whether the last watch was answered whole.
func (f *Follower) level() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Level()
}

// atMost bounds a wait. In a hurry a pause and a dial take a quarter of the grace each at most; the other half is for the answer
// and the way to the model server (attempt.Fresh).
func (f *Follower) atMost(usual time.Duration) time.Duration {
	if time.Now().Before(f.hurryUntil) {
		return min(usual, f.grace/4)
	}
	return usual
}

// ask dials and asks for all that is new. The watch that stood before is read to its end first and then closed.
func (f *Follower) ask(ctx context.Context) (*watch, error) {
	f.mu.Lock()
	address := f.address
	f.mu.Unlock()
	dialer := net.Dialer{Timeout: f.atMost(dialTime)}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.address != address {
		conn.Close()
		return nil, errTurned
	}
	if f.watch != nil {
		f.watch.readAll(f)
		f.drop(f.watch)
	}
	w, err := newWatch(conn, address, f.state.Last())
	if err != nil {
		conn.Close()
		return nil, err
	}
	f.state.Asked()
	f.watch = w
	return w, nil
}

// listen has a watch read until it breaks off, falls silent, leaves something out, or is to be elsewhere.
func (f *Follower) listen(ctx context.Context, w *watch) error {
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
		if errors.Is(err, errTurned) {
			return err
		}
		if err != nil {
			return f.leave(w, err)
		}
	}
}

// readReady reads what has come, and has the watch waited for until silence has lasted.
func (f *Follower) readReady(ctx context.Context, w *watch, fd uintptr) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.unwanted(ctx, w); err != nil {
		return err
	}
	if err := w.end(w.drain(fd, f)); err != nil {
		return err
	}
	f.noteComplete(w)
	w.conn.SetReadDeadline(w.heard.Add(silence))
	return nil
}

// unwanted tells why a watch is no longer to be listened to. The lock is held.
func (f *Follower) unwanted(ctx context.Context, w *watch) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if f.address != w.address {
		return errTurned
	}
	return nil
}

// turnTaken forgets that the address has changed: it is being asked.
func (f *Follower) turnTaken() {
	select {
	case <-f.turned:
	default:
	}
}

// lookAgain reads once more after the deadline of a watch has passed. Guards against a deadline that passed while this process
// was stopped: what came meanwhile is read before it counts.
func (f *Follower) lookAgain(ctx context.Context, w *watch) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.unwanted(ctx, w); err != nil {
		return err
	}
	if err := w.readAll(f); err != nil {
		return err
	}
	if time.Since(w.heard) >= silence {
		return errSilent
	}
	w.conn.SetReadDeadline(w.heard.Add(silence))
	return nil
}

// line takes in a line. The lock is held.
func (f *Follower) line(line []byte) error {
	meaning, err := f.state.Line(line)
	if err != nil {
		return err
	}
	f.start()
	switch meaning {
	case Changed:
		f.told(f.state.News())
	case AskAgain:
		return errMissing
	}
	return nil
}

func (f *Follower) tooLong() (skip bool) { return f.state.TooLong() }

// leave closes a watch that has ended, and gives what ended it first.
func (f *Follower) leave(w *watch, err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	err = w.end(err)
	f.drop(w)
	return err
}

// drop closes a watch. The lock is held.
func (f *Follower) drop(w *watch) {
	w.end(net.ErrClosed)
	w.conn.Close()
	if f.watch == w {
		f.watch = nil
	}
}

func (f *Follower) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watch != nil {
		f.drop(f.watch)
	}
}
