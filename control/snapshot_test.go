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
		{Balancer{}, Snapshot{}, "functionOrder candidates index trace"},      // functions stand in their order; candidates is room for work, index follows from the rest, trace is a tool's
		{server{}, ServerSnapshot{}, "weight present questionable functions"}, // of the index
		{inFlightAttempt{}, InFlightSnapshot{}, ""},
		{function{}, FunctionSnapshot{}, "ranking"}, // of the index
		{instance{}, InstanceSnapshot{}, ""},
		{Request{}, RequestSnapshot{}, "ID Class Tenant Function Lanes Work LoadTime ArrivedAt Deadline IsRetry RetriesUnmarked"}, // in Request
		{Attempt{}, AttemptSnapshot{}, "Server Zone Cell SentAt Done MayHaveRun"},                                                 // in Attempt
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
