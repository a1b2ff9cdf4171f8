package simulation

import (
	"strconv"

	"hollymast/control"
	"hollymast/internal/retry"
)

// client is a program that makes calls. It decides on retries with package retry, as the client library does, except for
// calls that retry blindly.
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

// activeCall is a call that its client has started.
type activeCall struct {
	*Call
	client    *client
	class     *Class
	index     int // into Plan.Calls
	startedAt control.Micros
	retries   *retry.Call // nil: the call retries blindly
	attempts  int         // requests sent so far
}

// startCall starts a planned call.
func (c *client) startCall(index int, planned *Call) {
	call := &activeCall{Call: planned, client: c, class: &c.sim.plan.Classes[planned.Class], index: index, startedAt: c.node.Now()}
	if !planned.RetriesBlindly {
		spec := call.class.Spec
		call.retries = retry.NewCall(retry.Class{Idempotency: spec.Idempotency, DedupScope: spec.DedupScope, DedupWindow: spec.DedupWindow}, call.startedAt+planned.Timeout)
		c.budget.Deposit()
	}
	call.sendNext(noRouter)
}

// noRouter is used in place of a router's number if there is none.
const noRouter = -1

// Behavior of clients that retry blindly. It is the same as that of the chaos tester's clients in a run of real processes:
// the pause between requests, the remaining time below which they give up, and a limit on the requests of a call, which is
// higher than any timeout allows.
const (
	blindRetryInterval = control.Micros(50_000)
	minBlindTimeout    = control.Micros(50_000)
	maxBlindRequests   = 200
)

// sendNext sends the call's next request, preferably not to the router avoid, or ends the call if no further request is
// allowed.
func (call *activeCall) sendNext(avoid int) {
	c, now := call.client, call.client.node.Now()
	remaining := call.startedAt + call.Timeout - now
	router := 0
	switch {
	case call.retries == nil:
		if remaining < minBlindTimeout || call.attempts >= maxBlindRequests {
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

// succeed ends the call as successful.
func (call *activeCall) succeed() {
	now := call.client.node.Now()
	call.client.outcomes = append(call.client.outcomes, CallOutcome{CallIndex: call.index, Attempts: call.attempts, FinishedAt: now,
		InTime: now-call.startedAt <= call.class.Spec.LatencyObjective})
}

// giveUp ends the call without success.
func (call *activeCall) giveUp() {
	call.client.outcomes = append(call.client.outcomes, CallOutcome{CallIndex: call.index, Attempts: call.attempts})
}

// operationName identifies the call in the records, where all its requests have the same Effect.
func (call *activeCall) operationName() string { return strconv.Itoa(call.Number) }

// keyHash is the hash of the call's idempotency key that routers see; 0: none.
func (call *activeCall) keyHash() uint64 {
	if call.retries == nil {
		return 0
	}
	return uint64(call.Number) + 1
}

// NonIdempotentKeyPrefix begins the idempotency keys of non-idempotent calls. Servers do not deduplicate such keys, so
// that a wrong retry runs twice and is detected.
const NonIdempotentKeyPrefix = "once-"

// idempotencyKey is the call's idempotency key that servers see; empty: none.
func (call *activeCall) idempotencyKey() string {
	switch effect := call.class.Spec.Idempotency; {
	case effect == control.NonIdempotent:
		return NonIdempotentKeyPrefix + call.operationName()
	case call.retries == nil && effect != control.IdempotentByKey:
		return ""
	}
	return "effect-" + call.operationName()
}
