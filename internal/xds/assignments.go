package xds

import (
	"hollymast/control"
	"slices"
)

// assign takes in the endpoints of services; those of one that no cluster names are kept in case it comes.
func (f *Client) updateAssignments(now control.Micros, assignments []assignment) error {
	byService := make(map[string][]string, len(f.serviceNames))
	for name, service := range f.serviceNames {
		byService[service] = append(byService[service], name)
	}
	var rejected error
	f.members.Batch(now, func() { rejected = f.applyAssignments(now, assignments, byService) })
	if rejected != nil {
		return rejected
	}
	if len(f.awaitedClusters) == 0 {
		f.releaseClusters(now)
	}
	return nil
}

func (f *Client) applyAssignments(now control.Micros, assignments []assignment, byService map[string][]string) error {
	for _, a := range assignments {
		names := byService[a.name]
		slices.Sort(names)
		if len(names) == 0 {
			if slices.Contains(f.leavingClusters, a.name) {
				continue // it goes as a whole, once what comes in its place is there
			}
			names = []string{a.name}
		}
		for _, name := range names {
			if f.inlined[name] {
				continue
			}
			f.members.SetOverprovisioning(name, a.overprovisioning)
			if err := f.members.SetEndpoints(now, name, a.endpoints); err != nil {
				return err
			}
			delete(f.awaitedClusters, name)
		}
	}
	return nil
}
