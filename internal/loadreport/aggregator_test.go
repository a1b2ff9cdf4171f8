package loadreport

import (
	"testing"
)

// Many nodes are summed, each by its latest report, and one too many is refused.
func TestGathered(t *testing.T) {
	g := NewAggregator(2)
	line := func(n uint64) Report {
		return Report{Endpoints: []EndpointStats{{Address: "a:1", InFlight: n, Counts: Counts{Issued: 10 * n}}}}
	}
	g.Update("x", line(9))
	g.Update("x", line(1))
	if !g.Update("y", line(2)) || g.Update("z", line(4)) {
		t.Error("the bound on nodes")
	}
	if lines, nodes := g.Sum(); nodes != 2 || len(lines) != 1 || lines[0].InFlight != 3 || lines[0].Issued != 30 {
		t.Errorf("%+v of %d", lines, nodes)
	}
	g.Remove("y")
	if lines, _ := g.Sum(); lines[0].InFlight != 1 {
		t.Errorf("%+v", lines)
	}
}
