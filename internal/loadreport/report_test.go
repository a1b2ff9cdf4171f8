package loadreport

import (
	"encoding/json"
	"testing"
)

// Operators read load reports as JSON with these names. The test guards against a renamed field that changes its name there.
func TestEndpointStatsInJSON(t *testing.T) {
	b, err := json.Marshal(EndpointStats{"a:1", 2, Counts{3, 4, 5}, LoadMetrics{6, 0.5, 1.5, 0.25}})
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Address":"a:1","InFlight":2,"Issued":3,"Finished":4,"Errored":5,"Answers":6,"Util":0.5,"Loads":1.5,"Pinned":0.25}`
	if string(b) != want {
		t.Errorf("%s, want %s", b, want)
	}
}
