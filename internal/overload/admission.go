package overload

import (
	"hollymast/control"
)

// What is let in while a storm lasts. First tries are: what comes first is demand, and only demand that the module sees has copies
// loaded; to let in no more than servers answered just now starved a fleet that had to load (docs/overload.md). Repeats of clients that
// heeded their pause are let in too. What comes again without a pause, or without a mark by which that could be told, has a tenth of
// its tenant's first tries.
const (
	retryTokensPerRequest = 0.1
	maxRetryTokens        = 5.0
	earlyTolerance        = control.Micros(50_000) // clients' clocks and ways differ by less
	maxKeys               = 100_000                // some 4 MB; more refused calls than that are not told apart
)

// Arrival is a call as it comes.
type Request struct {
	Tenant  control.TenantID
	IsRetry bool   // its client says that it asks again
	KeyHash uint64 // of its effect, hashed; 0: none

	Function   control.FunctionID
	Importance float64 // of its workload
}

// Verdict is what is done with it.
type Decision struct {
	Admitted   bool
	Reason     Kind           // of a refusal
	RetryAfter control.Micros // of a refusal: when to return; each is given another time
}

// Arrived takes in a call and decides whether it is let in.
func (w *Controller) Admit(now control.Micros, a Request) Decision {
	w.advance(now)
	v := w.decide(now, a)
	if v.Admitted {
		w.current.admitted++
	}
	return v
}

func (w *Controller) decide(now control.Micros, a Request) Decision {
	t := w.tenant(now, a.Tenant)
	t.count(now, 1)
	if a.IsRetry {
		w.current.retries++
		t.retries++
	} else {
		w.current.firstAttempts++
		t.retryTokens = min(maxRetryTokens, t.retryTokens+retryTokensPerRequest)
	}
	if w.kind == TenantStorm && t.overQuota && !w.takeQuotaToken(now, a.Tenant, t) {
		return Decision{Reason: w.kind, RetryAfter: w.reject(now, w.maxRetryAfter, 0)}
	}
	due, refused := w.returnAt[a.KeyHash]
	refused = refused && a.KeyHash != 0
	switch {
	case w.kind == None || w.kind == ConnectionStorm:
		return Decision{Admitted: true}
	case !refused && w.shedder.sheds(now, a.Importance, a.Function):
		return Decision{Reason: w.kind, RetryAfter: w.reject(now, w.maxRetryAfter, a.KeyHash)}
	case !a.IsRetry && !refused:
		return Decision{Admitted: true}
	case refused && now < due-earlyTolerance: // the time that it was given stands: to put it off would punish its next, later one
		w.current.rejected++
		return Decision{Reason: w.kind, RetryAfter: due - now}
	case refused:
		delete(w.returnAt, a.KeyHash)
		return Decision{Admitted: true}
	case t.retryTokens < 1:
		return Decision{Reason: w.kind, RetryAfter: w.reject(now, w.maxRetryAfter, a.KeyHash)}
	}
	t.retryTokens--
	return Decision{Admitted: true}
}

// refuse gives a call a time of its own to return at, in the later half of the pause, so that those who were refused together don't
// meet again; and keeps it.
func (w *Controller) reject(now, stay control.Micros, mark uint64) control.Micros {
	w.current.rejected++
	stay = max(1, stay/2+control.Micros(w.random.Int64N(max(1, int64(stay/2)))))
	if mark != 0 {
		if len(w.returnAt) >= maxKeys {
			for m, at := range w.returnAt {
				if at < now {
					delete(w.returnAt, m)
				}
			}
		}
		if len(w.returnAt) < maxKeys {
			w.returnAt[mark] = now + stay
		}
	}
	return stay
}

// Spread is the pause that a refusal of the module's own carries: in a storm each gets another.
func (w *Controller) RecordRejection(now control.Micros, stay control.Micros, mark uint64) control.Micros {
	w.advance(now)
	if w.kind == None || stay == 0 {
		w.current.rejected++
		return stay
	}
	return w.reject(now, stay, mark)
}
