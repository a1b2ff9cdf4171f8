package modelcheck

import (
	"fmt"
	"slices"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
)

// Kind is what happens in a step.
type StepKind uint8

// The kinds. Each is one thing that one party does; between two steps nothing is under way.
const (
	RequestArrives StepKind = iota // a job comes
	CallWritten                    // a connection writes what was chosen, and what becomes of it is decided
	CallEnds                       // the end of an exchange reaches its router
	CallTimesOut                   // an exchange's time is up
	TimerFires                     // a router's alarm
	UpdateArrives                  // a change of the list reaches a router
	TimeAdvances                   // time goes on to the next moment that matters
	ServerDrains                   // a server is to be drained
	ServerRestarts                 // a server dies and comes back empty
	ClientCancels                  // a client goes
	RouterStalls                   // a router stands still
	RouterResumes                  // and goes on
)

// Step is one of the things that can happen in a state.
type Step struct {
	Kind    StepKind    `json:"Kind"`
	Index   int16       `json:"Of"`  // job, exchange, router, notice or server, by the kind
	Outcome CallOutcome `json:"Way"` // of Write; of News Silent: it was broken off
}

// Steps gives all that can happen, in a fixed order. Budgeted faults are among them.
func (w *State) EnabledSteps(s *Config, rules *Rules) []Step {
	var steps []Step
	add := func(k StepKind, of int, way CallOutcome) { steps = append(steps, Step{k, int16(of), way}) }
	must := false // happen before time goes on
	for i, j := range w.Requests {
		r := i % s.Routers
		if j.Inactive {
			continue
		}
		switch {
		case !j.Arrived && w.Now >= j.ArrivesAt && !w.Routers[r].Stalled:
			add(RequestArrives, i, 0)
			must = true
		case j.Arrived && !j.Answer.Given && !j.Cancelled && w.FaultBudget.ClientCancels > 0 && !w.Routers[r].Stalled:
			add(ClientCancels, i, 0)
		}
	}
	for i := range w.Calls {
		e := &w.Calls[i]
		if e.Progress.Ended || w.Routers[e.Router].Stalled || w.Requests[e.Request].Inactive {
			continue
		}
		switch {
		case e.Stage == attempt.Chosen:
			add(CallWritten, i, Success)
			if w.FaultBudget.CallFailures > 0 {
				for way := ConnectFailure; way <= Unresponsive; way++ {
					if len(s.FailureModes) == 0 || slices.Contains(s.FailureModes, wayNames[way]) {
						add(CallWritten, i, way)
					}
				}
			}
			must = must || !e.WriteDelayed && w.FaultBudget.DelayedWrites == 0
			if w.Now >= e.Deadline { // no connection came about in its time
				add(CallTimesOut, i, 0)
				must = true
			}
		case e.Stage == attempt.Withdrawn:
			add(CallEnds, i, 0)
			must = true
		default:
			if e.Outcome != AnswerLost && e.Outcome != Unresponsive {
				add(CallEnds, i, 0)
			}
			if e.Progress.Cancelled { // broken off; an answer that came before may be on its way all the same
				add(CallEnds, i, Unresponsive)
			}
			if w.Now >= e.Deadline {
				add(CallTimesOut, i, 0)
				must = true
			}
		}
	}
	for i, n := range w.Updates {
		if r := w.Routers[n.Router]; !r.Stalled && !slices.ContainsFunc(w.Updates[:i], func(m EndpointUpdate) bool { return m.Router == n.Router }) {
			add(UpdateArrives, i, 0) // a list's changes come in order
			must = must || w.Now >= n.SentAt+listWay
		}
	}
	for i, r := range w.Routers {
		switch {
		case r.Stalled:
			add(RouterResumes, i, 0)
		case w.Now >= r.TimerAt:
			add(TimerFires, i, 0)
			must = true
		}
		if !r.Stalled && w.FaultBudget.RouterStalls > 0 {
			add(RouterStalls, i, 0)
		}
	}
	for i, v := range w.Servers {
		if v.State == control.Ready && w.FaultBudget.Drains > 0 {
			add(ServerDrains, i, 0)
		}
		if v.State == control.Ready && w.FaultBudget.Restarts > 0 {
			add(ServerRestarts, i, 0)
		}
	}
	if !must && w.next(s) > 0 {
		add(TimeAdvances, 0, 0)
	}
	return steps
}

// next is the next moment at which something can be different; 0: there is none. Moments at which nothing is due are left out:
// whatever could happen then could as well have happened at the one before.
func (w *State) next(s *Config) (at control.Micros) {
	see := func(t control.Micros) {
		if t > w.Now && (at == 0 || t < at) {
			at = t
		}
	}
	busy := false
	for _, j := range w.Requests {
		switch {
		case j.Inactive:
		case !j.Arrived:
			see(j.ArrivesAt)
			busy = true
		case !j.Answer.Given:
			see(j.Deadline)
			busy = true
		}
	}
	for _, e := range w.Calls {
		if e.Progress.Ended || w.Requests[e.Request].Inactive {
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
	for _, n := range w.Updates {
		see(n.SentAt + listWay)
		busy = true
	}
	if !busy {
		return 0 // all is over but upkeep
	}
	for _, r := range w.Routers {
		if !r.Stalled {
			see(r.TimerAt)
		}
	}
	return at
}

// outlet carries out what a router's core asks, within a step.
type outlet struct {
	w      *State
	setup  *Config
	rules  *Rules
	router int
}

func (o *outlet) exchange(job, no int, to control.ServerID, allow control.Micros) *ServerCall {
	asOf := o.w.Now
	if late := o.w.Routers[o.router].EndpointsAsOf; late > 0 {
		asOf = late
	}
	o.w.Calls = append(o.w.Calls, ServerCall{Request: job, Attempt: no, Router: o.router, Server: o.setup.index(to), ChosenAt: o.w.Now,
		WriteUntil: o.rules.WriteUntil(asOf, o.w.Now, grace), Deadline: o.w.Now + allow})
	return &o.w.Calls[len(o.w.Calls)-1]
}

// orderTime is for how long the answer to an order is awaited.
const orderTime = control.Micros(1_000_000)

func (o *outlet) Forward(j *control.Request, no control.AttemptID, to control.ServerID, allow control.Micros) {
	e := o.exchange(o.setup.jobIndex(j.ID), int(no), to, allow)
	if no > 0 && o.setup.effect(e.Request) == control.IdempotentByKey {
		e.WriteUntil = min(e.WriteUntil, e.ChosenAt+attempt.MaxKeyedRetryDelay)
	}
	o.w.Requests[e.Request].Answer.AttemptBegan()
}

func (o *outlet) Load(j *control.Request, order control.LoadCommand) {
	e := o.exchange(o.setup.jobIndex(j.ID), 0, order.Server, orderTime)
	e.Replicas = max(1, order.Replicas)
}

func (o *outlet) end(job int, word string) {
	j := &o.w.Requests[job]
	if !o.rules.Give(&j.Answer) {
		return
	}
	j.Answers++
	j.AnswerKind, j.AnsweredAt = word, o.w.Now
	for i := range o.w.Calls {
		if e := &o.w.Calls[i]; e.Request == job && e.Replicas == 0 {
			o.unwritten(e)
		}
	}
}

// unwritten withdraws an exchange that is not written yet.
func (o *outlet) unwritten(e *ServerCall) {
	if next, ok := o.rules.Withdraw(e.Stage); ok {
		e.Stage = next
	}
}

func (o *outlet) Reject(id control.RequestID, _ control.Micros) {
	o.end(o.setup.jobIndex(id), "pushed back")
}

func (o *outlet) Fail(id control.RequestID) { o.end(o.setup.jobIndex(id), "killed") }

func (o *outlet) CancelAttempt(id control.RequestID, no control.AttemptID) {
	for i := range o.w.Calls {
		e := &o.w.Calls[i]
		if e.Request == o.setup.jobIndex(id) && e.Attempt == int(no) && e.Replicas == 0 && o.rules.Cancel(&e.Progress) {
			o.unwritten(e)
		}
	}
}

func (o *outlet) SubscribeEndpoints() {}

func (o *outlet) LogServerEvent(control.ServerEvent) {}

func (o *outlet) SetTimer(at control.Micros) { o.w.Routers[o.router].TimerAt = at }

// Take gives the world after a step, which must be among its Steps.
func (w *State) Apply(s *Config, rules *Rules, step Step) (*State, error) {
	w = w.clone()
	of := int(step.Index)
	switch step.Kind {
	case TimeAdvances:
		w.Now = w.next(s)
		for i := range w.Calls {
			if e := &w.Calls[i]; e.Stage == attempt.Chosen && !e.Progress.Ended && !e.WriteDelayed && !w.Routers[e.Router].Stalled && !w.Requests[e.Request].Inactive {
				e.WriteDelayed = true
				w.FaultBudget.DelayedWrites--
			}
		}
	case CallWritten:
		w.write(rules, of, step.Outcome)
	case ServerDrains:
		w.FaultBudget.Drains--
		w.FaultCount++
		w.Servers[of].State, w.Servers[of].Since = control.Draining, w.Now
		w.tell(of)
	case ServerRestarts:
		w.FaultBudget.Restarts--
		w.FaultCount++
		v := &w.Servers[of]
		v.Incarnation, v.StartedAt, v.Loaded = v.Incarnation+1, w.Now, false
		for i := range w.Calls {
			if e := &w.Calls[i]; e.Server == of && e.WrittenAt > 0 && !e.Progress.Ended {
				e.Outcome = ResetAfter
				if !e.Ran {
					e.Outcome = ResetBefore
				}
			}
		}
		w.tell(of)
	case RouterStalls:
		w.FaultBudget.RouterStalls--
		w.FaultCount++
		r := &w.Routers[of]
		if r.Stalled = true; r.EndpointsAsOf == 0 {
			r.EndpointsAsOf = w.Now
		}
		for i := range w.Requests {
			if i%s.Routers == of && !w.Requests[i].Answer.Given {
				w.Requests[i].Excused = true
			}
		}
	case RouterResumes:
		w.Routers[of].Stalled = false
	default:
		return w, w.ask(s, rules, step)
	}
	return w, nil
}

// tell has the list's source tell all routers of a server.
func (w *State) tell(server int) {
	v := w.Servers[server]
	for i := range w.Routers {
		w.Updates = append(w.Updates, EndpointUpdate{Router: i, Server: server, State: v.State, StartedAt: v.StartedAt, SentAt: w.Now})
	}
}

// write has a connection write what was chosen. What the server does with it is decided here: with the answer's way back left open,
// nothing else could tell whether it was decided sooner.
func (w *State) write(rules *Rules, of int, way CallOutcome) {
	e := &w.Calls[of]
	if way != Success {
		w.FaultBudget.CallFailures--
		w.FaultCount++
	}
	e.Outcome = way
	if way == ConnectFailure {
		e.Stage, e.WrittenAt = attempt.Writing, 0
		return
	}
	next, ok := rules.Write(e.Stage, true, w.Now, e.WriteUntil)
	if !ok {
		e.Stage = attempt.Withdrawn
		return
	}
	v := &w.Servers[e.Server]
	e.Stage, e.WrittenAt, e.Incarnation, e.WrittenAfterAnswer = next, w.Now, v.Incarnation, w.Requests[e.Request].Answer.Given && e.Replicas == 0
	if way == Rejection || way == ResetBefore || way == Unresponsive {
		return
	}
	e.Ran = e.Replicas == 0
	if e.BeganLoad = !v.Loaded; e.BeganLoad {
		v.Loaded = true
	}
}

// result is what a router learns of an exchange.
func (e *ServerCall) result(rules *Rules) control.Result {
	switch {
	case e.Stage == attempt.Withdrawn:
		return control.NotSent
	case e.Outcome == ConnectFailure:
		return rules.UndialledResult(e.Stage, false)
	case e.Outcome == Rejection:
		return control.Overloaded
	case e.Outcome == ResetBefore || e.Outcome == ResetAfter:
		return rules.BrokenResult(true, attempt.ByPeer)
	}
	return control.Succeeded
}

// ask has a router hear something and take its turn.
func (w *State) ask(s *Config, rules *Rules, step Step) error {
	of, router := int(step.Index), 0
	switch step.Kind {
	case RequestArrives, ClientCancels:
		router = of % s.Routers
	case CallEnds, CallTimesOut:
		router = w.Calls[of].Router
	case TimerFires:
		router = of
	case UpdateArrives:
		router = w.Updates[of].Router
	}
	out := &outlet{w: w, setup: s, rules: rules, router: router}
	c, err := core.Restore(w.Routers[router].core, out)
	if err != nil {
		return err
	}
	if rules.WrapPolicy != nil {
		c.WrapPolicy(rules.WrapPolicy)
	}
	if step.Kind != UpdateArrives {
		w.catchUp(s, rules, c, router)
	}
	switch step.Kind {
	case RequestArrives:
		j := &w.Requests[of]
		j.Arrived = true
		err = c.Add(w.Now, control.Request{ID: s.jobID(of), Class: control.ClassID(of % len(s.Effects)), Tenant: 1, Function: theFunction, Lanes: 1,
			ArrivedAt: j.ArrivesAt, Deadline: j.Deadline - margin})
	case ClientCancels:
		w.FaultBudget.ClientCancels--
		w.FaultCount++
		w.Requests[of].Cancelled = true
		c.Cancel(w.Now, s.jobID(of))
		out.end(of, "left")
	case CallEnds, CallTimesOut:
		w.ended(c, out, of, step)
	case UpdateArrives:
		w.heard(s, rules, c, of)
	case TimerFires: // nothing but the alarm
	}
	if err != nil {
		return err
	}
	c.Step(w.Now)
	return w.keep(router, c)
}

// catchUp has a router that stood still take in all changes of the list that were told meanwhile, before all else that it
// hears.
func (w *State) catchUp(s *Config, rules *Rules, c *core.Core, router int) {
	r := &w.Routers[router]
	if r.EndpointsAsOf == 0 || !rules.MustReadEndpoints(w.Now-r.EndpointsAsOf, grace) {
		return
	}
	r.EndpointsAsOf = 0
	for i := 0; i < len(w.Updates); {
		if w.Updates[i].Router == router {
			w.heard(s, rules, c, i)
		} else {
			i++
		}
	}
}

// heard passes a change of the list on, and withdraws what is on its way to a server that takes nothing new.
func (w *State) heard(s *Config, rules *Rules, c *core.Core, of int) {
	n := w.Updates[of]
	w.Updates = slices.Delete(w.Updates, of, of+1)
	c.UpdateEndpoints(w.Now, control.IncrementalUpdate, []control.Endpoint{s.listing(n.Server, n.State, n.StartedAt)})
	if n.State == control.Ready {
		return
	}
	for i := range w.Calls {
		if e := &w.Calls[i]; e.Router == n.Router && e.Server == n.Server {
			if next, ok := rules.Withdraw(e.Stage); ok {
				e.Stage = next
			}
		}
	}
}

// ended takes in the end of an exchange, as gateway.over and gateway.executed do.
func (w *State) ended(c *core.Core, out *outlet, of int, step Step) {
	e := &w.Calls[of]
	e.Result, e.EndedAt = e.result(out.rules), w.Now
	switch {
	case step.Kind == CallTimesOut && e.Stage == attempt.Chosen:
		e.Result = out.rules.UndialledResult(e.Stage, false)
	case step.Kind == CallTimesOut:
		e.Result = out.rules.BrokenResult(true, attempt.ByDeadline)
	case step.Outcome == Unresponsive:
		e.Result = out.rules.BrokenResult(true, attempt.ByUs)
	}
	e.Progress.End()
	if e.Replicas > 0 {
		copies := -1
		if e.Result == control.Succeeded {
			copies = e.Replicas
		}
		c.HandleLoadResult(w.Now, out.setup.id(e.Server), theFunction, e.Result, w.Now-e.ChosenAt, copies)
		return
	}
	j := &w.Requests[e.Request]
	o := control.Outcome{Attempt: control.AttemptID(e.Attempt), Server: out.setup.id(e.Server), Result: e.Result, Duration: w.Now - e.ChosenAt}
	if o.Result == control.Succeeded {
		o.CacheStatus = control.CacheHit
		if e.BeganLoad {
			o.CacheStatus = control.CacheMiss
		}
	}
	id := out.setup.jobID(e.Request)
	if out.rules.AttemptEnded(&j.Answer, e.Result) == attempt.Deliver {
		o.RequestDone = true
		c.HandleOutcome(w.Now, id, o)
		out.end(e.Request, "finished")
		return
	}
	c.HandleOutcome(w.Now, id, o)
}

// Tell gives a step as a line of a story.
func (w *State) Describe(s *Config, step Step) string {
	of := int(step.Index)
	start := begin
	if s.RecordedState != nil {
		start = s.RecordedState.Now
	}
	ex := func() string {
		e := w.Calls[of]
		if e.Replicas > 0 {
			return fmt.Sprintf("the order of router %d to server %d", e.Router, e.Server)
		}
		return fmt.Sprintf("execution %d of job %d, by router %d at server %d", e.Attempt, e.Request, e.Router, e.Server)
	}
	text := ""
	switch step.Kind {
	case RequestArrives:
		text = fmt.Sprintf("job %d (%s) comes to router %d", of, effectNames[s.effect(of)], of%s.Routers)
	case CallWritten:
		text = ex() + " is written: "
		e := w.Calls[of]
		text += [...]string{"it runs, and its answer is on the way", "no connection comes about", "the server refuses it", "the connection breaks before it runs",
			"it runs, and the connection breaks", "it runs, and its answer gets lost", "the server takes it and does nothing"}[step.Outcome]
		if e.Replicas == 0 && step.Outcome == Success && !w.Servers[e.Server].Loaded {
			text += " (it began a load)"
		}
	case CallEnds:
		if text = "the end of " + ex() + " reaches its router"; step.Outcome == Unresponsive {
			text = ex() + " is broken off"
		}
	case CallTimesOut:
		text = "the time of " + ex() + " is up"
	case TimerFires:
		if text = fmt.Sprintf("router %d takes the turn that its alarm asks for", of); w.Routers[of].EndpointsAsOf > 0 {
			text = fmt.Sprintf("router %d takes its first turn since it stood still", of)
		}
	case UpdateArrives:
		n := w.Updates[of]
		text = fmt.Sprintf("router %d hears that server %d %s", n.Router, n.Server, map[control.ServerState]string{control.Ready: "has started anew", control.Draining: "drains"}[n.State])
	case TimeAdvances:
		text = fmt.Sprintf("time goes on by %d us", w.next(s)-w.Now)
	case ServerDrains:
		text = fmt.Sprintf("server %d is to be drained", of)
	case ServerRestarts:
		text = fmt.Sprintf("server %d dies and comes back empty", of)
	case ClientCancels:
		text = fmt.Sprintf("the client of job %d goes", of)
	case RouterStalls:
		text = fmt.Sprintf("router %d stands still", of)
	case RouterResumes:
		text = fmt.Sprintf("router %d goes on, and hears what waits in any order", of)
	}
	return fmt.Sprintf("%7.3f s  %s", float64(w.Now-start)/1e6, text)
}
