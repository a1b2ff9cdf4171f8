package chaostest

import (
	"hollymast/internal/invariant"
	"time"
)

// Second is what happened to the effects that clients asked for within one second of a day.
type Second struct {
	Effects             int     `json:"Effects"`
	InTime              int     `json:"Well"`
	Keyed               int     `json:"Marked"` // fingerprinted ones
	KeyedInTime         int     `json:"MarkedWell"`
	Requests            int     `json:"Tries"`
	Rejected            int     `json:"PushedBack"`
	Loads               int     `json:"Loads"`
	OtherTenants        int     `json:"Calm"` // of tenants that don't storm
	OtherTenantsInTime  int     `json:"CalmWell"`
	Outstanding         int     `json:"Open"` // tries without an answer at its end
	SlowStartBudgetUsed float64 `json:"Cold"` // the largest share of its budget that a cold server had got
}

// seconds gives a day second by second.
func (p *harness) seconds(recs []invariant.Record, cold []invariant.SlowStartWindow) []Second {
	out := make([]Second, int(p.scenario.Length.Seconds())+1)
	at := func(t time.Duration) *Second { return &out[min(max(0, int(t.Seconds())), len(out)-1)] }
	for _, w := range p.outcomes {
		s := at(w.at)
		s.Effects++
		if w.inTime {
			s.InTime++
		}
		if w.effect == "fingerprinted" {
			if s.Keyed++; w.inTime {
				s.KeyedInTime++
			}
		}
		if !w.noisyTenant {
			if s.OtherTenants++; w.inTime {
				s.OtherTenantsInTime++
			}
		}
	}
	first, open := p.logStart, map[string]bool{}
	for _, c := range cold {
		s := at(time.Duration(c.At-first) * time.Microsecond)
		s.SlowStartBudgetUsed = max(s.SlowStartBudgetUsed, c.BudgetUsed)
	}
	for _, r := range recs {
		s := at(time.Duration(r.At-first) * time.Microsecond)
		switch {
		case r.Kind == invariant.RequestSent:
			s.Requests++
		case r.Kind == invariant.ResponseReceived && r.Detail == invariant.Rejected:
			s.Rejected++
		case r.Kind == invariant.LoadStarted:
			s.Loads++
		}
		switch r.Kind {
		case invariant.RequestSent:
			open[r.Request] = true
		case invariant.ResponseReceived, invariant.RequestTimedOut, invariant.RequestAbandoned, invariant.RequestNotSent:
			delete(open, r.Request)
		}
		s.Outstanding = len(open)
	}
	return out
}

// Recovery tells after how long since a moment of a day three seconds in a row have fingerprinted work in time within 5 % of what it
// was before another moment; below zero: never.
func Recovery(seconds []Second, before, since time.Duration) (usual float64, after time.Duration) {
	const in, within = 3, 0.95
	n, well := 0, 0
	for i, s := range seconds {
		if i > 0 && i < int(before.Seconds()) {
			n, well = n+s.Keyed, well+s.KeyedInTime
		}
	}
	usual = float64(well) / float64(max(1, n))
	row := 0
	for i := int(since.Seconds()); i < len(seconds); i++ {
		s := seconds[i]
		if s.Keyed == 0 {
			continue
		}
		if row++; float64(s.KeyedInTime) < within*usual*float64(s.Keyed) {
			row = 0
		}
		if row == in {
			return usual, time.Duration(i-in+1)*time.Second - since
		}
	}
	return usual, -1
}
