package loadreport

// Aggregator sums the latest reports of several nodes. It is not safe for concurrent use.
type Aggregator struct {
	nodes    map[string]Report // latest report by node
	maxNodes int
}

// NewAggregator returns an aggregator for at most maxNodes nodes.
func NewAggregator(maxNodes int) *Aggregator {
	return &Aggregator{nodes: map[string]Report{}, maxNodes: maxNodes}
}

// Update sets a node's latest report. It returns false, and ignores the report, if the node is new and there are too many nodes.
func (a *Aggregator) Update(node string, r Report) bool {
	if _, known := a.nodes[node]; !known && len(a.nodes) >= a.maxNodes {
		return false
	}
	a.nodes[node] = r
	return true
}

// Remove drops a node's report.
func (a *Aggregator) Remove(node string) { delete(a.nodes, node) }

// Sum returns the sums of the latest reports by address, and the number of nodes.
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
