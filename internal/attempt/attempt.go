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

// JournalWait is how long a chosen sending may wait for the journal: as long as its list is fresh, and its time is not up.
func JournalWait(now, until, left control.Micros) control.Micros { return max(0, min(until-now, left)) }

// Progress is the turn's own part of one execution or order on its way.
type Progress struct {
	Cancelled bool `cbor:"Off"`  // called off: whatever comes of it changes nothing for its job
	Ended     bool `cbor:"Over"` // its end was taken in: its connection may carry another by now
}

// Cancel stops waiting for it. Act tells that there is something to stop: what is not written is withdrawn, what is is broken off.
// After its end nothing may be, since its connection may carry another.
func (s *Progress) Cancel() (act bool) {
	if s.Cancelled || s.Ended {
		return false
	}
	s.Cancelled = true
	return true
}

// End takes in its end; first is false where that was known.
func (s *Progress) End() (first bool) {
	first = !s.Ended
	s.Ended = true
	return first
}

// BreakReason is why an exchange broke.
type BreakReason uint8

// The reasons. A refused one never got through its handshake (rest.ErrRefused).
const (
	ByPeer           BreakReason = iota // the other end closed or broke it
	ByUs                                // we did
	ByDeadline                          // its time was up
	ByAuthentication                    // the other end does not believe who we are
)

// BrokenResult tells what a broken exchange means: only of what was not written at all, or not believed, is it proved that nothing ran.
func BrokenResult(written bool, why BreakReason) control.Result {
	switch {
	case !written:
		return control.NotSent
	case why == ByAuthentication:
		return control.ConnectFailed
	case why == ByUs:
		return control.Cancelled
	case why == ByDeadline:
		return control.TimedOut
	}
	return control.ConnectionReset
}

// UndialledResult tells what it means that no connection came about: nothing is known of the server where the sending was withdrawn
// meanwhile, or waited for its turn to dial.
func UndialledResult(s Stage, waited bool) control.Result {
	if waited || s == Withdrawn {
		return control.NotSent
	}
	return control.ConnectFailed
}

// FinalAnswer is a job's one final answer, and what is still out for it.
type FinalAnswer struct {
	Given    bool `cbor:"Given"`
	InFlight int  `cbor:"Out"` // executions whose end was not heard
}

// Give gives the final answer; only the first is one.
func (a *FinalAnswer) Give() (first bool) {
	first = !a.Given
	a.Given = true
	return first
}

// AttemptBegan counts an execution.
func (a *FinalAnswer) AttemptBegan() { a.InFlight++ }

// Delivery is what the end of an execution means to its client.
type Delivery uint8

// The deliveries.
const (
	AskPolicy Delivery = iota // none: the module is asked what next
	Deliver                   // it is the final answer
	Drop                      // too late: the job has its answer
)

// AttemptEnded takes in the end of an execution.
func (a *FinalAnswer) AttemptEnded(r control.Result) Delivery {
	a.InFlight--
	switch {
	case a.Given && r == control.Succeeded:
		return Drop
	case r == control.Succeeded:
		return Deliver
	}
	return AskPolicy
}

// Done tells that the job can be forgotten.
func (a *FinalAnswer) Done() bool { return a.Given && a.InFlight == 0 }

// Connections are those to one server. The turn owns them.
type Connections struct {
	Idle int
	All  int // idle or not
}

// ConnectionChoice is which connection a sending gets.
type ConnectionChoice uint8

// The uses. With no room it is never sent.
const (
	Reuse ConnectionChoice = iota
	OpenNew
	NoneLeft
)

// Acquire finds a connection for a sending.
func (c *Connections) Acquire(most int) ConnectionChoice {
	switch {
	case c.Idle > 0:
		c.Idle--
		return Reuse
	case c.All < most:
		c.All++
		return OpenNew
	}
	return NoneLeft
}

// Release takes a connection back at a sending's end. Open tells that it stands; it is kept only for a server that is still listed.
func (c *Connections) Release(open, listed bool) (keep bool) {
	if open && listed {
		c.Idle++
		return true
	}
	c.All--
	return false
}

// CloseIdle counts one that was idle and is closed.
func (c *Connections) CloseIdle() { c.Idle--; c.All-- }

// KeyedRetryFreshness is that of a fingerprinted job's further execution: half of what the module allows for the way there
// (control.mayRepeat), so that the group still remembers the earlier one.
const KeyedRetryFreshness = control.Micros(25_000)

// ClientConnection is a conversation with one client.
type ClientConnection struct {
	Stopping bool
	More     bool // it has sent further requests ahead
}

// CloseAfter tells whether the connection ends with an answer: where either side asked for it, or the client is gone or we stop, and
// nothing was sent ahead that would then have no answer.
func (c ClientConnection) CloseAfter(ours, theirs, left bool) bool {
	return ours || theirs || (left || c.Stopping) && !c.More
}
