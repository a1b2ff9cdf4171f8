package invariant

// checkDrains checks RuleDrain.
func (r *Report) checkDrains(config Config, records []Record) {
	rule := r.Rules[RuleDrain]
	drainingSince := map[int]int64{} // servers that drain or are withdrawn
	for _, record := range records {
		since, draining := drainingSince[record.Server]
		switch record.Kind {
		case EndpointPublished:
			if record.Detail == EndpointReady {
				delete(drainingSince, record.Server)
			} else if !draining {
				drainingSince[record.Server] = record.At
				rule.CheckCount++
			}
		case AttemptReceived, LoadCommandReceived:
			if draining && record.At > since+config.DrainGrace {
				rule.addViolation(record.At, "server %d got %q %d us after it was told to take nothing new", record.Server, record.Request, record.At-since)
			}
		}
	}
}
