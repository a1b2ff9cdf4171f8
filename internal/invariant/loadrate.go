package invariant

import (
	"slices"
)

// ration judges the fifth rule: each router's orders against the jobs that its clients gave it.
func (v *Report) checkLoadRate(law Config, recs []Record, halts map[int][]downtime) {
	r := v.Rules[4]
	if law.LoadRateWindow == 0 {
		return
	}
	orders, asked := map[int][]int64{}, map[int][]int64{}
	for _, x := range recs {
		switch x.Kind {
		case RouterRestarted: // a router without memory counts anew, from its first order on
			if x.Detail != StateRestored {
				delete(orders, x.Router)
			}
		case RequestSent:
			at := x.At
			for _, h := range halts[x.Router] { // what came meanwhile is taken once the router runs again
				if h.from <= at && at < h.to {
					at = h.to
				}
			}
			asked[x.Router] = append(asked[x.Router], at)
		case LoadCommandReceived:
			r.Opportunities++
			within := func(ts []int64, from int64) int {
				i, _ := slices.BinarySearch(ts, from)
				return len(ts) - i
			}
			orders[x.Router] = append(orders[x.Router], x.At)
			n := within(orders[x.Router], x.At-law.LoadRateWindow+law.MaxNetworkDelay)
			jobs := within(asked[x.Router], x.At-law.LoadRateWindow-law.MaxNetworkDelay)
			if allowed := law.LoadRateBase + law.LoadRatePerRequest*float64(jobs); float64(n) > allowed {
				r.violation(x.At, "router %d gave %d orders within its window, over %.1f for %d jobs", x.Router, n, allowed, jobs)
			}
		}
	}
}
