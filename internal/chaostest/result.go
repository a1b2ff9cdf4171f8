package chaostest

import (
	"os"
	"strings"
	"time"

	"hollymast/internal/invariant"
)

// Result is the result of a run. Scripts read its JSON form, so the names in the tags must not change.
type Result struct {
	*invariant.Report
	InTime             float64       `json:"InTime"` // share of calls that succeeded within their latency objective
	Records            int           `json:"Records"`
	Seconds            []SecondStats `json:"Seconds"`
	outcomes           []outcome
	logDir             string          // see LogDir
	RestartRetries     RestartRetries  `json:"Resumed"`
	Restarts           []RestartImpact `json:"Renewed"`
	WeightedInTime     float64         `json:"Worth"`  // as InTime, with each call weighted by its workload's importance
	Overloads          int             `json:"Storms"` // that the routers logged
	ExcessLoadCommands int             `json:"Over"`   // see excessLoadCommands
}

// LogDir returns the folder with the routers' logs of a run that violated an invariant. It is empty if none are kept.
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
		Restarts:           h.restartImpacts(records),
		WeightedInTime:     h.weightedInTime(),
		Overloads:          overloads,
		ExcessLoadCommands: h.excessLoadCommands(records),
	}, nil
}

// share returns part as a share of all, or 0 if all is 0.
func share(part, all int) float64 { return float64(part) / float64(max(1, all)) }

// outcome is the outcome of a call.
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

// weightedInTime returns the share of calls that were in time, weighted by their importance.
func (h *harness) weightedInTime() float64 {
	inTime, all := 0.0, 0.0
	for _, o := range h.outcomes {
		if all += o.importance; o.inTime {
			inTime += o.importance
		}
	}
	return inTime / max(1, all)
}

// overloadMessage is contained in the line that a router logs when an overload begins.
const overloadMessage = "storm: a storm:"

// countOverloads counts the overloads that the routers logged.
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

// OtherTenantsInTime returns the share of calls that were in time, of all tenants except the noisy one: during a fault, and
// otherwise.
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
