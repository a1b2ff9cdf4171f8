// Package client calls a hollymast router, or several, as a client should: one deadline a call, marks on every repeat, retries that
// do no harm and stay a small part of calls, pauses as advised, reconnects that spread out. It keeps no global state.
package client

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"hollymast/control"
	"hollymast/internal/rest"
	"hollymast/internal/retry"
	"hollymast/kserve"
)

// Effect tells what a second execution of a job would do.
type Effect uint8

// The effects, as the routers' workloads have them.
const (
	RunOnce       Effect = iota // never again once it may have run
	Restartable                 // does no harm
	Fingerprinted               // is dropped by its group for a while, where its mark is known
)

// Workload is what is known of jobs of a kind; it should say what the routers are told.
type Workload struct {
	Effect     Effect
	Narrow     bool          // a fingerprinted job's group is a part of the servers (zone or cell): another router may not reach it
	Window     time.Duration // for which a group knows a fingerprinted job
	Remembered bool          // the routers have a memory: the one that was asked may be asked again for a run-once job
	Hedge      bool          // two executions at once do no harm, and a slow try is worth a second
}

// Call is one inference.
type Call struct {
	Model    string
	Version  string
	Body     []byte // the KServe v2 request: JSON, or JSON and binary tensors
	Header   int    // length of the JSON part where binary tensors follow; 0: all is JSON
	Mark     string // names the effect, the same for all its repeats; empty: one is made
	Tenant   string
	Workload Workload
	Patience time.Duration // for all tries; 0: until the context's deadline
	// BodyOf gives the body of each try, where the request's id or its parameter timeout must tell it; nil: Body. It is called
	// once the try has a connection, just before it is sent.
	BodyOf func(Try) []byte
	Tried  func(t Try, ending string) // hears how each try ended, as Hooks.Tried does; nil: nobody
}

// Try is one sending of a call.
type Try struct {
	Mark   string // of the call
	Number int    // from 1
	Router string
	Left   time.Duration // of the call's patience
}

// Answer is a finished call.
type Answer struct {
	Status int
	Body   []byte
	Header int // length of its JSON part where binary tensors follow
	Tries  int
	Router string
}

// Kind is why a call came to nothing.
type Kind string

// The kinds.
const (
	PushedBack Kind = "pushed back" // not now; it did not run, or may run again without harm
	Killed     Kind = "killed"      // it may have run
	Wrong      Kind = "refused"     // the request is wrong
	Unreached  Kind = "unreached"   // no router had it: it did not run
	Unknown    Kind = "unknown"     // it may have run: no answer came
)

// Failed is the one outcome of a call that was not finished.
type Failed struct {
	Kind   Kind
	Status int           // of the last answer; 0: none
	Why    string        // in the router's words, or ours
	After  time.Duration // the router's advice on when to ask again; 0: none
	Tries  int
	Err    error // beneath, where there is one
}

func (f *Failed) Error() string {
	return fmt.Sprintf("%s after %d tries: %s", f.Kind, f.Tries, f.Why)
}

func (f *Failed) Unwrap() error { return f.Err }

// Options are how a client is made.
type Options struct {
	Routers     []string      // addresses, HOST:PORT
	TLS         *tls.Config   // nil: in plain text
	Connections int           // to one router at most; 0: 64
	Patience    time.Duration // of calls that say none and whose context has no deadline; 0: 10 s
	Late        time.Duration // for which an answer is still read after a call's patience; nothing is sent then
	Seed        uint64        // of its chance; 0: drawn
	Hooks       Hooks
}

// Hooks hear what a client does; nil ones hear nothing. They are called by many goroutines and must not wait.
type Hooks struct {
	Try       func(t Try)
	Tried     func(t Try, ending string, took time.Duration)
	Done      func(kind string, tries int, took time.Duration)
	Connected func(router string)
	Lost      func(router string)
}

// Client keeps connections to routers. It may be used by many goroutines.
type Client struct {
	options   Options
	started   time.Time
	keyPrefix string

	mu         sync.Mutex
	random     *rand.Rand
	budget     *retry.Budget
	routers    *retry.Routers
	latencies  retry.Latencies
	idle       [][]*rest.Client
	open       []int
	keysIssued uint64
	closed     bool
}

// New gives a client that has no connection yet. Errors tell what is wrong with the options.
func New(o Options) (*Client, error) {
	if len(o.Routers) == 0 {
		return nil, errors.New("no router is told")
	}
	for _, a := range o.Routers {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, fmt.Errorf("router %q: %w", a, err)
		}
	}
	if o.Connections == 0 {
		o.Connections = 64
	}
	if o.Patience == 0 {
		o.Patience = 10 * time.Second
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	c := &Client{options: o, started: time.Now(), random: rand.New(rand.NewPCG(o.Seed, 0)), budget: retry.NewBudget(), idle: make([][]*rest.Client, len(o.Routers)),
		open: make([]int, len(o.Routers))}
	c.keyPrefix = strconv.FormatUint(c.random.Uint64(), 36) + "-"
	c.routers = retry.NewRouters(len(o.Routers), c.random.IntN(len(o.Routers)))
	return c, nil
}

// Close closes all connections that are idle, and the others when their exchanges end.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for i, idle := range c.idle {
		for _, x := range idle {
			x.Close()
		}
		c.idle[i] = nil
	}
}

func (c *Client) now() control.Micros {
	return control.Micros(time.Since(c.started).Microseconds()) + 1
}

func (c *Client) at(t control.Micros) time.Time {
	return c.started.Add(time.Duration(t-1) * time.Microsecond)
}

// Infer makes a call. It has one outcome: an answer, or a *Failed.
func (c *Client) Infer(ctx context.Context, call Call) (Answer, error) {
	begun := time.Now()
	deadline, told := ctx.Deadline()
	if patience := call.Patience; patience > 0 || !told {
		if patience == 0 {
			patience = c.options.Patience
		}
		if at := begun.Add(patience); !told || at.Before(deadline) {
			deadline = at
		}
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(c.options.Late))
	defer cancel()
	w := retry.Class{Effect: [...]control.Effect{control.NonIdempotent, control.Idempotent, control.IdempotentByKey}[call.Workload.Effect],
		Window: control.Micros(call.Workload.Window.Microseconds()), KeysPersisted: call.Workload.Remembered, HedgeSafe: call.Workload.Hedge}
	if call.Workload.Narrow {
		w.Scope = control.OneZone
	}
	c.mu.Lock()
	if call.Mark == "" {
		c.keysIssued++
		call.Mark = c.keyPrefix + strconv.FormatUint(c.keysIssued, 36)
	}
	c.budget.Deposit()
	c.mu.Unlock()
	t := &callState{client: c, call: &call, retry: retry.NewCall(w, c.now()+control.Micros(time.Until(deadline).Microseconds())), deadline: deadline, results: make(chan attemptResult, 8)}
	a, failed := t.run(ctx)
	kind := "finished"
	if failed != nil {
		kind = string(failed.Kind)
		failed.Tries = t.retry.Attempts()
	}
	if c.options.Hooks.Done != nil {
		c.options.Hooks.Done(kind, t.retry.Attempts(), time.Since(begun))
	}
	if failed != nil {
		return Answer{}, failed
	}
	a.Tries = t.retry.Attempts()
	return a, nil
}

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
		e.local = rest.LocalFailure(err) || errors.Is(err, context.Canceled)
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

// exchange sends a try on a connection and reads what came of it.
func (t *callState) exchange(x *rest.Client, told Try, e *attemptResult) {
	c := t.client
	address, body := told.Router, t.call.Body
	if t.call.BodyOf != nil {
		body = t.call.BodyOf(told)
	}
	left := time.Until(t.deadline).Milliseconds()
	if left <= 0 { // the body took what was left
		t.unregister(x)
		c.release(e.router, x, true) // the call's end may have broken it
		e.outcome, e.failed, e.local = retry.NotSent, &Failed{Kind: Unreached, Why: "its time was up before it was sent"}, true
		return
	}
	h := rest.Header{"Host": {address}, "Content-Type": {"application/json"}, kserve.RepeatMark: {told.Mark}, kserve.AttemptHeader: {strconv.Itoa(told.Number)},
		kserve.TimeoutHeader: {strconv.FormatInt(left, 10)}}
	if t.call.Header > 0 {
		h["Content-Type"] = []string{"application/octet-stream"}
		h[kserve.HeaderLength] = []string{strconv.Itoa(t.call.Header)}
	}
	if t.call.Tenant != "" {
		h["X-Tenant"] = []string{t.call.Tenant}
	}
	q := &rest.Request{Method: "POST", Target: kserve.Call{Kind: kserve.Infer, Model: t.call.Model, Version: t.call.Version}.Target(), Header: h, Body: body}
	p, progress, err := x.Do(q, t.deadline.Add(c.options.Late))
	t.unregister(x)
	if err != nil {
		if e.local = errors.Is(err, rest.ErrAborted) || rest.LocalFailure(err); e.local { // given up, by the caller or for another try's answer
			c.release(e.router, x, true)
		} else {
			c.discard(e.router, x)
		}
		e.outcome, e.failed = retry.Lost, &Failed{Kind: Unknown, Why: err.Error(), Err: err}
		if progress < rest.WrittenWhole || errors.Is(err, rest.ErrCertificateRejected) {
			e.outcome, e.failed.Kind = retry.NotSent, Unreached
		}
		return
	}
	c.release(e.router, x, p.Close)
	e.answer = Answer{Status: p.Status, Body: p.Body, Router: address}
	e.answer.Header, _ = strconv.Atoi(p.Header.Get(kserve.HeaderLength))
	said := gjson.GetManyBytes(p.Body, "error", "answer", "retry_after_us")
	e.failed = &Failed{Kind: Wrong, Status: p.Status, Why: said[0].Str}
	switch {
	case p.Status < 300:
		e.outcome, e.failed = retry.Succeeded, nil
	case p.Status == 503 && said[1].Str == string(PushedBack):
		e.outcome, e.failed.Kind = retry.Rejected, PushedBack
		e.advised = control.Micros(said[2].Int())
		e.failed.After = time.Duration(e.advised) * time.Microsecond
	case p.Status >= 500: // killed, or somebody on the way who promises nothing
		e.outcome, e.failed.Kind = retry.Failed, Killed
	default:
		e.outcome = retry.Invalid
	}
}

// get gives a connection to a router: an idle one, or a new one as soon as one may be made.
func (c *Client) acquire(ctx context.Context, router int) (*rest.Client, error) {
	for {
		c.mu.Lock()
		for n := len(c.idle[router]); n > 0; n = len(c.idle[router]) {
			conn := c.idle[router][n-1]
			c.idle[router] = c.idle[router][:n-1]
			if !conn.Stale() {
				c.mu.Unlock()
				return conn, nil
			}
			conn.Close()
			c.connectionEnded(router, true)
		}
		allowed, at := c.routers.MayConnect(c.now(), router)
		if allowed = allowed && c.open[router] < c.options.Connections; allowed {
			c.open[router]++
			c.routers.ConnectionOpened(router)
		}
		c.mu.Unlock()
		if !allowed {
			wait := max(time.Millisecond, time.Until(c.at(at)))
			t := time.NewTimer(wait)
			select {
			case <-t.C:
				continue
			case <-ctx.Done():
				t.Stop()
				return nil, ctx.Err()
			}
		}
		var secure rest.Handshake
		if c.options.TLS != nil {
			secure = func(ctx context.Context, nc net.Conn, address string) (net.Conn, error) {
				config := c.options.TLS.Clone()
				if config.ServerName == "" {
					config.ServerName, _, _ = net.SplitHostPort(address)
				}
				s := tls.Client(nc, config)
				return s, s.HandshakeContext(ctx)
			}
		}
		conn, err := rest.DialWith(ctx, c.options.Routers[router], &rest.DefaultLimits, secure)
		if err != nil {
			c.mu.Lock()
			c.open[router]--
			c.routers.ConnectionClosed(router)
			c.mu.Unlock()
			return nil, err
		}
		if c.options.Hooks.Connected != nil {
			c.options.Hooks.Connected(c.options.Routers[router])
		}
		return conn, nil
	}
}

// gone counts a connection that is no more; the lock is held.
func (c *Client) connectionEnded(router int, broke bool) {
	c.open[router]--
	if !broke {
		c.routers.ConnectionClosed(router)
		return
	}
	c.routers.ConnectionLost(c.now(), router, c.random)
	if c.options.Hooks.Lost != nil {
		c.options.Hooks.Lost(c.options.Routers[router])
	}
}

// put keeps a connection for the next call, unless it ends.
func (c *Client) release(router int, x *rest.Client, ends bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ends || c.closed {
		x.Close()
		c.connectionEnded(router, false)
		return
	}
	c.idle[router] = append(c.idle[router], x)
}

// lose closes a connection that broke.
func (c *Client) discard(router int, x *rest.Client) {
	x.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connectionEnded(router, true)
}
