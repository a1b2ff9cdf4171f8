// Package loadreport counts what a router did to each server, and what the servers reported of their load, for load reports to a control
// plane (Envoy's LRS). It is free of I/O and clocks. Each event is reported once: what could not be sent goes into the next report.
package loadreport

import (
	"hollymast/control"
)

// defaultMaxServers bounds the servers that are counted: no endpoint list may name as many, so more would be addresses that come and go.
const defaultMaxServers = 100_000

// Collector counts one router's attempts. It is not safe for concurrent use.
type Collector struct {
	since      control.Micros // end of the last report
	servers    map[string]*serverStats
	maxServers int
}

// serverStats is what was counted of a server since the last report, and its state.
type serverStats struct {
	Counts
	LoadMetrics
	inFlight   uint64
	lastReport control.LoadReport
	reported   bool // whether there is a lastReport
}

// NewCollector returns a collector whose first report begins now.
func NewCollector(now control.Micros) *Collector {
	return &Collector{since: now, servers: map[string]*serverStats{}, maxServers: defaultMaxServers}
}

// AttemptBegan counts an attempt that was assigned to a server.
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

// AttemptEnded counts the end of an attempt. One that was never sent was not issued; one that we cancelled neither succeeded nor failed.
// The load report is nil where the server gave none.
func (c *Collector) AttemptEnded(address string, result control.Result, load *control.LoadReport) {
	s := c.servers[address]
	if s == nil || s.inFlight == 0 {
		return // its beginning was not counted
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
	s.lastReport, s.reported = *load, true
	s.LoadMetrics.add(LoadMetrics{ // a figure below 0 was not reported
		Reports:      1,
		Utilization:  max(0, load.Utilization),
		PendingLoads: max(0, load.PendingLoads),
		PinnedMemory: max(0, load.PinnedMemory),
	})
}

// LastReport returns the last load report of a server; ok is false where it gave none.
func (c *Collector) LastReport(address string) (r control.LoadReport, ok bool) {
	s := c.servers[address]
	if s == nil || !s.reported {
		return r, false
	}
	return s.lastReport, true
}

// Prune drops the servers that are idle and no longer listed, with what was counted of them since the last report.
func (c *Collector) Prune(listed func(address string) bool) {
	for address, s := range c.servers {
		if s.inFlight == 0 && !listed(address) {
			delete(c.servers, address)
		}
	}
}

// Flush returns what was counted since the last report, and begins the next one.
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
