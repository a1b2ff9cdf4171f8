package chaostest

import (
	"slices"
	"time"

	"hollymast/internal/invariant"
)

// resumed counts the run-once jobs that clients asked their restarted router for again, by its answer.
type RestartRetries struct {
	Sent      int `json:"Asked"`
	Succeeded int `json:"Finished"`
	Rejected  int `json:"PushedBack"`
	Failed    int `json:"Killed"`
}

func (p *harness) countRestartRetry(word string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restartRetries.Sent++
	switch word {
	case invariant.Succeeded:
		p.restartRetries.Succeeded++
	case invariant.Rejected:
		p.restartRetries.Rejected++
	case invariant.Failed:
		p.restartRetries.Failed++
	}
}

// renewal is a router's return: by the log's clock, and by the day's.
type restartEvent struct {
	router  int
	logTime int64
	at      time.Duration
}

// Renewed is what followed a router's restart, within ten seconds.
type Restart struct {
	Router             int           `json:"Router"`
	At                 time.Duration `json:"At"`
	Effects            int           `json:"Effects"`    // asked of it by clients of its own
	InTime             float64       `json:"InTime"`     // the share of them that came within their start target
	Loads              int           `json:"Loads"`      // that began on all servers
	AttemptsPerRequest float64       `json:"Executions"` // a job, of all routers
}

func (p *harness) afterRestarts(recs []invariant.Record) []Restart {
	const span = 10 * time.Second
	var rs []Restart
	for _, n := range p.restarts {
		r := Restart{Router: n.router, At: n.at}
		well := 0
		for _, w := range p.outcomes {
			if w.router == n.router && w.at >= n.at && w.at < n.at+span {
				if r.Effects++; w.inTime {
					well++
				}
			}
		}
		asked, received := 0, 0
		for _, x := range recs {
			if x.At < n.logTime || x.At >= n.logTime+span.Microseconds() {
				continue
			}
			switch x.Kind {
			case invariant.LoadStarted:
				r.Loads++
			case invariant.RequestSent:
				asked++
			case invariant.AttemptReceived:
				received++
			}
		}
		r.InTime, r.AttemptsPerRequest = float64(well)/float64(max(1, r.Effects)), float64(received)/float64(max(1, asked))
		rs = append(rs, r)
	}
	return rs
}

// over counts the orders that routers gave beyond their ration if what they ordered before a restart counts, whether they
// remembered it or not.
func (p *harness) excessLoadCommands(recs []invariant.Record) int {
	recs = slices.Clone(recs)
	for i := range recs {
		if recs[i].Kind == invariant.RouterRestarted {
			recs[i].Detail = invariant.StateRestored
		}
	}
	return invariant.Check(p.invariantConfig(), recs).Rules[4].ViolationCount
}
