package retry

import (
	"math/rand/v2"
	"slices"

	"hollymast/control"
)

// Routers is what a client has seen of the routers that it may ask, which go by their index. It is not safe for concurrent
// use.
type Routers struct {
	routers []router
	next    int // where the next Pick begins
}

type router struct {
	failures     int // in a row
	ejections    int // in a row
	ejectedUntil control.Micros
	connections  int
	recentLosses []control.Micros // when connections broke, within massLossWindow
	reconnectAt  []control.Micros // when lost connections may be made again, ascending
}

// Bounds of ejection: three failures in a row are hardly chance. A second is a router's restart, half a minute an outage.
const (
	ejectionThreshold = 3
	ejectionBase      = control.Micros(1_000_000) // doubled with each ejection in a row
	ejectionMax       = control.Micros(30_000_000)
	maxDoublings      = 10 // keeps the shift within 64 bits
)

// Connections are lost together if they are at least massLossMin, and half of all, within massLossWindow. They are made again
// over reconnectSpread.
const (
	massLossWindow  = control.Micros(1_000_000)
	massLossMin     = 3
	reconnectSpread = control.Micros(5_000_000)
)

// NewRouters returns n routers. The first Pick begins at an index, by which clients differ.
func NewRouters(n, first int) *Routers {
	return &Routers{routers: make([]router, n), next: first % max(1, n)}
}

// Pick returns the router for an attempt: the next in turn that is not ejected and not the one to avoid, if there is such a
// one; otherwise the next that is not ejected; otherwise the one whose ejection ends first. Avoid may be -1.
func (r *Routers) Pick(now control.Micros, avoid int) int {
	best, firstReadmitted := -1, 0
	for k := range r.routers {
		i := (r.next + k) % len(r.routers)
		if r.routers[i].ejectedUntil < r.routers[firstReadmitted].ejectedUntil {
			firstReadmitted = i
		}
		if now < r.routers[i].ejectedUntil || i == avoid && len(r.routers) > 1 && best >= 0 {
			continue
		}
		if best < 0 || best == avoid {
			best = i
		}
	}
	if best < 0 {
		best = firstReadmitted
	}
	r.next = (best + 1) % len(r.routers)
	return best
}

// RecordSuccess records an answer from a router, whatever it says. A router that goes on answering is up, and lost single
// connections only: each answer makes up for a loss. Otherwise a steady loss of a few in a hundred would look like a mass
// loss at many calls a second, and the connections put off for it would make the next one more likely.
func (r *Routers) RecordSuccess(i int) {
	rt := &r.routers[i]
	rt.failures, rt.ejections = 0, 0
	if len(rt.recentLosses) > 0 {
		rt.recentLosses = rt.recentLosses[1:]
	}
}

// RecordFailure records an attempt without an answer. A router that fails several times in a row is ejected, for longer each
// time.
func (r *Routers) RecordFailure(now control.Micros, i int) {
	rt := &r.routers[i]
	if rt.failures++; rt.failures >= ejectionThreshold && now >= rt.ejectedUntil {
		rt.ejectedUntil = now + min(ejectionMax, ejectionBase<<min(rt.ejections, maxDoublings))
		rt.ejections++
		rt.failures = ejectionThreshold - 1 // the next failure ejects it again
	}
}

// ConnectionOpened counts a connection to a router.
func (r *Routers) ConnectionOpened(i int) { r.routers[i].connections++ }

// ConnectionClosed counts a connection that this side closed, or that was never established.
func (r *Routers) ConnectionClosed(i int) {
	r.routers[i].connections = max(0, r.routers[i].connections-1)
}

// ConnectionLost counts a connection that broke. If many break together, each may be made again only at a random time within
// the spread: otherwise all clients of a router that restarts would reconnect in one moment.
func (r *Routers) ConnectionLost(now control.Micros, i int, random *rand.Rand) {
	rt := &r.routers[i]
	rt.connections = max(0, rt.connections-1)
	rt.recentLosses = append(dropBefore(rt.recentLosses, now-massLossWindow), now)
	losses := len(rt.recentLosses)
	if losses < massLossMin || losses < rt.connections {
		return
	}
	if len(rt.reconnectAt) > 0 {
		losses = 1 // those before it have their times
	}
	for range losses {
		rt.reconnectAt = append(rt.reconnectAt, now+control.Micros(random.Int64N(int64(reconnectSpread))))
	}
	slices.Sort(rt.reconnectAt)
}

// dropBefore returns those of ascending times that are not before a time.
func dropBefore(times []control.Micros, from control.Micros) []control.Micros {
	for len(times) > 0 && times[0] < from {
		times = times[1:]
	}
	return times
}

// MayConnect reports whether a connection to a router may be made now; otherwise it returns from when.
func (r *Routers) MayConnect(now control.Micros, i int) (ok bool, at control.Micros) {
	rt := &r.routers[i]
	if len(rt.reconnectAt) == 0 {
		return true, now
	}
	if now >= rt.reconnectAt[0] {
		rt.reconnectAt = rt.reconnectAt[1:]
		return true, now
	}
	return false, rt.reconnectAt[0]
}
