package platform

import (
	"context"
	"sync"
	"time"

	"hollymast/control"
)

// stallDetector notices when this process was stalled: stopped, or without a share of its core. A request read right
// after a stall may have arrived at any time during it, and its deadline runs from when its client sent it.
type stallDetector struct {
	mu       sync.Mutex
	lastTick control.Micros // the last tick; 0: none yet
	// The latest stall and the readers' time after it: what is read before until may have arrived from from on.
	stallStart, ambiguousUntil control.Micros
}

const (
	// tickInterval and stallThreshold (microseconds) bound by how much a request may be older than assumed: with the
	// 10 ms of networkDelay, less than the 0.15 s by which a stated deadline may exceed the client's. A tick costs
	// some microseconds.
	tickInterval   = 80 * time.Millisecond
	stallThreshold = 120_000
)

// tick records that the process runs.
func (d *stallDetector) tick(now control.Micros) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastTick > 0 && now-d.lastTick > stallThreshold {
		d.stallStart, d.ambiguousUntil = d.lastTick, now+control.Micros(maxReaderWait.Microseconds())
	}
	d.lastTick = now
}

// earliestArrival returns the earliest time at which a message read at now may have arrived; now itself where there was no
// stall.
func (d *stallDetector) earliestArrival(now control.Micros) control.Micros {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.lastTick > 0 && now-d.lastTick > stallThreshold:
		return d.lastTick
	case now < d.ambiguousUntil:
		return d.stallStart
	}
	return now
}

// detectStalls ticks until ctx ends.
func (r *Router) detectStalls(ctx context.Context) {
	r.stalls.tick(r.loop.Now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.stalls.tick(r.loop.Now())
		}
	}
}

// arrivalTime returns when the message that was just read may have arrived: the earliest possible time, after a stall.
func (c *clientConn) arrivalTime() control.Micros {
	now := c.router.loop.Now()
	since := c.router.stalls.earliestArrival(now)
	if since < now {
		c.router.anomalies.add(requestArrivedEarlier)
		since = max(since, c.router.loop.At(c.tracked.lastEmptyAt())) // not before its reader last found nothing pending
	}
	return min(now, since)
}
