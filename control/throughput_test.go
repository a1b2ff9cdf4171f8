package control

import (
	"math"
	"testing"
)

// throughputSim simulates a balancer whose ready servers each answer at a steady rate.
type throughputSim struct {
	t        *testing.T
	balancer *Balancer
	now      Micros
}

const (
	simServers    = 12
	simAnswerRate = 10.0 // answers per second of a server at full capacity
)

// newThroughputSim returns a simulation that has run for longer than answers are counted.
func newThroughputSim(t *testing.T) *throughputSim {
	t.Helper()
	sim := &throughputSim{t, New(testNow, 1, testDeployment()), testNow}
	var list []Endpoint
	for id := range ServerID(simServers) {
		list = append(list, Endpoint{Server: id + 1, State: Ready, Weight: 1})
	}
	sim.balancer.UpdateEndpoints(sim.now, FullUpdate, list)
	sim.run(15 * second)
	return sim
}

// run lets time pass: the ready servers answer at their full rate, and Maintain is called when it is due.
func (sim *throughputSim) run(span Micros) {
	const step = second / 50
	answers := 0.0
	for end := sim.now + span; sim.now < end; sim.now += step {
		for s := range sim.balancer.servers.all {
			if s.State == Ready {
				answers += simAnswerRate * sim.balancer.capacity(sim.now, s) * float64(step) / 1e6
			}
		}
		for ; answers >= 1; answers-- {
			sim.balancer.countAnswer(sim.now, sim.balancer.servers.at(sim.readyServer()))
		}
		if sim.now%maintenanceInterval == 0 {
			sim.balancer.Maintain(sim.now)
		}
	}
	sim.balancer.Maintain(sim.now)
}

// readyServer returns the position of a ready server.
func (sim *throughputSim) readyServer() int {
	for i := range sim.balancer.servers.len {
		if sim.balancer.servers.at(i).State == Ready {
			return i
		}
	}
	sim.t.Fatal("no server is ready")
	return 0
}

// setState changes the state of the servers with the IDs first to last.
func (sim *throughputSim) setState(first, last ServerID, state ServerState, startedAt Micros) {
	var changed []Endpoint
	for id := first; id <= last; id++ {
		changed = append(changed, Endpoint{Server: id, State: state, Weight: 1, StartedAt: startedAt})
	}
	sim.balancer.UpdateEndpoints(sim.now, IncrementalUpdate, changed)
}

// checkRate checks the estimated answer rate.
func (sim *throughputSim) checkRate(when string) {
	sim.t.Helper()
	const tolerance = 0.1
	if got := sim.balancer.answerRate; math.Abs(got-simAnswerRate) > tolerance*simAnswerRate {
		sim.t.Errorf("%s: %.2f answers a second, want %.0f", when, got, simAnswerRate)
	}
}

// The estimate stays at a server's rate while the set of ready servers changes. Otherwise servers in slow start are
// credited with the answers of all servers that have just begun to drain, and overloaded.
func TestAnswerRateFollowsTheReadySet(t *testing.T) {
	sim := newThroughputSim(t)
	sim.checkRate("at first")
	sim.setState(11, 12, Removed, 0)
	sim.run(5 * second)
	sim.checkRate("two servers less")
	sim.setState(1, 10, Draining, 0)
	sim.run(second)
	sim.checkRate("no server ready")
	sim.setState(11, 12, Ready, sim.now-second/2)
	for range 10 {
		sim.run(second / 5)
		sim.checkRate("two in slow start alone")
	}
	sim.setState(1, 10, Ready, 0)
	for range 10 {
		sim.run(second)
		sim.checkRate("all again")
	}
}

// A draining server still answers its requests, which says nothing about the rate of ready servers.
func TestAnswersOfDrainingServersDoNotCount(t *testing.T) {
	sim := newThroughputSim(t)
	sim.setState(1, 11, Draining, 0)
	for range 200 {
		sim.balancer.countAnswer(sim.now, sim.balancer.servers.at(0))
	}
	sim.run(second)
	sim.checkRate("one left")
}

// The estimate from before a time without ready servers still holds after it, however long that time was.
func TestAnswerRateOutlastsAnOutage(t *testing.T) {
	sim := newThroughputSim(t)
	sim.setState(1, simServers, Removed, 0)
	sim.run(60 * second)
	sim.checkRate("after a minute without servers")
	sim.setState(1, simServers, Ready, sim.now)
	sim.run(2 * second)
	sim.checkRate("all back in slow start")
}

// The capacity history stays short however often the endpoint list changes.
func TestCapacityHistoryIsBounded(t *testing.T) {
	sim := newThroughputSim(t)
	for range 10_000 {
		sim.now += second / 1000
		sim.setState(12, 12, Draining, 0)
		sim.setState(12, 12, Ready, 0)
	}
	sim.balancer.Maintain(sim.now)
	if n := len(sim.balancer.capacityHistory.periods); n > 110 {
		t.Errorf("%d periods", n)
	}
}

// After a restart into a smaller fleet, the answers of the earlier incarnation are shared among the servers known at
// that time.
func TestLearnedAnswersInASmallerFleet(t *testing.T) {
	sim := newThroughputSim(t)
	next := New(sim.now+second, 1, sim.balancer.deployment)
	next.ApplyLearned(sim.now+second, sim.balancer.LearnedState(sim.now))
	next.UpdateEndpoints(sim.now+second, FullUpdate, []Endpoint{{Server: 1, State: Ready, Weight: 1}})
	next.updateAnswerRate(sim.now + second)
	if next.answerRate > simAnswerRate || next.answerRate < simAnswerRate/2 {
		t.Errorf("%.2f answers a second, want about %.0f and no more", next.answerRate, simAnswerRate)
	}
}

// A snapshot contains the capacity history; one that was stored without it is restored as if the capacity had not
// changed.
func TestSnapshotCarriesCapacityHistory(t *testing.T) {
	sim := newThroughputSim(t)
	snapshot := sim.balancer.Snapshot()
	restored, err := Restore(snapshot, nil)
	if err != nil {
		t.Fatal(err)
	}
	restored.updateAnswerRate(sim.now + second)
	sim.balancer.updateAnswerRate(sim.now + second)
	if restored.answerRate != sim.balancer.answerRate {
		t.Errorf("restored: %v, want %v", restored.answerRate, sim.balancer.answerRate)
	}
	snapshot.CapacityHistory = nil
	older, err := Restore(snapshot, nil)
	if err != nil {
		t.Fatal(err)
	}
	older.updateAnswerRate(sim.now)
	sim.balancer = older
	sim.checkRate("an older snapshot")
}

// A server's slow-start budget follows its weight: most of the fleet's answers come from its large servers.
func TestSlowStartBudgetFollowsWeight(t *testing.T) {
	const large, small, started = 1, 2, 3 // server IDs; the third one is in slow start
	for weight, want := range map[float64]float64{4: 4, 1: 1} {
		b := New(testNow, 1, testDeployment())
		b.UpdateEndpoints(testNow, FullUpdate, []Endpoint{{Server: large, State: Ready, Weight: 4}, {Server: small, State: Ready, Weight: 1}})
		const answersPerWeight = 10 // a second
		for i := range Micros(10 * 5 * answersPerWeight) {
			b.answers = append(b.answers, testNow+i*second/(5*answersPerWeight))
		}
		now := testNow + 10*second
		b.Maintain(now)
		b.UpdateEndpoints(now, IncrementalUpdate, []Endpoint{{Server: started, State: Ready, Weight: weight, StartedAt: now}})
		s := b.servers.find(started)
		if got := b.answerRateOf(s); math.Abs(got-want*answersPerWeight) > 0.1 {
			t.Errorf("weight %v: %.2f answers a second, want %v", weight, got, want*answersPerWeight)
		}
		// The budget is 0.8 x 4 x 0.25 of the answers in a second.
		if got, budget := b.slowStartBudget(now, s), int(0.8*want*answersPerWeight); got != budget {
			t.Errorf("weight %v: a budget of %d, want %d", weight, got, budget)
		}
	}
}

// Before any server was ready, an observation stays valid for the longest time.
func TestObservationsStayValidBeforeAnyServer(t *testing.T) {
	b := New(testNow, 1, testDeployment())
	if b.Maintain(testNow); b.observationTTL != maxObservationTTL {
		t.Errorf("valid for %d us, want %d", b.observationTTL, maxObservationTTL)
	}
}
