package invariant

// drains judges the third rule.
func (v *Report) checkDrains(law Config, recs []Record) {
	r := v.Rules[2]
	since := map[int]int64{}
	for _, x := range recs {
		switch x.Kind {
		case EndpointPublished:
			if _, told := since[x.Server]; x.Detail == "ready" {
				delete(since, x.Server)
			} else if !told {
				since[x.Server] = x.At
				r.Opportunities++
			}
		case AttemptReceived, LoadCommandReceived:
			if at, told := since[x.Server]; told && x.At > at+law.DrainGrace {
				r.violation(x.At, "server %d got %q %d us after it was told to take nothing new", x.Server, x.Request, x.At-at)
			}
		}
	}
}
