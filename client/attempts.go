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

// maxUnreadResults exceeds the number of attempts of a call, so that an attempt never blocks on a call that has ended.
const maxUnreadResults = 8

// callState is a call in progress. Its run method starts the attempts, each in a goroutine that ends at the latest when
// the call's context ends or its connection is aborted.
type callState struct {
	client   *Client
	call     *Call
	deadline time.Time
	retry    *retry.Call // guarded by the client's lock
	results  chan attemptResult

	// The following fields are used only by run.
	inFlight    int
	attemptDue  *time.Timer
	hedgeDue    *time.Timer
	lastFailure *CallError
	lastRouter  int
	otherRouter bool // the next attempt avoids lastRouter
	mayHaveRun  bool // an attempt may have run at a server

	mu               sync.Mutex
	conns            map[*rest.Client]bool // connections of the exchanges in progress; nil: the call has ended
	pendingConnected int                   // attempts that got a connection and whose result is not handled yet
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	retry.AttemptResult
	response     Response
	callErr      *CallError // nil: the attempt succeeded
	duration     time.Duration
	connected    bool // the attempt got a connection
	localFailure bool // the failure has a local cause and says nothing about the router
}

// outcomeNames are the outcomes that Hooks.AttemptEnded and Call.AttemptEnded are called with.
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
		retry:       retry.NewCall(call.Workload.retryClass(), c.now()+remaining),
		results:     make(chan attemptResult, maxUnreadResults),
		lastFailure: &CallError{Kind: NotSent, Reason: "its time was up before a router could be asked"},
		lastRouter:  -1,
		conns:       map[*rest.Client]bool{},
	}
}

// run makes attempts until the call's outcome is known.
func (s *callState) run(ctx context.Context) (Response, *CallError) {
	const never = time.Hour // far longer than any call
	defer s.abort()         // a slower hedged attempt, or all attempts if the caller gave up
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
				return result.response, nil
			case result.Outcome == retry.Invalid || decision.Done && s.inFlight == 0:
				return Response{}, s.failure()
			case !decision.Done:
				s.attemptDue.Reset(time.Until(s.client.timeOf(decision.RetryAt)))
			}
		case <-ctx.Done():
			return Response{}, &CallError{Kind: s.kindOnTimeout(), Reason: "the caller's time was up", Err: context.Cause(ctx)}
		}
	}
}

// startAttempt starts an attempt if one is allowed, and reports whether it did.
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
	go s.runAttempt(ctx, router, number)
	return true
}

// hedge schedules a second, concurrent attempt at another router if that is allowed.
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

// handleResult records how an attempt ended and returns the decision on a retry.
func (s *callState) handleResult(result attemptResult) retry.Decision {
	c := s.client
	s.inFlight--
	if result.connected {
		s.mu.Lock()
		s.pendingConnected--
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
	s.lastFailure, s.lastRouter, s.otherRouter = result.callErr, result.Router, decision.OtherRouter
	return decision
}

// failure returns the error of a failed call. If any attempt may have run, the error never says that the call did not run
// or may safely run again, whatever the outcome of the last attempt.
func (s *callState) failure() *CallError {
	callErr := s.lastFailure
	if s.mayHaveRun && (callErr.Kind == NotSent || callErr.Kind == Rejected && s.call.Workload.Effect == NonIdempotent) {
		callErr.Kind = OutcomeUnknown
	}
	return callErr
}

// kindOnTimeout returns the FailureKind of a call whose context ended. Attempts that were still waiting for a connection
// have not run.
func (s *callState) kindOnTimeout() FailureKind {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mayHaveRun || s.pendingConnected > 0 {
		return OutcomeUnknown
	}
	return NotSent
}

// abort ends the exchanges in progress, from which their routers learn that nobody waits for the response.
func (s *callState) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Abort()
	}
	s.conns = nil
}

// runAttempt makes one attempt, calls the hooks and sends the result to run.
func (s *callState) runAttempt(ctx context.Context, router, number int) {
	hooks := &s.client.options.Hooks
	startedAt := time.Now()
	attempt := Attempt{IdempotencyKey: s.call.IdempotencyKey, Number: number, Router: s.client.options.Routers[router], Remaining: time.Until(s.deadline)}
	if hooks.AttemptStarted != nil {
		hooks.AttemptStarted(attempt)
	}
	result := s.connectAndExchange(ctx, router, &attempt)
	result.duration = time.Since(startedAt)
	s.client.recordResult(result)
	if s.call.AttemptEnded != nil {
		s.call.AttemptEnded(attempt, outcomeNames[result.Outcome])
	}
	if hooks.AttemptEnded != nil {
		hooks.AttemptEnded(attempt, outcomeNames[result.Outcome], result.duration)
	}
	s.results <- result
}

// connectAndExchange acquires a connection and makes the attempt's exchange on it. Once connected, it updates
// attempt.Remaining.
func (s *callState) connectAndExchange(ctx context.Context, router int, attempt *Attempt) attemptResult {
	c := s.client
	result := attemptResult{AttemptResult: retry.AttemptResult{Router: router, SentAt: c.now()}}
	conn, err := c.acquire(ctx, router)
	switch {
	case err != nil:
		result.Outcome = retry.NotSent
		result.callErr = &CallError{Kind: NotSent, Reason: "no connection to " + attempt.Router + ": " + err.Error(), Err: err}
		result.localFailure = netfail.IsLocal(err) || errors.Is(err, context.Canceled)
	case !s.register(conn):
		c.release(router, conn, closeConn)
		result.setNotSent("the call is over")
	default:
		result.SentAt, result.connected = c.now(), true
		attempt.Remaining = time.Until(s.deadline)
		s.exchange(conn, *attempt, &result)
	}
	return result
}

// setNotSent sets the result to that of an attempt that was not sent for a local reason.
func (r *attemptResult) setNotSent(reason string) {
	r.Outcome, r.callErr, r.localFailure = retry.NotSent, &CallError{Kind: NotSent, Reason: reason}, true
}

// recordResult records an attempt's success or failure for its router, unless the failure was local.
func (c *Client) recordResult(result attemptResult) {
	if result.localFailure {
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

// register records that an attempt uses a connection. It returns false if nothing may be sent any more, because the call
// has ended or its deadline passed while the attempt waited for the connection.
func (s *callState) register(conn *rest.Client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil || !time.Now().Before(s.deadline) {
		return false
	}
	s.conns[conn] = true
	s.pendingConnected++
	return true
}

func (s *callState) unregister(conn *rest.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}
