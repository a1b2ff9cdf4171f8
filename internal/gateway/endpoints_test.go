package gateway

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/fleet"
	"hollymast/internal/invariant"
)

// rareEndpointReads makes the gateway read the endpoint file only when a step requires it.
func rareEndpointReads(c *Config) { c.EndpointFileInterval = time.Hour }

// A step reads the endpoints before it chooses a server, even if the next periodic read is far off.
func TestStepReadsEndpointsFirst(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", rareEndpointReads, serverConfig(0), serverConfig(1))
	for i := range 2 {
		if answer := tg.call(string(rune('a'+i)), "forecast-1", time.Second); answer != "finished" {
			t.Fatalf("got %q", answer)
		}
	}
	usedServer := 0
	if tg.attemptsReceived("a") > 0 && tg.attemptsStarted("a", 1) > 0 {
		usedServer = 1
	}
	states := []string{"ready", "ready"}
	states[usedServer] = "draining"
	tg.writeEndpoints(states...)
	writtenAt := tg.gateway.loop.Now()
	for tg.gateway.loop.Now()-writtenAt < micros(tg.gateway.config.GracePeriod) { // polled, since the process may be paused meanwhile
		time.Sleep(time.Millisecond)
	}
	tg.call("c", "forecast-1", time.Second)
	if tg.attemptsStarted("c", usedServer) > 0 {
		t.Error("it went to a server that had been draining for a grace period")
	}
}

// A call is not sent if the process stalled for the grace period between the read of the endpoints and the choice.
func TestStallBetweenReadAndChoice(t *testing.T) {
	tg := newTestGateway(t, serverConfig(0))
	calls := make(chan *serverCall)
	tg.gateway.loop.Post(func(now control.Micros) {
		tg.gateway.loop.EndpointsAsOf = now - micros(tg.gateway.config.GracePeriod) // as if the process had stalled after the read
		calls <- tg.gateway.newCall(fleet.ID(tg.servers[0].Address()), 1_000_000)
	})
	old := <-calls
	old.message = inferRequest("1", "forecast-1", time.Second)
	if result := tg.exchange(old); result.result != control.NotSent {
		t.Errorf("got %v", result.result)
	}
	for _, r := range tg.log.Records() {
		if r.Kind == invariant.AttemptReceived {
			t.Errorf("the server received request %s", r.Request)
		}
	}
}

// An endpoint source that does not answer delays steps only once, for a quarter of the grace period. Then the router
// continues to serve.
func TestUnresponsiveEndpointSource(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", rareEndpointReads, serverConfig(0))
	if answer := tg.call("1", "forecast-1", time.Second); answer != "finished" {
		t.Fatalf("got %q", answer)
	}
	// Replace the endpoint file by a pipe: a read of it blocks until a writer closes it.
	if err := os.Remove(tg.endpointFile); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(tg.endpointFile, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { // end the blocked read, so that the router can stop
		writer, err := os.OpenFile(tg.endpointFile, os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		os.Remove(tg.endpointFile) // the next read fails
		writer.Close()
	})
	start := time.Now()
	for i := range 5 {
		if answer := tg.call(string(rune('a'+i)), "forecast-1", time.Second); answer != "finished" {
			t.Errorf("got %q", answer)
		}
		time.Sleep(tg.gateway.config.GracePeriod / 4)
	}
	if took := time.Since(start); took > 5*tg.gateway.config.GracePeriod {
		t.Errorf("five requests took %v", took)
	}
}

// If a new server is listed as started an hour ago, for example because its clock was stepped, its start still counts
// as later than the last complete read of a list without it, however long that list was in use.
func TestStartIsBoundedByLastRead(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", rareEndpointReads, serverConfig(0), serverConfig(1))
	refresh := func() (asOf control.Micros) {
		asOf = tg.gateway.loop.Now()
		for control.Micros(tg.gateway.sourceCompleteAsOf.Load()) < asOf {
			tg.gateway.RefreshEndpoints()
			time.Sleep(time.Millisecond)
		}
		return asOf
	}
	tg.writeEndpoints("ready")
	refresh()
	time.Sleep(100 * time.Millisecond) // the list stays in use
	complete := refresh()
	list := fmt.Sprintf("[0]\naddress = %s\n[1]\naddress = %s\nborn = %s\n", tg.servers[0].Address(), tg.servers[1].Address(),
		time.Now().Add(-time.Hour).UTC().Format(time.RFC3339Nano))
	if err := os.WriteFile(tg.endpointFile+".new", []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(tg.endpointFile+".new", tg.endpointFile); err != nil {
		t.Fatal(err)
	}
	refresh()
	bounded := make(chan bool)
	tg.gateway.loop.Post(func(now control.Micros) {
		s := tg.gateway.fleet.Get(fleet.ID(tg.servers[1].Address()))
		bounded <- s.InSlowStart(complete, 1) && !s.InSlowStart(now, 0)
	})
	if !<-bounded {
		t.Error("its start is before the last read without it, or in the future")
	}
}

// Calls to a server that drains, is removed or has another process at its address are withdrawn, by full and by incremental updates.
func TestUpdateWithdrawsCalls(t *testing.T) {
	const address, other = "127.0.0.1:1", "127.0.0.1:2"
	id := fleet.ID(address)
	for name, update := range map[string]fleet.Update{
		"drains":                             {Endpoints: []fleet.Endpoint{{Address: address, State: control.Draining}}},
		"goes":                               {Endpoints: []fleet.Endpoint{{Address: address, State: control.Removed}}},
		"has another process at its address": {Endpoints: []fleet.Endpoint{{Address: address, State: control.Ready, StartedAt: time.Now().UnixMicro()}}},
		"has moved to another cell":          {Endpoints: []fleet.Endpoint{{Address: address, State: control.Ready, Cell: "c2"}}},
		"all":                                {Full: true, Endpoints: []fleet.Endpoint{{Address: other, State: control.Ready}}},
	} {
		tg := newTestGatewayConfigured(t, "", rareEndpointReads, serverConfig(0))
		stages := make(chan [2]attempt.Stage)
		tg.gateway.loop.Post(func(now control.Micros) {
			tg.gateway.applyEndpointUpdate(now, fleet.Update{Full: true, Endpoints: []fleet.Endpoint{{Address: address, State: control.Ready}, {Address: other, State: control.Ready}}})
			var calls [2]*serverCall
			for i, to := range []control.ServerID{id, fleet.ID(other)} {
				calls[i] = tg.gateway.newCall(to, 1_000_000)
				tg.gateway.pools[to] = &serverPool{id: to, since: tg.gateway.fleet.Get(to).SameSince(), inFlight: map[*serverCall]struct{}{calls[i]: {}}}
			}
			tg.gateway.applyEndpointUpdate(now+1, update)
			stages <- [2]attempt.Stage{attempt.Stage(calls[0].stage.Load()), attempt.Stage(calls[1].stage.Load())}
			for _, call := range calls {
				call.cancel()
				delete(tg.gateway.pools, call.server)
			}
		})
		if got := <-stages; got[0] != attempt.Withdrawn || got[1] == attempt.Withdrawn {
			t.Errorf("%s: the call is at stage %d, the call to another server at %d", name, got[0], got[1])
		}
	}
}

func TestDrainedServerGetsNothing(t *testing.T) {
	tg := newTestGateway(t, serverConfig(0), serverConfig(1))
	for i := range 60 {
		if i == 20 {
			tg.writeEndpoints("draining", "ready")
		}
		tg.call(fmt.Sprint(i), fmt.Sprintf("forecast-%d", i%7), time.Second)
		time.Sleep(10 * time.Millisecond)
	}
	if report := tg.checkRules(); report.Rules[2].CheckCount != 1 || report.Succeeded != 60 {
		t.Errorf("want one drain checked and 60 successes: got %+v", report)
	}
}

func TestInvalidEndpointFile(t *testing.T) {
	tg := newTestGateway(t, serverConfig(0))
	if err := os.WriteFile(tg.endpointFile, []byte("[x]\naddress = nowhere\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tg.gateway.RefreshEndpoints()
	if answer := tg.call("1", "forecast-1", time.Second); answer != invariant.Succeeded {
		t.Errorf("got %s", answer)
	}
}
