package persistence

import (
	"errors"
	"fmt"

	"hollymast/control"
)

// The ranges of values; what lies outside was written by no router.
const (
	maxTime  = control.Micros(1) << 60 // some 36 000 years
	maxCount = 1 << 20                 // copies, loads, lanes, setbacks
)

func validate(m *control.LearnedState) error {
	if m == nil {
		return errors.New("nothing in it")
	}
	in := func(ts ...control.Micros) bool {
		for _, t := range ts {
			if t < 0 || t > maxTime {
				return false
			}
		}
		return true
	}
	few := func(ns ...int) bool {
		for _, n := range ns {
			if n < 0 || n > maxCount {
				return false
			}
		}
		return true
	}
	if !in(m.SavedAt, m.StartedAt) || !in(m.QuotaDebt...) || !in(m.LoadCommands...) || !in(m.Admitted...) || !in(m.Answers...) {
		return errors.New("a figure is out of its range")
	}
	for i, s := range m.Servers {
		if i > 0 && m.Servers[i-1].Server >= s.Server {
			return errors.New("servers are not in ascending order")
		}
		if !in(s.StartedAt) || !in(s.SlowStartSends...) {
			return fmt.Errorf("server %x: a figure is out of its range", s.Server)
		}
	}
	seen := make(map[control.FunctionID]bool, len(m.Functions))
	for _, f := range m.Functions {
		if seen[f.ID] || !few(f.Lanes) {
			return fmt.Errorf("function %x: twice, or a figure out of its range", f.ID)
		}
		seen[f.ID] = true
		for _, c := range f.Instances {
			if !few(c.Replicas, c.Loading) || !in(c.LastUsed, c.LoadingSince) {
				return fmt.Errorf("function %x: a figure is out of its range", f.ID)
			}
		}
	}
	return nil
}
