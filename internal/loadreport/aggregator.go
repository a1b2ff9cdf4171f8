package loadreport

// Aggregator sums the latest reports of several nodes. It is not safe for concurrent use.
type Aggregator struct {
	nodes    map[string]Report // each one's latest
	maxNodes int
}

// NewAggregator returns an aggregator of at most that many nodes.
func NewAggregator(maxNodes int) *Aggregator {
	return &Aggregator{nodes: map[string]Report{}, maxNodes: maxNodes}
}

// Update sets a node's latest report. It returns false where there are too many nodes.
func (a *Aggregator) Update(node string, r Report) bool {
	if _, known := a.nodes[node]; !known && len(a.nodes) >= a.maxNodes {
		return false
	}
	a.nodes[node] = r
	return true
}

// Remove forgets a node.
func (a *Aggregator) Remove(node string) { delete(a.nodes, node) }

// Sum adds up the latest reports by address, and returns the number of nodes that they come from.
func (a *Aggregator) Sum() (endpoints []EndpointStats, nodes int) {
	sums := map[string]*EndpointStats{}
	for _, r := range a.nodes {
		for _, s := range r.Endpoints {
			sum := sums[s.Address]
			if sum == nil {
				sum = &EndpointStats{Address: s.Address}
				sums[s.Address] = sum
			}
			sum.InFlight += s.InFlight
			sum.add(s)
		}
	}
	for _, sum := range sums {
		endpoints = append(endpoints, *sum)
	}
	sortByAddress(endpoints)
	return endpoints, len(a.nodes)
}
