package board

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"hollymast/internal/backoff"
	"hollymast/internal/fleet"
)

// Follower keeps a State level with a board.
type Follower struct {
	state   State
	told    func([]fleet.Entry)
	note    func(text string, err error)
	mu      sync.Mutex
	address string
	known   *Known // of a new configuration, not yet taken in
	conn    net.Conn
	turned  chan struct{} // holds one: the address changed
	pause   *backoff.Backoff
}

// NewFollower follows from a state on. Told hears each new list, Note what went wrong.
func NewFollower(state State, address string, seed uint64, told func([]fleet.Entry), note func(string, error)) *Follower {
	return &Follower{state: state, address: address, told: told, note: note, turned: make(chan struct{}, 1),
		pause: backoff.New(seed, pauseFirst, pauseMost)}
}

// Turn has the follower go on at another address, and take in what a new configuration knows.
func (f *Follower) Turn(address string, known Known) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.address, f.known = address, &known
	if f.conn != nil {
		f.conn.Close()
	}
	select {
	case f.turned <- struct{}{}:
	default:
	}
}

const (
	// A line comes each second: one and a half without is silence, and leaves time to ask again well within the 4 s after
	// which all counts as told.
	silence = 1500 * time.Millisecond
	// Connecting is a few round trips. Bounded well within the 2 s after a break.
	dialTime = 500 * time.Millisecond
	// Between two failed tries, doubled each time: with a dial that hangs the longest stays within the 2 s after a break.
	pauseFirst, pauseMost = 20 * time.Millisecond, time.Second
	// An event with some thousand servers. A longer line is no event.
	maxLine = 4 << 20
)

// Follow runs until the context ends.
func (f *Follower) Follow(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.conn != nil {
			f.conn.Close()
		}
	})
	defer stop()
	for ctx.Err() == nil {
		before, began := f.state.Last(), time.Now()
		err := f.listen(ctx)
		if ctx.Err() != nil {
			return
		}
		f.note("asking the notice board again", err)
		if f.state.Last() > before || time.Since(began) >= silence { // it was worth asking
			f.pause.Well()
		}
		select {
		case <-time.After(f.pause.Next()):
		case <-f.turned:
			f.pause.Well()
		case <-ctx.Done():
		}
	}
}

// listen asks once, and hears until the board breaks off, falls silent or leaves something out.
func (f *Follower) listen(ctx context.Context) error {
	f.mu.Lock()
	address, known := f.address, f.known
	f.known = nil
	f.mu.Unlock()
	if known != nil {
		last := f.state.Last()
		if err := f.state.Known(*known); err != nil {
			f.note("what the configuration knows of the notice board", err)
		} else if f.state.Last() > last {
			f.told(f.state.List())
		}
	}
	dialer := net.Dialer{Timeout: dialTime}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	f.mu.Lock()
	f.conn = conn
	turned := f.address != address
	f.mu.Unlock()
	if turned || ctx.Err() != nil {
		return errors.New("turned to another address")
	}
	conn.SetDeadline(time.Now().Add(silence))
	if _, err := fmt.Fprintf(conn, "watch %d\n", f.state.Last()); err != nil {
		return err
	}
	f.state.Asked()
	in := bufio.NewReaderSize(conn, 8<<10)
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxLine {
			return errors.New("a line without an end")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return err // what came of a line is not taken in
		}
		meaning, err := f.state.Line(line)
		if err != nil {
			return err
		}
		line = line[:0]
		switch meaning {
		case Changed:
			f.told(f.state.List())
		case AskAgain:
			return errors.New("an event is missing")
		}
		conn.SetReadDeadline(time.Now().Add(silence))
	}
}
