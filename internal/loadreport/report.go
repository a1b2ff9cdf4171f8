package loadreport

import (
	"cmp"
	"slices"

	"hollymast/control"
)

// The tags of the following types are the names in the JSON that operators read, and must not change.

// Counts holds the numbers of a server's attempts in the period of a report.
type Counts struct {
	Issued    uint64 `json:"Issued"` // sent to the server
	Succeeded uint64 `json:"Finished"`
	Failed    uint64 `json:"Errored"` // answered with an error, rejected, timed out, or aborted by the server
}

func (c *Counts) add(other Counts) {
	c.Issued += other.Issued
	c.Succeeded += other.Succeeded
	c.Failed += other.Failed
}

// LoadMetrics holds sums over the load reports that a server sent with its responses.
type LoadMetrics struct {
	Reports      uint64  `json:"Answers"` // number of load reports in the sums
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

// EndpointStats is a server's part of a report.
type EndpointStats struct {
	Address  string `json:"Address"`
	InFlight uint64 `json:"InFlight"` // at the end of the report's period
	Counts
	LoadMetrics
}

// add adds the other's counts and metrics, but not its attempts in flight.
func (s *EndpointStats) add(other EndpointStats) {
	s.Counts.add(other.Counts)
	s.LoadMetrics.add(other.LoadMetrics)
}

func sortByAddress(endpoints []EndpointStats) {
	slices.SortFunc(endpoints, func(a, b EndpointStats) int { return cmp.Compare(a.Address, b.Address) })
}

// Report holds the statistics of all servers in a period.
type Report struct {
	From, To  control.Micros
	Endpoints []EndpointStats // sorted by address; servers without anything to report are left out
}

// Merge combines a report that was not sent with the one that follows it. The result covers both periods; attempts in flight are those
// of the later report.
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
		s.InFlight = 0 // no longer current
		index[s.Address] = len(merged.Endpoints)
		merged.Endpoints = append(merged.Endpoints, s)
	}
	for _, s := range later.Endpoints {
		if i, found := index[s.Address]; found {
			merged.Endpoints[i].InFlight = s.InFlight
			merged.Endpoints[i].add(s)
			continue
		}
		merged.Endpoints = append(merged.Endpoints, s)
	}
	sortByAddress(merged.Endpoints)
	return merged
}

// Locality is a server's place in a control plane's endpoint list. A server in several clusters is reported under the first of them.
type Locality struct {
	Cluster, Zone, Cell string
	Priority            uint32
}
