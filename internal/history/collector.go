package history

import (
	"cmp"
	"slices"

	"hollymast/control"
)

// Collector accumulates usage until it is drained. It is not safe for concurrent use.
type Collector struct {
	byRow map[rowID]*pendingRow
}

// rowID identifies a row within a level.
type rowID struct {
	at      int64 // beginning of the row's span, in microseconds since 1970
	subject Subject
}

// pendingRow is the usage of a row whose execution times are not in a histogram yet.
type pendingRow struct {
	Usage
	execTimes []control.Micros
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{byRow: map[rowID]*pendingRow{}} }

// rowFor returns the row of a subject in the minute of the given time, and creates it if needed.
func (c *Collector) rowFor(now control.Micros, subject Subject) *pendingRow {
	id := rowID{int64(now) / Minute * Minute, subject}
	row := c.byRow[id]
	if row == nil {
		row = &pendingRow{}
		c.byRow[id] = row
	}
	return row
}

// Lateness says whether a request ended after its latency objective.
type Lateness bool

// The values of Lateness.
const (
	OnTime Lateness = false
	Late   Lateness = true
)

// RequestDone counts a request's final answer. The action is Reject, Fail, or any other for a success. Lateness matters only for a success.
func (c *Collector) RequestDone(now control.Micros, subject Subject, action control.Action, lateness Lateness) {
	row := c.rowFor(now, subject)
	row.Requests++
	switch action {
	case control.Reject:
		row.Rejected++
	case control.Fail:
		row.Failed++
	default:
		if row.Succeeded++; lateness == OnTime {
			row.WithinObjective++
		}
	}
}

// AttemptEnded counts the end of an attempt.
func (c *Collector) AttemptEnded(now control.Micros, subject Subject, o control.Outcome) {
	row := c.rowFor(now, subject)
	row.Attempts++
	if o.CacheStatus == control.CacheMiss {
		row.Loads++
	}
	if o.Result == control.Succeeded && o.CacheStatus == control.CacheHit {
		row.execTimes = append(row.execTimes, o.Duration)
	}
}

// LoadCommandSent counts a load command.
func (c *Collector) LoadCommandSent(now control.Micros, subject Subject) {
	c.rowFor(now, subject).Loads++
}

// Drain returns the collected usage and empties the collector. The batch shares no memory with the collector, so that another goroutine
// can use it.
func (c *Collector) Drain() *Batch {
	batch := &Batch{c.byRow}
	c.byRow = make(map[rowID]*pendingRow, len(c.byRow))
	return batch
}

// Batch is the usage drained from a Collector.
type Batch struct{ byRow map[rowID]*pendingRow }

// maxSubjects is how many subjects get their own rows in one minute. Where there are more, most of them are functions that are requested
// only once.
const maxSubjects = 1024

// Rows returns a row for each minute and subject, sorted by time and subject. In a minute with more than maxSubjects subjects, those with
// the fewest requests are merged into one row per tenant.
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
		minute := mergeRarest(rows[:n])
		rows = rows[n:]
		slices.SortFunc(minute, func(a, b Row) int { return compareSubjects(a.Subject, b.Subject) })
		result = append(result, minute...)
	}
	return result
}

// mergeRarest merges the rows of a minute beyond the first maxSubjects into one row per tenant. The rows are sorted by descending number of
// requests.
func mergeRarest(minute []Row) []Row {
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
