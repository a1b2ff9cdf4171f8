package chaostest

import (
	"os"
	"strings"
	"time"

	"hollymast/internal/invariant"
)

// Result is what a run showed. Its JSON form is read by scripts: the names in the tags stay.
type Result struct {
	*invariant.Report
	InTime             float64       `json:"InTime"` // share of calls that succeeded within their latency objective
	Records            int           `json:"Records"`
	Seconds            []SecondStats `json:"Seconds"`
	outcomes           []outcome
	logDir             string          // see LogDir
	RestartRetries     RestartRetries  `json:"Resumed"`
	Restarts           []RestartImpact `json:"Renewed"`
	WeightedInTime     float64         `json:"Worth"`  // as InTime, each call weighted with its workload's importance
	Overloads          int             `json:"Storms"` // that routers have logged
	ExcessLoadCommands int             `json:"Over"`   // beyond the load-rate limit, if those before a restart count too
}

// LogDir returns the folder with the routers' logs of a run that broke an invariant; empty: none are kept.
func (r *Result) LogDir() string { return r.logDir }

func (h *harness) result() (*Result, error) {
	overloads, err := h.countOverloads()
	if err != nil {
		return nil, err
	}
	records := h.log.Records()
	report := invariant.Check(h.invariantConfig(), records)
	inTime := 0
	for _, o := range h.outcomes {
		if o.inTime {
			inTime++
		}
	}
	return &Result{
		Report:             report,
		InTime:             share(inTime, len(h.outcomes)),
		Records:            len(records),
		Seconds:            h.seconds(records, report.SlowStart),
		outcomes:           h.outcomes,
		RestartRetries:     h.restartRetries,
		Restarts:           h.afterRestarts(records),
		WeightedInTime:     h.weightedInTime(),
		Overloads:          overloads,
		ExcessLoadCommands: h.excessLoadCommands(records),
	}, nil
}

// share gives part of all, 0 of nothing.
func share(part, all int) float64 { return float64(part) / float64(max(1, all)) }

// outcome is what became of a call.
type outcome struct {
	router      int
	at          time.Duration // of the call, since the start of the run
	inTime      bool          // it succeeded within its latency objective
	effect      string
	importance  float64
	noisyTenant bool
}

func (h *harness) recordOutcome(c call, inTime bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes = append(h.outcomes, outcome{c.router, c.at, inTime, c.workload.effect, c.workload.importance, c.tenant() == noisyTenant})
}

// weightedInTime gives the importance of the calls that were in time, as a share of that of all.
func (h *harness) weightedInTime() float64 {
	inTime, all := 0.0, 0.0
	for _, o := range h.outcomes {
		if all += o.importance; o.inTime {
			inTime += o.importance
		}
	}
	return inTime / max(1, all)
}

// overloadMessage is in the line that a router logs when it begins to dampen an overload.
const overloadMessage = "storm: a storm:"

// countOverloads counts the overloads that routers have logged.
func (h *harness) countOverloads() (n int, err error) {
	for _, r := range h.routers {
		text, err := os.ReadFile(r.logName)
		if err != nil {
			return 0, err
		}
		n += strings.Count(string(text), overloadMessage)
	}
	return n, nil
}

// OtherTenantsInTime gives the share of calls that were in time of all tenants but the noisy one: during a fault, and otherwise.
func (r *Result) OtherTenantsInTime(f Fault) (during, otherwise float64) {
	type count struct{ calls, inTime int }
	var within, without count
	for _, o := range r.outcomes {
		if o.noisyTenant {
			continue
		}
		c := &without
		if f.active(o.at) {
			c = &within
		}
		if c.calls++; o.inTime {
			c.inTime++
		}
	}
	return share(within.inTime, within.calls), share(without.inTime, without.calls)
}
