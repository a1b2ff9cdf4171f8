package invariant

// checkEffects checks RuleEffects for each group of requests that are for the same effect.
func (r *Report) checkEffects(config Config, requests []*requestHistory) {
	byEffect, order := map[string][]*requestHistory{}, []string{}
	for _, request := range requests {
		effect := request.sent.Effect
		if effect == "" {
			continue
		}
		if byEffect[effect] == nil {
			order = append(order, effect)
		}
		byEffect[effect] = append(byEffect[effect], request)
	}
	for _, effect := range order {
		r.checkEffect(config, effect, byEffect[effect])
	}
}

// checkEffect checks RuleEffects for one effect.
func (r *Report) checkEffect(config Config, effect string, requests []*requestHistory) {
	rule, class := r.Rules[RuleEffects], config.Classes[requests[0].sent.Workload]
	var started []Record
	received := 0
	for _, request := range requests {
		started, received = append(started, request.started...), received+len(request.received)
		if len(request.received) > 1 {
			r.Retries++
		}
		if request.responseCount == 0 || request.response.Detail != Rejected || len(request.started) == 0 {
			continue
		}
		if class.NonIdempotent || class.IdempotentByKey && class.Scope != scopeFleet {
			rule.addViolation(request.response.At, "request %s was rejected although it had run", request.sent.Request)
		}
	}
	if !class.NonIdempotent && !class.IdempotentByKey {
		return
	}
	if received > 0 {
		rule.CheckCount++
	}
	if class.NonIdempotent && len(started) > 1 {
		rule.addViolation(started[1].At, "non-idempotent effect %s ran %d times, on servers %d and %d",
			effect, len(started), started[0].Server, started[1].Server)
	}
	if class.IdempotentByKey {
		for _, request := range requests {
			r.checkIdempotentByKey(config, class, request)
		}
	}
}

// checkIdempotentByKey checks the attempts of one request: once an attempt has run, others may be sent only to servers that share its
// idempotency key, and only while these remember the key.
func (r *Report) checkIdempotentByKey(config Config, class Class, request *requestHistory) {
	rule := r.Rules[RuleEffects]
	for _, attempt := range request.received {
		for _, run := range request.started {
			switch {
			case run.At >= attempt.At:
			case attempt.At > run.At+class.Window:
				rule.addViolation(attempt.At, "request %s was sent again %d us after it ran, past its window",
					request.sent.Request, attempt.At-run.At)
			case class.Scope == scopeZone && config.Zone[attempt.Server] != config.Zone[run.Server],
				class.Scope == scopeCell && config.Cell[attempt.Server] != config.Cell[run.Server]:
				rule.addViolation(attempt.At, "request %s ran on server %d and was sent to %d outside its key scope",
					request.sent.Request, run.Server, attempt.Server)
			}
		}
	}
}
