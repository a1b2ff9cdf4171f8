package control

import "testing"

// again gives the next life of a router, at a time, told the list of three sound servers.
func again(r *Balancer, saved, now Micros) *Balancer {
	m := r.LearnedState(saved)
	next := New(now, 1, r.deployment)
	next.ApplyLearned(now, m)
	list := make([]Endpoint, 3)
	for i := range list {
		list[i] = Endpoint{Server: ServerID(i + 1), State: Ready, Weight: 1}
	}
	next.UpdateEndpoints(now, FullUpdate, list)
	return next
}

func TestRecallsCopiesWithinTheirKeepAlive(t *testing.T) {
	for _, c := range []struct {
		pause Micros
		warm  bool
	}{{second, true}, {9 * second, true}, {11 * second, false}, {-second, false}} {
		r := fleet(deployment(), 3)
		stands(r, 2, 3) // executions of the earlier life are no longer ours
		next := again(r, at, at+c.pause)
		j := newJob(1)
		j.ArrivedAt, j.Deadline = at+c.pause, at+c.pause+4*second
		p := next.Route(at+c.pause, j)
		if in := next.functions[7].instanceOn(next.servers[1], false); p.Action != Forward || (p.Server == 2 && next.loaded(at+c.pause, in)) != c.warm || in != nil && in.replicas > 0 && in.inFlight > 1 {
			t.Errorf("after %d us: got %+v, %+v", c.pause, p, in)
		}
	}
}

// A server that restarted, left or drained while the router was down gets nothing for what was known of it.
func TestListOverrulesMemory(t *testing.T) {
	for _, l := range []Endpoint{{Server: 2, State: Ready, Weight: 1, StartedAt: at + 1}, {Server: 2, State: Draining, Weight: 1}, {Server: 1, State: Draining, Weight: 1}} {
		r := fleet(deployment(), 2)
		stands(r, 2, 0)
		next := New(at+2, 1, r.deployment)
		next.ApplyLearned(at+2, r.LearnedState(at))
		next.UpdateEndpoints(at+2, FullUpdate, []Endpoint{l})
		if in := next.fullestInstance(at+2, next.functions[7], newJob(1)); in != nil {
			t.Errorf("%+v: got %+v", l, in)
		}
		if p := next.Route(at+2, newJob(1)); l.State != Ready && p.Action == Forward {
			t.Errorf("%+v: sent to %d", l, p.Server)
		}
	}
}

// Orders and jobs sent before the restart count, also where the clock was set back since.
func TestRecalledLimitsCount(t *testing.T) {
	for _, pause := range []Micros{second / 2, -50 * second} {
		told := deployment()
		told.LoadRateWindow, told.LoadRateBase = second, 2
		r := fleet(told, 3)
		r.loadCommandAllowed(at)
		r.loadCommandAllowed(at)
		for range 50 {
			r.servers[1].slowStartSends = append(r.servers[1].slowStartSends, at)
		}
		now := at + pause
		next := again(r, at, now)
		if next.loadCommandAllowed(now) {
			t.Errorf("after %d us: an order beyond the ration", pause)
		}
		if !next.loadCommandAllowed(now + second + 1) {
			t.Errorf("after %d us: no order once the window is over", pause)
		}
		next.servers[1].StartedAt, next.answerRate = now-second, 10
		if next.withinSlowStartBudget(now, next.servers[1]) {
			t.Errorf("after %d us: a job beyond the cold server's budget", pause)
		}
	}
}

// Jobs taken count for the ration as orders do, but none of a time still to come: that would allow more.
func TestRecalledJobsTaken(t *testing.T) {
	for pause, want := range map[Micros]bool{second / 2: true, -50 * second: false} {
		told := deployment()
		told.LoadRateWindow, told.LoadRateBase, told.LoadRatePerRequest = second, 0, 0.5
		r := fleet(told, 3)
		r.admitted = []Micros{at - 1000, at}
		next := again(r, at, at+pause)
		if got := next.loadCommandAllowed(at + pause); got != want {
			t.Errorf("after %d us: an order allowed: %t", pause, got)
		}
	}
}

// The pace of answers counts for a minute, with the earlier start: the pause is a time of no answers.
func TestPaceCountsForAMinute(t *testing.T) {
	for pause, want := range map[Micros]float64{second: 2.0 / 30, 61 * second: 0, -1: 0} {
		r := fleet(deployment(), 3)
		r.answers = []Micros{at - second, at}
		next := again(r, at, at+pause)
		next.updateAnswerRate(at + pause)
		if next.answerRate < want-1e-9 || next.answerRate > want+1e-9 {
			t.Errorf("after %d us: %g answers a second, want %g", pause, next.answerRate, want)
		}
	}
}

// What a tenant used up stays used up, but no longer than one that is told apart.
func TestRecalledShares(t *testing.T) {
	told := deployment()
	told.Quotas = []float64{1}
	r := New(at, 1, told)
	r.quotaDebt[0] = at + 2*second
	for pause, want := range map[Micros]Micros{second: at + 2*second, -3600 * second: at - 3598*second} {
		next := New(at+pause, 1, told)
		next.ApplyLearned(at+pause, r.LearnedState(at))
		if next.quotaDebt[0] != want {
			t.Errorf("after %d us: %d, want %d", pause, next.quotaDebt[0], want)
		}
	}
}
