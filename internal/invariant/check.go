package invariant

import (
	"math"
	"slices"
)

// Check checks the records of a run, which are in the order of their times.
func Check(config Config, records []Record) *Report {
	report := newReport()
	h := collect(records)
	for _, q := range h.requests {
		if q.sent.Request == "" {
			first := q.firstAttemptRecord()
			report.Rules[RuleResponses].addViolation(first.At, "job %s reached a server but no client asked it", first.Request)
			continue
		}
		report.checkResponses(config, q, h.downtimes[q.sent.Router])
	}
	report.checkEffects(config, h.requests)
	report.checkDrains(config, records)
	report.checkSlowStart(config, records)
	report.checkLoadRate(config, records, h.downtimes)
	return report
}

// request is what happened to one request.
type request struct {
	sent       Record
	response   Record // the last one
	responses  int
	abandoned  bool
	notSent    bool
	timedOutAt int64
	received   []Record
	started    []Record
	refused    []Record // or deduplicated
}

// firstAttemptRecord gives the first record of a server about the request.
func (q *request) firstAttemptRecord() Record {
	for _, records := range [][]Record{q.received, q.started, q.refused} {
		if len(records) > 0 {
			return records[0]
		}
	}
	return q.response
}

func (q *request) add(r Record) {
	switch r.Kind {
	case RequestSent:
		q.sent = r
	case ResponseReceived:
		q.response = r
		q.responses++
	case RequestTimedOut:
		q.timedOutAt = r.At
	case RequestNotSent:
		q.notSent = true
	case RequestAbandoned:
		q.abandoned = true
	case AttemptReceived:
		q.received = append(q.received, r)
	case AttemptStarted:
		q.started = append(q.started, r)
	case AttemptRefused, AttemptDeduplicated:
		q.refused = append(q.refused, r)
	}
}

// downtime is a time in which a router didn't run.
type downtime struct{ from, to int64 }

// overlaps reports whether a router was down between two times.
func (d downtime) overlaps(from, to int64) bool { return d.from < to && d.to > from }

// history is what records tell of requests and routers.
type history struct {
	requests  []*request         // in the order of their first records
	downtimes map[int][]downtime // by router
}

func collect(records []Record) *history {
	h := &history{downtimes: map[int][]downtime{}}
	byID := map[string]*request{}
	for _, r := range records {
		switch {
		case r.Kind == RouterDown:
			h.downtimes[r.Router] = append(h.downtimes[r.Router], downtime{r.At, math.MaxInt64})
		case r.Kind == RouterUp:
			if d := h.downtimes[r.Router]; len(d) > 0 {
				d[len(d)-1].to = r.At
			}
		case r.Request != "":
			q := byID[r.Request]
			if q == nil {
				q = &request{}
				byID[r.Request] = q
				h.requests = append(h.requests, q)
			}
			q.add(r)
		}
	}
	return h
}

// wasDown reports whether a router was down between two times.
func wasDown(downtimes []downtime, from, to int64) bool {
	return slices.ContainsFunc(downtimes, func(d downtime) bool { return d.overlaps(from, to) })
}
