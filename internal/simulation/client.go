package simulation

import (
	"strconv"

	"hollymast/control"
	"hollymast/internal/retry"
)

// client is one program that makes calls. Clients that behave decide with package retry, as the client library does.
type client struct {
	sim      *simulation
	node     *node
	budget   *retry.Budget
	routers  *retry.Routers
	outcomes []CallOutcome
}

func newClient(sim *simulation) *client {
	c := &client{sim: sim, node: sim.engine.newNode(sim.plan.Seed), budget: retry.NewBudget()}
	c.routers = retry.NewRouters(sim.plan.Routers, c.node.random.IntN(sim.plan.Routers))
	return c
}

// activeCall is a call in progress.
type activeCall struct {
	*Call
	client    *client
	class     *Class
	index     int // into Plan.Calls
	startedAt control.Micros
	retries   *retry.Call // nil: it retries blindly
	attempts  int
}

func (c *client) startCall(index int, planned *Call) {
	call := &activeCall{Call: planned, client: c, class: &c.sim.plan.Classes[planned.Class], index: index, startedAt: c.node.Now()}
	if !planned.RetriesBlindly {
		spec := call.class.Spec
		call.retries = retry.NewCall(retry.Class{Effect: spec.Effect, Scope: spec.Scope, Window: spec.Window}, call.startedAt+planned.Timeout)
		c.budget.Deposit()
	}
	call.sendNext(noRouter)
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

// sendNext sends the next request, to another router than one where that may help, or ends the call.
func (call *activeCall) sendNext(avoid int) {
	c, now := call.client, call.client.node.Now()
	remaining := call.startedAt + call.Timeout - now
	router := 0
	switch {
	case call.retries == nil:
		if remaining < blindRetryMinLeft || call.attempts >= maxBlindAttempts {
			call.giveUp()
			return
		}
		router = (call.FirstRouter + call.attempts) % c.sim.plan.Routers
	case !call.retries.BeginAttempt(now):
		call.giveUp()
		return
	default:
		if router = call.retries.PinnedRouter(); router < 0 {
			router = c.routers.Pick(now, avoid)
		}
	}
	call.attempts++
	request := &clientRequest{activeCall: call, number: call.attempts, router: router, sentAt: now, timeout: remaining}
	request.send()
}

// succeed ends the call with its answer.
func (call *activeCall) succeed() {
	now := call.client.node.Now()
	call.client.outcomes = append(call.client.outcomes, CallOutcome{CallIndex: call.index, Attempts: call.attempts, FinishedAt: now,
		InTime: now-call.startedAt <= call.class.Spec.LatencyObjective})
}

// giveUp ends the call without an answer.
func (call *activeCall) giveUp() {
	call.client.outcomes = append(call.client.outcomes, CallOutcome{CallIndex: call.index, Attempts: call.attempts})
}

// operationName is the call's effect in the records.
func (call *activeCall) operationName() string { return strconv.Itoa(call.Number) }

// keyHash is the call's idempotency key as routers know it; 0: none.
func (call *activeCall) keyHash() uint64 {
	if call.retries == nil {
		return 0
	}
	return uint64(call.Number) + 1
}

// NonIdempotentKeyPrefix begins the keys of non-idempotent calls. No server knows such a key, so a wrong retry runs twice and is seen.
const NonIdempotentKeyPrefix = "once-"

// idempotencyKey is the call's idempotency key as servers know it; empty: none.
func (call *activeCall) idempotencyKey() string {
	switch effect := call.class.Spec.Effect; {
	case effect == control.NonIdempotent:
		return NonIdempotentKeyPrefix + call.operationName()
	case call.retries == nil && effect != control.IdempotentByKey:
		return ""
	}
	return "effect-" + call.operationName()
}
