package soak

import (
	"context"
	"sync"
	"time"
)

// lagMeter measures the scheduling lag of this process, for example on a busy machine. Events that this process observes may have
// happened earlier by that much.
type lagMeter struct {
	mu      sync.Mutex
	samples []lagSample // only those above lagThreshold
}

// lagSample is a timer tick that came late.
type lagSample struct {
	at  time.Time
	lag time.Duration
}

const (
	lagTick      = 5 * time.Millisecond
	lagThreshold = 3 * time.Millisecond
	// lagWindow is how long before an observation a sample may be taken and still count towards the observation's tolerance.
	lagWindow = time.Second
)

// run takes samples until ctx ends.
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
		if lag := now.Sub(last) - lagTick; lag > lagThreshold {
			m.mu.Lock()
			m.samples = append(m.samples, lagSample{now, lag})
			m.mu.Unlock()
		}
		last = now
	}
}

// maxBefore returns the largest lag within lagWindow before an observation.
func (m *lagMeter) maxBefore(at time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var largest time.Duration
	for i := len(m.samples) - 1; i >= 0 && m.samples[i].at.After(at.Add(-lagWindow)); i-- {
		largest = max(largest, m.samples[i].lag)
	}
	return largest
}

// max returns the largest lag of the whole run.
func (m *lagMeter) max() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var largest time.Duration
	for _, sample := range m.samples {
		largest = max(largest, sample.lag)
	}
	return largest
}
