package platform

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/discovery"
	"hollymast/internal/fleet"
	"hollymast/internal/platformtest"
)

// logLines returns the log lines with a given message.
func logLines(t *testing.T, log *logBuffer, message string) (lines []map[string]any) {
	t.Helper()
	for text := range strings.Lines(log.String()) {
		line := map[string]any{}
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		if line["message"] == message {
			lines = append(lines, line)
		}
	}
	return lines
}

// serveLogged runs a router that logs at all levels; its discovery service announces one event.
func serveLogged(t *testing.T, event discovery.Event) (*runningRouter, *logBuffer) {
	t.Helper()
	log := &logBuffer{}
	service := platformtest.NewDiscovery(t, "127.0.0.1:0", nil, event)
	text := platformtest.Deployment{Grace: 4 * time.Second, Deadline: 5 * time.Second}.Configuration(service.Address(), event)
	return serveReady(t, newRouter(t, mustParseConfig(t, text), zerolog.New(log))), log
}

// The state line counts how attempts and requests ended and why connections closed. The end of each request is logged
// with its id and reason.
func TestEndsAreLogged(t *testing.T) {
	server := platformtest.NewModelServer(t)
	r, log := serveLogged(t, platformtest.Event(1, "s-0", server.Address(), "ready"))
	c := platformtest.Dial(t, r.Address())
	const id = 0x9b1f03aa5c7e2d41
	c.SendRequest(id, 1)
	if !c.AwaitAnswer() {
		t.Fatal("not served")
	}
	r.stop()
	<-r.done
	state := logLines(t, log, "state")
	if len(state) == 0 {
		t.Fatalf("no state line: %s", log)
	}
	last := state[len(state)-1]
	for field, want := range map[string]string{"attempts": "succeeded: 1", "ended": "served: a server answered: 1", "client_closes": "client, shutdown: 1",
		"messages": "requests: 1"} {
		if last[field] != want {
			t.Errorf("%s: %v, want %q", field, last[field], want)
		}
	}
	delays, memory := last["delays"].(map[string]any), last["memory"].(map[string]any)
	for _, name := range []string{"event_wait_us", "events", "step_us", "scheduling_us", "response_wait_us", "late_response_us"} {
		if value, ok := delays[name].(float64); !ok || value < 0 {
			t.Errorf("delays: %s is %v", name, delays[name])
		}
	}
	if delays["events"] == 0.0 || memory["heap_bytes"] == 0.0 || last["functions"] != 1.0 || last["busiest_client"] != 1.0 {
		t.Errorf("delays %v, memory %v, functions %v, busiest client %v", delays, memory, last["functions"], last["busiest_client"])
	}
	ended := logLines(t, log, "request ended")
	if len(ended) != 1 || ended[0]["id"] != fmt.Sprintf("%016x", uint64(id)) || ended[0]["end"] != "served" || ended[0]["reason"] != string(reasonServerAnswer) {
		t.Errorf("got %v", ended)
	}
}

// A request that the balancer rejects is logged with the balancer's reason.
func TestRejectionIsLoggedWithReason(t *testing.T) {
	t.Parallel() // takes until the deadline
	r, log := serveLogged(t, platformtest.Event(1, "s-0", unreachable, "draining"))
	c := platformtest.Dial(t, r.Address())
	c.SendRequest(1, 1)
	if c.AwaitAnswer() {
		t.Fatal("served without a server")
	}
	ended := logLines(t, log, "request ended")
	if len(ended) != 1 || ended[0]["end"] != "rejected" || ended[0]["reason"] != "it can't end before its deadline" {
		t.Errorf("got %v", ended)
	}
}

// What a server in slow start was sent is logged when the server is ejected and when its slow start ends.
func TestSlowStartIsLogged(t *testing.T) {
	const uid, slowStart = "s-1", 3 * time.Second
	config := mustParseConfig(t, platformtest.Deployment{Grace: time.Second, SlowStart: slowStart}.Configuration(unreachable,
		platformtest.Event(1, "s-0", unreachable, "ready")))
	log := &logBuffer{}
	r := newRouter(t, config, zerolog.New(log))
	now := r.loop.Epoch + 5_000_000 // past the overload window after the router's own start
	r.handleUpdate(now, fleet.Update{Endpoints: []fleet.Endpoint{{Name: uid, Address: unreachable, State: control.Ready, StartedAt: int64(now)}}})
	r.logEndpoints(now)
	changes := logLines(t, log, "endpoints changed")
	if len(changes) != 1 || !strings.Contains(fmt.Sprint(changes[0]["changes"]), uid+" ready started 0 ms ago") {
		t.Errorf("got %v", changes)
	}
	for range 3 {
		r.recordSlowStartSend(now+1000, fleet.ID(uid))
	}
	r.LogServerEvent(control.ServerEvent{Server: fleet.ID(uid), Kind: control.ServerEjected, Cause: control.ConnectionsFail})
	r.endSlowStarts(now + control.Micros(slowStart.Microseconds()))
	for _, message := range []string{"server ejected: connections to it fail", "slow start ended"} {
		lines := logLines(t, log, message)
		if len(lines) != 1 || lines[0]["slow_start_sent"] != 3.0 || lines[0]["server"] != fmt.Sprintf("%x", fleet.ID(uid)) {
			t.Errorf("%s: got %v", message, lines)
		}
	}
	if len(r.slowStarts) != 0 {
		t.Error("the slow-start record is kept")
	}
}

// Log lines about the endpoint list are limited in number and length, and state how much they omit.
func TestEndpointLogIsBounded(t *testing.T) {
	log := &logBuffer{}
	r := newRouter(t, mustParseConfig(t, configText(unreachable)), zerolog.New(log))
	now := r.loop.Epoch + 1_000_000
	update := fleet.Update{}
	for n := range 3 * maxEndpointsPerLine {
		update.Endpoints = append(update.Endpoints, fleet.Endpoint{Name: fmt.Sprintf("s-%d", n), Address: unreachable, State: control.Ready})
	}
	r.handleUpdate(now, update)
	r.logEndpoints(now)
	r.handleUpdate(now+1, fleet.Update{Endpoints: []fleet.Endpoint{{Name: "s-0", Address: unreachable, State: control.Draining}}})
	r.logEndpoints(now + 1)
	lines := logLines(t, log, "endpoints changed")
	if len(lines) != 1 || lines[0]["omitted"] != 2.0*maxEndpointsPerLine {
		t.Fatalf("got %v", lines)
	}
	r.logEndpoints(now + minEndpointLogInterval)
	if lines = logLines(t, log, "endpoints changed"); len(lines) != 2 || lines[1]["changes"] != "s-0 draining" {
		t.Errorf("after the minimum interval: got %v", lines)
	}
}

// Requests that the router itself fails are not logged as cancelled, and a connection that ends after a panic is
// distinguished from one whose client broke the protocol.
func TestFailedConnectionIsLogged(t *testing.T) {
	server, held := holdingServer(t)
	r := start(t, server)
	c := r.dial(t)
	c.sendRequest(1, "again")
	<-held
	r.config.classes["panics"] = 99 // no such class: handling the request panics
	c.conn.Write(longRequest(t, 2, "panics"))
	c.expect("1: Aborted")
	c.expect("2: Aborted")
	c.expect("closed")
	platformtest.WaitFor(t, "the connection's end is counted", func() bool { return r.clientCloses.count(clientClosePanic) == 1 })
	platformtest.WaitFor(t, "the request's end is counted", func() bool {
		return r.requestEnds.count(requestOutcome{endFailed, reasonConnRejects}) == 1
	})
	if n := r.requestEnds.count(requestOutcome{endCancelled, reasonClientLeft}); n != 0 {
		t.Errorf("%d requests count as cancelled by their client", n)
	}
}

// count returns how often a kind was counted.
func (c *counter[Kind]) count(kind Kind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[kind]
}
