package invariant

// cold judges the fourth rule: what a server got within any time of the told length, against what it bore then.
func (v *Report) checkSlowStart(law Config, recs []Record) {
	r := v.Rules[3]
	born, got := map[int]int64{}, map[int][]int64{}
	for _, x := range recs {
		switch x.Kind {
		case ServerStarted:
			born[x.Server], got[x.Server] = x.At, nil
			r.Opportunities++
		case ServerCollapsed:
			r.violation(x.At, "server %d fell over", x.Server)
		case AttemptReceived:
			at, cold := born[x.Server]
			if !cold || x.At > at+law.SlowStartDuration {
				continue
			}
			ts := append(got[x.Server], x.At)
			for ts[0] < x.At-law.OverloadWindow {
				ts = ts[1:]
			}
			got[x.Server] = ts
			has := law.SlowStartInitial + (1-law.SlowStartInitial)*float64(x.At-at)/float64(law.SlowStartDuration)
			budget := law.OverloadFactor * has * law.ServerRate * float64(law.OverloadWindow) / 1e6
			v.SlowStart = append(v.SlowStart, SlowStartWindow{x.At, x.Server, float64(len(ts)) / max(1, budget)})
			if float64(len(ts)) > max(1, budget) {
				r.violation(x.At, "server %d, %d us old, got %d jobs within %d us, over its %.1f", x.Server, x.At-at, len(ts), law.OverloadWindow, budget)
			}
		}
	}
}
