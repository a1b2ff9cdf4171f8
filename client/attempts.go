package client

import (
	"context"
	"errors"
	"sync"
	"time"

	"hollymast/control"
	"hollymast/internal/netfail"
	"hollymast/internal/rest"
	"hollymast/internal/retry"
)

// maxUnreadResults is more than the attempts of a call, so that none has to wait for a call that is done.
const maxUnreadResults = 8

// callState is a call in progress. Its run starts the attempts, each in a goroutine that ends at the latest when the call's
// context does or its connection is aborted.
type callState struct {
	client   *Client
	call     *Call
	deadline time.Time
	retry    *retry.Call // guarded by the client's lock
	results  chan attemptResult

	// These belong to run.
	inFlight    int
	attemptDue  *time.Timer
	hedgeDue    *time.Timer
	lastFailure *CallError
	lastRouter  int
	otherRouter bool // the next attempt avoids lastRouter
	mayHaveRun  bool // one of the attempts may have

	mu        sync.Mutex
	conns     map[*rest.Client]bool // of the exchanges in progress; nil: the call is done
	connected int                   // attempts that had a connection and whose result was not handled yet
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	retry.AttemptResult
	answer    Response
	failed    *CallError // nil: it succeeded
	duration  time.Duration
	connected bool // it had a connection
	local     bool // its failure says nothing of the router
}

// outcomeNames are what Hooks.Tried and Call.Tried are called with.
var outcomeNames = [...]string{
	retry.Succeeded: "finished",
	retry.Invalid:   "refused",
	retry.Rejected:  "pushed back",
	retry.NotSent:   "unsent",
	retry.Failed:    "killed",
	retry.Lost:      "lost",
}

func (c *Client) newCallState(call *Call, deadline time.Time) *callState {
	remaining := control.Micros(time.Until(deadline).Microseconds())
	return &callState{
		client:      c,
		call:        call,
		deadline:    deadline,
		retry:       retry.NewCall(call.Workload.class(), c.now()+remaining),
		results:     make(chan attemptResult, maxUnreadResults),
		lastFailure: &CallError{Kind: NotSent, Reason: "its time was up before a router could be asked"},
		lastRouter:  -1,
		conns:       map[*rest.Client]bool{},
	}
}

// run makes attempts until the call has its outcome.
func (s *callState) run(ctx context.Context) (Response, *CallError) {
	const never = time.Hour // far beyond any call
	defer s.abort()         // a slower hedged attempt, or all where the caller gave up
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.attemptDue, s.hedgeDue = time.NewTimer(0), time.NewTimer(never)
	defer s.attemptDue.Stop()
	defer s.hedgeDue.Stop()
	for {
		select {
		case <-s.attemptDue.C:
			if !s.startAttempt(ctx) && s.inFlight == 0 {
				return Response{}, s.failure()
			}
		case <-s.hedgeDue.C:
			s.hedge()
		case result := <-s.results:
			decision := s.handleResult(result)
			switch {
			case result.Outcome == retry.Succeeded:
				return result.answer, nil
			case result.Outcome == retry.Invalid || decision.Done && s.inFlight == 0:
				return Response{}, s.failure()
			case !decision.Done:
				s.attemptDue.Reset(time.Until(s.client.at(decision.RetryAt)))
			}
		case <-ctx.Done():
			return Response{}, &CallError{Kind: s.kindOnTimeout(), Reason: "the caller's time was up", Err: context.Cause(ctx)}
		}
	}
}

// startAttempt starts an attempt, if there may be one, and reports whether it did.
func (s *callState) startAttempt(ctx context.Context) bool {
	c := s.client
	c.mu.Lock()
	router := s.retry.PinnedRouter()
	if router < 0 {
		avoid := -1
		if s.otherRouter {
			avoid = s.lastRouter
		}
		router = c.routers.Pick(c.now(), avoid)
	}
	allowed := s.retry.BeginAttempt(c.now())
	hedgeDelay := c.latencies.HedgeDelay()
	number := s.retry.Attempts()
	c.mu.Unlock()
	if !allowed {
		return false
	}
	s.inFlight++
	if hedgeDelay > 0 && number == 1 && s.call.Workload.Hedge {
		s.hedgeDue.Reset(time.Duration(hedgeDelay) * time.Microsecond)
	}
	go s.attempt(ctx, router, number)
	return true
}

// hedge has a second attempt start at another router, if it may.
func (s *callState) hedge() {
	c := s.client
	c.mu.Lock()
	allowed := s.retry.AllowHedge(c.now(), c.budget)
	c.mu.Unlock()
	if allowed {
		s.otherRouter = true
		s.attemptDue.Reset(0)
	}
}

// handleResult records how an attempt ended and returns what follows.
func (s *callState) handleResult(result attemptResult) retry.Decision {
	c := s.client
	s.inFlight--
	if result.connected {
		s.mu.Lock()
		s.connected--
		s.mu.Unlock()
	}
	c.mu.Lock()
	decision := s.retry.HandleOutcome(c.now(), result.AttemptResult, c.budget, c.random)
	if result.Outcome == retry.Succeeded {
		c.latencies.Add(control.Micros(result.duration.Microseconds()))
	}
	c.mu.Unlock()
	if result.Outcome == retry.Failed || result.Outcome == retry.Lost {
		s.mayHaveRun = true
	}
	s.lastFailure, s.lastRouter, s.otherRouter = result.failed, result.Router, decision.OtherRouter
	return decision
}

// failure returns a failed call's outcome. What may have run is never called harmless, whatever the last attempt met.
func (s *callState) failure() *CallError {
	failed := s.lastFailure
	if s.mayHaveRun && (failed.Kind == NotSent || failed.Kind == Rejected && s.call.Workload.Effect == NonIdempotent) {
		failed.Kind = OutcomeUnknown
	}
	return failed
}

// kindOnTimeout is the kind of a call that its caller gave up: an attempt that waits for a connection has not run.
func (s *callState) kindOnTimeout() FailureKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mayHaveRun || s.connected > 0 {
		return OutcomeUnknown
	}
	return NotSent
}

// abort ends the exchanges in progress, which tells their routers that nobody waits for the answer.
func (s *callState) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Abort()
	}
	s.conns = nil
}

// attempt makes one attempt.
func (s *callState) attempt(ctx context.Context, router, number int) {
	hooks := &s.client.options.Hooks
	begun := time.Now()
	try := Attempt{IdempotencyKey: s.call.IdempotencyKey, Number: number, Router: s.client.options.Routers[router], Remaining: time.Until(s.deadline)}
	if hooks.AttemptStarted != nil {
		hooks.AttemptStarted(try)
	}
	result := s.connectAndExchange(ctx, router, &try)
	result.duration = time.Since(begun)
	s.client.recordResult(result)
	if s.call.AttemptEnded != nil {
		s.call.AttemptEnded(try, outcomeNames[result.Outcome])
	}
	if hooks.AttemptEnded != nil {
		hooks.AttemptEnded(try, outcomeNames[result.Outcome], result.duration)
	}
	s.results <- result
}

// connectAndExchange gets a connection and makes the attempt's exchange on it. It sets the time that try has left then.
func (s *callState) connectAndExchange(ctx context.Context, router int, try *Attempt) attemptResult {
	c := s.client
	result := attemptResult{AttemptResult: retry.AttemptResult{Router: router, SentAt: c.now()}}
	conn, err := c.acquire(ctx, router)
	switch {
	case err != nil:
		result.Outcome = retry.NotSent
		result.failed = &CallError{Kind: NotSent, Reason: "no connection to " + try.Router + ": " + err.Error(), Err: err}
		result.local = netfail.IsLocal(err) || errors.Is(err, context.Canceled)
	case !s.register(conn):
		c.release(router, conn, closeConn)
		result.notSent("the call is over")
	default:
		result.SentAt, result.connected = c.now(), true
		try.Remaining = time.Until(s.deadline)
		s.exchange(conn, *try, &result)
	}
	return result
}

// notSent makes the result that of an attempt that this side did not send.
func (r *attemptResult) notSent(why string) {
	r.Outcome, r.failed, r.local = retry.NotSent, &CallError{Kind: NotSent, Reason: why}, true
}

// recordResult records what an attempt says of its router.
func (c *Client) recordResult(result attemptResult) {
	if result.local {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if result.Outcome == retry.NotSent || result.Outcome == retry.Lost {
		c.routers.RecordFailure(c.now(), result.Router)
	} else {
		c.routers.RecordSuccess(result.Router)
	}
}

// register records a connection as in use for an attempt. It returns false where nothing may be sent any more: the call is
// done, or its time was up while the attempt waited for the connection.
func (s *callState) register(conn *rest.Client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil || !time.Now().Before(s.deadline) {
		return false
	}
	s.conns[conn] = true
	s.connected++
	return true
}

func (s *callState) unregister(conn *rest.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}
