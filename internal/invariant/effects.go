package invariant

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
