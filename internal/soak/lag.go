package soak

import (
	"context"
	"sync"
	"time"
)

// lagMeter measures by how much this process itself runs late, as on a busy machine. What it sees of others is late by as much.
type lagMeter struct {
	mu   sync.Mutex
	late []lateness // only those above lagNoise
}

// lateness is a tick that came late.
type lateness struct {
	at time.Time
	by time.Duration
}

const (
	lagTick  = 5 * time.Millisecond
	lagNoise = 3 * time.Millisecond
	// lagReach is for how long before an observation lateness counts towards it.
	lagReach = time.Second
)

// run measures until ctx ends.
func (m *lagMeter) run(ctx context.Context) {
	ticker := time.NewTicker(lagTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if by := now.Sub(last) - lagTick; by > lagNoise {
			m.mu.Lock()
			m.late = append(m.late, lateness{now, by})
			m.mu.Unlock()
		}
		last = now
	}
}

// before returns the largest lateness of the time up to an observation.
func (m *lagMeter) before(at time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var largest time.Duration
	for i := len(m.late) - 1; i >= 0 && m.late[i].at.After(at.Add(-lagReach)); i-- {
		largest = max(largest, m.late[i].by)
	}
	return largest
}

// largest returns the largest lateness of all.
func (m *lagMeter) largest() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var largest time.Duration
	for _, late := range m.late {
		largest = max(largest, late.by)
	}
	return largest
}
