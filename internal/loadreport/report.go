package loadreport

import (
	"cmp"
	"hollymast/control"
	"slices"
)

// Counts of one server since the last report.
type Counts struct {
	Issued    uint64 `json:"Issued"` // executions written to it
	Succeeded uint64 `json:"Finished"`
	Failed    uint64 `json:"Errored"` // answered with an error, refused, timed out, or broken off by the server
}

func (c *Counts) add(o Counts) {
	c.Issued += o.Issued
	c.Succeeded += o.Succeeded
	c.Failed += o.Failed
}

// Figures are what a server said of itself with its answers, summed over those that did.
type LoadMetrics struct {
	Reports      uint64  `json:"Answers"`
	Utilization  float64 `json:"Util"`
	PendingLoads float64 `json:"Loads"`
	PinnedMemory float64 `json:"Pinned"`
}

func (f *LoadMetrics) add(o LoadMetrics) {
	f.Reports += o.Reports
	f.Utilization += o.Utilization
	f.PendingLoads += o.PendingLoads
	f.PinnedMemory += o.PinnedMemory
}

// Line is what is reported of one server.
type EndpointStats struct {
	Address  string `json:"Address"`
	InFlight uint64 `json:"InFlight"` // now
	Counts
	LoadMetrics
}

// Report covers a time.
type Report struct {
	From, To  control.Micros
	Endpoints []EndpointStats // by address; servers with nothing to tell have none
}

// Join adds an earlier report that was never sent to the one that follows it.
func Merge(earlier, later Report) Report {
	if len(earlier.Endpoints) == 0 {
		if earlier.To > 0 {
			later.From = earlier.From
		}
		return later
	}
	out := Report{From: earlier.From, To: later.To}
	by := make(map[string]int, len(earlier.Endpoints))
	for _, l := range earlier.Endpoints {
		l.InFlight = 0 // was then
		by[l.Address] = len(out.Endpoints)
		out.Endpoints = append(out.Endpoints, l)
	}
	for _, l := range later.Endpoints {
		if i, both := by[l.Address]; both {
			out.Endpoints[i].InFlight = l.InFlight
			out.Endpoints[i].Counts.add(l.Counts)
			out.Endpoints[i].LoadMetrics.add(l.LoadMetrics)
			continue
		}
		out.Endpoints = append(out.Endpoints, l)
	}
	slices.SortFunc(out.Endpoints, func(a, b EndpointStats) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Place is where a server stands in a control plane's list. One that several clusters name is reported under the first.
type Locality struct {
	Cluster, Zone, Cell string
	Priority            uint32
}
