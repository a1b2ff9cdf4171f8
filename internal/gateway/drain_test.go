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
func rarely(t *Config) { t.EndpointFileInterval = time.Hour }

// A turn reads the list before it chooses, however long the next look would be off, and whether an alarm was missed or not.
func TestTurnReadsTheListFirst(t *testing.T) {
	f := newFieldChanged(t, "", rarely, usual(0), usual(1))
	for i := range 2 {
		if word := f.ask(string(rune('a'+i)), "forecast-1", time.Second); word != "finished" {
			t.Fatalf("got %q", word)
		}
	}
	used := 0
	if f.received("a") > 0 && f.began("a", 1) > 0 {
		used = 1
	}
	states := []string{"ready", "ready"}
	states[used] = "draining"
	f.write(states...)
	told := f.g.now()
	for f.g.now()-told < micros(f.g.told.GracePeriod) { // the process may have been stopped meanwhile
		time.Sleep(time.Millisecond)
	}
	f.ask("c", "forecast-1", time.Second)
	if f.began("c", used) > 0 {
		t.Error("it went to the server that drained a grace ago")
	}
}

// A stop between the look at the list and the turn's choices makes these no younger than their list.
func TestStopBetweenListAndChoice(t *testing.T) {
	f := newField(t, usual(0))
	s := make(chan *sending)
	f.g.tell(func(now control.Micros) {
		f.g.listAsOf = now - micros(f.g.told.GracePeriod) // the process was stopped after the look
		s <- f.g.sending(fleet.ID(f.servers[0].Address()), 1_000_000)
	})
	old := <-s
	old.request = request("1", "forecast-1", time.Second)
	if e := f.carried(old); e.result != control.NotSent {
		t.Errorf("got %v", e.result)
	}
	for _, r := range f.log.Records() {
		if r.Kind == invariant.AttemptReceived {
			t.Errorf("server got job %s", r.Request)
		}
	}
}

// A source of the list that gives no word holds turns up once, for a quarter of the grace, and the router serves on.
func TestListThatGivesNoWord(t *testing.T) {
	f := newFieldChanged(t, "", rarely, usual(0))
	if word := f.ask("1", "forecast-1", time.Second); word != "finished" {
		t.Fatalf("got %q", word)
	}
	// From now on the list is a pipe, and a look lasts until somebody writes.
	if err := os.Remove(f.list); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(f.list, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { // the look ends before the router does
		writer, err := os.OpenFile(f.list, os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		os.Remove(f.list) // the next one finds none
		writer.Close()
	})
	began := time.Now()
	for i := range 5 {
		if word := f.ask(string(rune('a'+i)), "forecast-1", time.Second); word != "finished" {
			t.Errorf("got %q", word)
		}
		time.Sleep(f.g.told.GracePeriod / 4)
	}
	if took := time.Since(began); took > 5*f.g.told.GracePeriod {
		t.Errorf("five jobs took %v", took)
	}
}

// A server that is told to have started an hour ago, as after a step of the clock, began after the list was last looked at without
// it, however long that list had stood.
func TestStartIsBoundedByTheLastLook(t *testing.T) {
	f := newFieldChanged(t, "", rarely, usual(0), usual(1))
	look := func() (asOf control.Micros) {
		asOf = f.g.now()
		for control.Micros(f.g.listWhole.Load()) < asOf {
			f.g.RefreshEndpoints()
			time.Sleep(time.Millisecond)
		}
		return asOf
	}
	f.write("ready")
	look()
	time.Sleep(100 * time.Millisecond) // the list stands
	complete := look()
	list := fmt.Sprintf("[0]\naddress = %s\n[1]\naddress = %s\nborn = %s\n", f.servers[0].Address(), f.servers[1].Address(),
		time.Now().Add(-time.Hour).UTC().Format(time.RFC3339Nano))
	if err := os.WriteFile(f.list+".new", []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(f.list+".new", f.list); err != nil {
		t.Fatal(err)
	}
	look()
	bounded := make(chan bool)
	f.g.tell(func(now control.Micros) {
		s := f.g.fleet.Get(fleet.ID(f.servers[1].Address()))
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
		f := newFieldChanged(t, "", rarely, usual(0))
		stages := make(chan [2]attempt.Stage)
		f.g.tell(func(now control.Micros) {
			f.g.listed(now, fleet.Update{Full: true, Endpoints: []fleet.Endpoint{{Address: address, State: control.Ready}, {Address: other, State: control.Ready}}})
			var sent [2]*sending
			for i, to := range []control.ServerID{id, fleet.ID(other)} {
				sent[i] = f.g.sending(to, 1_000_000)
				f.g.pools[to] = &pool{id: to, out: map[*sending]struct{}{sent[i]: {}}}
			}
			f.g.listed(now, news)
			stages <- [2]attempt.Stage{attempt.Stage(sent[0].stage.Load()), attempt.Stage(sent[1].stage.Load())}
			for _, s := range sent {
				s.cancel()
				delete(f.g.pools, s.to)
			}
		})
		if got := <-stages; got[0] != attempt.Withdrawn || got[1] == attempt.Withdrawn {
			t.Errorf("%s: it is at stage %d, what goes to another server at %d", name, got[0], got[1])
		}
	}
}
