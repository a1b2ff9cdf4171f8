package control

import (
	"reflect"
	"testing"
)

// What was observed of a server's health and load before its restart must not keep requests and loads from the new
// process.
func TestRestartForgetsHealthAndLoad(t *testing.T) {
	const restart = testNow + second
	b := newTestBalancer(testDeployment(), 2)
	s := b.servers.at(0)
	b.eject(testNow, s, ConnectionsFail)
	s.backoffUntil, s.loadBackoffUntil, s.rejections, s.connectionFailures = testNow+10*second, testNow+10*second, 3, 1
	s.concurrencyLimit, s.limitLoweredAt = 1, testNow
	s.queueing.add(testNow, 900)
	s.report, s.reportedAt = LoadReport{Utilization: 1, PendingLoads: 9}, testNow
	b.UpdateEndpoints(restart, IncrementalUpdate, []Endpoint{{Server: s.Server, State: Ready, Weight: 1, StartedAt: restart}})

	fresh := newTestBalancer(testDeployment(), 2)
	fresh.UpdateEndpoints(restart, IncrementalUpdate, []Endpoint{{Server: 3, State: Ready, Weight: 1, StartedAt: restart}})
	want := fresh.serverSnapshot(fresh.servers.at(2))
	want.Endpoint.Server = s.Server
	if got := b.serverSnapshot(s); !reflect.DeepEqual(got, want) {
		t.Errorf("after a restart %+v, want as of a new server %+v", got, want)
	}
}
