package invariant

// checkResponses checks RuleResponses for one request and counts its result.
func (r *Report) checkResponses(config Config, request *requestHistory, downtimes []downtime) {
	if request.notSent && len(request.received) == 0 && request.responseCount == 0 {
		return
	}
	rule := r.Rules[RuleResponses]
	r.Requests++
	r.Attempts += len(request.received)
	down := wasDown(downtimes, request.sent.At, request.sent.Deadline)
	if !down {
		rule.CheckCount++
	}
	switch {
	case request.responseCount > 1:
		rule.addViolation(request.response.At, "request %s got %d final answers", request.sent.Request, request.responseCount)
	case request.responseCount == 1:
		r.countResponse(request)
		if request.response.At > request.sent.Deadline && !down {
			rule.addViolation(request.response.At, "request %s was answered %d us after its deadline",
				request.sent.Request, request.response.At-request.sent.Deadline)
		}
	case request.abandoned || request.notSent:
		r.Abandoned++
	case down:
		r.UnansweredWhileDown++
	default:
		r.Unanswered++
		rule.addViolation(request.sent.Deadline, "request %s got no answer", request.sent.Request)
	}
	endTime := request.endTime(down)
	for _, attempt := range request.received {
		if attempt.At > endTime+config.MaxNetworkDelay {
			rule.addViolation(attempt.At, "request %s was sent to server %d after it had ended", request.sent.Request, attempt.Server)
		}
	}
}

// countResponse counts a request with one answer, and checks that a successful request reached a server.
func (r *Report) countResponse(request *requestHistory) {
	switch request.response.Detail {
	case Succeeded:
		r.Succeeded++
		if len(request.started) == 0 && len(request.refused) == 0 {
			r.Rules[RuleResponses].addViolation(request.response.At, "request %s was reported as successful but reached no server",
				request.sent.Request)
		}
	case Rejected:
		r.Rejected++
	case Failed:
		r.Failed++
	default:
		r.NotAdmitted++
	}
}

// endTime returns the time after which no attempt may be sent. If the router was down, it can't know how long the request was waiting to be
// read; then the request ends when the client gives up or gets its answer.
func (h *requestHistory) endTime(routerWasDown bool) int64 {
	switch {
	case h.responseCount > 0 && routerWasDown:
		return h.response.At
	case h.responseCount > 0:
		return min(h.sent.Deadline, h.response.At)
	case routerWasDown:
		return max(h.sent.Deadline, h.timedOutAt)
	}
	return h.sent.Deadline
}
