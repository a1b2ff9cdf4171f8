package invariant

// checkSlowStart checks RuleSlowStart: within each overload window a server in slow start gets no more requests than its budget at the end
// of that window.
func (r *Report) checkSlowStart(config Config, records []Record) {
	rule := r.Rules[RuleSlowStart]
	startedAt := map[int]int64{}
	receivedAt := map[int][]int64{} // by server, times at which the attempts within the last overload window reached it
	for _, record := range records {
		server, at := record.Server, record.At
		switch record.Kind {
		case ServerStarted:
			startedAt[server], receivedAt[server] = at, nil
			rule.CheckCount++
		case ServerCollapsed:
			rule.addViolation(at, "server %d collapsed", server)
		case AttemptReceived:
			started, known := startedAt[server]
			if !known || at > started+config.SlowStartDuration {
				continue
			}
			times := append(receivedAt[server], at)
			for times[0] < at-config.OverloadWindow {
				times = times[1:]
			}
			receivedAt[server] = times
			age, got := at-started, float64(len(times))
			budget := config.slowStartBudget(age)
			r.SlowStart = append(r.SlowStart, SlowStartWindow{at, server, got / max(1, budget)})
			if got > max(1, budget) {
				rule.addViolation(at, "server %d, %d us old, got %d requests within %d us, over its budget of %.1f",
					server, age, len(times), config.OverloadWindow, budget)
			}
		}
	}
}

// slowStartBudget returns how many requests a server in slow start may get within an overload window, given the time since its start. At
// least one is always allowed, whatever the budget.
func (c *Config) slowStartBudget(age int64) float64 {
	weight := c.SlowStartInitial + (1-c.SlowStartInitial)*float64(age)/float64(c.SlowStartDuration)
	return c.OverloadFactor * weight * c.ServerRate * float64(c.OverloadWindow) / 1e6
}
