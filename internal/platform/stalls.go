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
func (u *stallDetector) tick(now control.Micros) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lastRan > 0 && now-u.lastRan > stallThreshold {
		u.from, u.until = u.lastRan, now+control.Micros(readerWait.Microseconds())
	}
	u.lastRan = now
}

// cameSince gives from when on what is read now may have come, as far as it is known to lie back.
func (u *stallDetector) cameSince(now control.Micros) control.Micros {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.lastRan > 0 && now-u.lastRan > stallThreshold:
		return u.lastRan
	case now < u.until:
		return u.from
	}
	return now
}

// detectStalls has the pulse beat until the context ends.
func (p *Router) detectStalls(ctx context.Context) {
	p.stalls.tick(p.now())
	every := time.NewTicker(tickInterval)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			p.stalls.tick(p.now())
		}
	}
}

// came gives when a message came that was read just now: at the earliest that is possible, where the process stood still.
func (c *clientConn) came() control.Micros {
	now := c.p.now()
	since := c.p.stalls.cameSince(now)
	if since < now {
		c.p.countAnomaly("a request may have come long before it was read")
		since = max(since, c.p.micros(c.tracked.emptiedAt())) // not before its reader found nothing
	}
	return min(now, since)
}
