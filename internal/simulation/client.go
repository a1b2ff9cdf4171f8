package simulation

import (
	"strconv"

	"hollymast/control"
	"hollymast/internal/retry"
)

// client is one program that makes calls. Clients that behave decide with package retry, as the client library does.
type client struct {
	world    *world
	node     *node
	budget   *retry.Budget
	routers  *retry.Routers
	outcomes []CallOutcome
}

func newClient(w *world) *client {
	c := &client{world: w, node: w.engine.newNode(w.plan.Seed), budget: retry.NewBudget()}
	c.routers = retry.NewRouters(w.plan.Routers, c.node.random.IntN(w.plan.Routers))
	return c
}

// call is a call in progress.
type call struct {
	*Call
	client   *client
	class    *Class
	index    int // into Plan.Calls
	begunAt  control.Micros
	retries  *retry.Call // nil: it retries blindly
	attempts int
}

func (c *client) begin(index int, planned *Call) {
	l := &call{Call: planned, client: c, class: &c.world.plan.Classes[planned.Class], index: index, begunAt: c.node.Now()}
	if !planned.RetriesBlindly {
		spec := l.class.Spec
		l.retries = retry.NewCall(retry.Class{Effect: spec.Idempotency, Scope: spec.DedupScope, Window: spec.DedupWindow}, l.begunAt+planned.Timeout)
		c.budget.Deposit()
	}
	l.attempt(noRouter)
}

// noRouter stands for a router's number where there is none.
const noRouter = -1

// The loop of a client that retries blindly, the same as the chaos tester's on sockets: its pause, the time left below which it
// gives up, and the bound on its requests, more than any timeout allows.
const (
	blindRetryPause   = control.Micros(50_000)
	blindRetryMinLeft = control.Micros(50_000)
	maxBlindAttempts  = 200
)

// attempt sends the next request, to another router than one where that may help, or ends the call.
func (l *call) attempt(avoid int) {
	c, now := l.client, l.client.node.Now()
	left := l.begunAt + l.Timeout - now
	router := 0
	switch {
	case l.retries == nil:
		if left < blindRetryMinLeft || l.attempts >= maxBlindAttempts {
			l.giveUp()
			return
		}
		router = (l.FirstRouter + l.attempts) % c.world.plan.Routers
	case !l.retries.BeginAttempt(now):
		l.giveUp()
		return
	default:
		if router = l.retries.PinnedRouter(); router < 0 {
			router = c.routers.Pick(now, avoid)
		}
	}
	l.attempts++
	request := &clientRequest{call: l, number: l.attempts, router: router, sentAt: now, timeout: left}
	request.send()
}

// succeed ends the call with its answer.
func (l *call) succeed() {
	now := l.client.node.Now()
	l.client.outcomes = append(l.client.outcomes, CallOutcome{CallIndex: l.index, Attempts: l.attempts, FinishedAt: now,
		InTime: now-l.begunAt <= l.class.Spec.LatencyObjective})
}

// giveUp ends the call without an answer.
func (l *call) giveUp() {
	l.client.outcomes = append(l.client.outcomes, CallOutcome{CallIndex: l.index, Attempts: l.attempts})
}

// effectName is the call's effect in the records.
func (l *call) effectName() string { return strconv.Itoa(l.Number) }

// keyHash is the call's idempotency key as routers know it; 0: none.
func (l *call) keyHash() uint64 {
	if l.retries == nil {
		return 0
	}
	return uint64(l.Number) + 1
}

// NonIdempotentKeyPrefix begins the keys of non-idempotent calls. No server knows such a key, so a wrong retry runs twice and is seen.
const NonIdempotentKeyPrefix = "once-"

// idempotencyKey is the call's idempotency key as servers know it; empty: none.
func (l *call) idempotencyKey() string {
	switch effect := l.class.Spec.Idempotency; {
	case effect == control.NonIdempotent:
		return NonIdempotentKeyPrefix + l.effectName()
	case l.retries == nil && effect != control.IdempotentByKey:
		return ""
	}
	return "effect-" + l.effectName()
}
