package history

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hollymast/control"
)

// Tally gathers what happens until it is taken. It is for one goroutine.
type Collector struct {
	byRow map[rowID]*counts
}

type rowID struct {
	at      int64
	subject Subject
}

type counts struct {
	Usage
	execTimes []control.Micros
}

// NewTally gives an empty tally.
func NewCollector() *Collector { return &Collector{byRow: map[rowID]*counts{}} }

func (t *Collector) countsOf(now control.Micros, w Subject) *counts {
	k := rowID{int64(now) / Minute, w}
	c := t.byRow[k]
	if c == nil {
		c = &counts{}
		t.byRow[k] = c
	}
	return c
}

// Answered counts a job's final answer; late tells that it was finished after its start target.
func (t *Collector) RequestDone(now control.Micros, w Subject, word control.Action, late bool) {
	c := t.countsOf(now, w)
	c.Requests++
	switch word {
	case control.Reject:
		c.Rejected++
	case control.Fail:
		c.Failed++
	default:
		if c.Succeeded++; !late {
			c.WithinObjective++
		}
	}
}

// Executed counts the end of an execution.
func (t *Collector) AttemptEnded(now control.Micros, w Subject, o control.Outcome) {
	c := t.countsOf(now, w)
	c.Attempts++
	if o.CacheStatus == control.CacheMiss {
		c.Loads++
	}
	if o.Result == control.Succeeded && o.CacheStatus == control.CacheHit {
		c.execTimes = append(c.execTimes, o.Duration)
	}
}

// Ordered counts an order to load.
func (t *Collector) LoadCommanded(now control.Micros, w Subject) { t.countsOf(now, w).Loads++ }

// Take empties the tally and gives its counts, for Rows: what it holds is not touched again by the tally.
func (t *Collector) Drain() *Batch {
	taken := &Batch{t.byRow}
	t.byRow = make(map[rowID]*counts, len(t.byRow))
	return taken
}

// Taken is what a tally held.
type Batch struct{ byRow map[rowID]*counts }

// mostAtOnce is how many functions and tenants of one minute get rows of their own: more would be names of one time.
const maxSubjects = 1024

// Rows gives a row for each minute, function and tenant, by time, then name. Of a minute with too many the rarest are one.
func (t *Batch) Rows() []Row {
	rows := make([]Row, 0, len(t.byRow))
	h := hdrhistogram.New(minExecTime, maxExecTime, significantDigits)
	for k, c := range t.byRow {
		if len(c.execTimes) > 0 {
			h.Reset()
			for _, v := range c.execTimes {
				h.RecordValue(int64(min(max(v, minExecTime), maxExecTime)))
			}
			c.ExecTimes = nil
			for _, bar := range h.Distribution() {
				if bar.Count > 0 {
					c.ExecTimes = append(c.ExecTimes, bar.To, bar.Count)
				}
			}
		}
		rows = append(rows, Row{k.at * Minute, k.subject, c.Usage})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(b.Requests, a.Requests), compareSubjects(a.Subject, b.Subject))
	})
	var out []Row
	for len(rows) > 0 {
		n := 1
		for n < len(rows) && rows[n].At == rows[0].At {
			n++
		}
		minute := rows[:n]
		rows = rows[n:]
		if n > maxSubjects {
			others := map[string]*Row{}
			for _, r := range minute[maxSubjects:] {
				o := others[r.Tenant]
				if o == nil {
					o = &Row{At: r.At, Subject: Subject{Tenant: r.Tenant}}
					others[r.Tenant] = o
				}
				o.Merge(r.Usage)
			}
			minute = minute[:maxSubjects]
			for _, o := range others {
				minute = append(minute, *o)
			}
		}
		slices.SortFunc(minute, func(a, b Row) int { return compareSubjects(a.Subject, b.Subject) })
		out = append(out, minute...)
	}
	return out
}
