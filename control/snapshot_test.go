package control

import (
	"reflect"
	"strings"
	"testing"
)

// TestSnapshotCarriesEveryField checks that each field of the state has a counterpart in the snapshot, so that none is
// forgotten.
func TestSnapshotCarriesEveryField(t *testing.T) {
	for _, c := range []struct {
		state, snapshot any
		elsewhere       string // fields of the state that the snapshot represents differently or leaves out
	}{
		{Balancer{}, Snapshot{}, "functionOrder candidates deviations index trace"},                                           // functions are stored in that order; candidates and deviations are scratch space, the index is rebuilt, a trace belongs to a tool
		{server{}, ServerSnapshot{}, "slowStartSince slowStartWeight weight present inRemoved impaired readyIndex functions"}, // derived, with the index
		{inFlightAttempt{}, InFlightSnapshot{}, ""},
		{function{}, FunctionSnapshot{}, "ranking homes"}, // derived, with the index
		{instance{}, InstanceSnapshot{}, ""},
		{Request{}, RequestSnapshot{}, "ID Class Tenant Function Lanes ExecTimeHint LoadTimeHint ArrivedAt Deadline IsRetry RetriesUnmarked Timeout"}, // in RequestSnapshot.Request
		{Attempt{}, AttemptSnapshot{}, "Server Zone Cell SentAt Done MayHaveRun"},                                                                     // in AttemptSnapshot.Attempt
		{samples{}, Samples{}, ""},
	} {
		carried := map[string]bool{}
		for _, name := range strings.Fields(c.elsewhere) {
			carried[strings.ToLower(name)] = true
		}
		to := reflect.TypeOf(c.snapshot)
		for i := range to.NumField() {
			carried[strings.ToLower(to.Field(i).Name)] = true
		}
		from := reflect.TypeOf(c.state)
		for i := range from.NumField() {
			if name := from.Field(i).Name; !carried[strings.ToLower(name)] {
				t.Errorf("%s.%s is not in the snapshot", from.Name(), name)
			}
		}
	}
}
