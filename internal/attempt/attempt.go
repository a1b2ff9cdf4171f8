// Package attempt is the life of one job's answer, of its executions on their way, and of the connections that carry them, as plain
// state: what a call-off, a drain notice, an answer, a break or a leaving client does in each state. It is free of I/O and
// clocks. The gateway drives it between sockets, internal/explore between all orderings.
package attempt

import (
	"sync/atomic"

	"hollymast/control"
)

// Stage is how far a sending has got. The turn and the sending's connection share it: each of its steps is taken by
// comparing and swapping, so that exactly one of them takes it out of Chosen.
type Stage int32

// The stages.
const (
	Chosen    Stage = iota // the module chose a server; no byte is written
	Writing                // bytes may be out: only its end tells what became of it
	Withdrawn              // taken back before a byte was written: provably never sent
)

// Withdraw takes back what is not being written yet; ok is false where it is too late for that, or done.
func (s Stage) Withdraw() (next Stage, ok bool) { return Withdrawn, s == Chosen }

// Write begins to write, unless it was taken back, or the list that its choice rests on has grown too old (WriteUntil): what was
// told since may forbid it. Kept tells that the journal holds what must be known of it before.
func (s Stage) Write(kept bool, now, until control.Micros) (next Stage, ok bool) {
	return Writing, s == Chosen && kept && now <= until
}

// Step takes a step of a stage that a turn and a connection share; no tells that it could not be taken.
func Step(shared *atomic.Int32, f func(Stage) (next Stage, ok bool)) bool {
	for {
		old := shared.Load()
		next, ok := f(Stage(old))
		if !ok || shared.CompareAndSwap(old, int32(next)) {
			return ok
		}
	}
}

// KeepWait is how long a chosen sending may wait for the journal: as long as its list is fresh, and its time is not up.
func KeepWait(now, until, left control.Micros) control.Micros { return max(0, min(until-now, left)) }

// Sending is the turn's own part of one execution or order on its way.
type Sending struct {
	Off  bool // called off: whatever comes of it changes nothing for its job
	Over bool // its end was taken in: its connection may carry another by now
}

// CallOff stops waiting for it. Act tells that there is something to stop: what is not written is withdrawn, what is is broken off.
// After its end nothing may be, since its connection may carry another.
func (s *Sending) CallOff() (act bool) {
	if s.Off || s.Over {
		return false
	}
	s.Off = true
	return true
}

// End takes in its end; first is false where that was known.
func (s *Sending) End() (first bool) {
	first = !s.Over
	s.Over = true
	return first
}

// Cut is why an exchange broke.
type Cut uint8

// The reasons. A refused one never got through its handshake (rest.ErrRefused).
const (
	Lost    Cut = iota // the other end closed or broke it
	Aborted            // we did
	Late               // its time was up
	Refused            // the other end does not believe who we are
)

// Broken tells what a broken exchange means: only of what was not written at all, or not believed, is it proved that nothing ran.
func Broken(written bool, why Cut) control.Result {
	switch {
	case !written:
		return control.NeverSent
	case why == Refused:
		return control.NoConnection
	case why == Aborted:
		return control.Cancelled
	case why == Late:
		return control.TimedOut
	}
	return control.Reset
}

// Undialled tells what it means that no connection came about: nothing is known of the server where the sending was withdrawn
// meanwhile, or waited for its turn to dial.
func Undialled(s Stage, waited bool) control.Result {
	if waited || s == Withdrawn {
		return control.NeverSent
	}
	return control.NoConnection
}

// Answer is a job's one final answer, and what is still out for it.
type Answer struct {
	Given bool
	Out   int // executions whose end was not heard
}

// Give gives the final answer; only the first is one.
func (a *Answer) Give() (first bool) {
	first = !a.Given
	a.Given = true
	return first
}

// Sent counts an execution.
func (a *Answer) Sent() { a.Out++ }

// Delivery is what the end of an execution means to its client.
type Delivery uint8

// The deliveries.
const (
	Ask     Delivery = iota // none: the module is asked what next
	Deliver                 // it is the final answer
	Drop                    // too late: the job has its answer
)

// Ended takes in the end of an execution.
func (a *Answer) Ended(r control.Result) Delivery {
	a.Out--
	switch {
	case a.Given && r == control.Finished:
		return Drop
	case r == control.Finished:
		return Deliver
	}
	return Ask
}

// Over tells that the job can be forgotten.
func (a *Answer) Over() bool { return a.Given && a.Out == 0 }

// Connections are those to one server. The turn owns them.
type Connections struct {
	Idle int
	All  int // idle or not
}

// Use is which connection a sending gets.
type Use uint8

// The uses. With no room it is never sent.
const (
	Reuse Use = iota
	Open
	NoRoom
)

// Take finds a connection for a sending.
func (c *Connections) Take(most int) Use {
	switch {
	case c.Idle > 0:
		c.Idle--
		return Reuse
	case c.All < most:
		c.All++
		return Open
	}
	return NoRoom
}

// Back takes a connection back at a sending's end. Open tells that it stands; it is kept only for a server that is still listed.
func (c *Connections) Back(open, listed bool) (keep bool) {
	if open && listed {
		c.Idle++
		return true
	}
	c.All--
	return false
}

// Closed counts one that was idle and is closed.
func (c *Connections) Closed() { c.Idle--; c.All-- }

// FreshRepeat is that of a fingerprinted job's further execution: half of what the module allows for the way there
// (control.mayRepeat), so that the group still remembers the earlier one.
const FreshRepeat = control.Micros(25_000)

// Client is a conversation with one client.
type Client struct {
	Stopping bool
	More     bool // it has sent further requests ahead
}

// CloseAfter tells whether the connection ends with an answer: where either side asked for it, or the client is gone or we stop, and
// nothing was sent ahead that would then have no answer.
func (c Client) CloseAfter(ours, theirs, left bool) bool {
	return ours || theirs || (left || c.Stopping) && !c.More
}
