package retry

import (
	"hollymast/control"
	"math/rand/v2"
	"slices"
)

// Routers are those that a client may ask, and what it has seen of them.
type Routers struct {
	routers []router
	next    int
}

type router struct {
	failures     int // in a row
	ejections    int // times in a row
	ejectedUntil control.Micros
	recentLosses []control.Micros // connections lost lately
	connections  int
	reconnectAt  []control.Micros // when lost connections may be made anew, ascending
}

// Bounds of ejection: three failures in a row are hardly chance; a second is a router's restart, half a minute an outage.
const (
	ejectionThreshold = 3
	ejectionBase      = control.Micros(1_000_000)
	ejectionMax       = control.Micros(30_000_000)
)

// Bounds of a mass loss: half of the connections, and over two, within a second, are lost together; spread is the time over which
// they come back.
const (
	massLossWindow  = control.Micros(1_000_000)
	massLossMin     = 3
	reconnectSpread = control.Micros(5_000_000)
)

// NewRouters gives n routers, of which a client begins anywhere.
func NewRouters(n, begin int) *Routers {
	return &Routers{routers: make([]router, n), next: begin % max(1, n)}
}

// Pick gives the router for a try: the next in turn that is not ejected and is not the one to avoid, if there is such; else the
// next that is not ejected, else the one whose ejection ends first.
func (r *Routers) Pick(now control.Micros, avoid int) int {
	best, firstBack := -1, 0
	for k := range r.routers {
		i := (r.next + k) % len(r.routers)
		if r.routers[i].ejectedUntil < r.routers[firstBack].ejectedUntil {
			firstBack = i
		}
		if now < r.routers[i].ejectedUntil || i == avoid && len(r.routers) > 1 && best >= 0 {
			continue
		}
		if best < 0 || best == avoid {
			best = i
		}
	}
	if best < 0 {
		best = firstBack
	}
	r.next = (best + 1) % len(r.routers)
	return best
}

// Well counts an answer from a router, whatever it says. One that goes on answering stands: what it lost was single connections, so
// each answer makes up for a loss. Without that a steady loss of a few in a hundred, at many calls a second, looked like a mass loss,
// and the connections that were then put off made the next one more likely.
func (r *Routers) RecordSuccess(i int) {
	x := &r.routers[i]
	x.failures, x.ejections = 0, 0
	if len(x.recentLosses) > 0 {
		x.recentLosses = x.recentLosses[1:]
	}
}

// Failed counts a try that got no answer. A router that fails some times in a row is left alone, longer each time.
func (r *Routers) RecordFailure(now control.Micros, i int) {
	x := &r.routers[i]
	if x.failures++; x.failures >= ejectionThreshold && now >= x.ejectedUntil {
		x.ejectedUntil = now + min(ejectionMax, ejectionBase<<min(x.ejections, 10))
		x.ejections++
		x.failures = ejectionThreshold - 1 // its next failure is enough
	}
}

// Opened counts a connection.
func (r *Routers) ConnectionOpened(i int) { r.routers[i].connections++ }

// Closed counts one that this side closed, or that ended while nothing was amiss.
func (r *Routers) ConnectionClosed(i int) {
	r.routers[i].connections = max(0, r.routers[i].connections-1)
}

// LostOne counts a connection that broke. If most break together each of them may be made anew only at a time of its own within the
// spread, so that all clients of a router that comes back do not meet there at once.
func (r *Routers) ConnectionLost(now control.Micros, i int, random *rand.Rand) {
	x := &r.routers[i]
	x.connections = max(0, x.connections-1)
	x.recentLosses = append(x.recentLosses, now)
	for len(x.recentLosses) > 0 && x.recentLosses[0] < now-massLossWindow {
		x.recentLosses = x.recentLosses[1:]
	}
	n := len(x.recentLosses)
	switch {
	case n < massLossMin || n < x.connections:
	case len(x.reconnectAt) == 0: // found out just now: it holds for those before it too
		for range n {
			x.reconnectAt = append(x.reconnectAt, now+control.Micros(random.Int64N(int64(reconnectSpread))))
		}
	default:
		x.reconnectAt = append(x.reconnectAt, now+control.Micros(random.Int64N(int64(reconnectSpread))))
	}
	slices.Sort(x.reconnectAt)
}

// MayOpen tells whether a connection to a router may be made now; else when.
func (r *Routers) MayConnect(now control.Micros, i int) (ok bool, at control.Micros) {
	x := &r.routers[i]
	if len(x.reconnectAt) == 0 {
		return true, now
	}
	if now >= x.reconnectAt[0] {
		x.reconnectAt = x.reconnectAt[1:]
		return true, now
	}
	return false, x.reconnectAt[0]
}
