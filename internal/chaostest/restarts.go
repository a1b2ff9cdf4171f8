package chaostest

import (
	"slices"
	"time"

	"hollymast/internal/invariant"
)

// RestartRetries counts the non-idempotent requests that clients sent again to their restarted router, by response.
type RestartRetries struct {
	Sent      int `json:"Asked"`
	Succeeded int `json:"Finished"`
	Rejected  int `json:"PushedBack"`
	Failed    int `json:"Killed"`
}

func (h *harness) countRestartRetry(answer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.restartRetries.Sent++
	switch answer {
	case invariant.Succeeded:
		h.restartRetries.Succeeded++
	case invariant.Rejected:
		h.restartRetries.Rejected++
	case invariant.Failed:
		h.restartRetries.Failed++
	}
}

// restart is when a restarted router was ready.
type restart struct {
	router  int
	logTime int64
	at      time.Duration // since the start of the run
}

// RestartImpact is what followed a router's restart, within afterRestart.
type RestartImpact struct {
	Router             int           `json:"Router"`
	At                 time.Duration `json:"At"`         // since the start of the run
	Calls              int           `json:"Effects"`    // that asked this router first
	InTime             float64       `json:"InTime"`     // the share of them that succeeded within their latency objective
	Loads              int           `json:"Loads"`      // that began on all servers
	AttemptsPerRequest float64       `json:"Executions"` // of all routers
}

const afterRestart = 10 * time.Second

// afterRestarts gives what followed each restart.
func (h *harness) afterRestarts(records []invariant.Record) []RestartImpact {
	var all []RestartImpact
	for _, event := range h.restarts {
		r := RestartImpact{Router: event.router, At: event.at}
		inTime := 0
		for _, o := range h.outcomes {
			if o.router == event.router && o.at >= event.at && o.at < event.at+afterRestart {
				if r.Calls++; o.inTime {
					inTime++
				}
			}
		}
		requests, attempts := 0, 0
		for _, record := range records {
			if record.At < event.logTime || record.At >= event.logTime+afterRestart.Microseconds() {
				continue
			}
			switch record.Kind {
			case invariant.LoadStarted:
				r.Loads++
			case invariant.RequestSent:
				requests++
			case invariant.AttemptReceived:
				attempts++
			}
		}
		r.InTime, r.AttemptsPerRequest = share(inTime, r.Calls), share(attempts, requests)
		all = append(all, r)
	}
	return all
}

// excessLoadCommands counts the load commands beyond the limit if those from before a restart count, whether the router has
// persisted them or not.
func (h *harness) excessLoadCommands(records []invariant.Record) int {
	records = slices.Clone(records)
	for i := range records {
		if records[i].Kind == invariant.RouterRestarted {
			records[i].Detail = invariant.StateRestored
		}
	}
	return invariant.Check(h.invariantConfig(), records).Rules[invariant.RuleLoadRate].ViolationCount
}
