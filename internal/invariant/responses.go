package invariant

// checkResponses checks RuleResponses for one request.
func (r *Report) checkResponses(config Config, q *request, downtimes []downtime) {
	if q.notSent && len(q.received) == 0 && q.responses == 0 {
		return
	}
	rule := r.Rules[RuleResponses]
	r.Requests++
	r.Attempts += len(q.received)
	down := wasDown(downtimes, q.sent.At, q.sent.Deadline)
	if !down {
		rule.CheckCount++
	}
	switch {
	case q.responses > 1:
		rule.addViolation(q.response.At, "job %s got %d final answers", q.sent.Request, q.responses)
	case q.responses == 1:
		r.countResponse(q)
		if q.response.At > q.sent.Deadline && !down {
			rule.addViolation(q.response.At, "job %s was answered %d us after its client's time", q.sent.Request, q.response.At-q.sent.Deadline)
		}
	case q.abandoned || q.notSent:
		r.Abandoned++
	case down:
		r.UnansweredWhileDown++
	default:
		r.Unanswered++
		rule.addViolation(q.sent.Deadline, "job %s got no answer", q.sent.Request)
	}
	end := q.end(down)
	for _, attempt := range q.received {
		if attempt.At > end+config.MaxNetworkDelay {
			rule.addViolation(attempt.At, "job %s was sent to server %d after it was over", q.sent.Request, attempt.Server)
		}
	}
}

// countResponse counts a request with one answer. A success has to come from a server.
func (r *Report) countResponse(q *request) {
	switch q.response.Detail {
	case Succeeded:
		r.Succeeded++
		if len(q.started) == 0 && len(q.refused) == 0 {
			r.Rules[RuleResponses].addViolation(q.response.At, "job %s is called finished but reached no server", q.sent.Request)
		}
	case Rejected:
		r.Rejected++
	case Failed:
		r.Failed++
	default:
		r.NotAdmitted++
	}
}

// end is when the request was over: no attempt may follow. A router that was down can't know for how long the request had waited
// unread: for it the request is over when the client is gone or has its answer.
func (q *request) end(routerWasDown bool) int64 {
	switch {
	case q.responses > 0 && routerWasDown:
		return q.response.At
	case q.responses > 0:
		return min(q.sent.Deadline, q.response.At)
	case routerWasDown:
		return max(q.sent.Deadline, q.timedOutAt)
	}
	return q.sent.Deadline
}
