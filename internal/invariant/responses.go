package invariant

import (
	"slices"
)

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
