package platform

import (
	"context"
	"sync"
	"time"

	"hollymast/control"
)

// stallDetector detects that this process was stalled: suspended, or without its share of the processor. A request
// read right after a stall may have arrived at any time during it, and its deadline counts from when the client sent
// it.
type stallDetector struct {
	mu       sync.Mutex
	lastTick control.Micros // 0: no tick yet
	// The latest stall: a message read before ambiguousUntil may have arrived at any time since stallStart.
	// ambiguousUntil leaves the readers time to catch up after the stall.
	stallStart, ambiguousUntil control.Micros
}

const (
	// tickInterval and stallThreshold (microseconds) bound by how much a request may be older than assumed. Together
	// with networkDelay (10 ms) this is less than the 0.15 s by which a stated deadline may exceed the client's. A
	// tick costs a few microseconds.
	tickInterval   = 80 * time.Millisecond
	stallThreshold = 120_000
)

// tick records that the process is running.
func (d *stallDetector) tick(now control.Micros) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastTick > 0 && now-d.lastTick > stallThreshold {
		d.stallStart, d.ambiguousUntil = d.lastTick, now+control.Micros(maxReaderWait.Microseconds())
	}
	d.lastTick = now
}

// earliestArrival returns the earliest time at which a message read at now may have arrived, which is now itself if
// there was no stall.
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

// detectStalls ticks the stall detector until ctx ends.
func (r *Router) detectStalls(ctx context.Context) {
	lastTick := time.Now()
	r.stalls.tick(r.loop.Now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			r.delayPeaks.scheduling.record((now.Sub(lastTick) - tickInterval).Microseconds())
			lastTick = now
			r.stalls.tick(r.loop.Now())
		}
	}
}

// arrivalTime returns when the message that was just read may have arrived: the earliest possible time if there was a
// stall.
func (c *clientConn) arrivalTime() control.Micros {
	now := c.router.loop.Now()
	since := c.router.stalls.earliestArrival(now)
	if since < now {
		c.router.anomalies.add(requestArrivedEarlier)
		since = max(since, c.router.loop.At(c.tracked.lastEmptyAt())) // it arrived after the reader last found nothing pending
	}
	return min(now, since)
}
