package soak

import (
	"sync"
	"time"
)

// stallLog records when router processes were suspended.
type stallLog struct {
	mu     sync.Mutex
	stalls []stall
}

// stall is a period in which a router's process was suspended.
type stall struct {
	router   int
	from, to time.Time
}

// add records a stall that has ended.
func (l *stallLog) add(s stall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalls = append(l.stalls, s)
}

// lastEnd returns the end of the last stall of a router that overlaps the period between from and to; zero if there is none.
func (l *stallLog) lastEnd(router int, from, to time.Time) (end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.stalls {
		if s.router == router && s.from.Before(to) && s.to.After(from) && s.to.After(end) {
			end = s.to
		}
	}
	return end
}
