package invariant

// checkSlowStart checks RuleSlowStart: what a server got within each overload window, against what it bore at the end of that.
func (r *Report) checkSlowStart(config Config, records []Record) {
	rule := r.Rules[RuleSlowStart]
	startedAt := map[int]int64{}
	window := map[int][]int64{} // when the attempts of the last overload window reached a server
	for _, record := range records {
		server, at := record.Server, record.At
		switch record.Kind {
		case ServerStarted:
			startedAt[server], window[server] = at, nil
			rule.CheckCount++
		case ServerCollapsed:
			rule.addViolation(at, "server %d fell over", server)
		case AttemptReceived:
			started, restarted := startedAt[server]
			if !restarted || at > started+config.SlowStartDuration {
				continue
			}
			times := append(window[server], at)
			for times[0] < at-config.OverloadWindow {
				times = times[1:]
			}
			window[server] = times
			age, got := at-started, float64(len(times))
			budget := config.slowStartBudget(age)
			r.SlowStart = append(r.SlowStart, SlowStartWindow{at, server, got / max(1, budget)})
			if got > max(1, budget) {
				rule.addViolation(at, "server %d, %d us old, got %d jobs within %d us, over its %.1f", server, age, len(times), config.OverloadWindow, budget)
			}
		}
	}
}

// slowStartBudget is how many requests a server of an age in slow start may get within an overload window. One is always allowed.
func (c *Config) slowStartBudget(age int64) float64 {
	weight := c.SlowStartInitial + (1-c.SlowStartInitial)*float64(age)/float64(c.SlowStartDuration)
	return c.OverloadFactor * weight * c.ServerRate * float64(c.OverloadWindow) / 1e6
}
