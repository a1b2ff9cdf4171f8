package xds

import (
	"slices"

	"hollymast/control"
)

// updateAssignments applies assignments to the clusters that use their services. The endpoints of a service that no cluster uses
// are kept for a cluster that may follow.
func (c *Client) updateAssignments(now control.Micros, assignments []assignment) error {
	byService := make(map[string][]string, len(c.serviceNames))
	for name, service := range c.serviceNames {
		byService[service] = append(byService[service], name)
	}
	var err error
	c.members.Batch(now, func() { err = c.applyAssignments(now, assignments, byService) })
	if err != nil {
		return err
	}
	if len(c.warmingClusters) == 0 {
		c.removeWithdrawnClusters(now)
	}
	return nil
}

func (c *Client) applyAssignments(now control.Micros, assignments []assignment, byService map[string][]string) error {
	for _, a := range assignments {
		names := byService[a.name]
		slices.Sort(names)
		if len(names) == 0 {
			if slices.Contains(c.withdrawnClusters, a.name) {
				continue // the cluster will be removed as a whole, once the clusters that replace it have endpoints
			}
			names = []string{a.name}
		}
		for _, name := range names {
			if c.inlined[name] {
				continue
			}
			c.members.SetOverprovisioning(name, a.overprovisioning)
			if err := c.members.SetEndpoints(now, name, a.endpoints); err != nil {
				return err
			}
			delete(c.warmingClusters, name)
		}
	}
	return nil
}
