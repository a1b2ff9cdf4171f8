// Package history keeps what functions were used for: jobs, loads, answers in time and execution times, by function,
// tenant and time, for months, in little room. Tallies and the rules of what is kept how long are free of I/O; Store
// keeps rows in a file.
package history

import (
	"cmp"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hollymast/control"
)

// Who is what a row is about. Function is empty where a span had more functions than rows are kept for: then it is the
// sum of the rarest.
type Subject struct {
	Function string
	Tenant   string
}

// Use is what was done within a span of time.
type Usage struct {
	Requests        int64     `cbor:"Jobs"` // that got their answer
	Succeeded       int64     `cbor:"Finished"`
	WithinObjective int64     `cbor:"InTime"` // finished within their start target
	Rejected        int64     `cbor:"PushedBack"`
	Failed          int64     `cbor:"Killed"`
	Attempts        int64     `cbor:"Executions"`
	Loads           int64     `cbor:"Loads"` // executions that began a load, and orders
	ExecTimes       Histogram `cbor:"Times"` // of executions by warm copies
}

// Times are execution times as an HdrHistogram's buckets: each bucket's upper bound in microseconds and how many fell into it,
// by turns, ascending. Only buckets with something in them are kept: some hundred bytes a row. (The library's own compressed
// form costs much garbage, and days with fifteen routers on one machine showed its bursts.)
type Histogram []int64

// The range of execution times in microseconds, and the significant digits of their buckets.
const (
	minExecTime       = 1
	maxExecTime       = 24 * 3600 * 1_000_000
	significantDigits = 2
)

// Merge adds other times.
func (t Histogram) Merge(u Histogram) Histogram {
	sum := make(Histogram, 0, len(t)+len(u))
	for len(t) > 1 || len(u) > 1 {
		switch {
		case len(u) < 2 || len(t) > 1 && t[0] < u[0]:
			sum, t = append(sum, t[0], t[1]), t[2:]
		case len(t) < 2 || u[0] < t[0]:
			sum, u = append(sum, u[0], u[1]), u[2:]
		default:
			sum, t, u = append(sum, t[0], t[1]+u[1]), t[2:], u[2:]
		}
	}
	return sum
}

// Quantile gives a quantile (0 to 1) in microseconds, as the upper bound of its bucket; 0 of none.
func (t Histogram) Quantile(q float64) int64 {
	total, seen := int64(0), int64(0)
	for i := 1; i < len(t); i += 2 {
		total += t[i]
	}
	for i := 1; i < len(t); i += 2 {
		if seen += t[i]; float64(seen) >= q*float64(total) {
			return t[i-1]
		}
	}
	return 0
}

// Quantile gives a quantile (0 to 1) of the execution times in microseconds; 0 of none.
func (u Usage) Quantile(q float64) int64 { return u.ExecTimes.Quantile(q) }

// Merge adds another use to this one.
func (u *Usage) Merge(v Usage) {
	u.Requests += v.Requests
	u.Succeeded += v.Succeeded
	u.WithinObjective += v.WithinObjective
	u.Rejected += v.Rejected
	u.Failed += v.Failed
	u.Attempts += v.Attempts
	u.Loads += v.Loads
	u.ExecTimes = u.ExecTimes.Merge(v.ExecTimes)
}

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

// Row is the use of one function by one tenant within one span.
type Row struct {
	At int64 // the span's beginning, in microseconds since 1970
	Subject
	Usage
}

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

func compareSubjects(a, b Subject) int {
	return cmp.Or(strings.Compare(a.Function, b.Function), strings.Compare(a.Tenant, b.Tenant))
}

// Spans in microseconds.
const (
	Minute = int64(60_000_000)
	Hour   = 60 * Minute
	Day    = 24 * Hour
)

// Level is a step of the history: rows of one length, kept for a time.
type Level struct {
	Name      string
	Span      int64
	Retention int64 // after it a row is merged into the next level's, or dropped
}

// Levels are the history's steps, finest first. Two days of minutes show an incident and the same hour of the day before; a
// quarter of hours shows weeks; three years of days show seasons.
var Levels = []Level{{"minute", Minute, 2 * Day}, {"hour", Hour, 92 * Day}, {"day", Day, 3 * 365 * Day}}

// Horizons decides from when on each level's rows stay as they are, at a time, where the levels hold these rows and most
// may be kept in all: by age, and beyond that bound a day's rows of the finest level at a time go to the next, then those
// of the middle one by weeks, then the oldest days. Oldest gives each level's oldest row; Day or 0 of an empty one.
func Horizons(now int64, rows, oldest []int64, most int64) []int64 {
	horizons := make([]int64, len(Levels))
	total := int64(0)
	for i, l := range Levels {
		horizons[i] = (now - l.Retention) / l.Span * l.Span
		if i+1 < len(Levels) { // whole spans of the next level
			horizons[i] = (now - l.Retention) / Levels[i+1].Span * Levels[i+1].Span
		}
		total += rows[i]
	}
	if total <= most {
		return horizons
	}
	for i, step := range []int64{Hour, 7 * Day, 30 * Day} {
		// The present span of the next level is never cut.
		if rows[i] > 0 && oldest[i]+step < now-step {
			horizons[i] = max(horizons[i], (oldest[i]/step+1)*step)
			break
		}
	}
	return horizons
}
