package loadreport

import (
	"testing"
)

// The latest reports of the nodes are summed, and a node beyond the maximum is not accepted.
func TestAggregator(t *testing.T) {
	a := NewAggregator(2)
	report := func(n uint64) Report {
		return Report{Endpoints: []EndpointStats{{Address: "a:1", InFlight: n, Counts: Counts{Issued: 10 * n}}}}
	}
	a.Update("x", report(9))
	a.Update("x", report(1))
	if !a.Update("y", report(2)) || a.Update("z", report(4)) {
		t.Error("the maximum number of nodes is not respected")
	}
	if endpoints, nodes := a.Sum(); nodes != 2 || len(endpoints) != 1 || endpoints[0].InFlight != 3 || endpoints[0].Issued != 30 {
		t.Errorf("%+v of %d", endpoints, nodes)
	}
	a.Remove("y")
	if endpoints, _ := a.Sum(); endpoints[0].InFlight != 1 {
		t.Errorf("%+v", endpoints)
	}
}
