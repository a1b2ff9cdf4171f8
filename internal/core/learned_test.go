package core

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
)

// randomLearnedState draws a learned state that a file might contain, correct or not.
func randomLearnedState(t *rapid.T, now control.Micros) *control.LearnedState {
	timestamp := func() control.Micros {
		return control.Micros(rapid.Int64Range(0, int64(now)+5_000_000).Draw(t, "time"))
	}
	timestamps := func() []control.Micros {
		return rapid.SliceOfN(rapid.Map(rapid.Int64Range(int64(now)-3_000_000, int64(now)+1_000_000),
			func(v int64) control.Micros { return control.Micros(v) }), 0, 6).Draw(t, "times")
	}
	state := &control.LearnedState{SavedAt: timestamp(), StartedAt: timestamp(), QuotaDebt: timestamps(), LoadCommands: timestamps(),
		Admitted: timestamps(), Answers: timestamps()}
	for id := range control.ServerID(7) {
		if rapid.Bool().Draw(t, "known") {
			state.Servers = append(state.Servers, control.LearnedServer{Server: id, StartedAt: timestamp(), SlowStartSends: timestamps()})
		}
	}
	for id := range control.FunctionID(8) {
		f := control.LearnedFunction{ID: id, Lanes: rapid.IntRange(0, 4).Draw(t, "lanes")}
		for s := range control.ServerID(7) {
			if rapid.Bool().Draw(t, "loaded") {
				f.Instances = append(f.Instances, control.LearnedInstance{Server: s,
					Replicas: rapid.IntRange(0, 3).Draw(t, "replicas"), LastUsed: timestamp(),
					Loading: rapid.IntRange(0, 2).Draw(t, "loading"), LoadingSince: timestamp()})
			}
		}
		state.Functions = append(state.Functions, f)
	}
	return state
}

// Whatever the learned state, no attempt goes to a draining or unlisted server, load commands stay within their rate
// limit, and requests are still forwarded.
func TestAnyLearnedStateIsSafe(t *testing.T) {
	forwarded := 0
	rapid.Check(t, func(t *rapid.T) {
		now, next := control.Micros(100_000_000), control.RequestID(0)
		deployment := randomDeployment(t)
		deployment.LoadRatePerRequest = 0 // so that LoadRateBase alone limits each window
		learned := randomLearnedState(t, now)
		balancer := control.New(now, 7, deployment)
		balancer.ApplyLearned(now, learned)
		c := newTestCore(balancer)
		list := []control.Endpoint{{Server: 1, State: control.Ready, Weight: 1},
			{Server: 2, State: control.Draining, Weight: 1}, {Server: 3, State: control.Ready, Weight: 1}}
		c.UpdateEndpoints(now, control.FullUpdate, list)
		var loadCommands []control.Micros
		for _, at := range learned.LoadCommands {
			loadCommands = append(loadCommands, min(at, now))
		}
		for range 60 {
			now += control.Micros(rapid.IntRange(1, 50_000).Draw(t, "pause"))
			next++
			c.Add(now, control.Request{ID: next, Function: control.FunctionID(rapid.IntRange(0, 9).Draw(t, "function")),
				Lanes: 2, ArrivedAt: now, Deadline: now + 3_000_000})
			c.Step(now)
			for _, call := range c.takeCalls() {
				if strings.HasPrefix(call, "forward") && strings.HasSuffix(call, "to 2") {
					t.Fatalf("a draining server got a request: %s", call)
				}
				if strings.HasPrefix(call, "load") {
					loadCommands = append(loadCommands, now)
					expired := func(at control.Micros) bool { return at < now-deployment.LoadRateWindow }
					if n := len(slices.DeleteFunc(slices.Clone(loadCommands), expired)); float64(n) > deployment.LoadRateBase {
						t.Fatalf("%d load commands within a window", n)
					}
				}
			}
			for _, sent := range c.sent {
				if sent.server != 1 && sent.server != 3 {
					t.Fatalf("server %d, not on the list, got a request", sent.server)
				}
				forwarded++
				c.HandleOutcome(now, sent.request, control.Outcome{Attempt: sent.attempt, Server: sent.server, Result: control.Succeeded,
					Duration: 40_000, RequestDone: true})
			}
			c.sent = c.sent[:0]
		}
	})
	if forwarded == 0 {
		t.Error("no request was ever forwarded")
	}
}

// BenchmarkLearnedState measures the copy of the learned state that is taken between two steps before it is written to
// disk.
func BenchmarkLearnedState(b *testing.B) {
	c, now := newBusyCore()
	for b.Loop() {
		if c.LearnedState(now) == nil {
			b.Fatal("no learned state")
		}
	}
}
