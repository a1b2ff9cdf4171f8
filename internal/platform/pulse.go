package platform

import (
	"context"
	"sync"
	"time"

	"hollymast/control"
)

// pulse knows when this process stood still, or had no part of its core: what is read right after may have come at any time in
// between, and its time runs from when its client sent it.
type pulse struct {
	mu          sync.Mutex
	ran         control.Micros // when it was last seen to run; 0: it is not watched
	from, until control.Micros // what is read before until may have come from from on: the latest standstill, and the readers' time after it
}

const (
	// beatEvery and stoodStill bound by how much a request may be older than it is taken for: with the 10 ms of onTheWay, less than
	// the 0.15 s by which a deadline may exceed what the client has left. A beat costs some microseconds.
	beatEvery  = 80 * time.Millisecond
	stoodStill = 120_000
)

// beat notes that the process runs.
func (u *pulse) beat(now control.Micros) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ran > 0 && now-u.ran > stoodStill {
		u.from, u.until = u.ran, now+control.Micros(readerMost.Microseconds())
	}
	u.ran = now
}

// since gives from when on what is read now may have come, as far as it is known to lie back.
func (u *pulse) since(now control.Micros) control.Micros {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.ran > 0 && now-u.ran > stoodStill:
		return u.ran
	case now < u.until:
		return u.from
	}
	return now
}

// beat has the pulse beat until the context ends.
func (p *Platform) beat(ctx context.Context) {
	p.pulse.beat(p.now())
	every := time.NewTicker(beatEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			p.pulse.beat(p.now())
		}
	}
}

// came gives when a message came that was read just now: at the earliest that is possible, where the process stood still.
func (c *client) came() control.Micros {
	now := c.p.now()
	since := c.p.pulse.since(now)
	if since < now {
		c.p.count("a request may have come long before it was read")
		since = max(since, c.p.at(c.seen.emptyAt())) // not before its reader found nothing
	}
	return min(now, since)
}
