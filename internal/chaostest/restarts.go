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

// restartEvent is the time at which a restarted router became ready.
type restartEvent struct {
	router  int
	logTime int64
	at      time.Duration // since the start of the run
}

// RestartImpact is what happened in restartImpactWindow after a router's restart.
type RestartImpact struct {
	Router             int           `json:"Router"`
	At                 time.Duration `json:"At"`         // since the start of the run
	Calls              int           `json:"Effects"`    // whose first request went to this router
	InTime             float64       `json:"InTime"`     // share of these calls that succeeded within their latency objective
	Loads              int           `json:"Loads"`      // started on all servers
	AttemptsPerRequest float64       `json:"Executions"` // over all routers
}

const restartImpactWindow = 10 * time.Second

// restartImpacts returns the impact of each restart.
func (h *harness) restartImpacts(records []invariant.Record) []RestartImpact {
	var all []RestartImpact
	for _, event := range h.restarts {
		r := RestartImpact{Router: event.router, At: event.at}
		inTime := 0
		for _, o := range h.outcomes {
			if o.router == event.router && o.at >= event.at && o.at < event.at+restartImpactWindow {
				if r.Calls++; o.inTime {
					inTime++
				}
			}
		}
		requests, attempts := 0, 0
		for _, record := range records {
			if record.At < event.logTime || record.At >= event.logTime+restartImpactWindow.Microseconds() {
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

// excessLoadCommands counts the load commands beyond the limit if those from before a restart count too, even if the router didn't
// persist them.
func (h *harness) excessLoadCommands(records []invariant.Record) int {
	records = slices.Clone(records)
	for i := range records {
		if records[i].Kind == invariant.RouterRestarted {
			records[i].Detail = invariant.StateRestored
		}
	}
	return invariant.Check(h.invariantConfig(), records).Rules[invariant.RuleLoadRate].ViolationCount
}
