// Package loadreport collects statistics for load reports to a control plane (Envoy's LRS): a router's attempts by server, and the loads that
// the servers reported. It does no I/O and reads no clock. Each event is reported exactly once: a report that could not be sent becomes
// part of the next one.
package loadreport

import (
	"hollymast/control"
)

// defaultMaxServers limits the number of servers that are counted. No endpoint list may contain that many, so only addresses that keep
// changing could exceed it.
const defaultMaxServers = 100_000

// Collector counts one router's attempts. It is not safe for concurrent use.
type Collector struct {
	since      control.Micros          // end of the last report
	servers    map[string]*serverStats // by address
	maxServers int
}

// serverStats holds a server's counts since the last report, its attempts in flight and its last load report.
type serverStats struct {
	Counts
	LoadMetrics
	inFlight   uint64
	lastReport control.LoadReport
	hasReport  bool // whether lastReport is set
}

// NewCollector returns a collector whose first report starts at now.
func NewCollector(now control.Micros) *Collector {
	return &Collector{since: now, servers: map[string]*serverStats{}, maxServers: defaultMaxServers}
}

// AttemptBegan counts the start of an attempt that was assigned to a server.
func (c *Collector) AttemptBegan(address string) {
	s := c.servers[address]
	if s == nil {
		if len(c.servers) >= c.maxServers {
			return // its end is not counted either
		}
		s = &serverStats{}
		c.servers[address] = s
	}
	s.inFlight++
}

// AttemptEnded counts the end of an attempt. An attempt that was never sent does not count as issued; one that the router cancelled counts
// neither as succeeded nor as failed. The load report is nil if the server sent none.
func (c *Collector) AttemptEnded(address string, result control.Result, load *control.LoadReport) {
	s := c.servers[address]
	if s == nil || s.inFlight == 0 {
		return // its start was not counted
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
	if load == nil {
		return
	}
	s.lastReport, s.hasReport = *load, true
	s.LoadMetrics.add(LoadMetrics{ // a negative value was not reported
		Reports:      1,
		Utilization:  max(0, load.Utilization),
		PendingLoads: max(0, load.PendingLoads),
		PinnedMemory: max(0, load.PinnedMemory),
	})
}

// LastReport returns a server's last load report; ok is false if there is none.
func (c *Collector) LastReport(address string) (r control.LoadReport, ok bool) {
	s := c.servers[address]
	if s == nil || !s.hasReport {
		return r, false
	}
	return s.lastReport, true
}

// Prune drops idle servers that are no longer listed, including their counts since the last report.
func (c *Collector) Prune(listed func(address string) bool) {
	for address, s := range c.servers {
		if s.inFlight == 0 && !listed(address) {
			delete(c.servers, address)
		}
	}
}

// Flush returns the counts since the last report and starts the next one.
func (c *Collector) Flush(now control.Micros) Report {
	r := Report{From: c.since, To: now}
	c.since = now
	for address, s := range c.servers {
		if s.inFlight > 0 || s.Issued > 0 || s.Reports > 0 {
			r.Endpoints = append(r.Endpoints, EndpointStats{Address: address, InFlight: s.inFlight, Counts: s.Counts, LoadMetrics: s.LoadMetrics})
			s.Counts, s.LoadMetrics = Counts{}, LoadMetrics{}
		}
	}
	sortByAddress(r.Endpoints)
	return r
}
