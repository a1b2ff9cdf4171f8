package control

import "testing"

// restartFromLearned returns a router's next incarnation, started at now from the state learned at saved, with an
// endpoint list of three ready servers.
func restartFromLearned(b *Balancer, saved, now Micros) *Balancer {
	state := b.LearnedState(saved)
	next := New(now, 1, b.deployment)
	next.ApplyLearned(now, state)
	endpoints := make([]Endpoint, 3)
	for i := range endpoints {
		endpoints[i] = Endpoint{Server: ServerID(i + 1), State: Ready, Weight: 1}
	}
	next.UpdateEndpoints(now, FullUpdate, endpoints)
	return next
}

func TestLearnedReplicasExpireWithKeepAlive(t *testing.T) {
	for _, c := range []struct {
		pause  Micros
		loaded bool
	}{{second, true}, {9 * second, true}, {11 * second, false}, {-second, false}} {
		b := newTestBalancer(testDeployment(), 3)
		addReplica(b, 2, 3) // the attempts in flight of the earlier incarnation don't count
		next := restartFromLearned(b, testNow, testNow+c.pause)
		req := newRequest(1)
		req.ArrivedAt, req.Deadline = testNow+c.pause, testNow+c.pause+4*second
		d := next.Route(testNow+c.pause, req)
		inst := next.functions[7].instanceOn(next.servers.at(1), false)
		if d.Action != Forward || (d.Server == 2 && next.loaded(testNow+c.pause, inst)) != c.loaded ||
			inst != nil && inst.replicas > 0 && inst.inFlight > 1 {
			t.Errorf("after %d us: got %+v, %+v", c.pause, d, inst)
		}
	}
}

// A server that restarted, was removed or drained while the router was down gets no requests because of its learned
// state.
func TestEndpointListOverridesLearnedState(t *testing.T) {
	for _, ep := range []Endpoint{
		{Server: 2, State: Ready, Weight: 1, StartedAt: testNow + 1},
		{Server: 2, State: Draining, Weight: 1},
		{Server: 1, State: Draining, Weight: 1},
	} {
		b := newTestBalancer(testDeployment(), 2)
		addReplica(b, 2, 0)
		next := New(testNow+2, 1, b.deployment)
		next.ApplyLearned(testNow+2, b.LearnedState(testNow))
		next.UpdateEndpoints(testNow+2, FullUpdate, []Endpoint{ep})
		if inst := next.fullestInstance(testNow+2, next.functions[7], newRequest(1)); inst != nil {
			t.Errorf("%+v: got %+v", ep, inst)
		}
		if d := next.Route(testNow+2, newRequest(1)); ep.State != Ready && d.Action == Forward {
			t.Errorf("%+v: sent to %d", ep, d.Server)
		}
	}
}

// Load commands and attempts sent before the restart count against the limits, even if the clock was set back in
// between.
func TestLearnedLimitsCount(t *testing.T) {
	for _, pause := range []Micros{second / 2, -50 * second} {
		config := testDeployment()
		config.LoadRateWindow, config.LoadRateBase = second, 2
		b := newTestBalancer(config, 3)
		b.loadCommandAllowed(testNow)
		b.loadCommandAllowed(testNow)
		for range 50 {
			b.servers.at(1).slowStartSends = append(b.servers.at(1).slowStartSends, testNow)
		}
		now := testNow + pause
		next := restartFromLearned(b, testNow, now)
		if next.loadCommandAllowed(now) {
			t.Errorf("after %d us: a load command beyond the rate limit is allowed", pause)
		}
		if !next.loadCommandAllowed(now + second + 1) {
			t.Errorf("after %d us: no load command is allowed after the window", pause)
		}
		next.servers.at(1).StartedAt, next.answerRate = now-second, 10
		if next.withinSlowStartBudget(now, next.servers.at(1)) {
			t.Errorf("after %d us: a request beyond the slow-start budget is allowed", pause)
		}
	}
}

// Requests admitted before the restart raise the load-rate limit, except those with a time in the future.
func TestLearnedAdmittedRequestsCount(t *testing.T) {
	for pause, want := range map[Micros]bool{second / 2: true, -50 * second: false} {
		config := testDeployment()
		config.LoadRateWindow, config.LoadRateBase, config.LoadRatePerRequest = second, 0, 0.5
		b := newTestBalancer(config, 3)
		b.admitted = []Micros{testNow - 1000, testNow}
		next := restartFromLearned(b, testNow, testNow+pause)
		if got := next.loadCommandAllowed(testNow + pause); got != want {
			t.Errorf("after %d us: load command allowed: %t", pause, got)
		}
	}
}

// The learned answer rate is used for a minute, and counts from the earlier start time: no answers came during the
// downtime.
func TestLearnedAnswerRateCountsForAMinute(t *testing.T) {
	for pause, want := range map[Micros]float64{second: 2.0 / 30, 61 * second: 0, -1: 0} {
		b := newTestBalancer(testDeployment(), 3)
		b.answers = []Micros{testNow - second, testNow}
		next := restartFromLearned(b, testNow, testNow+pause)
		next.updateAnswerRate(testNow + pause)
		if next.answerRate < want-1e-9 || next.answerRate > want+1e-9 {
			t.Errorf("after %d us: %g answers a second, want %g", pause, next.answerRate, want)
		}
	}
}

// The quota that a tenant has used up stays used up, but no longer than exceedsQuota looks ahead.
func TestLearnedQuotaDebtCounts(t *testing.T) {
	config := testDeployment()
	config.Quotas = []float64{1}
	b := New(testNow, 1, config)
	b.quotaDebt[0] = testNow + 2*second
	for pause, want := range map[Micros]Micros{second: testNow + 2*second, -3600 * second: testNow - 3598*second} {
		next := New(testNow+pause, 1, config)
		next.ApplyLearned(testNow+pause, b.LearnedState(testNow))
		if next.quotaDebt[0] != want {
			t.Errorf("after %d us: %d, want %d", pause, next.quotaDebt[0], want)
		}
	}
}
