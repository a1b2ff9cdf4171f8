package invariant

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Log collects records. It is safe for concurrent use.
type Log struct {
	start   time.Time
	mu      sync.Mutex
	records []Record
}

// NewLog returns an empty log whose clock starts at 0.
func NewLog() *Log { return &Log{start: time.Now()} }

// Now returns the time since the log was created, in microseconds.
func (l *Log) Now() int64 { return time.Since(l.start).Microseconds() }

// Add sets a record's time to Now and appends the record.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.At = l.Now()
	l.records = append(l.records, r)
}

// Records returns all records, sorted by time.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := slices.Clone(l.records)
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	return records
}
