package invariant

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
