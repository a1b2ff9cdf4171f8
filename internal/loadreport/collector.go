// Package loadreport counts what a router did to each server and what it heard of that server's load, for reports to a control plane.
// It is free of I/O and clocks. Counts are told once: what was not sent goes into the next report.
package loadreport

import (
	"cmp"
	"slices"

	"hollymast/control"
)

// Tally is one router's counting. It is for one goroutine.
type Collector struct {
	since      control.Micros
	servers    map[string]*serverStats
	maxServers int
}

type serverStats struct {
	Counts
	LoadMetrics
	inFlight   uint64
	lastReport control.LoadReport // of itself
	reported   bool
}

// mostServers bounds the servers counted at once: more than a list may name would only be addresses that come and go.
const maxServers = 100_000

// NewTally begins to count.
func NewCollector(now control.Micros) *Collector {
	return &Collector{since: now, servers: map[string]*serverStats{}, maxServers: maxServers}
}

// Chosen counts an execution that is on its way to a server.
func (t *Collector) AttemptBegan(address string) {
	s := t.servers[address]
	if s == nil {
		if len(t.servers) >= t.maxServers {
			return // its end is not counted either
		}
		s = &serverStats{}
		t.servers[address] = s
	}
	s.inFlight++
}

// Ended counts the end of one. What was never sent was never issued. One that we called off is neither finished nor errored.
func (t *Collector) AttemptEnded(address string, result control.Result, said *control.LoadReport) {
	s := t.servers[address]
	if s == nil || s.inFlight == 0 {
		return // not counted when it was chosen
	}
	s.inFlight--
	switch result {
	case control.NotSent:
		return
	case control.Succeeded:
		s.Succeeded++
	case control.Cancelled:
	default:
		s.Failed++
	}
	s.Issued++
	if said != nil {
		s.reported, s.lastReport = true, *said
		s.LoadMetrics.add(LoadMetrics{1, max(0, said.Utilization), max(0, said.PendingLoads), max(0, said.PinnedMemory)}) // below zero: it did not say
	}
}

// Said gives what a server last said of itself.
func (t *Collector) LastReport(address string) (r control.LoadReport, ok bool) {
	s := t.servers[address]
	if s == nil || !s.reported {
		return r, false
	}
	return s.lastReport, true
}

// Forget forgets servers that are idle and not listed any more, with what was not taken of them.
func (t *Collector) Prune(listed func(address string) bool) {
	for a, s := range t.servers {
		if s.inFlight == 0 && !listed(a) {
			delete(t.servers, a)
		}
	}
}

// Take gives what was counted since the last report, and begins anew.
func (t *Collector) Flush(now control.Micros) Report {
	r := Report{From: t.since, To: now}
	t.since = now
	for a, s := range t.servers {
		if s.inFlight > 0 || s.Issued > 0 || s.Reports > 0 {
			r.Endpoints = append(r.Endpoints, EndpointStats{a, s.inFlight, s.Counts, s.LoadMetrics})
			s.Counts, s.LoadMetrics = Counts{}, LoadMetrics{}
		}
	}
	slices.SortFunc(r.Endpoints, func(a, b EndpointStats) int { return cmp.Compare(a.Address, b.Address) })
	return r
}
