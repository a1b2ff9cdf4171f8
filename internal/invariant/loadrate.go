package invariant

import "slices"

// checkLoadRate checks RuleLoadRate: the number of each router's load commands is limited by the number of requests that its clients sent.
// For both, the network delay is counted in the router's favor.
func (r *Report) checkLoadRate(config Config, records []Record, downtimes map[int][]downtime) {
	if config.LoadRateWindow == 0 {
		return
	}
	rule := r.Rules[RuleLoadRate]
	commands, requests := map[int][]int64{}, map[int][]int64{} // times, by router
	for _, record := range records {
		router, at := record.Router, record.At
		switch record.Kind {
		case RouterRestarted: // a router without persisted state doesn't know the commands it sent before
			if record.Detail != StateRestored {
				delete(commands, router)
			}
		case RequestSent:
			requests[router] = append(requests[router], readTime(downtimes[router], at))
		case LoadCommandReceived:
			rule.CheckCount++
			commands[router] = append(commands[router], at)
			commandCount := countFrom(commands[router], at-config.LoadRateWindow+config.MaxNetworkDelay)
			requestCount := countFrom(requests[router], at-config.LoadRateWindow-config.MaxNetworkDelay)
			if limit := config.LoadRateBase + config.LoadRatePerRequest*float64(requestCount); float64(commandCount) > limit {
				rule.addViolation(at, "router %d sent %d load commands within its window, over the limit of %.1f for %d requests",
					router, commandCount, limit, requestCount)
			}
		}
	}
}

// readTime returns when a router can have read what was sent to it at a time: then, or at the end of its downtime if it was down.
func readTime(downtimes []downtime, at int64) int64 {
	for _, d := range downtimes {
		if d.from <= at && at < d.to {
			at = d.to
		}
	}
	return at
}

// countFrom returns how many of the sorted times are at or after from.
func countFrom(times []int64, from int64) int {
	i, _ := slices.BinarySearch(times, from)
	return len(times) - i
}
