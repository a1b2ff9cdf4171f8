package chaostest

import (
	"time"

	"hollymast/internal/invariant"
)

// SecondStats holds the counts of one second of a run. Calls count in the second in which they began.
type SecondStats struct {
	Calls               int     `json:"Effects"`
	InTime              int     `json:"Well"`       // of the calls
	KeyedCalls          int     `json:"Marked"`     // calls that are idempotent by key
	KeyedInTime         int     `json:"MarkedWell"` // of these
	Requests            int     `json:"Tries"`
	Rejected            int     `json:"PushedBack"` // requests
	Loads               int     `json:"Loads"`
	OtherTenantCalls    int     `json:"Calm"`     // calls of all tenants but the noisy one
	OtherTenantsInTime  int     `json:"CalmWell"` // of these
	Outstanding         int     `json:"Open"`     // requests without an answer at the end of the second
	SlowStartBudgetUsed float64 `json:"Cold"`     // the largest share of its budget that a server in slow start received
}

// seconds returns the counts of each second of the run.
func (h *harness) seconds(records []invariant.Record, slowStart []invariant.SlowStartWindow) []SecondStats {
	seconds := make([]SecondStats, int(h.scenario.Length.Seconds())+1)
	at := func(t time.Duration) *SecondStats { return &seconds[min(max(0, int(t.Seconds())), len(seconds)-1)] }
	atLogTime := func(t int64) *SecondStats { return at(time.Duration(t-h.logStart) * time.Microsecond) }
	for _, o := range h.outcomes {
		at(o.at).addOutcome(o)
	}
	for _, w := range slowStart {
		s := atLogTime(w.At)
		s.SlowStartBudgetUsed = max(s.SlowStartBudgetUsed, w.BudgetUsed)
	}
	outstanding := map[string]bool{}
	for _, r := range records {
		s := atLogTime(r.At)
		switch r.Kind {
		case invariant.RequestSent:
			s.Requests++
			outstanding[r.Request] = true
		case invariant.ResponseReceived:
			if r.Detail == invariant.Rejected {
				s.Rejected++
			}
			delete(outstanding, r.Request)
		case invariant.RequestTimedOut, invariant.RequestAbandoned, invariant.RequestNotSent:
			delete(outstanding, r.Request)
		case invariant.LoadStarted:
			s.Loads++
		}
		s.Outstanding = len(outstanding)
	}
	return seconds
}

func (s *SecondStats) addOutcome(o outcome) {
	inTime := 0
	if o.inTime {
		inTime = 1
	}
	s.Calls++
	s.InTime += inTime
	if o.effect == effectIdempotentByKey {
		s.KeyedCalls++
		s.KeyedInTime += inTime
	}
	if !o.noisyTenant {
		s.OtherTenantCalls++
		s.OtherTenantsInTime += inTime
	}
}

// Recovery says whether and when calls that are idempotent by key were in time again after a fault.
type Recovery struct {
	BaselineShare float64       // share in time before the fault
	Recovered     bool          // the share returned to nearly BaselineShare
	RecoveryTime  time.Duration // from the end of the fault, if Recovered
}

// A run has recovered in the first of recoverySeconds consecutive seconds in which at least recoveryShare of the baseline is in time.
const (
	recoverySeconds = 3
	recoveryShare   = 0.95 // of Recovery.BaselineShare
)

// MeasureRecovery measures how soon the share of calls in time recovered from a fault. The first second of the run isn't part of
// the baseline, and seconds without calls that are idempotent by key are skipped.
func MeasureRecovery(seconds []SecondStats, f Fault) Recovery {
	calls, inTime := 0, 0
	for i, s := range seconds {
		if i > 0 && i < int(f.At.Seconds()) {
			calls, inTime = calls+s.KeyedCalls, inTime+s.KeyedInTime
		}
	}
	r := Recovery{BaselineShare: share(inTime, calls)}
	end := f.At + f.Duration
	consecutive := 0
	for i := int(end.Seconds()); i < len(seconds); i++ {
		s := seconds[i]
		if s.KeyedCalls == 0 {
			continue
		}
		if consecutive++; float64(s.KeyedInTime) < recoveryShare*r.BaselineShare*float64(s.KeyedCalls) {
			consecutive = 0
		}
		if consecutive == recoverySeconds {
			r.Recovered, r.RecoveryTime = true, time.Duration(i-recoverySeconds+1)*time.Second-end
			break
		}
	}
	return r
}
