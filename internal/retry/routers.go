package retry

import (
	"math/rand/v2"
	"slices"

	"hollymast/control"
)

// Routers is a client's view of the routers that it may use, which are identified by index. It is not safe for
// concurrent use.
type Routers struct {
	routers []router
	next    int // index at which the next Pick starts
}

type router struct {
	failures     int // consecutive
	ejections    int // consecutive
	ejectedUntil control.Micros
	connections  int
	recentLosses []control.Micros // when connections broke, within massLossWindow
	reconnectAt  []control.Micros // when lost connections may be reopened, ascending
}

// Three consecutive failures are hardly chance. The shortest ejection covers a router's restart, the longest an outage.
const (
	ejectionThreshold = 3
	ejectionBase      = control.Micros(1_000_000) // doubled with each consecutive ejection
	ejectionMax       = control.Micros(30_000_000)
	maxDoublings      = 10 // keeps the shift within 64 bits
)

// Connections are lost together if at least massLossMin of them, and at least half of all, break within massLossWindow.
// They are reopened over reconnectSpread.
const (
	massLossWindow  = control.Micros(1_000_000)
	massLossMin     = 3
	reconnectSpread = control.Micros(5_000_000)
)

// NewRouters returns n routers. The first Pick starts at the index first, which should differ from client to client.
func NewRouters(n, first int) *Routers {
	return &Routers{routers: make([]router, n), next: first % max(1, n)}
}

// Pick returns the router for an attempt, in round-robin order: the next one that is neither ejected nor the one to
// avoid; if there is none, the next that is not ejected; if all are ejected, the one whose ejection ends first. avoid
// is -1 if no router is to be avoided.
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

// RecordSuccess records an answer from a router, whatever its content. Each answer cancels one recent loss of a
// connection, since a router that goes on answering is up and lost only single connections. Otherwise, at many calls
// per second, a steady loss of a few percent would look like a mass loss, and the connections delayed for it would make
// the next one more likely.
func (r *Routers) RecordSuccess(i int) {
	rt := &r.routers[i]
	rt.failures, rt.ejections = 0, 0
	if len(rt.recentLosses) > 0 {
		rt.recentLosses = rt.recentLosses[1:]
	}
}

// RecordFailure records an attempt without an answer. A router that fails several times in a row is ejected, for longer
// each time.
func (r *Routers) RecordFailure(now control.Micros, i int) {
	rt := &r.routers[i]
	if rt.failures++; rt.failures >= ejectionThreshold && now >= rt.ejectedUntil {
		rt.ejectedUntil = now + min(ejectionMax, ejectionBase<<min(rt.ejections, maxDoublings))
		rt.ejections++
		rt.failures = ejectionThreshold - 1 // the next failure ejects it again
	}
}

// ConnectionOpened counts a new connection to a router.
func (r *Routers) ConnectionOpened(i int) { r.routers[i].connections++ }

// ConnectionClosed counts a connection that this side closed, or that was never established.
func (r *Routers) ConnectionClosed(i int) {
	r.routers[i].connections = max(0, r.routers[i].connections-1)
}

// ConnectionLost counts a connection that broke. If many break together, each may be reopened only at a random time
// within reconnectSpread: otherwise all clients of a router that restarts would reconnect at the same moment.
func (r *Routers) ConnectionLost(now control.Micros, i int, random *rand.Rand) {
	rt := &r.routers[i]
	rt.connections = max(0, rt.connections-1)
	rt.recentLosses = append(dropBefore(rt.recentLosses, now-massLossWindow), now)
	losses := len(rt.recentLosses)
	if losses < massLossMin || losses < rt.connections {
		return
	}
	if len(rt.reconnectAt) > 0 {
		losses = 1 // the earlier losses have their times already
	}
	for range losses {
		rt.reconnectAt = append(rt.reconnectAt, now+control.Micros(random.Int64N(int64(reconnectSpread))))
	}
	slices.Sort(rt.reconnectAt)
}

// dropBefore returns the ascending times without those before from.
func dropBefore(times []control.Micros, from control.Micros) []control.Micros {
	for len(times) > 0 && times[0] < from {
		times = times[1:]
	}
	return times
}

// MayConnect reports whether a connection to a router may be opened now; otherwise it returns from when.
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
