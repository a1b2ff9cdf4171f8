package overload

import (
	"hollymast/control"
)

// The conditions of a storm, over the last second.
const (
	minRequests      = 30.0 // fewer are nobody's storm
	minRetryShare    = 0.35 // share of repeats: with three tries a call and all well it is a few hundredths
	baselineFactor   = 1.5  // times the usual first tries, all calls together
	connectionFactor = 5.0  // times the usual connections
	minConnections   = 50.0
	dominantShare    = 0.6 // share of the repeats that are one tenant's
	quietPeriod      = control.Micros(2_000_000)
	minStall         = control.Micros(500_000) // a stop that clients notice
)

// judge decides whether there is a storm, of which kind, and whether it is over.
func (w *Controller) classify(now control.Micros) {
	s := w.lastSecond()
	kind := None
	calls := s.firstAttempts + s.retries
	loud := w.updateOverQuota(now)
	switch wave := calls >= minRequests && s.retries >= minRetryShare*calls && calls >= baselineFactor*max(w.baselineAttempts, s.answered); {
	case loud || wave && w.dominantTenant(now) >= dominantShare && len(w.tenants) > 1:
		kind = TenantStorm
	case wave && s.answered > 2*s.rejected && w.kind != None:
		kind = RecoveryStorm
	case wave:
		kind = RetryStorm
	case s.connections >= minConnections && s.connections >= connectionFactor*w.baselineConnections && w.baselineConnections > 0:
		kind = ConnectionStorm
	}
	switch {
	case kind != None && w.kind == None:
		w.enter(now, kind)
	case kind != None:
		if w.quietSince = 0; kind != w.kind && w.kind != AfterStall {
			w.logf("the storm is now: %s", kind)
			w.kind = kind
		}
	case w.kind != None && w.quietSince == 0:
		w.quietSince = now
	case w.kind != None && now >= w.quietSince+quietPeriod:
		w.logf("the storm (%s) is over after %d ms", w.kind, (now-w.since)/1000)
		w.kind, w.quietSince = None, 0
		clear(w.returnAt)
	}
}

func (w *Controller) enter(now control.Micros, kind Kind) {
	s := w.lastSecond()
	w.kind, w.since, w.quietSince = kind, now, 0
	w.logf("a storm: %s; %.0f first tries and %.0f repeats in the last second, usual are %.0f; %.0f were answered", kind, s.firstAttempts, s.retries, w.baselineAttempts, s.answered)
}
