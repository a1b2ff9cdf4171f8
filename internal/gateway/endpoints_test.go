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

// rareEndpointReads has the endpoint file read only when a step requires it.
func rareEndpointReads(c *Config) { c.EndpointFileInterval = time.Hour }

// A step reads the endpoints before it chooses, however far off the next regular read is.
func TestStepReadsEndpointsFirst(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", rareEndpointReads, serverOptions(0), serverOptions(1))
	for i := range 2 {
		if answer := tg.call(string(rune('a'+i)), "forecast-1", time.Second); answer != "finished" {
			t.Fatalf("got %q", answer)
		}
	}
	used := 0
	if tg.received("a") > 0 && tg.attemptsBegun("a", 1) > 0 {
		used = 1
	}
	states := []string{"ready", "ready"}
	states[used] = "draining"
	tg.writeEndpoints(states...)
	told := tg.gateway.loop.Now()
	for tg.gateway.loop.Now()-told < micros(tg.gateway.config.GracePeriod) { // the process may have been stopped meanwhile
		time.Sleep(time.Millisecond)
	}
	tg.call("c", "forecast-1", time.Second)
	if tg.attemptsBegun("c", used) > 0 {
		t.Error("it went to the server that drained a grace ago")
	}
}

// A stall between the read of the endpoints and the step's choices makes these no newer than their endpoint list.
func TestStallBetweenReadAndChoice(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
	s := make(chan *serverCall)
	tg.gateway.loop.Post(func(now control.Micros) {
		tg.gateway.loop.EndpointsAsOf = now - micros(tg.gateway.config.GracePeriod) // the process was stalled after the read
		s <- tg.gateway.newCall(fleet.ID(tg.servers[0].Address()), 1_000_000)
	})
	old := <-s
	old.message = inferRequest("1", "forecast-1", time.Second)
	if result := tg.exchange(old); result.result != control.NotSent {
		t.Errorf("got %v", result.result)
	}
	for _, r := range tg.log.Records() {
		if r.Kind == invariant.AttemptReceived {
			t.Errorf("the server got request %s", r.Request)
		}
	}
}

// A source of endpoints that does not answer delays steps once, for a quarter of the grace period; then the router serves
// on.
func TestUnresponsiveEndpointSource(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", rareEndpointReads, serverOptions(0))
	if answer := tg.call("1", "forecast-1", time.Second); answer != "finished" {
		t.Fatalf("got %q", answer)
	}
	// From now on the endpoint file is a pipe, and a read lasts until it is written.
	if err := os.Remove(tg.endpointFile); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(tg.endpointFile, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { // the read ends before the router does
		writer, err := os.OpenFile(tg.endpointFile, os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		os.Remove(tg.endpointFile) // the next one finds none
		writer.Close()
	})
	began := time.Now()
	for i := range 5 {
		if answer := tg.call(string(rune('a'+i)), "forecast-1", time.Second); answer != "finished" {
			t.Errorf("got %q", answer)
		}
		time.Sleep(tg.gateway.config.GracePeriod / 4)
	}
	if took := time.Since(began); took > 5*tg.gateway.config.GracePeriod {
		t.Errorf("five requests took %v", took)
	}
}

// A server that is listed as started an hour ago, as after a step of its clock, started after the endpoints were last read
// without it, however long that list was in force.
func TestStartIsBoundedByLastRead(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", rareEndpointReads, serverOptions(0), serverOptions(1))
	look := func() (asOf control.Micros) {
		asOf = tg.gateway.loop.Now()
		for control.Micros(tg.gateway.sourceCompleteAsOf.Load()) < asOf {
			tg.gateway.RefreshEndpoints()
			time.Sleep(time.Millisecond)
		}
		return asOf
	}
	tg.writeEndpoints("ready")
	look()
	time.Sleep(100 * time.Millisecond) // the list stays in force
	complete := look()
	list := fmt.Sprintf("[0]\naddress = %s\n[1]\naddress = %s\nborn = %s\n", tg.servers[0].Address(), tg.servers[1].Address(),
		time.Now().Add(-time.Hour).UTC().Format(time.RFC3339Nano))
	if err := os.WriteFile(tg.endpointFile+".new", []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(tg.endpointFile+".new", tg.endpointFile); err != nil {
		t.Fatal(err)
	}
	look()
	bounded := make(chan bool)
	tg.gateway.loop.Post(func(now control.Micros) {
		s := tg.gateway.fleet.Get(fleet.ID(tg.servers[1].Address()))
		bounded <- s.InSlowStart(complete, 1) && !s.InSlowStart(now, 0)
	})
	if !<-bounded {
		t.Error("it began before the list was complete without it, or after now")
	}
}

// Calls to a server that drains or is removed are withdrawn, by a full update and by an incremental one.
func TestUpdateWithdrawsCalls(t *testing.T) {
	const address, other = "127.0.0.1:1", "127.0.0.1:2"
	id := fleet.ID(address)
	for name, news := range map[string]fleet.Update{
		"drains": {Endpoints: []fleet.Endpoint{{Address: address, State: control.Draining}}},
		"goes":   {Endpoints: []fleet.Endpoint{{Address: address, State: control.Removed}}},
		"all":    {Full: true, Endpoints: []fleet.Endpoint{{Address: other, State: control.Ready}}},
	} {
		tg := newTestGatewayConfigured(t, "", rareEndpointReads, serverOptions(0))
		stages := make(chan [2]attempt.Stage)
		tg.gateway.loop.Post(func(now control.Micros) {
			tg.gateway.handleUpdate(now, fleet.Update{Full: true, Endpoints: []fleet.Endpoint{{Address: address, State: control.Ready}, {Address: other, State: control.Ready}}})
			var sent [2]*serverCall
			for i, to := range []control.ServerID{id, fleet.ID(other)} {
				sent[i] = tg.gateway.newCall(to, 1_000_000)
				tg.gateway.pools[to] = &serverPool{id: to, open: map[*serverCall]struct{}{sent[i]: {}}}
			}
			tg.gateway.handleUpdate(now, news)
			stages <- [2]attempt.Stage{attempt.Stage(sent[0].stage.Load()), attempt.Stage(sent[1].stage.Load())}
			for _, call := range sent {
				call.cancel()
				delete(tg.gateway.pools, call.to)
			}
		})
		if got := <-stages; got[0] != attempt.Withdrawn || got[1] == attempt.Withdrawn {
			t.Errorf("%s: it is at stage %d, what goes to another server at %d", name, got[0], got[1])
		}
	}
}

func TestDrainedServerGetsNothing(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0), serverOptions(1))
	for i := range 60 {
		if i == 20 {
			tg.writeEndpoints("draining", "ready")
		}
		tg.call(fmt.Sprint(i), fmt.Sprintf("forecast-%d", i%7), time.Second)
		time.Sleep(10 * time.Millisecond)
	}
	if v := tg.checkRules(); v.Rules[2].CheckCount != 1 || v.Succeeded != 60 {
		t.Errorf("got %+v", v)
	}
}

func TestInvalidEndpointFile(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
	if err := os.WriteFile(tg.endpointFile, []byte("[x]\naddress = nowhere\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tg.gateway.RefreshEndpoints()
	if answer := tg.call("1", "forecast-1", time.Second); answer != invariant.Succeeded {
		t.Errorf("got %s", answer)
	}
}
