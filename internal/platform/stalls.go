package platform

import (
	"context"
	"sync"
	"time"

	"hollymast/control"
)

// stallDetector knows when this process stood still, or had no part of its core: what is read right after may have come at any time in
// between, and its time runs from when its client sent it.
type stallDetector struct {
	mu          sync.Mutex
	lastRan     control.Micros // when it was last seen to run; 0: it is not watched
	from, until control.Micros // what is read before until may have come from from on: the latest standstill, and the readers' time after it
}

const (
	// tickInterval and stoodStill bound by how much a request may be older than it is taken for: with the 10 ms of onTheWay, less than
	// the 0.15 s by which a deadline may exceed what the client has left. A beat costs some microseconds.
	tickInterval   = 80 * time.Millisecond
	stallThreshold = 120_000
)

// tick notes that the process runs.
func (d *stallDetector) tick(now control.Micros) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastRan > 0 && now-d.lastRan > stallThreshold {
		d.from, d.until = d.lastRan, now+control.Micros(readerWait.Microseconds())
	}
	d.lastRan = now
}

// cameSince gives from when on what is read now may have come, as far as it is known to lie back.
func (d *stallDetector) cameSince(now control.Micros) control.Micros {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.lastRan > 0 && now-d.lastRan > stallThreshold:
		return d.lastRan
	case now < d.until:
		return d.from
	}
	return now
}

// detectStalls has the pulse beat until the context ends.
func (r *Router) detectStalls(ctx context.Context) {
	r.stalls.tick(r.now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.stalls.tick(r.now())
		}
	}
}

// came gives when a message came that was read just now: at the earliest that is possible, where the process stood still.
func (c *clientConn) came() control.Micros {
	now := c.router.now()
	since := c.router.stalls.cameSince(now)
	if since < now {
		c.router.countAnomaly("a request may have come long before it was read")
		since = max(since, c.router.micros(c.tracked.emptiedAt())) // not before its reader found nothing
	}
	return min(now, since)
}
