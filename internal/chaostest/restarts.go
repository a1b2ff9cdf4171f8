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
const runOnceMark = "once-"

func (d *Day) remembers() bool { return d.Memory != "" && d.Memory != "none" }

// memory is a router's folder; with the recordings, where there are some, so that it can be looked at after the day.
func (p *play) memory(router int) string {
	return filepath.Join(cmp.Or(p.day.Record, p.dir), "memory-"+itoa(router))
}

// wish is one effect that a client wanted, and whether it came in time.
type wish struct {
	router int
	at     time.Duration
	well   bool
	effect string
	worth  float64
	loud   bool
}

// worth gives the importance of the effects that came in time, of all that was asked for.
func (p *play) worth() float64 {
	in, all := 0.0, 0.0
	for _, w := range p.effects {
		if all += w.worth; w.well {
			in += w.worth
		}
	}
	return in / max(1, all)
}

// resumed counts the run-once jobs that clients asked their restarted router for again, by its answer.
type resumed struct {
	Asked      int `json:"Asked"`
	Finished   int `json:"Finished"`
	PushedBack int `json:"PushedBack"`
	Killed     int `json:"Killed"`
}

func (p *play) resume(word string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumed.Asked++
	switch word {
	case invariant.Succeeded:
		p.resumed.Finished++
	case invariant.Rejected:
		p.resumed.PushedBack++
	case invariant.Failed:
		p.resumed.Killed++
	}
}

// renewal is a router's return: by the log's clock, and by the day's.
type renewal struct {
	router int
	log    int64
	at     time.Duration
}

// Renewed is what followed a router's restart, within ten seconds.
type Renewed struct {
	Router     int           `json:"Router"`
	At         time.Duration `json:"At"`
	Effects    int           `json:"Effects"`    // asked of it by clients of its own
	InTime     float64       `json:"InTime"`     // the share of them that came within their start target
	Loads      int           `json:"Loads"`      // that began on all servers
	Executions float64       `json:"Executions"` // a job, of all routers
}

func (p *play) after(recs []invariant.Record) []Renewed {
	const span = 10 * time.Second
	var rs []Renewed
	for _, n := range p.renewed {
		r := Renewed{Router: n.router, At: n.at}
		well := 0
		for _, w := range p.effects {
			if w.router == n.router && w.at >= n.at && w.at < n.at+span {
				if r.Effects++; w.well {
					well++
				}
			}
		}
		asked, received := 0, 0
		for _, x := range recs {
			if x.At < n.log || x.At >= n.log+span.Microseconds() {
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
		r.InTime, r.Executions = float64(well)/float64(max(1, r.Effects)), float64(received)/float64(max(1, asked))
		rs = append(rs, r)
	}
	return rs
}

// over counts the orders that routers gave beyond their ration if what they ordered before a restart counts, whether they
// remembered it or not.
func (p *play) over(recs []invariant.Record) int {
	recs = slices.Clone(recs)
	for i := range recs {
		if recs[i].Kind == invariant.RouterRestarted {
			recs[i].Detail = invariant.StateRestored
		}
	}
	return invariant.Check(p.law(), recs).Rules[4].ViolationCount
}

// change makes the memory of a router that is down what the day says: nothing but its journal, old by a month, or of quite another day, on which
// copies stood elsewhere and answers came three times as fast.
func (p *play) change(router int) error {
	dir := persistence.Dir(p.memory(router))
	if p.day.Memory == "kept" {
		return nil
	}
	if p.day.Memory == "limits" {
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
		if m := k.Learned; p.day.Memory == "old" {
			age(m, 30*24*3600*1_000_000)
		} else {
			otherDay(m)
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

func age(m *control.LearnedState, by control.Micros) {
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

func otherDay(m *control.LearnedState) {
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
