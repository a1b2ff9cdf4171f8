package modelcheck

import (
	"fmt"
	"slices"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
)

// Kind is what happens in a step.
type Kind uint8

// The kinds. Each is one thing that one party does; between two steps nothing is under way.
const (
	Arrive  Kind = iota // a job comes
	Write               // a connection writes what was chosen, and what becomes of it is decided
	News                // the end of an exchange reaches its router
	TimeOut             // an exchange's time is up
	Turn                // a router's alarm
	Tell                // a change of the list reaches a router
	Pass                // time goes on to the next moment that matters
	Drain               // a server is to be drained
	Restart             // a server dies and comes back empty
	Leave               // a client goes
	Freeze              // a router stands still
	Wake                // and goes on
)

// Step is one of the things that can happen in a state.
type Step struct {
	Kind Kind  `json:"Kind"`
	Of   int16 `json:"Of"`  // job, exchange, router, notice or server, by the kind
	Way  Way   `json:"Way"` // of Write; of News Silent: it was broken off
}

// Steps gives all that can happen, in a fixed order. Budgeted faults are among them.
func (w *World) Steps(s *Setup, rules *Rules) []Step {
	var steps []Step
	add := func(k Kind, of int, way Way) { steps = append(steps, Step{k, int16(of), way}) }
	must := false // happen before time goes on
	for i, j := range w.Jobs {
		r := i % s.Routers
		if j.Still {
			continue
		}
		switch {
		case !j.Arrived && w.Now >= j.At && !w.Routers[r].Frozen:
			add(Arrive, i, 0)
			must = true
		case j.Arrived && !j.State.Given && !j.Left && w.Left.Leaves > 0 && !w.Routers[r].Frozen:
			add(Leave, i, 0)
		}
	}
	for i := range w.Exchanges {
		e := &w.Exchanges[i]
		if e.State.Ended || w.Routers[e.Router].Frozen || w.Jobs[e.Job].Still {
			continue
		}
		switch {
		case e.Stage == attempt.Chosen:
			add(Write, i, Well)
			if w.Left.Breaks > 0 {
				for way := NoConnection; way <= Silent; way++ {
					if len(s.Ways) == 0 || slices.Contains(s.Ways, wayNames[way]) {
						add(Write, i, way)
					}
				}
			}
			must = must || !e.Stalled && w.Left.Stalls == 0
			if w.Now >= e.Deadline { // no connection came about in its time
				add(TimeOut, i, 0)
				must = true
			}
		case e.Stage == attempt.Withdrawn:
			add(News, i, 0)
			must = true
		default:
			if e.Way != LostAnswer && e.Way != Silent {
				add(News, i, 0)
			}
			if e.State.Cancelled { // broken off; an answer that came before may be on its way all the same
				add(News, i, Silent)
			}
			if w.Now >= e.Deadline {
				add(TimeOut, i, 0)
				must = true
			}
		}
	}
	for i, n := range w.Notices {
		if r := w.Routers[n.Router]; !r.Frozen && !slices.ContainsFunc(w.Notices[:i], func(m Notice) bool { return m.Router == n.Router }) {
			add(Tell, i, 0) // a list's changes come in order
			must = must || w.Now >= n.Sent+listWay
		}
	}
	for i, r := range w.Routers {
		switch {
		case r.Frozen:
			add(Wake, i, 0)
		case w.Now >= r.Alarm:
			add(Turn, i, 0)
			must = true
		}
		if !r.Frozen && w.Left.Freezes > 0 {
			add(Freeze, i, 0)
		}
	}
	for i, v := range w.Servers {
		if v.State == control.Ready && w.Left.Drains > 0 {
			add(Drain, i, 0)
		}
		if v.State == control.Ready && w.Left.Restarts > 0 {
			add(Restart, i, 0)
		}
	}
	if !must && w.next(s) > 0 {
		add(Pass, 0, 0)
	}
	return steps
}

// next is the next moment at which something can be different; 0: there is none. Moments at which nothing is due are left out:
// whatever could happen then could as well have happened at the one before.
func (w *World) next(s *Setup) (at control.Micros) {
	see := func(t control.Micros) {
		if t > w.Now && (at == 0 || t < at) {
			at = t
		}
	}
	busy := false
	for _, j := range w.Jobs {
		switch {
		case j.Still:
		case !j.Arrived:
			see(j.At)
			busy = true
		case !j.State.Given:
			see(j.Until)
			busy = true
		}
	}
	for _, e := range w.Exchanges {
		if e.State.Ended || w.Jobs[e.Job].Still {
			continue
		}
		busy = true
		if e.Stage != attempt.Withdrawn {
			see(e.Deadline)
		}
		if v := w.Servers[e.Server]; v.State != control.Ready && e.Stage == attempt.Chosen {
			see(v.Since + grace + 1)
		}
	}
	for _, n := range w.Notices {
		see(n.Sent + listWay)
		busy = true
	}
	if !busy {
		return 0 // all is over but upkeep
	}
	for _, r := range w.Routers {
		if !r.Frozen {
			see(r.Alarm)
		}
	}
	return at
}

// outlet carries out what a router's core asks, within a step.
type outlet struct {
	w      *World
	setup  *Setup
	rules  *Rules
	router int
}

func (o *outlet) exchange(job, no int, to control.ServerID, allow control.Micros) *Exchange {
	asOf := o.w.Now
	if late := o.w.Routers[o.router].AsOf; late > 0 {
		asOf = late
	}
	o.w.Exchanges = append(o.w.Exchanges, Exchange{Job: job, No: no, Router: o.router, Server: o.setup.index(to), Chosen: o.w.Now,
		Until: o.rules.Until(asOf, o.w.Now, grace), Deadline: o.w.Now + allow})
	return &o.w.Exchanges[len(o.w.Exchanges)-1]
}

// orderTime is for how long the answer to an order is awaited.
const orderTime = control.Micros(1_000_000)

func (o *outlet) Forward(j *control.Request, no control.AttemptID, to control.ServerID, allow control.Micros) {
	e := o.exchange(o.setup.jobIndex(j.ID), int(no), to, allow)
	if no > 0 && o.setup.effect(e.Job) == control.IdempotentByKey {
		e.Until = min(e.Until, e.Chosen+attempt.MaxKeyedRetryDelay)
	}
	o.w.Jobs[e.Job].State.AttemptBegan()
}

func (o *outlet) Load(j *control.Request, order control.LoadCommand) {
	e := o.exchange(o.setup.jobIndex(j.ID), 0, order.Server, orderTime)
	e.Order = max(1, order.Replicas)
}

func (o *outlet) end(job int, word string) {
	j := &o.w.Jobs[job]
	if !o.rules.Give(&j.State) {
		return
	}
	j.Answers++
	j.Word, j.When = word, o.w.Now
	for i := range o.w.Exchanges {
		if e := &o.w.Exchanges[i]; e.Job == job && e.Order == 0 {
			o.unwritten(e)
		}
	}
}

// unwritten withdraws an exchange that is not written yet.
func (o *outlet) unwritten(e *Exchange) {
	if next, ok := o.rules.Withdraw(e.Stage); ok {
		e.Stage = next
	}
}

func (o *outlet) Reject(id control.RequestID, _ control.Micros) {
	o.end(o.setup.jobIndex(id), "pushed back")
}

func (o *outlet) Fail(id control.RequestID) { o.end(o.setup.jobIndex(id), "killed") }

func (o *outlet) CancelAttempt(id control.RequestID, no control.AttemptID) {
	for i := range o.w.Exchanges {
		e := &o.w.Exchanges[i]
		if e.Job == o.setup.jobIndex(id) && e.No == int(no) && e.Order == 0 && o.rules.CallOff(&e.State) {
			o.unwritten(e)
		}
	}
}

func (o *outlet) SubscribeEndpoints() {}

func (o *outlet) LogServerEvent(control.ServerEvent) {}

func (o *outlet) SetTimer(at control.Micros) { o.w.Routers[o.router].Alarm = at }

// Take gives the world after a step, which must be among its Steps.
func (w *World) Take(s *Setup, rules *Rules, step Step) (*World, error) {
	w = w.clone()
	of := int(step.Of)
	switch step.Kind {
	case Pass:
		w.Now = w.next(s)
		for i := range w.Exchanges {
			if e := &w.Exchanges[i]; e.Stage == attempt.Chosen && !e.State.Ended && !e.Stalled && !w.Routers[e.Router].Frozen && !w.Jobs[e.Job].Still {
				e.Stalled = true
				w.Left.Stalls--
			}
		}
	case Write:
		w.write(rules, of, step.Way)
	case Drain:
		w.Left.Drains--
		w.Wrong++
		w.Servers[of].State, w.Servers[of].Since = control.Draining, w.Now
		w.tell(of)
	case Restart:
		w.Left.Restarts--
		w.Wrong++
		v := &w.Servers[of]
		v.Epoch, v.Born, v.Loaded = v.Epoch+1, w.Now, false
		for i := range w.Exchanges {
			if e := &w.Exchanges[i]; e.Server == of && e.Written > 0 && !e.State.Ended {
				e.Way = ResetAfter
				if !e.Ran {
					e.Way = ResetBefore
				}
			}
		}
		w.tell(of)
	case Freeze:
		w.Left.Freezes--
		w.Wrong++
		r := &w.Routers[of]
		if r.Frozen = true; r.AsOf == 0 {
			r.AsOf = w.Now
		}
		for i := range w.Jobs {
			if i%s.Routers == of && !w.Jobs[i].State.Given {
				w.Jobs[i].Excused = true
			}
		}
	case Wake:
		w.Routers[of].Frozen = false
	default:
		return w, w.ask(s, rules, step)
	}
	return w, nil
}

// tell has the list's source tell all routers of a server.
func (w *World) tell(server int) {
	v := w.Servers[server]
	for i := range w.Routers {
		w.Notices = append(w.Notices, Notice{Router: i, Server: server, State: v.State, Born: v.Born, Sent: w.Now})
	}
}

// write has a connection write what was chosen. What the server does with it is decided here: with the answer's way back left open,
// nothing else could tell whether it was decided sooner.
func (w *World) write(rules *Rules, of int, way Way) {
	e := &w.Exchanges[of]
	if way != Well {
		w.Left.Breaks--
		w.Wrong++
	}
	e.Way = way
	if way == NoConnection {
		e.Stage, e.Written = attempt.Writing, 0
		return
	}
	next, ok := rules.Write(e.Stage, true, w.Now, e.Until)
	if !ok {
		e.Stage = attempt.Withdrawn
		return
	}
	v := &w.Servers[e.Server]
	e.Stage, e.Written, e.Epoch, e.After = next, w.Now, v.Epoch, w.Jobs[e.Job].State.Given && e.Order == 0
	if way == Refused || way == ResetBefore || way == Silent {
		return
	}
	e.Ran = e.Order == 0
	if e.Began = !v.Loaded; e.Began {
		v.Loaded = true
	}
}

// result is what a router learns of an exchange.
func (e *Exchange) result(rules *Rules) control.Result {
	switch {
	case e.Stage == attempt.Withdrawn:
		return control.NotSent
	case e.Way == NoConnection:
		return rules.Undialled(e.Stage, false)
	case e.Way == Refused:
		return control.Overloaded
	case e.Way == ResetBefore || e.Way == ResetAfter:
		return rules.Broken(true, attempt.ByPeer)
	}
	return control.Succeeded
}

// ask has a router hear something and take its turn.
func (w *World) ask(s *Setup, rules *Rules, step Step) error {
	of, router := int(step.Of), 0
	switch step.Kind {
	case Arrive, Leave:
		router = of % s.Routers
	case News, TimeOut:
		router = w.Exchanges[of].Router
	case Turn:
		router = of
	case Tell:
		router = w.Notices[of].Router
	}
	out := &outlet{w: w, setup: s, rules: rules, router: router}
	c, err := core.Restore(w.Routers[router].core, out)
	if err != nil {
		return err
	}
	if rules.Decide != nil {
		c.WrapPolicy(rules.Decide)
	}
	if step.Kind != Tell {
		w.catchUp(s, rules, c, router)
	}
	switch step.Kind {
	case Arrive:
		j := &w.Jobs[of]
		j.Arrived = true
		err = c.Add(w.Now, control.Request{ID: s.jobID(of), Class: control.ClassID(of % len(s.Effects)), Tenant: 1, Function: theFunction, Lanes: 1,
			ArrivedAt: j.At, Deadline: j.Until - margin})
	case Leave:
		w.Left.Leaves--
		w.Wrong++
		w.Jobs[of].Left = true
		c.Cancel(w.Now, s.jobID(of))
		out.end(of, "left")
	case News, TimeOut:
		w.ended(c, out, of, step)
	case Tell:
		w.heard(s, rules, c, of)
	case Turn: // nothing but the alarm
	}
	if err != nil {
		return err
	}
	c.Step(w.Now)
	return w.keep(router, c)
}

// catchUp has a router that stood still take in all changes of the list that were told meanwhile, before all else that it
// hears.
func (w *World) catchUp(s *Setup, rules *Rules, c *core.Core, router int) {
	r := &w.Routers[router]
	if r.AsOf == 0 || !rules.CatchUp(w.Now-r.AsOf, grace) {
		return
	}
	r.AsOf = 0
	for i := 0; i < len(w.Notices); {
		if w.Notices[i].Router == router {
			w.heard(s, rules, c, i)
		} else {
			i++
		}
	}
}

// heard passes a change of the list on, and withdraws what is on its way to a server that takes nothing new.
func (w *World) heard(s *Setup, rules *Rules, c *core.Core, of int) {
	n := w.Notices[of]
	w.Notices = slices.Delete(w.Notices, of, of+1)
	c.UpdateEndpoints(w.Now, control.IncrementalUpdate, []control.Endpoint{s.listing(n.Server, n.State, n.Born)})
	if n.State == control.Ready {
		return
	}
	for i := range w.Exchanges {
		if e := &w.Exchanges[i]; e.Router == n.Router && e.Server == n.Server {
			if next, ok := rules.Withdraw(e.Stage); ok {
				e.Stage = next
			}
		}
	}
}

// ended takes in the end of an exchange, as gateway.over and gateway.executed do.
func (w *World) ended(c *core.Core, out *outlet, of int, step Step) {
	e := &w.Exchanges[of]
	e.Result, e.Ended = e.result(out.rules), w.Now
	switch {
	case step.Kind == TimeOut && e.Stage == attempt.Chosen:
		e.Result = out.rules.Undialled(e.Stage, false)
	case step.Kind == TimeOut:
		e.Result = out.rules.Broken(true, attempt.ByDeadline)
	case step.Way == Silent:
		e.Result = out.rules.Broken(true, attempt.ByUs)
	}
	e.State.End()
	if e.Order > 0 {
		copies := -1
		if e.Result == control.Succeeded {
			copies = e.Order
		}
		c.HandleLoadResult(w.Now, out.setup.id(e.Server), theFunction, e.Result, w.Now-e.Chosen, copies)
		return
	}
	j := &w.Jobs[e.Job]
	o := control.Outcome{Attempt: control.AttemptID(e.No), Server: out.setup.id(e.Server), Result: e.Result, Duration: w.Now - e.Chosen}
	if o.Result == control.Succeeded {
		o.CacheStatus = control.CacheHit
		if e.Began {
			o.CacheStatus = control.CacheMiss
		}
	}
	id := out.setup.jobID(e.Job)
	if out.rules.Ended(&j.State, e.Result) == attempt.Deliver {
		o.RequestDone = true
		c.HandleOutcome(w.Now, id, o)
		out.end(e.Job, "finished")
		return
	}
	c.HandleOutcome(w.Now, id, o)
}

// Tell gives a step as a line of a story.
func (w *World) Tell(s *Setup, step Step) string {
	of := int(step.Of)
	start := begin
	if s.Moment != nil {
		start = s.Moment.Now
	}
	ex := func() string {
		e := w.Exchanges[of]
		if e.Order > 0 {
			return fmt.Sprintf("the order of router %d to server %d", e.Router, e.Server)
		}
		return fmt.Sprintf("execution %d of job %d, by router %d at server %d", e.No, e.Job, e.Router, e.Server)
	}
	text := ""
	switch step.Kind {
	case Arrive:
		text = fmt.Sprintf("job %d (%s) comes to router %d", of, effectNames[s.effect(of)], of%s.Routers)
	case Write:
		text = ex() + " is written: "
		e := w.Exchanges[of]
		text += [...]string{"it runs, and its answer is on the way", "no connection comes about", "the server refuses it", "the connection breaks before it runs",
			"it runs, and the connection breaks", "it runs, and its answer gets lost", "the server takes it and does nothing"}[step.Way]
		if e.Order == 0 && step.Way == Well && !w.Servers[e.Server].Loaded {
			text += " (it began a load)"
		}
	case News:
		if text = "the end of " + ex() + " reaches its router"; step.Way == Silent {
			text = ex() + " is broken off"
		}
	case TimeOut:
		text = "the time of " + ex() + " is up"
	case Turn:
		if text = fmt.Sprintf("router %d takes the turn that its alarm asks for", of); w.Routers[of].AsOf > 0 {
			text = fmt.Sprintf("router %d takes its first turn since it stood still", of)
		}
	case Tell:
		n := w.Notices[of]
		text = fmt.Sprintf("router %d hears that server %d %s", n.Router, n.Server, map[control.ServerState]string{control.Ready: "has started anew", control.Draining: "drains"}[n.State])
	case Pass:
		text = fmt.Sprintf("time goes on by %d us", w.next(s)-w.Now)
	case Drain:
		text = fmt.Sprintf("server %d is to be drained", of)
	case Restart:
		text = fmt.Sprintf("server %d dies and comes back empty", of)
	case Leave:
		text = fmt.Sprintf("the client of job %d goes", of)
	case Freeze:
		text = fmt.Sprintf("router %d stands still", of)
	case Wake:
		text = fmt.Sprintf("router %d goes on, and hears what waits in any order", of)
	}
	return fmt.Sprintf("%7.3f s  %s", float64(w.Now-start)/1e6, text)
}
