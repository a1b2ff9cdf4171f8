package gateway

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/fleet"
	"hollymast/internal/invariant"
)

// TestRepeatOfWaitingRequestRunsOnce guards against a call that runs twice because it comes again under its idempotency key, after its
// client has left, while the first one still waits for a server or is at one.
func TestRepeatOfWaitingRequestRunsOnce(t *testing.T) {
	for _, c := range []struct {
		name      string
		function  string
		withState bool
		waits     bool // the first one still waits for a server when it comes again
		served    bool // the repeat is
	}{
		{"run-once, waiting", "ticket-1", true, true, true},
		{"run-once, waiting, without stored state", "ticket-1", false, true, true},
		{"run-once, running", "ticket-1", true, false, false},
		{"run-once, running, without stored state", "ticket-1", false, false, false},
		{"keyed, waiting", "booking-1", true, true, true},
		{"keyed, waiting, without stored state", "booking-1", false, true, true},
		{"keyed, running, without stored state", "booking-1", false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := serverConfig(0)
			server.ExecutionTime = 300 * time.Millisecond
			if strings.HasPrefix(c.function, "ticket") {
				server.DedupWindow = 0 // servers don't drop repeats of run-once calls
			}
			sections := ""
			if c.withState {
				sections = stateSection(t.TempDir())
			}
			tg := newTestGatewayWith(t, sections, server)
			var calls sync.WaitGroup
			if c.waits {
				tg.updateEndpoints(control.Draining)
			}
			ends := make([]string, 2)
			for n := range ends {
				calls.Go(func() { ends[n] = tg.callWithKey(fmt.Sprint("call-", n), c.function, "key") })
				time.Sleep(100 * time.Millisecond)
			}
			if c.waits {
				tg.updateEndpoints(control.Ready)
			}
			calls.Wait()
			runs := tg.attemptsStarted("call-0", -1) + tg.attemptsStarted("call-1", -1)
			if runs != 1 {
				t.Errorf("it ran %d times; the first ended as %s, the repeat as %s", runs, ends[0], ends[1])
			}
			if served := ends[1] == invariant.Succeeded; served != c.served {
				t.Errorf("the repeat ended as %s", ends[1])
			}
			if ends[0] == invariant.Rejected {
				t.Error("the first call is said to be harmless to repeat")
			}
		})
	}
}

// updateEndpoints lists the first server in a state, and returns once that is applied.
func (tg *testGateway) updateEndpoints(state control.ServerState) {
	applied := make(chan struct{})
	tg.gateway.loop.PostEndpoints(func(now control.Micros) {
		tg.gateway.applyEndpointUpdate(now, fleet.Update{Full: true, Endpoints: []fleet.Endpoint{{Address: tg.servers[0].Address(), State: state, Weight: 1}}})
		close(applied)
	})
	<-applied
}
