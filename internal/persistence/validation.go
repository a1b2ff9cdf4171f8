package persistence

import (
	"errors"
	"fmt"

	"hollymast/control"
)

// Ranges of values. A value outside them was written by no gateway, whatever the checksum says.
const (
	maxTime  = control.Micros(1) << 60 // some 36 000 years
	maxCount = 1 << 20                 // of replicas, loads, lanes and requests: more than any fleet has
)

func timesValid(times ...control.Micros) bool {
	for _, t := range times {
		if t < 0 || t > maxTime {
			return false
		}
	}
	return true
}

func countsValid(counts ...int) bool {
	for _, n := range counts {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return true
}

// validate checks the ranges and the order that control relies on. It guards against a file whose checksum is right and whose content
// is not, such as one by a build with a fault.
func validate(m *control.LearnedState) error {
	if m == nil {
		return errors.New("nothing in it")
	}
	if !timesValid(m.SavedAt, m.StartedAt) || !timesValid(m.QuotaDebt...) || !timesValid(m.LoadCommands...) || !timesValid(m.Admitted...) ||
		!timesValid(m.Answers...) {
		return errors.New("a figure is out of its range")
	}
	if err := validateServers(m.Servers); err != nil {
		return err
	}
	return validateFunctions(m.Functions)
}

func validateServers(servers []control.LearnedServer) error {
	for i, s := range servers {
		if i > 0 && servers[i-1].Server >= s.Server {
			return errors.New("servers are not in ascending order")
		}
		if !timesValid(s.StartedAt) || !timesValid(s.SlowStartSends...) {
			return fmt.Errorf("server %x: a figure is out of its range", s.Server)
		}
	}
	return nil
}

func validateFunctions(functions []control.LearnedFunction) error {
	seen := make(map[control.FunctionID]bool, len(functions))
	for _, f := range functions {
		if seen[f.ID] || !countsValid(f.Lanes) {
			return fmt.Errorf("function %x: twice, or a figure out of its range", f.ID)
		}
		seen[f.ID] = true
		for _, i := range f.Instances {
			if !countsValid(i.Replicas, i.Loading) || !timesValid(i.LastUsed, i.LoadingSince) {
				return fmt.Errorf("function %x: a figure is out of its range", f.ID)
			}
		}
	}
	return nil
}
