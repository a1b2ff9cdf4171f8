package invariant

import (
	"math"
	"slices"
)

// Check checks the invariants on the records of a run, which must be sorted by time.
func Check(config Config, records []Record) *Report {
	report := newReport()
	history := groupRecords(records)
	for _, request := range history.requests {
		if request.sent.Request == "" {
			first := request.firstServerRecord()
			report.Rules[RuleResponses].addViolation(first.At, "request %s reached a server, but no client sent it", first.Request)
			continue
		}
		report.checkResponses(config, request, history.downtimes[request.sent.Router])
	}
	report.checkEffects(config, history.requests)
	report.checkDrains(config, records)
	report.checkSlowStart(config, records)
	report.checkLoadRate(config, records, history.downtimes)
	return report
}

// requestHistory holds the records of one request.
type requestHistory struct {
	sent          Record
	response      Record // the last response
	responseCount int
	abandoned     bool
	notSent       bool
	timedOutAt    int64
	received      []Record
	started       []Record
	refused       []Record // refused or deduplicated attempts
}

// firstServerRecord returns the first record of the request by a server, or the response if there is none.
func (h *requestHistory) firstServerRecord() Record {
	for _, records := range [][]Record{h.received, h.started, h.refused} {
		if len(records) > 0 {
			return records[0]
		}
	}
	return h.response
}

func (h *requestHistory) add(r Record) {
	switch r.Kind {
	case RequestSent:
		h.sent = r
	case ResponseReceived:
		h.response = r
		h.responseCount++
	case RequestTimedOut:
		h.timedOutAt = r.At
	case RequestNotSent:
		h.notSent = true
	case RequestAbandoned:
		h.abandoned = true
	case AttemptReceived:
		h.received = append(h.received, r)
	case AttemptStarted:
		h.started = append(h.started, r)
	case AttemptRefused, AttemptDeduplicated:
		h.refused = append(h.refused, r)
	}
}

// downtime is a period during which a router was not running.
type downtime struct{ from, to int64 }

// overlaps reports whether the downtime overlaps the period between two times.
func (d downtime) overlaps(from, to int64) bool { return d.from < to && d.to > from }

// runHistory groups the records of a run by request and router.
type runHistory struct {
	requests  []*requestHistory  // in the order of their first records
	downtimes map[int][]downtime // by router
}

// groupRecords groups records by request, and collects the downtimes of each router.
func groupRecords(records []Record) *runHistory {
	history := &runHistory{downtimes: map[int][]downtime{}}
	byID := map[string]*requestHistory{}
	for _, r := range records {
		switch {
		case r.Kind == RouterDown:
			history.downtimes[r.Router] = append(history.downtimes[r.Router], downtime{r.At, math.MaxInt64})
		case r.Kind == RouterUp:
			if d := history.downtimes[r.Router]; len(d) > 0 {
				d[len(d)-1].to = r.At
			}
		case r.Request != "":
			request := byID[r.Request]
			if request == nil {
				request = &requestHistory{}
				byID[r.Request] = request
				history.requests = append(history.requests, request)
			}
			request.add(r)
		}
	}
	return history
}

// wasDown reports whether a router was down between two times.
func wasDown(downtimes []downtime, from, to int64) bool {
	return slices.ContainsFunc(downtimes, func(d downtime) bool { return d.overlaps(from, to) })
}
