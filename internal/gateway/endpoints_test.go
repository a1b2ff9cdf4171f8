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

// rarely has the list's file looked at only where a turn asks for it.
func rareEndpointReads(c *Config) { c.EndpointFileInterval = time.Hour }

// A turn reads the list before it chooses, however long the next look would be off, and whether an alarm was missed or not.
func TestTurnReadsTheListFirst(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", rareEndpointReads, serverOptions(0), serverOptions(1))
	for i := range 2 {
		if word := tg.call(string(rune('a'+i)), "forecast-1", time.Second); word != "finished" {
			t.Fatalf("got %q", word)
		}
	}
	used := 0
	if tg.received("a") > 0 && tg.attemptsBegun("a", 1) > 0 {
		used = 1
	}
	states := []string{"ready", "ready"}
	states[used] = "draining"
	tg.writeEndpoints(states...)
	told := tg.gateway.now()
	for tg.gateway.now()-told < micros(tg.gateway.config.GracePeriod) { // the process may have been stopped meanwhile
		time.Sleep(time.Millisecond)
	}
	tg.call("c", "forecast-1", time.Second)
	if tg.attemptsBegun("c", used) > 0 {
		t.Error("it went to the server that drained a grace ago")
	}
}

// A stop between the look at the list and the turn's choices makes these no younger than their list.
func TestStopBetweenListAndChoice(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
	s := make(chan *serverCall)
	tg.gateway.post(func(now control.Micros) {
		tg.gateway.endpointsAsOf = now - micros(tg.gateway.config.GracePeriod) // the process was stopped after the look
		s <- tg.gateway.newCall(fleet.ID(tg.servers[0].Address()), 1_000_000)
	})
	old := <-s
	old.message = inferRequest("1", "forecast-1", time.Second)
	if result := tg.exchange(old); result.result != control.NotSent {
		t.Errorf("got %v", result.result)
	}
	for _, r := range tg.log.Records() {
		if r.Kind == invariant.AttemptReceived {
			t.Errorf("server got job %s", r.Request)
		}
	}
}

// A source of the list that gives no word holds turns up once, for a quarter of the grace, and the router serves on.
func TestListThatGivesNoWord(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", rareEndpointReads, serverOptions(0))
	if word := tg.call("1", "forecast-1", time.Second); word != "finished" {
		t.Fatalf("got %q", word)
	}
	// From now on the list is a pipe, and a look lasts until somebody writes.
	if err := os.Remove(tg.endpointFile); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(tg.endpointFile, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { // the look ends before the router does
		writer, err := os.OpenFile(tg.endpointFile, os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		os.Remove(tg.endpointFile) // the next one finds none
		writer.Close()
	})
	began := time.Now()
	for i := range 5 {
		if word := tg.call(string(rune('a'+i)), "forecast-1", time.Second); word != "finished" {
			t.Errorf("got %q", word)
		}
		time.Sleep(tg.gateway.config.GracePeriod / 4)
	}
	if took := time.Since(began); took > 5*tg.gateway.config.GracePeriod {
		t.Errorf("five jobs took %v", took)
	}
}

// A server that is told to have started an hour ago, as after a step of the clock, began after the list was last looked at without
// it, however long that list had stood.
func TestStartIsBoundedByTheLastLook(t *testing.T) {
	tg := newTestGatewayConfigured(t, "", rareEndpointReads, serverOptions(0), serverOptions(1))
	look := func() (asOf control.Micros) {
		asOf = tg.gateway.now()
		for control.Micros(tg.gateway.sourceCompleteAsOf.Load()) < asOf {
			tg.gateway.RefreshEndpoints()
			time.Sleep(time.Millisecond)
		}
		return asOf
	}
	tg.writeEndpoints("ready")
	look()
	time.Sleep(100 * time.Millisecond) // the list stands
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
	tg.gateway.post(func(now control.Micros) {
		s := tg.gateway.fleet.Get(fleet.ID(tg.servers[1].Address()))
		bounded <- s.InSlowStart(complete, 1) && !s.InSlowStart(now, 0)
	})
	if !<-bounded {
		t.Error("it began before the list was complete without it, or after now")
	}
}

// What is on its way to a server that drains or goes is taken back, whether the list tells all servers or what changed.
func TestNewsTakesBackWhatIsOnItsWay(t *testing.T) {
	const address, other = "127.0.0.1:1", "127.0.0.1:2"
	id := fleet.ID(address)
	for name, news := range map[string]fleet.Update{
		"drains": {Endpoints: []fleet.Endpoint{{Address: address, State: control.Draining}}},
		"goes":   {Endpoints: []fleet.Endpoint{{Address: address, State: control.Removed}}},
		"all":    {Full: true, Endpoints: []fleet.Endpoint{{Address: other, State: control.Ready}}},
	} {
		tg := newTestGatewayConfigured(t, "", rareEndpointReads, serverOptions(0))
		stages := make(chan [2]attempt.Stage)
		tg.gateway.post(func(now control.Micros) {
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
	if v := tg.checkRules(); v.Rules[2].Opportunities != 1 || v.Succeeded != 60 {
		t.Errorf("got %+v", v)
	}
}

func TestBadListIsRefused(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
	if err := os.WriteFile(tg.endpointFile, []byte("[x]\naddress = nowhere\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tg.gateway.RefreshEndpoints()
	if word := tg.call("1", "forecast-1", time.Second); word != invariant.Succeeded {
		t.Errorf("got %s", word)
	}
}
