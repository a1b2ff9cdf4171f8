package control

import "testing"

// restarted returns the next incarnation of a router at a time, with the endpoint list of three ready servers.
func restarted(r *Balancer, saved, now Micros) *Balancer {
	state := r.LearnedState(saved)
	next := New(now, 1, r.deployment)
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
		r := fleet(deployment(), 3)
		stands(r, 2, 3) // attempts of the earlier incarnation don't count
		next := restarted(r, at, at+c.pause)
		req := newJob(1)
		req.ArrivedAt, req.Deadline = at+c.pause, at+c.pause+4*second
		d := next.Route(at+c.pause, req)
		inst := next.functions[7].instanceOn(next.servers.at(1), false)
		if d.Action != Forward || (d.Server == 2 && next.loaded(at+c.pause, inst)) != c.loaded ||
			inst != nil && inst.replicas > 0 && inst.inFlight > 1 {
			t.Errorf("after %d us: got %+v, %+v", c.pause, d, inst)
		}
	}
}

// A server that restarted, was removed or drained while the router was down gets no requests for what was learned of it.
func TestEndpointListOverridesLearnedState(t *testing.T) {
	for _, ep := range []Endpoint{
		{Server: 2, State: Ready, Weight: 1, StartedAt: at + 1},
		{Server: 2, State: Draining, Weight: 1},
		{Server: 1, State: Draining, Weight: 1},
	} {
		r := fleet(deployment(), 2)
		stands(r, 2, 0)
		next := New(at+2, 1, r.deployment)
		next.ApplyLearned(at+2, r.LearnedState(at))
		next.UpdateEndpoints(at+2, FullUpdate, []Endpoint{ep})
		if inst := next.fullestInstance(at+2, next.functions[7], newJob(1)); inst != nil {
			t.Errorf("%+v: got %+v", ep, inst)
		}
		if d := next.Route(at+2, newJob(1)); ep.State != Ready && d.Action == Forward {
			t.Errorf("%+v: sent to %d", ep, d.Server)
		}
	}
}

// Load commands and attempts sent before the restart count, also if the clock was set back since.
func TestLearnedLimitsCount(t *testing.T) {
	for _, pause := range []Micros{second / 2, -50 * second} {
		config := deployment()
		config.LoadRateWindow, config.LoadRateBase = second, 2
		r := fleet(config, 3)
		r.loadCommandAllowed(at)
		r.loadCommandAllowed(at)
		for range 50 {
			r.servers.at(1).slowStartSends = append(r.servers.at(1).slowStartSends, at)
		}
		now := at + pause
		next := restarted(r, at, now)
		if next.loadCommandAllowed(now) {
			t.Errorf("after %d us: a load command beyond the rate limit", pause)
		}
		if !next.loadCommandAllowed(now + second + 1) {
			t.Errorf("after %d us: no load command after the window", pause)
		}
		next.servers.at(1).StartedAt, next.answerRate = now-second, 10
		if next.withinSlowStartBudget(now, next.servers.at(1)) {
			t.Errorf("after %d us: a request beyond the slow-start budget", pause)
		}
	}
}

// Admitted requests count for the load-rate limit as load commands do, except those with a time in the future: they would
// allow more.
func TestLearnedAdmittedRequestsCount(t *testing.T) {
	for pause, want := range map[Micros]bool{second / 2: true, -50 * second: false} {
		config := deployment()
		config.LoadRateWindow, config.LoadRateBase, config.LoadRatePerRequest = second, 0, 0.5
		r := fleet(config, 3)
		r.admitted = []Micros{at - 1000, at}
		next := restarted(r, at, at+pause)
		if got := next.loadCommandAllowed(at + pause); got != want {
			t.Errorf("after %d us: load command allowed: %t", pause, got)
		}
	}
}

// The answer rate counts for a minute, with the earlier start time: no answers came during the downtime.
func TestLearnedAnswerRateCountsForAMinute(t *testing.T) {
	for pause, want := range map[Micros]float64{second: 2.0 / 30, 61 * second: 0, -1: 0} {
		r := fleet(deployment(), 3)
		r.answers = []Micros{at - second, at}
		next := restarted(r, at, at+pause)
		next.updateAnswerRate(at + pause)
		if next.answerRate < want-1e-9 || next.answerRate > want+1e-9 {
			t.Errorf("after %d us: %g answers a second, want %g", pause, next.answerRate, want)
		}
	}
}

// The quota that a tenant used up stays used up, but no longer than exceedsQuota looks ahead.
func TestLearnedQuotaDebtCounts(t *testing.T) {
	config := deployment()
	config.Quotas = []float64{1}
	r := New(at, 1, config)
	r.quotaDebt[0] = at + 2*second
	for pause, want := range map[Micros]Micros{second: at + 2*second, -3600 * second: at - 3598*second} {
		next := New(at+pause, 1, config)
		next.ApplyLearned(at+pause, r.LearnedState(at))
		if next.quotaDebt[0] != want {
			t.Errorf("after %d us: %d, want %d", pause, next.quotaDebt[0], want)
		}
	}
}
