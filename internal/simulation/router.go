package simulation

import (
	"slices"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/invariant"
	"hollymast/internal/modelserver"
	"hollymast/internal/overload"
)

// router is one router: an unchanged core, and the outlet that carries out what it asks, as the gateway does on sockets.
type router struct {
	w      *world
	node   *node
	number int
	core   *core.Core // nil: it is dead
	watch  *overload.Controller
	life   uint64
	thaws  control.Micros // until when it stands still
	apart  []*Incident    // partitions that keep servers from it
	jobs   map[control.RequestID]*job
	open   []*job // in order of arrival; those that ended leave it now and then
	last   control.RequestID
	alarm  uint64 // counts up with each, so that a replaced one is known
	list   []control.Endpoint
	seen   int // number of that list
	turns  int
}

// job is a try of a client's that the router took.
type job struct {
	id       control.RequestID
	try      *try
	workload int
	given    bool
	out      int
	sendings []*sending
}

// sending is an execution or an order on its way.
type sending struct {
	to    int
	begun control.Micros
	ended bool
}

func newRouter(w *world, number int) *router {
	return &router{w: w, node: w.engine.node(w.plan.Seed), number: number}
}

// start begins a life that knows nothing.
func (r *router) start() {
	now := r.node.Now()
	d := r.w.plan.Deployment
	d.Routers, d.Number, d.Zone = r.w.plan.Routers, r.number, r.w.plan.RouterZones[r.number]
	seed := r.w.plan.Seed*1_000_003 + uint64(r.number)*64 + r.life
	var decide core.Policy
	if r.w.plan.NewPolicy != nil {
		decide = r.w.plan.NewPolicy(now, seed, d)
	} else {
		decide = control.New(now, seed, d)
	}
	r.core, r.watch, r.jobs, r.open = core.New(decide, r), r.w.watch(now, seed), map[control.RequestID]*job{}, nil
	if r.life > 0 {
		r.node.record(invariant.Record{Kind: invariant.RouterRestarted, Router: r.number})
		r.node.record(invariant.Record{Kind: invariant.RouterUp, Router: r.number})
		r.core.UpdateEndpoints(now, control.FullUpdate, r.list)
	}
	r.life++
	r.turn()
}

// kill ends a life: connections break.
func (r *router) kill() {
	r.node.record(invariant.Record{Kind: invariant.RouterDown, Router: r.number})
	r.core = nil
	for _, j := range r.open {
		if !j.given {
			r.answer(j, broken, 0)
		}
	}
	r.jobs, r.open = nil, nil
}

// freeze has it stand still; what comes meanwhile waits.
func (r *router) freeze(until control.Micros) {
	r.node.record(invariant.Record{Kind: invariant.RouterDown, Router: r.number})
	r.thaws = until
	r.node.at(until, func() { r.node.record(invariant.Record{Kind: invariant.RouterUp, Router: r.number}) })
}

// hear has something happen in a turn, once the router runs and if it still lives as it did.
func (r *router) hear(life uint64, f func(now control.Micros)) {
	now := r.node.Now()
	switch {
	case r.core == nil || r.life != life:
	case now < r.thaws:
		r.node.at(r.thaws, func() { r.hear(life, f) })
	default:
		f(now)
		r.turn()
	}
}

func (r *router) turn() {
	r.turns++
	r.core.Step(r.node.Now())
	if r.watch != nil {
		r.watch.LogLines()
	}
}

// listed takes in the list of a look; an older one than it has seen is none that a look could find.
func (r *router) listed(count int, list []control.Endpoint) {
	if count <= r.seen {
		return
	}
	r.seen, r.list = count, list
	r.hear(r.life, func(now control.Micros) { r.core.UpdateEndpoints(now, control.FullUpdate, list) })
}

// arrived takes a try. One that reaches a dead router is refused by its machine.
func (r *router) arrived(t *try) {
	if r.core == nil {
		r.node.send(t.client.node, r.node.way(), func() { t.ended(unsent, 0) })
		return
	}
	r.hear(r.life, func(now control.Micros) {
		if t.gone(now) { // its client left while this router stood still
			return
		}
		w := &r.w.plan.Classes[t.call.Class]
		j := &job{try: t, workload: t.call.Class}
		f := functionID(t.call.Function)
		if r.watch != nil {
			if v := r.watch.Admit(now, overload.Request{IsRetry: t.marked(), KeyHash: t.mark(), Function: f, Importance: w.Importance}); !v.Admitted {
				r.answer(j, pushedBack, v.RetryAfter)
				return
			}
		}
		r.last++
		j.id = r.last
		r.jobs[j.id] = j
		r.open = append(r.open, j)
		if len(r.open) > 2*len(r.jobs)+64 {
			r.open = slices.DeleteFunc(r.open, func(j *job) bool { return j.given })
		}
		limit := min(w.Spec.MaxDeadline, t.left)
		if err := r.core.Add(now, control.Request{ID: j.id, Class: control.ClassID(t.call.Class), Tenant: 0, Function: f, Lanes: r.w.plan.LanesPerRequest,
			ArrivedAt: now, Deadline: max(now, now+limit-r.w.plan.AnswerMargin), IsRetry: t.marked(), RetriesUnmarked: t.state == nil}); err != nil {
			panic(err) // ids count up
		}
	})
}

// clientLeft takes in that a try's client is gone.
func (r *router) clientLeft(t *try) {
	r.hear(r.life, func(now control.Micros) {
		for _, j := range r.open {
			if j.try == t && !j.given {
				j.given = true
				r.core.Cancel(now, j.id)
				r.release(j)
				return
			}
		}
	})
}

// answer gives a try its final answer.
func (r *router) answer(j *job, e ending, advised control.Micros) {
	if j.given {
		return
	}
	j.given = true
	r.node.send(j.try.client.node, r.node.way(), func() { j.try.ended(e, advised) })
	r.release(j)
}

func (r *router) release(j *job) {
	if j.given && j.out == 0 {
		delete(r.jobs, j.id)
	}
}

// Forward starts an execution.
func (r *router) Forward(cj *control.Request, no control.AttemptID, to control.ServerID, allow control.Micros) {
	j := r.jobs[cj.ID]
	s := &sending{to: int(to) - 1, begun: r.node.Now()}
	j.sendings = append(j.sendings, s)
	j.out++
	life, t := r.life, j.try
	end := func(result control.Result, reply modelserver.Response) {
		r.hear(life, func(now control.Micros) { r.executed(now, j, no, s, result, reply) })
	}
	r.node.After(allow, func() { end(control.TimedOut, modelserver.Response{}) })
	if r.unreached(s.to) {
		r.node.After(min(dialTime, allow), func() { end(control.ConnectFailed, modelserver.Response{}) })
		return
	}
	x := r.w.servers[s.to]
	ask := modelserver.Request{ID: t.name(), Effect: itoa(t.call.Number), Router: r.number, Function: t.call.Function, IdempotencyKey: t.key()}
	r.node.send(x.node, r.node.way(), func() {
		back := func(result control.Result, reply modelserver.Response) {
			x.node.send(r.node, x.node.way(), func() { end(result, reply) })
		}
		if !x.model.Alive() {
			back(control.ConnectFailed, modelserver.Response{})
			return
		}
		x.model.Infer(ask, func(reply modelserver.Response) { back(results[reply.Result], reply) })
	})
}

var results = map[modelserver.Result]control.Result{modelserver.Succeeded: control.Succeeded, modelserver.Overloaded: control.Overloaded, modelserver.NotLoaded: control.NotLoaded,
	modelserver.ConnectionReset: control.ConnectionReset}

func (r *router) unreached(server int) bool {
	return slices.ContainsFunc(r.apart, func(t *Incident) bool { return slices.Contains(t.Unreachable, server) })
}

// executed takes in the end of an execution.
func (r *router) executed(now control.Micros, j *job, no control.AttemptID, s *sending, result control.Result, reply modelserver.Response) {
	if s.ended {
		return
	}
	s.ended = true
	j.out--
	o := control.Outcome{Attempt: no, Server: serverID(s.to), Result: result, CacheStatus: reply.CacheStatus, Duration: now - s.begun}
	if result == control.Succeeded || result == control.Overloaded || result == control.NotLoaded {
		o.Report = &reply.LoadReport
	}
	if result == control.Succeeded && !j.given {
		o.RequestDone = true
		r.core.HandleOutcome(now, j.id, o)
		if r.watch != nil {
			r.watch.RecordAnswer(now)
		}
		r.answer(j, finished, 0)
		return
	}
	r.core.HandleOutcome(now, j.id, o)
	r.release(j)
}

// Reject ends a job.
func (r *router) Reject(id control.RequestID, stayAway control.Micros) {
	j := r.jobs[id]
	if r.watch != nil {
		stayAway = r.watch.RecordRejection(r.node.Now(), stayAway, j.try.mark())
	}
	r.answer(j, pushedBack, stayAway)
}

// Fail ends a job of which nothing may be promised.
func (r *router) Fail(id control.RequestID) { r.answer(r.jobs[id], killed, 0) }

// CancelAttempt stops waiting for an execution; its outcome comes in a turn of its own.
func (r *router) CancelAttempt(id control.RequestID, no control.AttemptID) {
	j, life := r.jobs[id], r.life
	if j == nil || int(no) >= len(j.sendings) {
		return
	}
	r.node.After(0, func() {
		r.hear(life, func(now control.Micros) {
			r.executed(now, j, no, j.sendings[no], control.Cancelled, modelserver.Response{})
		})
	})
}

// Load orders copies of a job's function.
func (r *router) Load(cj *control.Request, o control.LoadCommand) {
	name, life := r.jobs[cj.ID].try.call.Function, r.life
	s := &sending{to: int(o.Server) - 1, begun: r.node.Now()}
	end := func(result control.Result, copies int) {
		r.hear(life, func(now control.Micros) {
			if !s.ended {
				s.ended = true
				r.core.HandleLoadResult(now, o.Server, o.Function, result, now-s.begun, copies)
			}
		})
	}
	r.node.After(orderTime, func() { end(control.TimedOut, -1) })
	if r.unreached(s.to) {
		r.node.After(dialTime, func() { end(control.ConnectFailed, -1) })
		return
	}
	x := r.w.servers[s.to]
	r.node.send(x.node, r.node.way(), func() {
		back := func(result control.Result, copies int) {
			x.node.send(r.node, x.node.way(), func() { end(result, copies) })
		}
		if !x.model.Alive() {
			back(control.ConnectFailed, -1)
			return
		}
		x.model.Load(name, o.Replicas, r.number, func(reply modelserver.Response) { back(results[reply.Result], reply.Replicas) })
	})
}

// SubscribeEndpoints does nothing: the list is followed in any case.
func (r *router) SubscribeEndpoints() {}

// Log does nothing.
func (r *router) LogServerEvent(control.ServerEvent) {}

// SetTimer sets the one timer.
func (r *router) SetTimer(at control.Micros) {
	r.alarm++
	n, life := r.alarm, r.life
	r.node.at(max(at, r.node.Now()), func() {
		if r.alarm == n {
			r.hear(life, func(control.Micros) {})
		}
	})
}
