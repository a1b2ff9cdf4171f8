package invariant

// checkEffects checks RuleEffects over all requests that are for the same effect.
func (r *Report) checkEffects(config Config, requests []*request) {
	byEffect, order := map[string][]*request{}, []string{}
	for _, q := range requests {
		effect := q.sent.Effect
		if effect == "" {
			continue
		}
		if byEffect[effect] == nil {
			order = append(order, effect)
		}
		byEffect[effect] = append(byEffect[effect], q)
	}
	for _, effect := range order {
		r.checkEffect(config, effect, byEffect[effect])
	}
}

// checkEffect checks RuleEffects for one effect.
func (r *Report) checkEffect(config Config, effect string, requests []*request) {
	rule, class := r.Rules[RuleEffects], config.Classes[requests[0].sent.Workload]
	var started []Record
	received := 0
	for _, q := range requests {
		started, received = append(started, q.started...), received+len(q.received)
		if len(q.received) > 1 {
			r.Retries++
		}
		if q.responses == 0 || q.response.Detail != Rejected || len(q.started) == 0 {
			continue
		}
		if class.NonIdempotent || class.IdempotentByKey && class.Scope != scopeFleet {
			rule.addViolation(q.response.At, "job %s was pushed back though it had run", q.sent.Request)
		}
	}
	if !class.NonIdempotent && !class.IdempotentByKey {
		return
	}
	if received > 0 {
		rule.CheckCount++
	}
	if class.NonIdempotent && len(started) > 1 {
		rule.addViolation(started[1].At, "run-once %s ran %d times, on servers %d and %d", effect, len(started), started[0].Server, started[1].Server)
	}
	if class.IdempotentByKey {
		for _, q := range requests {
			r.checkIdempotentByKey(config, class, q)
		}
	}
}

// checkIdempotentByKey checks the attempts of one request: after one that ran, others go only to servers that share its key, while
// they remember it.
func (r *Report) checkIdempotentByKey(config Config, class Class, q *request) {
	rule := r.Rules[RuleEffects]
	for _, attempt := range q.received {
		for _, ran := range q.started {
			switch {
			case ran.At >= attempt.At:
			case attempt.At > ran.At+class.Window:
				rule.addViolation(attempt.At, "job %s was sent again %d us after it ran, past its window", q.sent.Request, attempt.At-ran.At)
			case class.Scope == scopeZone && config.Zone[attempt.Server] != config.Zone[ran.Server],
				class.Scope == scopeCell && config.Cell[attempt.Server] != config.Cell[ran.Server]:
				rule.addViolation(attempt.At, "job %s ran on server %d and was sent to %d outside its group", q.sent.Request, ran.Server, attempt.Server)
			}
		}
	}
}
