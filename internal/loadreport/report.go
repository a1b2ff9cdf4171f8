package loadreport

import (
	"cmp"
	"slices"

	"hollymast/control"
)

// The tags of the following types are the names in the operators' JSON: they must not change.

// Counts are a server's attempts in the time of a report.
type Counts struct {
	Issued    uint64 `json:"Issued"` // sent to it
	Succeeded uint64 `json:"Finished"`
	Failed    uint64 `json:"Errored"` // answered with an error, rejected, timed out, or broken off by the server
}

func (c *Counts) add(other Counts) {
	c.Issued += other.Issued
	c.Succeeded += other.Succeeded
	c.Failed += other.Failed
}

// LoadMetrics are sums of the load reports that a server gave with its answers.
type LoadMetrics struct {
	Reports      uint64  `json:"Answers"` // summands
	Utilization  float64 `json:"Util"`
	PendingLoads float64 `json:"Loads"`
	PinnedMemory float64 `json:"Pinned"`
}

func (m *LoadMetrics) add(other LoadMetrics) {
	m.Reports += other.Reports
	m.Utilization += other.Utilization
	m.PendingLoads += other.PendingLoads
	m.PinnedMemory += other.PinnedMemory
}

// EndpointStats are a server's part of a report.
type EndpointStats struct {
	Address  string `json:"Address"`
	InFlight uint64 `json:"InFlight"` // at the report's end
	Counts
	LoadMetrics
}

// add adds the other's counts and metrics, not its attempts in flight.
func (s *EndpointStats) add(other EndpointStats) {
	s.Counts.add(other.Counts)
	s.LoadMetrics.add(other.LoadMetrics)
}

func sortByAddress(endpoints []EndpointStats) {
	slices.SortFunc(endpoints, func(a, b EndpointStats) int { return cmp.Compare(a.Address, b.Address) })
}

// Report is what happened in a time.
type Report struct {
	From, To  control.Micros
	Endpoints []EndpointStats // by address; those of which there is nothing to report are left out
}

// Merge adds a report that was never sent to the one that follows it.
func Merge(earlier, later Report) Report {
	if len(earlier.Endpoints) == 0 {
		if earlier.To > 0 {
			later.From = earlier.From
		}
		return later
	}
	merged := Report{From: earlier.From, To: later.To}
	index := make(map[string]int, len(earlier.Endpoints))
	for _, s := range earlier.Endpoints {
		s.InFlight = 0 // they were in flight then
		index[s.Address] = len(merged.Endpoints)
		merged.Endpoints = append(merged.Endpoints, s)
	}
	for _, s := range later.Endpoints {
		if i, both := index[s.Address]; both {
			merged.Endpoints[i].InFlight = s.InFlight
			merged.Endpoints[i].add(s)
			continue
		}
		merged.Endpoints = append(merged.Endpoints, s)
	}
	sortByAddress(merged.Endpoints)
	return merged
}

// Locality is a server's place in a control plane's endpoint list. A server that several clusters name is reported under the first.
type Locality struct {
	Cluster, Zone, Cell string
	Priority            uint32
}
