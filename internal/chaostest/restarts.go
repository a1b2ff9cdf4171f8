package chaostest

import (
	"cmp"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"hollymast/control"
	"hollymast/internal/invariant"
	"hollymast/internal/persistence"
)

// runOnceMark begins the marks of run-once jobs, which no server remembers: only routers can keep them from running twice.
const nonIdempotentKeyPrefix = "once-"

func (d *Scenario) keepsRouterState() bool { return d.RouterState != "" && d.RouterState != "none" }

// memory is a router's folder; with the recordings, where there are some, so that it can be looked at after the day.
func (p *harness) stateDir(router int) string {
	return filepath.Join(cmp.Or(p.scenario.RecordDir, p.dir), "memory-"+itoa(router))
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

// change makes the memory of a router that is down what the day says: nothing but its journal, old by a month, or of quite another day, on which
// copies stood elsewhere and answers came three times as fast.
func (p *harness) alterState(router int) error {
	dir := persistence.Dir(p.stateDir(router))
	if p.scenario.RouterState == "kept" {
		return nil
	}
	if p.scenario.RouterState == "limits" {
		for _, name := range persistence.GenerationFiles {
			if err := os.Remove(filepath.Join(string(dir), name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return err
			}
		}
		return nil
	}
	for _, name := range persistence.GenerationFiles {
		b, err := dir.Read(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		k, err := persistence.Decode(b)
		if err != nil {
			return err
		}
		if m := k.Learned; p.scenario.RouterState == "old" {
			ageState(m, 30*24*3600*1_000_000)
		} else {
			disarrangeState(m)
		}
		if b, err = persistence.Encode(k); err != nil {
			return err
		}
		if err := dir.Replace(name, b); err != nil {
			return err
		}
	}
	return nil
}

func ageState(m *control.LearnedState, by control.Micros) {
	back := func(ts ...*control.Micros) {
		for _, t := range ts {
			*t = max(0, *t-by)
		}
	}
	all := func(ts []control.Micros) {
		for i := range ts {
			back(&ts[i])
		}
	}
	back(&m.SavedAt, &m.StartedAt)
	for _, ts := range [][]control.Micros{m.QuotaDebt, m.LoadCommands, m.Admitted, m.Answers} {
		all(ts)
	}
	for i := range m.Servers {
		back(&m.Servers[i].StartedAt)
		all(m.Servers[i].SlowStartSends)
	}
	for i := range m.Functions {
		f := &m.Functions[i]
		for j := range f.Instances {
			back(&f.Instances[j].LastUsed, &f.Instances[j].LoadingSince)
		}
	}
}

func disarrangeState(m *control.LearnedState) {
	m.Answers = slices.Concat(m.Answers, m.Answers, m.Answers)
	slices.Sort(m.Answers)
	place := map[control.ServerID]int{}
	for i, s := range m.Servers {
		place[s.Server] = i
	}
	for i := range m.Functions {
		f := &m.Functions[i]
		for j := range f.Instances {
			f.Instances[j].Server = m.Servers[(place[f.Instances[j].Server]+5)%len(m.Servers)].Server
		}
	}
}
