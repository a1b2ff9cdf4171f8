package loadreport

import (
	"cmp"
	"slices"
)

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
