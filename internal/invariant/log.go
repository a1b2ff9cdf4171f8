package invariant

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Log collects records from many goroutines.
type Log struct {
	start   time.Time
	mu      sync.Mutex
	records []Record
}

// NewLog returns an empty log whose time starts at 0.
func NewLog() *Log { return &Log{start: time.Now()} }

// Now is the log's time in microseconds.
func (l *Log) Now() int64 { return time.Since(l.start).Microseconds() }

// Add sets a record's time to now and keeps the record.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.At = l.Now()
	l.records = append(l.records, r)
}

// Records returns all records, in the order of their times.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := slices.Clone(l.records)
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	return records
}
