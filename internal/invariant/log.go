package invariant

import (
	"slices"
	"sync"
	"time"
)

// Log gathers records from many goroutines.
type Log struct {
	base time.Time
	mu   sync.Mutex
	recs []Record
}

// NewLog gives an empty log whose time 0 is now.
func NewLog() *Log { return &Log{base: time.Now()} }

// Now is the log's time.
func (l *Log) Now() int64 { return time.Since(l.base).Microseconds() }

// Add stamps a record and keeps it.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	r.At = l.Now()
	l.recs = append(l.recs, r)
	l.mu.Unlock()
}

// Records gives all records in the order of their times.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	rs := slices.Clone(l.recs)
	slices.SortStableFunc(rs, func(a, b Record) int { return int(a.At - b.At) })
	return rs
}
