package invariant

import (
	"fmt"
	"slices"
)

// Workload is what a judge knows of one.
type Workload struct {
	RunOnce       bool
	Fingerprinted bool
	Group         string // fleet, zone or cell
	Window        int64
}

// Law is what the rules' figures were for the day, and what the judge may not know better than to a travel time.
type Law struct {
	Workloads    map[string]Workload
	Zone, Cell   []string // by server
	Grace        int64
	Cold         int64
	ColdFrom     float64
	Fall         int64
	FallMultiple float64
	Rate         float64 // jobs a second that a warm server bears
	LoadWindow   int64   // 0: no ration
	LoadFree     float64
	LoadShare    float64
	Travel       int64 // between the ends of a wire, at most
}

// Rule is the finding on one rule.
type Rule struct {
	Number        int      `json:"Number"`
	Name          string   `json:"Name"`
	Opportunities int      `json:"Opportunities"` // times that it could have been broken
	Breaches      []string `json:"Breaches"`      // the first few
	Count         int      `json:"Count"`         // all
}

func (r *Rule) breach(at int64, text string, args ...any) {
	r.Count++
	if len(r.Breaches) < 5 {
		r.Breaches = append(r.Breaches, fmt.Sprintf("at %.3f s: ", float64(at)/1e6)+fmt.Sprintf(text, args...))
	}
}

// Verdict is the finding on a day.
type Verdict struct {
	Rules      []*Rule  `json:"Rules"`
	Jobs       int      `json:"Jobs"`
	Finished   int      `json:"Finished"`
	PushedBack int      `json:"PushedBack"`
	Killed     int      `json:"Killed"`
	Unanswered int      `json:"Unanswered"`
	Left       int      `json:"Left"`
	Other      int      `json:"Other"`
	Excused    int      `json:"Excused"` // asked of a router that was halted before their answer was due
	Executions int      `json:"Executions"`
	Repeats    int      `json:"Repeats"`
	Cold       []Window `json:"Cold"` // jobs that reached servers while they were cold
}

// Window is how much of its budget a cold server had got when a job reached it; above 1 the fourth rule is broken.
type Window struct {
	At     int64   `json:"At"`
	Server int     `json:"Server"`
	Share  float64 `json:"Share"`
}

// Kept tells whether no rule was broken.
func (v *Verdict) Kept() bool {
	return !slices.ContainsFunc(v.Rules, func(r *Rule) bool { return r.Count > 0 })
}

// try is one job as its client saw it.
type try struct {
	asked, answered Record
	answers         int
	left, untaken   bool
	gone            int64 // when its client gave up
	received, began []Record
	refused         []Record
}

// halt is a time in which a router did not run.
type halt struct{ from, to int64 }

// Judge judges a day.
func Judge(law Law, recs []Record) *Verdict {
	v := &Verdict{}
	for i, name := range []string{"every job one final answer in time", "no effect twice", "drains kept",
		"cold servers not pushed over", "orders rationed"} {
		v.Rules = append(v.Rules, &Rule{Number: i + 1, Name: name})
	}
	tries, order := map[string]*try{}, []*try{}
	halts := map[int][]halt{}
	const open = int64(1) << 62
	for _, r := range recs {
		switch r.Kind {
		case Halted:
			halts[r.Router] = append(halts[r.Router], halt{r.At, open})
			continue
		case Back:
			if h := halts[r.Router]; len(h) > 0 {
				h[len(h)-1].to = r.At
			}
			continue
		}
		if r.Job == "" {
			continue // of no job
		}
		t := tries[r.Job]
		if t == nil {
			t = &try{}
			tries[r.Job] = t
			order = append(order, t)
		}
		switch r.Kind {
		case Asked:
			t.asked = r
		case Answered:
			t.answered = r
			t.answers++
		case GaveUp:
			t.gone = r.At
		case Untaken:
			t.untaken = true
		case LeftIt:
			t.left = true
		case Received:
			t.received = append(t.received, r)
		case Began:
			t.began = append(t.began, r)
		case Refused, Dropped:
			t.refused = append(t.refused, r)
		}
	}
	for _, t := range order {
		if t.asked.Job == "" {
			v.Rules[0].breach(first(t).At, "job %s reached a server but no client asked it", first(t).Job)
			continue
		}
		v.answers(law, t, halts[t.asked.Router])
	}
	v.effects(law, order)
	v.drains(law, recs)
	v.cold(law, recs)
	v.ration(law, recs, halts)
	return v
}

func first(t *try) Record {
	for _, rs := range [][]Record{t.received, t.began, t.refused} {
		if len(rs) > 0 {
			return rs[0]
		}
	}
	return t.answered
}

// answers judges the first rule for one job.
func (v *Verdict) answers(law Law, t *try, halts []halt) {
	r := v.Rules[0]
	if t.untaken && len(t.received) == 0 && t.answers == 0 {
		return
	}
	v.Jobs++
	v.Executions += len(t.received)
	halted := slices.ContainsFunc(halts, func(h halt) bool { return h.from < t.asked.Limit && h.to > t.asked.At })
	switch {
	case t.answers > 1:
		r.breach(t.answered.At, "job %s got %d final answers", t.asked.Job, t.answers)
	case t.answers == 1:
		switch t.answered.Word {
		case Finished:
			v.Finished++
			if len(t.began) == 0 && len(t.refused) == 0 {
				r.breach(t.answered.At, "job %s is called finished but reached no server", t.asked.Job)
			}
		case PushedBack:
			v.PushedBack++
		case Killed:
			v.Killed++
		default:
			v.Other++
		}
		if t.answered.At > t.asked.Limit && !halted {
			r.breach(t.answered.At, "job %s was answered %d us after its client's time", t.asked.Job, t.answered.At-t.asked.Limit)
		}
	case t.left || t.untaken:
		v.Left++
	case halted:
		v.Excused++
	default:
		v.Unanswered++
		r.breach(t.asked.Limit, "job %s got no answer", t.asked.Job)
	}
	if !halted {
		r.Opportunities++
	}
	over := t.asked.Limit
	if halted { // the router can't know how long the job had waited unread: it is over when its client goes
		over = max(over, t.gone)
	}
	if t.answers > 0 {
		over = min(over, t.answered.At)
		if halted {
			over = t.answered.At
		}
	}
	for _, x := range t.received {
		if x.At > over+law.Travel {
			r.breach(x.At, "job %s was sent to server %d after it was over", t.asked.Job, x.Server)
		}
	}
}

// effects judges the second rule over all tries that mean the same effect.
func (v *Verdict) effects(law Law, tries []*try) {
	r := v.Rules[1]
	byEffect, order := map[string][]*try{}, []string{}
	for _, t := range tries {
		if t.asked.Effect == "" {
			continue
		}
		if byEffect[t.asked.Effect] == nil {
			order = append(order, t.asked.Effect)
		}
		byEffect[t.asked.Effect] = append(byEffect[t.asked.Effect], t)
	}
	for _, effect := range order {
		w := law.Workloads[byEffect[effect][0].asked.Workload]
		var began, received []Record
		for _, t := range byEffect[effect] {
			began, received = append(began, t.began...), append(received, t.received...)
			if len(t.received) > 1 {
				v.Repeats++
			}
			if t.answers == 0 || t.answered.Word != PushedBack || len(t.began) == 0 {
				continue
			}
			if w.RunOnce || w.Fingerprinted && w.Group != "fleet" {
				r.breach(t.answered.At, "job %s was pushed back though it had run", t.asked.Job)
			}
		}
		if !w.RunOnce && !w.Fingerprinted {
			continue
		}
		if len(received) > 0 {
			r.Opportunities++
		}
		if w.RunOnce && len(began) > 1 {
			r.breach(began[1].At, "run-once %s ran %d times, on servers %d and %d", effect, len(began), began[0].Server, began[1].Server)
		}
		if w.Fingerprinted && len(began) > 0 {
			v.fingerprinted(law, w, byEffect[effect])
		}
	}
}

// fingerprinted judges the executions of each job: one that may have run goes only inside its group and window.
func (v *Verdict) fingerprinted(law Law, w Workload, tries []*try) {
	r := v.Rules[1]
	for _, t := range tries {
		for _, x := range t.received {
			for _, e := range t.began {
				switch {
				case e.At >= x.At:
				case x.At > e.At+w.Window:
					r.breach(x.At, "job %s was sent again %d us after it ran, past its window", t.asked.Job, x.At-e.At)
				case w.Group == "zone" && law.Zone[x.Server] != law.Zone[e.Server],
					w.Group == "cell" && law.Cell[x.Server] != law.Cell[e.Server]:
					r.breach(x.At, "job %s ran on server %d and was sent to %d outside its group", t.asked.Job, e.Server, x.Server)
				}
			}
		}
	}
}

// drains judges the third rule.
func (v *Verdict) drains(law Law, recs []Record) {
	r := v.Rules[2]
	since := map[int]int64{}
	for _, x := range recs {
		switch x.Kind {
		case Told:
			if _, told := since[x.Server]; x.Word == "ready" {
				delete(since, x.Server)
			} else if !told {
				since[x.Server] = x.At
				r.Opportunities++
			}
		case Received, Ordered:
			if at, told := since[x.Server]; told && x.At > at+law.Grace {
				r.breach(x.At, "server %d got %q %d us after it was told to take nothing new", x.Server, x.Job, x.At-at)
			}
		}
	}
}

// cold judges the fourth rule: what a server got within any time of the told length, against what it bore then.
func (v *Verdict) cold(law Law, recs []Record) {
	r := v.Rules[3]
	born, got := map[int]int64{}, map[int][]int64{}
	for _, x := range recs {
		switch x.Kind {
		case Started:
			born[x.Server], got[x.Server] = x.At, nil
			r.Opportunities++
		case FellOver:
			r.breach(x.At, "server %d fell over", x.Server)
		case Received:
			at, cold := born[x.Server]
			if !cold || x.At > at+law.Cold {
				continue
			}
			ts := append(got[x.Server], x.At)
			for ts[0] < x.At-law.Fall {
				ts = ts[1:]
			}
			got[x.Server] = ts
			has := law.ColdFrom + (1-law.ColdFrom)*float64(x.At-at)/float64(law.Cold)
			budget := law.FallMultiple * has * law.Rate * float64(law.Fall) / 1e6
			v.Cold = append(v.Cold, Window{x.At, x.Server, float64(len(ts)) / max(1, budget)})
			if float64(len(ts)) > max(1, budget) {
				r.breach(x.At, "server %d, %d us old, got %d jobs within %d us, over its %.1f", x.Server, x.At-at, len(ts), law.Fall, budget)
			}
		}
	}
}

// ration judges the fifth rule: each router's orders against the jobs that its clients gave it.
func (v *Verdict) ration(law Law, recs []Record, halts map[int][]halt) {
	r := v.Rules[4]
	if law.LoadWindow == 0 {
		return
	}
	orders, asked := map[int][]int64{}, map[int][]int64{}
	for _, x := range recs {
		switch x.Kind {
		case Renewed: // a router without memory counts anew, from its first order on
			if x.Word != Remembers {
				delete(orders, x.Router)
			}
		case Asked:
			at := x.At
			for _, h := range halts[x.Router] { // what came meanwhile is taken once the router runs again
				if h.from <= at && at < h.to {
					at = h.to
				}
			}
			asked[x.Router] = append(asked[x.Router], at)
		case Ordered:
			r.Opportunities++
			within := func(ts []int64, from int64) int {
				i, _ := slices.BinarySearch(ts, from)
				return len(ts) - i
			}
			orders[x.Router] = append(orders[x.Router], x.At)
			n := within(orders[x.Router], x.At-law.LoadWindow+law.Travel)
			jobs := within(asked[x.Router], x.At-law.LoadWindow-law.Travel)
			if allowed := law.LoadFree + law.LoadShare*float64(jobs); float64(n) > allowed {
				r.breach(x.At, "router %d gave %d orders within its window, over %.1f for %d jobs", x.Router, n, allowed, jobs)
			}
		}
	}
}
