// Package loadreport counts what a router did to each server and what it heard of that server's load, for reports to a control plane.
// It is free of I/O and clocks. Counts are told once: what was not sent goes into the next report.
package loadreport

import (
	"cmp"
	"slices"

	"hollymast/control"
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

// Bounds of the time between two reports that a control plane may ask for: under the least reports would cost more than they tell,
// over the most they are as good as none.
const (
	minInterval = control.Micros(100_000)
	maxInterval = control.Micros(3600_000_000)
)

// Asked is what a control plane wants to be told, and how often.
type Request struct {
	AllClusters bool
	Clusters    map[string]bool
	Interval    control.Micros // 0: nothing
	PerEndpoint bool           // each by itself, not only sums
}

// Pace decides when reports are due, on one stream after another.
type Scheduler struct {
	request Request
	open    bool
	nextAt  control.Micros
	unsent  Report
}

// Connected begins a stream, on which nothing is asked yet.
func (p *Scheduler) StreamOpened() { p.open, p.request, p.nextAt = true, Request{}, 0 }

// Ask takes in what is wanted; times out of bounds are brought within. The first report is due a whole time later.
func (p *Scheduler) SetRequest(now control.Micros, a Request) {
	if a.Interval > 0 {
		a.Interval = min(max(a.Interval, minInterval), maxInterval)
	}
	if p.request = a; a.Interval == 0 {
		p.nextAt = 0
		return
	}
	p.nextAt = now + a.Interval
}

// Wants tells what is asked.
func (p *Scheduler) Request() Request { return p.request }

// Due tells when the next report is; 0: none is asked for.
func (p *Scheduler) NextAt() control.Micros {
	if !p.open {
		return 0
	}
	return p.nextAt
}

// Next gives the report that is due, with what was never sent before. After a stall reports are not made up for: one covers all.
func (p *Scheduler) NextReport(now control.Micros, fresh Report) Report {
	for p.nextAt <= now {
		p.nextAt += max(p.request.Interval, (now-p.nextAt)/p.request.Interval*p.request.Interval)
	}
	p.unsent = Merge(p.unsent, fresh)
	return p.unsent
}

// Sent tells that it went out.
func (p *Scheduler) ReportSent() { p.unsent = Report{} }

// Broken ends a stream. What was not sent waits for the next.
func (p *Scheduler) StreamClosed() { p.open = false }

// Gathered is what others who follow us reported, each its latest.
type Aggregator struct {
	nodes    map[string]Report
	maxNodes int
}

// NewGathered gives a bounded one.
func NewAggregator(nodes int) *Aggregator {
	return &Aggregator{nodes: map[string]Report{}, maxNodes: nodes}
}

// Heard takes in a node's report. Ok is false where there are too many nodes.
func (g *Aggregator) Update(node string, r Report) (ok bool) {
	if _, known := g.nodes[node]; !known && len(g.nodes) >= g.maxNodes {
		return false
	}
	g.nodes[node] = r
	return true
}

// Left forgets a node.
func (g *Aggregator) Remove(node string) { delete(g.nodes, node) }

// Sum adds the latest reports up, by address, and tells how many nodes they come from.
func (g *Aggregator) Sum() (lines []EndpointStats, nodes int) {
	sum := map[string]*EndpointStats{}
	for _, r := range g.nodes {
		for _, l := range r.Endpoints {
			s := sum[l.Address]
			if s == nil {
				s = &EndpointStats{Address: l.Address}
				sum[l.Address] = s
			}
			s.InFlight += l.InFlight
			s.Counts.add(l.Counts)
			s.LoadMetrics.add(l.LoadMetrics)
		}
	}
	for _, l := range sum {
		lines = append(lines, *l)
	}
	slices.SortFunc(lines, func(a, b EndpointStats) int { return cmp.Compare(a.Address, b.Address) })
	return lines, len(g.nodes)
}
