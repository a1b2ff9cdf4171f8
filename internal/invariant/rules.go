package invariant

import (
	"fmt"
	"slices"
)

// Workload is what a judge knows of one.
type Class struct {
	NonIdempotent   bool
	IdempotentByKey bool
	Scope           string // fleet, zone or cell
	Window          int64
}

// Law is what the rules' figures were for the day, and what the judge may not know better than to a travel time.
type Config struct {
	Classes            map[string]Class
	Zone, Cell         []string // by server
	DrainGrace         int64
	SlowStartDuration  int64
	SlowStartInitial   float64
	OverloadWindow     int64
	OverloadFactor     float64
	ServerRate         float64 // jobs a second that a warm server bears
	LoadRateWindow     int64   // 0: no ration
	LoadRateBase       float64
	LoadRatePerRequest float64
	MaxNetworkDelay    int64 // between the ends of a wire, at most
}

// Rule is the finding on one rule.
type Rule struct {
	Number         int      `json:"Number"`
	Name           string   `json:"Name"`
	Opportunities  int      `json:"Opportunities"` // times that it could have been broken
	Violations     []string `json:"Breaches"`      // the first few
	ViolationCount int      `json:"Count"`         // all
}

func (r *Rule) violation(at int64, text string, args ...any) {
	r.ViolationCount++
	if len(r.Violations) < 5 {
		r.Violations = append(r.Violations, fmt.Sprintf("at %.3f s: ", float64(at)/1e6)+fmt.Sprintf(text, args...))
	}
}

// Verdict is the finding on a day.
type Report struct {
	Rules       []*Rule           `json:"Rules"`
	Requests    int               `json:"Jobs"`
	Succeeded   int               `json:"Finished"`
	Rejected    int               `json:"PushedBack"`
	Failed      int               `json:"Killed"`
	Unanswered  int               `json:"Unanswered"`
	Abandoned   int               `json:"Left"`
	NotAdmitted int               `json:"Other"`
	Excused     int               `json:"Excused"` // asked of a router that was halted before their answer was due
	Attempts    int               `json:"Executions"`
	Retries     int               `json:"Repeats"`
	SlowStart   []SlowStartWindow `json:"Cold"` // jobs that reached servers while they were cold
}

// Window is how much of its budget a cold server had got when a job reached it; above 1 the fourth rule is broken.
type SlowStartWindow struct {
	At         int64   `json:"At"`
	Server     int     `json:"Server"`
	BudgetUsed float64 `json:"Share"`
}

// Kept tells whether no rule was broken.
func (v *Report) Passed() bool {
	return !slices.ContainsFunc(v.Rules, func(r *Rule) bool { return r.ViolationCount > 0 })
}

// try is one job as its client saw it.
type request struct {
	sent, response     Record
	responses          int
	abandoned, notSent bool
	timedOutAt         int64 // when its client gave up
	received, began    []Record
	refused            []Record
}

// halt is a time in which a router did not run.
type downtime struct{ from, to int64 }

// Judge judges a day.
func Check(law Config, recs []Record) *Report {
	v := &Report{}
	for i, name := range []string{"every job one final answer in time", "no effect twice", "drains kept",
		"cold servers not pushed over", "orders rationed"} {
		v.Rules = append(v.Rules, &Rule{Number: i + 1, Name: name})
	}
	tries, order := map[string]*request{}, []*request{}
	halts := map[int][]downtime{}
	const open = int64(1) << 62
	for _, r := range recs {
		switch r.Kind {
		case RouterDown:
			halts[r.Router] = append(halts[r.Router], downtime{r.At, open})
			continue
		case RouterUp:
			if h := halts[r.Router]; len(h) > 0 {
				h[len(h)-1].to = r.At
			}
			continue
		}
		if r.Request == "" {
			continue // of no job
		}
		t := tries[r.Request]
		if t == nil {
			t = &request{}
			tries[r.Request] = t
			order = append(order, t)
		}
		switch r.Kind {
		case RequestSent:
			t.sent = r
		case ResponseReceived:
			t.response = r
			t.responses++
		case RequestTimedOut:
			t.timedOutAt = r.At
		case RequestNotSent:
			t.notSent = true
		case RequestAbandoned:
			t.abandoned = true
		case AttemptReceived:
			t.received = append(t.received, r)
		case AttemptStarted:
			t.began = append(t.began, r)
		case AttemptRefused, AttemptDeduplicated:
			t.refused = append(t.refused, r)
		}
	}
	for _, t := range order {
		if t.sent.Request == "" {
			v.Rules[0].violation(firstAttemptRecord(t).At, "job %s reached a server but no client asked it", firstAttemptRecord(t).Request)
			continue
		}
		v.checkResponses(law, t, halts[t.sent.Router])
	}
	v.checkEffects(law, order)
	v.checkDrains(law, recs)
	v.checkSlowStart(law, recs)
	v.checkLoadRate(law, recs, halts)
	return v
}

func firstAttemptRecord(t *request) Record {
	for _, rs := range [][]Record{t.received, t.began, t.refused} {
		if len(rs) > 0 {
			return rs[0]
		}
	}
	return t.response
}

// answers judges the first rule for one job.
func (v *Report) checkResponses(law Config, t *request, halts []downtime) {
	r := v.Rules[0]
	if t.notSent && len(t.received) == 0 && t.responses == 0 {
		return
	}
	v.Requests++
	v.Attempts += len(t.received)
	halted := slices.ContainsFunc(halts, func(h downtime) bool { return h.from < t.sent.Deadline && h.to > t.sent.At })
	switch {
	case t.responses > 1:
		r.violation(t.response.At, "job %s got %d final answers", t.sent.Request, t.responses)
	case t.responses == 1:
		switch t.response.Detail {
		case Succeeded:
			v.Succeeded++
			if len(t.began) == 0 && len(t.refused) == 0 {
				r.violation(t.response.At, "job %s is called finished but reached no server", t.sent.Request)
			}
		case Rejected:
			v.Rejected++
		case Failed:
			v.Failed++
		default:
			v.NotAdmitted++
		}
		if t.response.At > t.sent.Deadline && !halted {
			r.violation(t.response.At, "job %s was answered %d us after its client's time", t.sent.Request, t.response.At-t.sent.Deadline)
		}
	case t.abandoned || t.notSent:
		v.Abandoned++
	case halted:
		v.Excused++
	default:
		v.Unanswered++
		r.violation(t.sent.Deadline, "job %s got no answer", t.sent.Request)
	}
	if !halted {
		r.Opportunities++
	}
	over := t.sent.Deadline
	if halted { // the router can't know how long the job had waited unread: it is over when its client goes
		over = max(over, t.timedOutAt)
	}
	if t.responses > 0 {
		over = min(over, t.response.At)
		if halted {
			over = t.response.At
		}
	}
	for _, x := range t.received {
		if x.At > over+law.MaxNetworkDelay {
			r.violation(x.At, "job %s was sent to server %d after it was over", t.sent.Request, x.Server)
		}
	}
}

// effects judges the second rule over all tries that mean the same effect.
func (v *Report) checkEffects(law Config, tries []*request) {
	r := v.Rules[1]
	byEffect, order := map[string][]*request{}, []string{}
	for _, t := range tries {
		if t.sent.Effect == "" {
			continue
		}
		if byEffect[t.sent.Effect] == nil {
			order = append(order, t.sent.Effect)
		}
		byEffect[t.sent.Effect] = append(byEffect[t.sent.Effect], t)
	}
	for _, effect := range order {
		w := law.Classes[byEffect[effect][0].sent.Workload]
		var began, received []Record
		for _, t := range byEffect[effect] {
			began, received = append(began, t.began...), append(received, t.received...)
			if len(t.received) > 1 {
				v.Retries++
			}
			if t.responses == 0 || t.response.Detail != Rejected || len(t.began) == 0 {
				continue
			}
			if w.NonIdempotent || w.IdempotentByKey && w.Scope != "fleet" {
				r.violation(t.response.At, "job %s was pushed back though it had run", t.sent.Request)
			}
		}
		if !w.NonIdempotent && !w.IdempotentByKey {
			continue
		}
		if len(received) > 0 {
			r.Opportunities++
		}
		if w.NonIdempotent && len(began) > 1 {
			r.violation(began[1].At, "run-once %s ran %d times, on servers %d and %d", effect, len(began), began[0].Server, began[1].Server)
		}
		if w.IdempotentByKey && len(began) > 0 {
			v.checkIdempotentByKey(law, w, byEffect[effect])
		}
	}
}

// fingerprinted judges the executions of each job: one that may have run goes only inside its group and window.
func (v *Report) checkIdempotentByKey(law Config, w Class, tries []*request) {
	r := v.Rules[1]
	for _, t := range tries {
		for _, x := range t.received {
			for _, e := range t.began {
				switch {
				case e.At >= x.At:
				case x.At > e.At+w.Window:
					r.violation(x.At, "job %s was sent again %d us after it ran, past its window", t.sent.Request, x.At-e.At)
				case w.Scope == "zone" && law.Zone[x.Server] != law.Zone[e.Server],
					w.Scope == "cell" && law.Cell[x.Server] != law.Cell[e.Server]:
					r.violation(x.At, "job %s ran on server %d and was sent to %d outside its group", t.sent.Request, e.Server, x.Server)
				}
			}
		}
	}
}

// drains judges the third rule.
func (v *Report) checkDrains(law Config, recs []Record) {
	r := v.Rules[2]
	since := map[int]int64{}
	for _, x := range recs {
		switch x.Kind {
		case EndpointPublished:
			if _, told := since[x.Server]; x.Detail == "ready" {
				delete(since, x.Server)
			} else if !told {
				since[x.Server] = x.At
				r.Opportunities++
			}
		case AttemptReceived, LoadCommandReceived:
			if at, told := since[x.Server]; told && x.At > at+law.DrainGrace {
				r.violation(x.At, "server %d got %q %d us after it was told to take nothing new", x.Server, x.Request, x.At-at)
			}
		}
	}
}

// cold judges the fourth rule: what a server got within any time of the told length, against what it bore then.
func (v *Report) checkSlowStart(law Config, recs []Record) {
	r := v.Rules[3]
	born, got := map[int]int64{}, map[int][]int64{}
	for _, x := range recs {
		switch x.Kind {
		case ServerStarted:
			born[x.Server], got[x.Server] = x.At, nil
			r.Opportunities++
		case ServerCollapsed:
			r.violation(x.At, "server %d fell over", x.Server)
		case AttemptReceived:
			at, cold := born[x.Server]
			if !cold || x.At > at+law.SlowStartDuration {
				continue
			}
			ts := append(got[x.Server], x.At)
			for ts[0] < x.At-law.OverloadWindow {
				ts = ts[1:]
			}
			got[x.Server] = ts
			has := law.SlowStartInitial + (1-law.SlowStartInitial)*float64(x.At-at)/float64(law.SlowStartDuration)
			budget := law.OverloadFactor * has * law.ServerRate * float64(law.OverloadWindow) / 1e6
			v.SlowStart = append(v.SlowStart, SlowStartWindow{x.At, x.Server, float64(len(ts)) / max(1, budget)})
			if float64(len(ts)) > max(1, budget) {
				r.violation(x.At, "server %d, %d us old, got %d jobs within %d us, over its %.1f", x.Server, x.At-at, len(ts), law.OverloadWindow, budget)
			}
		}
	}
}

// ration judges the fifth rule: each router's orders against the jobs that its clients gave it.
func (v *Report) checkLoadRate(law Config, recs []Record, halts map[int][]downtime) {
	r := v.Rules[4]
	if law.LoadRateWindow == 0 {
		return
	}
	orders, asked := map[int][]int64{}, map[int][]int64{}
	for _, x := range recs {
		switch x.Kind {
		case RouterRestarted: // a router without memory counts anew, from its first order on
			if x.Detail != StateRestored {
				delete(orders, x.Router)
			}
		case RequestSent:
			at := x.At
			for _, h := range halts[x.Router] { // what came meanwhile is taken once the router runs again
				if h.from <= at && at < h.to {
					at = h.to
				}
			}
			asked[x.Router] = append(asked[x.Router], at)
		case LoadCommandReceived:
			r.Opportunities++
			within := func(ts []int64, from int64) int {
				i, _ := slices.BinarySearch(ts, from)
				return len(ts) - i
			}
			orders[x.Router] = append(orders[x.Router], x.At)
			n := within(orders[x.Router], x.At-law.LoadRateWindow+law.MaxNetworkDelay)
			jobs := within(asked[x.Router], x.At-law.LoadRateWindow-law.MaxNetworkDelay)
			if allowed := law.LoadRateBase + law.LoadRatePerRequest*float64(jobs); float64(n) > allowed {
				r.violation(x.At, "router %d gave %d orders within its window, over %.1f for %d jobs", x.Router, n, allowed, jobs)
			}
		}
	}
}
