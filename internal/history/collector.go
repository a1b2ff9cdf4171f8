package history

import (
	"cmp"
	"slices"

	"hollymast/control"
)

// Collector counts usage until it is drained. It is not safe for use by several goroutines.
type Collector struct {
	byRow map[rowID]*counts
}

// rowID identifies a row of a level.
type rowID struct {
	at      int64 // the span's beginning, in microseconds since 1970
	subject Subject
}

// counts is the usage of a row, with execution times that are not in a histogram yet.
type counts struct {
	Usage
	execTimes []control.Micros
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{byRow: map[rowID]*counts{}} }

func (c *Collector) countsOf(now control.Micros, subject Subject) *counts {
	id := rowID{int64(now) / Minute * Minute, subject}
	n := c.byRow[id]
	if n == nil {
		n = &counts{}
		c.byRow[id] = n
	}
	return n
}

// Lateness says whether a request ended after its latency objective.
type Lateness bool

// The values of Lateness.
const (
	OnTime Lateness = false
	Late   Lateness = true
)

// RequestDone counts a request's final answer: Reject, Fail, or any other action for a success. Lateness counts only of a success.
func (c *Collector) RequestDone(now control.Micros, subject Subject, action control.Action, lateness Lateness) {
	n := c.countsOf(now, subject)
	n.Requests++
	switch action {
	case control.Reject:
		n.Rejected++
	case control.Fail:
		n.Failed++
	default:
		if n.Succeeded++; lateness == OnTime {
			n.WithinObjective++
		}
	}
}

// AttemptEnded counts the end of an attempt.
func (c *Collector) AttemptEnded(now control.Micros, subject Subject, o control.Outcome) {
	n := c.countsOf(now, subject)
	n.Attempts++
	if o.CacheStatus == control.CacheMiss {
		n.Loads++
	}
	if o.Result == control.Succeeded && o.CacheStatus == control.CacheHit {
		n.execTimes = append(n.execTimes, o.Duration)
	}
}

// LoadCommandSent counts a load command.
func (c *Collector) LoadCommandSent(now control.Micros, subject Subject) {
	c.countsOf(now, subject).Loads++
}

// Drain empties the collector and returns what it held. The batch shares nothing with the collector, so another goroutine can use it.
func (c *Collector) Drain() *Batch {
	batch := &Batch{c.byRow}
	c.byRow = make(map[rowID]*counts, len(c.byRow))
	return batch
}

// Batch is what a Collector held.
type Batch struct{ byRow map[rowID]*counts }

// maxSubjects is how many subjects of one minute get rows of their own. More are names that are asked for once.
const maxSubjects = 1024

// Rows returns a row for each minute and subject, by time, then subject. In a minute with more than maxSubjects the rarest share a row
// for each tenant.
func (b *Batch) Rows() []Row {
	rows := make([]Row, 0, len(b.byRow))
	recorder := newRecorder()
	for id, n := range b.byRow {
		if len(n.execTimes) > 0 {
			n.ExecTimes = newHistogram(recorder, n.execTimes)
		}
		rows = append(rows, Row{id.at, id.subject, n.Usage})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(b.Requests, a.Requests), compareSubjects(a.Subject, b.Subject))
	})
	var result []Row
	for len(rows) > 0 {
		n := 1
		for n < len(rows) && rows[n].At == rows[0].At {
			n++
		}
		minute := sumRarest(rows[:n])
		rows = rows[n:]
		slices.SortFunc(minute, func(a, b Row) int { return compareSubjects(a.Subject, b.Subject) })
		result = append(result, minute...)
	}
	return result
}

// sumRarest sums the rows of a minute, which come by falling number of requests, that are beyond maxSubjects.
func sumRarest(minute []Row) []Row {
	if len(minute) <= maxSubjects {
		return minute
	}
	others := map[string]*Row{} // by tenant
	for _, r := range minute[maxSubjects:] {
		sum := others[r.Tenant]
		if sum == nil {
			sum = &Row{At: r.At, Subject: Subject{Tenant: r.Tenant}}
			others[r.Tenant] = sum
		}
		sum.Merge(r.Usage)
	}
	minute = minute[:maxSubjects]
	for _, sum := range others {
		minute = append(minute, *sum)
	}
	return minute
}
