// Package attempt contains the state machines of a request's final response, its attempts in flight and the connections
// that carry them: what a cancellation, a drain notification, an answer, a connection failure or a client's disconnect
// does in each state. It does no I/O and reads no clock. The gateway drives it between its sockets; the model checker
// (internal/modelcheck) explores all orderings of its transitions.
package attempt

import (
	"sync/atomic"

	"hollymast/control"
)

// Stage is the progress of an attempt. The event loop and the goroutine of the attempt's connection share it. Each
// transition is a compare-and-swap, so that exactly one of them moves the attempt out of Chosen.
type Stage int32

// The stages of an attempt.
const (
	Chosen    Stage = iota // the balancer chose a server; no byte has been written
	Writing                // bytes may have been written: its outcome is known only when the attempt ends
	Withdrawn              // cancelled before a byte was written: provably never sent
)

// Withdraw cancels an attempt whose writing has not begun; ok is false if it has begun or if the attempt was withdrawn
// before.
func (s Stage) Withdraw() (next Stage, ok bool) { return Withdrawn, s == Chosen }

// BeginWrite starts writing an attempt, unless it was withdrawn or the deadline (WriteDeadline) has passed: the
// endpoint list that its server was chosen from is then too old, and a newer list may exclude that server. allowed is
// false if the client no longer waits, or if the journal does not yet hold what it must hold before the first byte.
func (s Stage) BeginWrite(allowed bool, now, deadline control.Micros) (next Stage, ok bool) {
	return Writing, s == Chosen && allowed && now <= deadline
}

// Transition applies a transition to a stage that the event loop and a connection share. It returns false if the stage
// does not allow the transition.
func Transition(shared *atomic.Int32, transition func(Stage) (next Stage, ok bool)) bool {
	for {
		old := shared.Load()
		next, ok := transition(Stage(old))
		if !ok || shared.CompareAndSwap(old, int32(next)) {
			return ok
		}
	}
}

// MaxJournalWait returns how long, in microseconds, a chosen attempt may wait for the journal: until its endpoint list
// is stale or its timeout expires.
func MaxJournalWait(now, writeDeadline, timeout control.Micros) control.Micros {
	return max(0, min(writeDeadline-now, timeout))
}

// Progress is the event loop's state of one attempt or load command in flight. The tags are the names in stored data.
type Progress struct {
	Cancelled bool `cbor:"Off"`  // its outcome no longer affects its request
	Ended     bool `cbor:"Over"` // its end was handled; its connection may carry another attempt by now
}

// Cancel marks the attempt as cancelled. If mustStop is true, the caller has to stop it: withdraw it if writing has not
// begun, otherwise abort it. An attempt that has ended is not stopped, since its connection may carry another one.
func (p *Progress) Cancel() (mustStop bool) {
	if p.Cancelled || p.Ended {
		return false
	}
	p.Cancelled = true
	return true
}

// End marks the attempt as ended; first is false if it was marked before.
func (p *Progress) End() (first bool) {
	first = !p.Ended
	p.Ended = true
	return first
}

// InterruptReason is why an exchange with a server was interrupted.
type InterruptReason uint8

// The reasons for interruptions. With CertificateRejected the handshake was never completed
// (rest.ErrCertificateRejected).
const (
	ClosedByPeer        InterruptReason = iota // the peer closed or reset the connection
	AbortedLocally                             // this router aborted it
	DeadlineExceeded                           // its timeout expired
	CertificateRejected                        // the peer rejected our certificate
)

// InterruptedResult returns the result of an exchange that was interrupted. The request provably did not run only if
// nothing was written or the handshake was refused.
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

// UnconnectedResult returns the result of an attempt for which no connection was established. The result does not count
// against the server (NotSent) if the attempt was withdrawn in the meantime or if the cause is local: the attempt was
// still waiting to dial, or the failure is this machine's (netfail.IsLocal).
func UnconnectedResult(s Stage, local bool) control.Result {
	if local || s == Withdrawn {
		return control.NotSent
	}
	return control.ConnectFailed
}

// FinalResponse tracks whether the single final response of a request has been decided, and how many of its attempts
// are in flight. The tags are the names in stored data.
type FinalResponse struct {
	Decided  bool `cbor:"Given"`
	InFlight int  `cbor:"Out"` // attempts whose end has not been handled
}

// Decide marks the final response as decided; first is false if it was decided before.
func (a *FinalResponse) Decide() (first bool) {
	first = !a.Decided
	a.Decided = true
	return first
}

// AttemptBegan counts a new attempt in flight.
func (a *FinalResponse) AttemptBegan() { a.InFlight++ }

// Delivery is what to do with the outcome of an attempt.
type Delivery uint8

// What to do with an outcome.
const (
	AskPolicy Delivery = iota // no final response yet: ask the policy what to do next
	Deliver                   // send the answer to the client as the final response
	Drop                      // too late: the request has its final response
)

// AttemptEnded counts the end of an attempt and returns what to do with its outcome.
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

// Done reports whether the request's state can be deleted.
func (a *FinalResponse) Done() bool { return a.Decided && a.InFlight == 0 }

// Connections counts the connections to one server. The event loop owns it.
type Connections struct {
	Idle  int
	Total int // idle or in use
}

// ConnectionChoice is how an attempt gets a connection.
type ConnectionChoice uint8

// The ways to get a connection.
const (
	Reuse    ConnectionChoice = iota // take an idle connection
	OpenNew                          // open a new connection
	NoneLeft                         // the limit is reached, and the attempt is never sent
)

// Acquire reserves a connection for an attempt. limit bounds the total number of connections.
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

// Release returns a connection at the end of its attempt. open is true if the connection is still established, and
// listed if its server is on the endpoint list; the connection is kept only if both are true.
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

// MaxKeyedRetryDelay is the longest time, in microseconds, between the choice of a server for another attempt with an
// idempotency key and the first byte. It is half of what the balancer allows for it (control.mayRetry), so that the
// servers that share the key still remember the earlier attempt.
const MaxKeyedRetryDelay = control.Micros(25_000)

// ClientConnection is the state of a connection from a client.
type ClientConnection struct {
	Stopping  bool // this router is stopping
	Pipelined bool // the client has pipelined further requests
}

// CloseAfterResponse reports whether the connection is closed after a response: if either side asked for it, or if the
// client has closed its side or this router is stopping and no pipelined request would be left without a response.
func (c ClientConnection) CloseAfterResponse(serverClose, clientClose, clientGone bool) bool {
	return serverClose || clientClose || (clientGone || c.Stopping) && !c.Pipelined
}
