package invariant

import "slices"

// checkLoadRate checks RuleLoadRate: each router's load commands against the requests that its clients sent. The network delay
// counts in the router's favor on both sides.
func (r *Report) checkLoadRate(config Config, records []Record, downtimes map[int][]downtime) {
	if config.LoadRateWindow == 0 {
		return
	}
	rule := r.Rules[RuleLoadRate]
	commands, requests := map[int][]int64{}, map[int][]int64{} // times, by router
	for _, record := range records {
		router, at := record.Router, record.At
		switch record.Kind {
		case RouterRestarted: // without persisted state the router counts anew
			if record.Detail != StateRestored {
				delete(commands, router)
			}
		case RequestSent:
			requests[router] = append(requests[router], readAt(downtimes[router], at))
		case LoadCommandReceived:
			rule.CheckCount++
			commands[router] = append(commands[router], at)
			sent := countFrom(commands[router], at-config.LoadRateWindow+config.MaxNetworkDelay)
			admitted := countFrom(requests[router], at-config.LoadRateWindow-config.MaxNetworkDelay)
			if limit := config.LoadRateBase + config.LoadRatePerRequest*float64(admitted); float64(sent) > limit {
				rule.addViolation(at, "router %d gave %d orders within its window, over %.1f for %d jobs", router, sent, limit, admitted)
			}
		}
	}
}

// readAt is when a router read what was sent to it at a time: once it runs again, if it was down then.
func readAt(downtimes []downtime, at int64) int64 {
	for _, d := range downtimes {
		if d.from <= at && at < d.to {
			at = d.to
		}
	}
	return at
}

// countFrom counts the times, which are sorted, from one on.
func countFrom(times []int64, from int64) int {
	i, _ := slices.BinarySearch(times, from)
	return len(times) - i
}
