package persistence

import (
	"errors"
	"fmt"

	"hollymast/control"
)

// Upper limits of stored values. A file with larger values is corrupt, even if its checksum is correct.
const (
	maxTime  = control.Micros(1) << 60 // about 36 000 years
	maxCount = 1 << 20                 // of replicas, loads, lanes and requests: more than in any fleet
)

func areTimesValid(times ...control.Micros) bool {
	for _, t := range times {
		if t < 0 || t > maxTime {
			return false
		}
	}
	return true
}

func areCountsValid(counts ...int) bool {
	for _, n := range counts {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return true
}

// validate checks the value ranges and the ordering that package control relies on. It rejects files with a correct checksum but invalid
// content, such as those written by a faulty build.
func validate(learned *control.LearnedState) error {
	if learned == nil {
		return errors.New("no learned state")
	}
	if !areTimesValid(learned.SavedAt, learned.StartedAt) || !areTimesValid(learned.QuotaDebt...) ||
		!areTimesValid(learned.LoadCommands...) || !areTimesValid(learned.Admitted...) || !areTimesValid(learned.Answers...) {
		return errors.New("a time is out of range")
	}
	if err := validateServers(learned.Servers); err != nil {
		return err
	}
	return validateFunctions(learned.Functions)
}

func validateServers(servers []control.LearnedServer) error {
	for i, s := range servers {
		if i > 0 && servers[i-1].Server >= s.Server {
			return errors.New("servers are not in ascending order of their ids")
		}
		if !areTimesValid(s.StartedAt) || !areTimesValid(s.SlowStartSends...) {
			return fmt.Errorf("server %x: a time is out of range", s.Server)
		}
	}
	return nil
}

func validateFunctions(functions []control.LearnedFunction) error {
	seen := make(map[control.FunctionID]bool, len(functions))
	for _, f := range functions {
		if seen[f.ID] || !areCountsValid(f.Lanes) {
			return fmt.Errorf("function %x: duplicate, or number of lanes out of range", f.ID)
		}
		seen[f.ID] = true
		for _, i := range f.Instances {
			if !areCountsValid(i.Replicas, i.Loading) || !areTimesValid(i.LastUsed, i.LoadingSince) {
				return fmt.Errorf("function %x: a value of an instance is out of range", f.ID)
			}
		}
	}
	return nil
}
