package soak

import (
	"sync"
	"time"
)

// stallLog holds for which times this process stopped routers.
type stallLog struct {
	mu     sync.Mutex
	stalls []stall
}

// stall is a time for which a router's process was stopped.
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

// lastEnd returns when the last stall of a router ended that reaches into the time between two others; zero: there was none.
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
