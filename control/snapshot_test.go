package control

import (
	"reflect"
	"strings"
	"testing"
)

// A field added to the state must be carried by the snapshot too.
func TestSnapshotCarriesEveryField(t *testing.T) {
	for _, c := range []struct {
		state, snapshot any
		renamed         string // state's names that the snapshot gives another way
	}{
		{Router{}, Snapshot{}, "order choices index trace"},        // functions stand in their order; choices is room for work, index follows from the rest, trace is a tool's
		{server{}, ServerSnapshot{}, "weight there doubted holds"}, // of the index
		{flight{}, FlightSnapshot{}, ""},
		{function{}, FunctionSnapshot{}, "ranking"}, // of the index
		{instance{}, InstanceSnapshot{}, ""},
		{Job{}, JobSnapshot{}, "ID Workload Tenant Function Lanes Work LoadTime Arrived Patience Repeat Unmarked"}, // in Job
		{Execution{}, ExecutionSnapshot{}, "Server Zone Cell Sent Done MayRun"},                                    // in Execution
		{samples{}, Samples{}, ""},
	} {
		carried := map[string]bool{}
		for _, name := range strings.Fields(c.renamed) {
			carried[strings.ToLower(name)] = true
		}
		to := reflect.TypeOf(c.snapshot)
		for i := range to.NumField() {
			carried[strings.ToLower(to.Field(i).Name)] = true
		}
		from := reflect.TypeOf(c.state)
		for i := range from.NumField() {
			if name := from.Field(i).Name; !carried[strings.ToLower(name)] {
				t.Errorf("%s.%s is not carried", from.Name(), name)
			}
		}
	}
}
