package client

import (
	"context"
	"errors"
	"hollymast/control"
	"hollymast/internal/netfail"
	"hollymast/internal/rest"
	"hollymast/internal/retry"
	"sync"
	"time"
)

// tries is one call under way.
type callState struct {
	client    *Client
	call      *Call
	retry     *retry.Call // under the client's lock
	deadline  time.Time
	results   chan attemptResult
	open      map[*rest.Client]bool
	connected int // tries that had a connection and whose end was not heard yet
	mu        sync.Mutex
}

// ended is the end of one try.
type attemptResult struct {
	outcome   retry.Outcome
	sentAt    control.Micros
	router    int
	answer    Answer
	failed    *Failed
	advised   control.Micros
	duration  time.Duration
	connected bool // it had a connection
	local     bool // how it ended says nothing of the router
}

// run makes tries until the call has its outcome.
func (t *callState) run(ctx context.Context) (Answer, *Failed) {
	c := t.client
	t.open = map[*rest.Client]bool{}
	defer t.abort() // a slower try beside the answer, or all where the caller gave up
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	last := &Failed{Kind: Unreached, Why: "its time was up before a router could be asked"}
	mayHaveRun := false
	begin := time.NewTimer(0)
	defer begin.Stop()
	hedge := time.NewTimer(time.Hour)
	defer hedge.Stop()
	other, from, out := false, -1, 0
	for {
		select {
		case <-begin.C:
			c.mu.Lock()
			router := t.retry.PinnedRouter()
			if router < 0 {
				avoid := -1
				if other {
					avoid = from
				}
				router = c.routers.Pick(c.now(), avoid)
			}
			may := t.retry.BeginAttempt(c.now())
			after := c.latencies.HedgeDelay()
			number := t.retry.Attempts()
			c.mu.Unlock()
			if !may {
				if out == 0 {
					return Answer{}, t.outcome(last, mayHaveRun)
				}
				continue
			}
			out++
			if after > 0 && number == 1 && t.call.Workload.Hedge {
				hedge.Reset(time.Duration(after) * time.Microsecond)
			}
			go t.attempt(ctx, router, number)
		case <-hedge.C:
			c.mu.Lock()
			may := t.retry.AllowHedge(c.now(), c.budget)
			c.mu.Unlock()
			if may {
				other = true
				begin.Reset(0)
			}
		case e := <-t.results:
			out--
			if e.connected {
				t.mu.Lock()
				t.connected--
				t.mu.Unlock()
			}
			c.mu.Lock()
			next := t.retry.HandleOutcome(c.now(), e.outcome, e.sentAt, e.router, e.advised, c.budget, c.random)
			if e.outcome == retry.Succeeded {
				c.latencies.Add(control.Micros(e.duration.Microseconds()))
			}
			c.mu.Unlock()
			if e.outcome == retry.Succeeded {
				return e.answer, nil
			}
			if e.outcome == retry.Failed || e.outcome == retry.Lost {
				mayHaveRun = true
			}
			last, from, other = e.failed, e.router, next.OtherRouter
			if e.outcome == retry.Invalid || next.Done && out == 0 {
				return Answer{}, t.outcome(last, mayHaveRun)
			}
			if !next.Done {
				begin.Reset(time.Until(c.at(next.RetryAt)))
			}
		case <-ctx.Done():
			return Answer{}, &Failed{Kind: t.kindOnTimeout(mayHaveRun), Why: "the caller's time was up", Err: context.Cause(ctx)}
		}
	}
}

// outcome gives a failed call's outcome: what may have run is never called harmless, whatever the last try met.
func (t *callState) outcome(last *Failed, mayHaveRun bool) *Failed {
	if mayHaveRun && (last.Kind == Unreached || last.Kind == PushedBack && t.call.Workload.Effect == RunOnce) {
		last.Kind = Unknown
	}
	return last
}

// kindNow is the kind of a call that its caller gave up: a try that still waits for a connection has not run.
func (t *callState) kindOnTimeout(mayHaveRun bool) Kind {
	t.mu.Lock()
	defer t.mu.Unlock()
	if mayHaveRun || t.connected > 0 {
		return Unknown
	}
	return Unreached
}

// abort breaks off what is still out, which has the router see its client go.
func (t *callState) abort() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for x := range t.open {
		x.Abort()
	}
	t.open = nil
}

// try makes one try.
func (t *callState) attempt(ctx context.Context, router, number int) {
	c, hooks := t.client, &t.client.options.Hooks
	address := c.options.Routers[router]
	begun := time.Now()
	told := Try{Mark: t.call.Mark, Number: number, Router: address, Left: time.Until(t.deadline)}
	if hooks.Try != nil {
		hooks.Try(told)
	}
	e := attemptResult{router: router, sentAt: c.now()}
	x, err := c.acquire(ctx, router)
	if err != nil {
		e.outcome, e.failed = retry.NotSent, &Failed{Kind: Unreached, Why: "no connection to " + address + ": " + err.Error(), Err: err}
		e.local = netfail.IsLocal(err) || errors.Is(err, context.Canceled)
	} else if !t.register(x) { // the call is over
		c.release(router, x, true)
		e.outcome, e.failed, e.local = retry.NotSent, &Failed{Kind: Unreached, Why: "the call is over"}, true
	} else {
		e.sentAt, e.connected = c.now(), true
		told.Left = time.Until(t.deadline)
		t.exchange(x, told, &e)
	}
	e.duration = time.Since(begun)
	c.mu.Lock()
	switch {
	case e.local:
	case e.outcome == retry.NotSent || e.outcome == retry.Lost:
		c.routers.RecordFailure(c.now(), router)
	default:
		c.routers.RecordSuccess(router)
	}
	c.mu.Unlock()
	if t.call.Tried != nil {
		t.call.Tried(told, outcomeNames[e.outcome])
	}
	if hooks.Tried != nil {
		hooks.Tried(told, outcomeNames[e.outcome], e.duration)
	}
	t.results <- e // holds all tries of a call
}

var outcomeNames = [...]string{"finished", "refused", "pushed back", "unsent", "killed", "lost"}

// hold takes a connection for a try; false: the call is over, or its patience ended while the try waited for the connection.
func (t *callState) register(x *rest.Client) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open == nil || !time.Now().Before(t.deadline) {
		return false
	}
	t.open[x] = true
	t.connected++
	return true
}

func (t *callState) unregister(x *rest.Client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, x)
}
