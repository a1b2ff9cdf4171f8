// Package attempt holds, as plain state, the one final answer of a request, its attempts in flight and the
// connections that carry them: what a cancellation, a drain notification, an answer, a broken connection or a
// client that disconnects does in each state. It is free of I/O and clocks. The gateway drives it between
// sockets; the model checker (internal/modelcheck) drives it through all orderings.
package attempt

import (
	"sync/atomic"

	"hollymast/control"
)

// Stage is how far an attempt has got. The event loop and the goroutine of the attempt's connection share it:
// each transition is a compare-and-swap, so that exactly one of them takes it out of Chosen.
type Stage int32

// The stages of an attempt.
const (
	Chosen    Stage = iota // the balancer chose a server; no byte is written
	Writing                // bytes may be written: only its end tells its outcome
	Withdrawn              // taken back before a byte was written: provably never sent
)

// Withdraw takes back an attempt that is not being written yet; ok is false if it is being written or was
// withdrawn before.
func (s Stage) Withdraw() (next Stage, ok bool) { return Withdrawn, s == Chosen }

// BeginWrite begins to write, unless the attempt was withdrawn, or the endpoint list that the choice rests on is too
// old (WriteUntil): a later list may forbid the server. allowed is false if the client no longer waits, or the
// journal does not hold what it must hold before the first byte.
func (s Stage) BeginWrite(allowed bool, now, until control.Micros) (next Stage, ok bool) {
	return Writing, s == Chosen && allowed && now <= until
}

// Transition makes a transition of a stage that the event loop and a connection share; it returns false if the stage
// does not allow it.
func Transition(shared *atomic.Int32, transition func(Stage) (next Stage, ok bool)) bool {
	for {
		old := shared.Load()
		next, ok := transition(Stage(old))
		if !ok || shared.CompareAndSwap(old, int32(next)) {
			return ok
		}
	}
}

// MaxJournalWait returns how long, in microseconds, a chosen attempt may wait for the journal: until its endpoint
// list is stale or its time is up.
func MaxJournalWait(now, until, timeout control.Micros) control.Micros {
	return max(0, min(until-now, timeout))
}

// Progress is what the event loop knows of one attempt or load command in flight. Its tags are the stored names.
type Progress struct {
	Cancelled bool `cbor:"Off"`  // whatever its outcome, it changes nothing for its request
	Ended     bool `cbor:"Over"` // its end was handled: its connection may carry another by now
}

// Cancel stops waiting for it. Act is true if there is something to stop: withdraw it if it is not being
// written, else abort it. After its end nothing may be stopped, since its connection may carry another.
func (p *Progress) Cancel() (act bool) {
	if p.Cancelled || p.Ended {
		return false
	}
	p.Cancelled = true
	return true
}

// End handles its end; first is false if it was handled before.
func (p *Progress) End() (first bool) {
	first = !p.Ended
	p.Ended = true
	return first
}

// InterruptReason is why an exchange broke off.
type InterruptReason uint8

// The reasons. With ByAuthentication the handshake never completed (rest.ErrCertificateRejected).
const (
	ClosedByPeer        InterruptReason = iota // the peer closed or reset the connection
	AbortedLocally                             // this router aborted it
	DeadlineExceeded                           // its timeout expired
	CertificateRejected                        // the peer refused our certificate
)

// InterruptedResult returns the result of an exchange that broke off. Only one that was not written at all, or whose
// handshake was refused, is proved not to have run.
func InterruptedResult(written bool, reason InterruptReason) control.Result {
	switch {
	case !written:
		return control.NotSent
	case reason == CertificateRejected:
		return control.ConnectFailed
	case reason == AbortedLocally:
		return control.Cancelled
	case reason == DeadlineExceeded:
		return control.TimedOut
	}
	return control.ConnectionReset
}

// UnconnectedResult returns the result of an attempt for which no connection was established. It says nothing
// about the server (NotSent) if the attempt was withdrawn meanwhile, or if the cause is local: it was still
// waiting to dial, or the fault is this machine's (netfail.IsLocal).
func UnconnectedResult(s Stage, local bool) control.Result {
	if local || s == Withdrawn {
		return control.NotSent
	}
	return control.ConnectFailed
}

// FinalResponse is the one final answer of a request, and how many attempts are in flight for it. Its tags are the
// stored names.
type FinalResponse struct {
	Decided  bool `cbor:"Given"`
	InFlight int  `cbor:"Out"` // attempts whose end was not handled
}

// Decide gives the final answer; first is false if it was given before.
func (a *FinalResponse) Decide() (first bool) {
	first = !a.Decided
	a.Decided = true
	return first
}

// AttemptBegan counts an attempt.
func (a *FinalResponse) AttemptBegan() { a.InFlight++ }

// Delivery is what the end of an attempt means to the client.
type Delivery uint8

// The deliveries of an outcome.
const (
	AskPolicy Delivery = iota // nothing: the policy is asked what to do next
	Deliver                   // it is the final answer
	Drop                      // too late: the request has its answer
)

// AttemptEnded handles the end of an attempt.
func (a *FinalResponse) AttemptEnded(r control.Result) Delivery {
	a.InFlight--
	switch {
	case a.Decided && r == control.Succeeded:
		return Drop
	case r == control.Succeeded:
		return Deliver
	}
	return AskPolicy
}

// Done reports whether the request can be forgotten.
func (a *FinalResponse) Done() bool { return a.Decided && a.InFlight == 0 }

// Connections counts the connections to one server. The event loop owns it.
type Connections struct {
	Idle  int
	Total int // idle or not
}

// ConnectionChoice is which connection an attempt gets.
type ConnectionChoice uint8

// The choices.
const (
	Reuse    ConnectionChoice = iota // an idle one
	OpenNew                          // a new one
	NoneLeft                         // none: the limit is reached and the attempt is never sent
)

// Acquire finds a connection for an attempt, at most limit in all.
func (c *Connections) Acquire(limit int) ConnectionChoice {
	switch {
	case c.Idle > 0:
		c.Idle--
		return Reuse
	case c.Total < limit:
		c.Total++
		return OpenNew
	}
	return NoneLeft
}

// Release takes a connection back at the end of its attempt. Open is true if it is still established; it is kept
// only for a server that is still listed.
func (c *Connections) Release(open, listed bool) (keep bool) {
	if open && listed {
		c.Idle++
		return true
	}
	c.Total--
	return false
}

// CloseIdle counts an idle connection as closed.
func (c *Connections) CloseIdle() { c.Idle--; c.Total-- }

// MaxKeyedRetryDelay bounds, in microseconds, the way of a further attempt with an idempotency key to its
// server: half of what the balancer allows for it (control.mayRetry), so that the servers that share the key
// still remember the earlier attempt.
const MaxKeyedRetryDelay = control.Micros(25_000)

// ClientConnection is the state of a connection from a client.
type ClientConnection struct {
	Stopping  bool
	Pipelined bool // the client has pipelined further requests
}

// CloseAfterResponse reports whether the connection is closed after an answer: if either side asked for it, or if the
// client has closed its side or this router is stopping and no pipelined request would be left without an
// answer.
func (c ClientConnection) CloseAfterResponse(serverClose, clientClose, clientGone bool) bool {
	return serverClose || clientClose || (clientGone || c.Stopping) && !c.Pipelined
}
