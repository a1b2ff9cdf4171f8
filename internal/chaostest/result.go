package chaostest

import (
	"hollymast/internal/invariant"
	"os"
	"strings"
	"time"
)

// Result is a day's end.
type Result struct {
	*invariant.Report
	InTime             float64  `json:"InTime"` // share of all effects that were finished within their start target
	Records            int      `json:"Records"`
	Seconds            []Second `json:"Seconds"`
	outcomes           []effectOutcome
	RestartRetries     RestartRetries `json:"Resumed"` // run-once jobs that clients asked their restarted router for again
	Restarts           []Restart      `json:"Renewed"` // what followed each restart of a router
	WeightedInTime     float64        `json:"Worth"`   // as InTime, each effect counted with its workload's importance
	Overloads          int            `json:"Storms"`  // that routers told of
	ExcessLoadCommands int            `json:"Over"`    // orders over the ration, were those of a router's earlier lives counted for all
}

// Calm gives the share in time of the effects of all tenants but the one that storms, while it does and at all other times.
func (r *Result) OtherTenantsInTime(t Fault) (meanwhile, otherwise float64) {
	var n, well [2]int
	for _, w := range r.outcomes {
		if w.noisyTenant {
			continue
		}
		k := 0
		if w.at >= t.At && w.at < t.At+t.Duration {
			k = 1
		}
		if n[k]++; w.inTime {
			well[k]++
		}
	}
	return float64(well[1]) / float64(max(1, n[1])), float64(well[0]) / float64(max(1, n[0]))
}

// storms counts the storms that routers told of in their logs.
func (p *harness) countOverloads() (n int, err error) {
	for _, r := range p.routers {
		text, err := os.ReadFile(r.logName(p.dir))
		if err != nil {
			return 0, err
		}
		n += strings.Count(string(text), "storm: a storm:")
	}
	return n, nil
}

// wish is one effect that a client wanted, and whether it came in time.
type effectOutcome struct {
	router      int
	at          time.Duration
	inTime      bool
	effect      string
	importance  float64
	noisyTenant bool
}

// worth gives the importance of the effects that came in time, of all that was asked for.
func (p *harness) weightedInTime() float64 {
	in, all := 0.0, 0.0
	for _, w := range p.outcomes {
		if all += w.importance; w.inTime {
			in += w.importance
		}
	}
	return in / max(1, all)
}
