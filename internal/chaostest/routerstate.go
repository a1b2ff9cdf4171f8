package chaostest

import (
	"cmp"
	"errors"
	"hollymast/control"
	"hollymast/internal/persistence"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
)

// runOnceMark begins the marks of run-once jobs, which no server remembers: only routers can keep them from running twice.
const nonIdempotentKeyPrefix = "once-"

func (d *Scenario) keepsRouterState() bool { return d.RouterState != "" && d.RouterState != "none" }

// memory is a router's folder; with the recordings, where there are some, so that it can be looked at after the day.
func (p *harness) stateDir(router int) string {
	return filepath.Join(cmp.Or(p.scenario.RecordDir, p.dir), "memory-"+itoa(router))
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
