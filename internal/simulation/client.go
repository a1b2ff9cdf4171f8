package simulation

import (
	"hollymast/control"
	"hollymast/internal/invariant"
	"hollymast/internal/retry"
)

// ending is how a try ended.
type ending uint8

const (
	finished ending = iota
	pushedBack
	killed
	unsent // its router was not there
	broken // its connection broke after it was sent
	late   // its client's patience ended
)

// client is one program that makes calls: well-behaved ones decide with the client library's package.
type client struct {
	w       *world
	node    *node
	budget  *retry.Budget
	routers *retry.Routers
	effects []CallOutcome
}

func newClient(w *world, i int) *client {
	c := &client{w: w, node: w.engine.node(w.plan.Seed), budget: retry.NewBudget()}
	c.routers = retry.NewRouters(w.plan.Routers, c.node.chance.IntN(w.plan.Routers))
	return c
}

// asking is a call under way.
type asking struct {
	client *client
	call   *Call
	index  int
	begun  control.Micros
	state  *retry.Call // nil: it is rude
	tries  int
}

// try is one sending of a call.
type try struct {
	*asking
	number int
	router int
	sent   control.Micros
	left   control.Micros // of its client's patience
	over   bool
}

func (c *client) begin(index int, call *Call) {
	a := &asking{client: c, call: call, index: index, begun: c.node.Now()}
	if !call.RetriesBlindly {
		w := c.w.plan.Classes[call.Class].Spec
		a.state = retry.NewCall(retry.Class{Effect: w.Effect, Scope: w.Scope, Window: w.Window}, a.begun+call.Timeout)
		c.budget.Deposit()
	}
	a.next(-1)
}

// mostRude bounds the tries of a rude client: more than its patience allows.
const mostRude = 200

// A rude program's own loop, and the patience below which it asks no more, both as the laboratory's on sockets.
const (
	rudePause = control.Micros(50_000)
	rudeLeast = control.Micros(50_000)
)

// next makes the next try, at another router than one where that is worth it.
func (a *asking) next(avoid int) {
	c, now := a.client, a.client.node.Now()
	left := a.begun + a.call.Timeout - now
	router := 0
	switch {
	case a.state == nil:
		if left < rudeLeast || a.tries >= mostRude {
			a.done(false)
			return
		}
		router = (a.call.FirstRouter + a.tries) % c.w.plan.Routers
	case !a.state.BeginAttempt(now):
		a.done(false)
		return
	default:
		if router = a.state.PinnedRouter(); router < 0 {
			router = c.routers.Pick(now, avoid)
		}
	}
	a.tries++
	t := &try{asking: a, number: a.tries, router: router, sent: now, left: left}
	c.node.record(invariant.Record{Kind: invariant.RequestSent, Request: t.name(), Effect: itoa(a.call.Number), Workload: c.w.plan.Classes[a.call.Class].Name,
		Router: router, Deadline: int64(now + left)})
	r := c.w.routers[router]
	c.node.send(r.node, c.node.way(), func() { r.arrived(t) })
	c.node.After(left+lateness, func() {
		if !t.over {
			t.ended(late, 0)
			c.node.send(r.node, c.node.way(), func() { r.clientLeft(t) })
		}
	})
}

func (t *try) name() string { return itoa(t.call.Number) + "." + itoa(t.number) }

// marked tells whether the router hears that this is a repeat.
func (t *try) marked() bool { return t.state != nil && t.number > 1 }

// mark is the effect's, as routers know it; 0: none.
func (t *try) mark() uint64 {
	if t.state == nil {
		return 0
	}
	return uint64(t.call.Number) + 1
}

// key is the mark as servers know it. Those of run-once jobs are not known to any.
func (t *try) key() string {
	switch w := t.client.w.plan.Classes[t.call.Class].Spec; {
	case w.Effect == control.NonIdempotent:
		return NonIdempotentKeyPrefix + itoa(t.call.Number)
	case t.state == nil && w.Effect != control.IdempotentByKey:
		return ""
	}
	return "effect-" + itoa(t.call.Number)
}

// OnceMark begins the marks of run-once jobs.
const NonIdempotentKeyPrefix = "once-"

// gone tells whether its client can have no use for an answer any more.
func (t *try) gone(now control.Micros) bool { return now >= t.sent+t.left+lateness }

var words = map[ending]string{finished: invariant.Succeeded, pushedBack: invariant.Rejected, killed: invariant.Failed}

// ended takes in how a try ended, and goes on with its call.
func (t *try) ended(e ending, advised control.Micros) {
	if t.over {
		return
	}
	t.over = true
	c, now := t.client, t.client.node.Now()
	rec := invariant.Record{Kind: invariant.ResponseReceived, Request: t.name(), Effect: itoa(t.call.Number), Workload: c.w.plan.Classes[t.call.Class].Name, Router: t.router,
		Deadline: int64(t.sent + t.left), Detail: words[e]}
	switch e {
	case unsent:
		rec.Kind = invariant.RequestNotSent
	case broken, late:
		rec.Kind = invariant.RequestTimedOut
	}
	c.node.record(rec)
	if e == finished {
		t.done(true)
		return
	}
	if t.state == nil {
		restartable := c.w.plan.Classes[t.call.Class].Spec.Effect == control.Idempotent
		if mayHaveRun := e == killed || e == broken || e == late; mayHaveRun && !restartable {
			t.done(false)
			return
		}
		c.node.After(rudePause, func() { t.next(-1) })
		return
	}
	as := map[ending]retry.Outcome{pushedBack: retry.Rejected, killed: retry.Failed, unsent: retry.NotSent, broken: retry.Lost, late: retry.Lost}[e]
	if as == retry.NotSent || as == retry.Lost {
		c.routers.RecordFailure(now, t.router)
	} else {
		c.routers.RecordSuccess(t.router)
	}
	next := t.state.HandleOutcome(now, as, t.sent, t.router, advised, c.budget, c.node.chance)
	if next.Done {
		t.done(false)
		return
	}
	avoid := -1
	if next.OtherRouter {
		avoid = t.router
	}
	c.node.After(next.RetryAt-now, func() { t.next(avoid) })
}

// done keeps what became of the call.
func (a *asking) done(finished bool) {
	now := a.client.node.Now()
	e := CallOutcome{Call: a.index, Attempts: a.tries}
	if finished {
		e.FinishedAt = now
		e.InTime = now-a.begun <= a.client.w.plan.Classes[a.call.Class].Spec.LatencyObjective
	}
	a.client.effects = append(a.client.effects, e)
}
