package control

import (
	"math"
	"testing"
)

// throughputDay is a balancer whose ready servers each answer at a steady rate.
type throughputDay struct {
	t   *testing.T
	b   *Balancer
	now Micros
}

const (
	dayServers    = 12
	dayAnswerRate = 10.0 // answers per second of a server at full capacity
)

// startThroughputDay returns a day of servers that have answered for longer than answers count.
func startThroughputDay(t *testing.T) *throughputDay {
	t.Helper()
	d := &throughputDay{t, New(at, 1, deployment()), at}
	var list []Endpoint
	for id := range ServerID(dayServers) {
		list = append(list, Endpoint{Server: id + 1, State: Ready, Weight: 1})
	}
	d.b.UpdateEndpoints(d.now, FullUpdate, list)
	d.run(15 * second)
	return d
}

// run has time pass while the ready servers answer as much as they can, and the maintenance comes when it is due.
func (d *throughputDay) run(span Micros) {
	const step = second / 50
	answers := 0.0
	for end := d.now + span; d.now < end; d.now += step {
		for s := range d.b.servers.all {
			if s.State == Ready {
				answers += dayAnswerRate * d.b.capacity(d.now, s) * float64(step) / 1e6
			}
		}
		for ; answers >= 1; answers-- {
			d.b.countAnswer(d.now, d.b.servers.at(d.readyServer()))
		}
		if d.now%maintenanceInterval == 0 {
			d.b.Maintain(d.now)
		}
	}
	d.b.Maintain(d.now)
}

// readyServer returns the position of a ready server.
func (d *throughputDay) readyServer() int {
	for i := range d.b.servers.len {
		if d.b.servers.at(i).State == Ready {
			return i
		}
	}
	d.t.Fatal("no server is ready")
	return 0
}

// set changes the state of servers from one ID to another.
func (d *throughputDay) set(from, to ServerID, state ServerState, startedAt Micros) {
	var changed []Endpoint
	for id := from; id <= to; id++ {
		changed = append(changed, Endpoint{Server: id, State: state, Weight: 1, StartedAt: startedAt})
	}
	d.b.UpdateEndpoints(d.now, IncrementalUpdate, changed)
}

// wantRate checks the estimate.
func (d *throughputDay) wantRate(when string) {
	d.t.Helper()
	const tolerance = 0.1
	if got := d.b.answerRate; math.Abs(got-dayAnswerRate) > tolerance*dayAnswerRate {
		d.t.Errorf("%s: %.2f answers a second, want %.0f", when, got, dayAnswerRate)
	}
}

// The estimate stays what a server does while the ready set changes. It guards against report c39787: servers in slow start were
// credited with the answers of all that had just begun to drain.
func TestAnswerRateFollowsTheReadySet(t *testing.T) {
	d := startThroughputDay(t)
	d.wantRate("at first")
	d.set(11, 12, Removed, 0)
	d.run(5 * second)
	d.wantRate("two servers less")
	d.set(1, 10, Draining, 0)
	d.run(second)
	d.wantRate("none ready")
	d.set(11, 12, Ready, d.now-second/2)
	for range 10 {
		d.run(second / 5)
		d.wantRate("two in slow start alone")
	}
	d.set(1, 10, Ready, 0)
	for range 10 {
		d.run(second)
		d.wantRate("all again")
	}
}

// A server that drains still answers what it has, which says nothing of those that are ready.
func TestAnswersOfDrainingServersDoNotCount(t *testing.T) {
	d := startThroughputDay(t)
	d.set(1, 11, Draining, 0)
	for range 200 {
		d.b.countAnswer(d.now, d.b.servers.at(0))
	}
	d.run(second)
	d.wantRate("one left")
}

// What was known before a time without a ready server still holds after it, however long that was.
func TestAnswerRateOutlastsAnOutage(t *testing.T) {
	d := startThroughputDay(t)
	d.set(1, dayServers, Removed, 0)
	d.run(60 * second)
	d.wantRate("after a minute without servers")
	d.set(1, dayServers, Ready, d.now)
	d.run(2 * second)
	d.wantRate("all back in slow start")
}

// However often the endpoint list changes, the history of capacity stays short.
func TestCapacityHistoryIsBounded(t *testing.T) {
	d := startThroughputDay(t)
	for range 10_000 {
		d.now += second / 1000
		d.set(12, 12, Draining, 0)
		d.set(12, 12, Ready, 0)
	}
	d.b.Maintain(d.now)
	if n := len(d.b.capacityHistory.periods); n > 110 {
		t.Errorf("%d periods", n)
	}
}

// After a restart into a smaller fleet the answers of the former incarnation are shared among the servers of its time.
func TestLearnedAnswersIntoASmallerFleet(t *testing.T) {
	d := startThroughputDay(t)
	next := New(d.now+second, 1, d.b.deployment)
	next.ApplyLearned(d.now+second, d.b.LearnedState(d.now))
	next.UpdateEndpoints(d.now+second, FullUpdate, []Endpoint{{Server: 1, State: Ready, Weight: 1}})
	next.updateAnswerRate(d.now + second)
	if next.answerRate > dayAnswerRate || next.answerRate < dayAnswerRate/2 {
		t.Errorf("%.2f answers a second, want about %.0f and no more", next.answerRate, dayAnswerRate)
	}
}

// A checkpoint carries the history of capacity; one that was stored without it is read as if the capacity had not changed.
func TestSnapshotCarriesCapacityHistory(t *testing.T) {
	d := startThroughputDay(t)
	snapshot := d.b.Snapshot()
	restored, err := Restore(snapshot, nil)
	if err != nil {
		t.Fatal(err)
	}
	restored.updateAnswerRate(d.now + second)
	d.b.updateAnswerRate(d.now + second)
	if restored.answerRate != d.b.answerRate {
		t.Errorf("restored: %v, want %v", restored.answerRate, d.b.answerRate)
	}
	snapshot.CapacityHistory = nil
	older, err := Restore(snapshot, nil)
	if err != nil {
		t.Fatal(err)
	}
	older.updateAnswerRate(d.now)
	d.b = older
	d.wantRate("an older checkpoint")
}

// A server's budget in slow start follows its weight: the fleet's answers are mostly those of its large servers.
func TestSlowStartBudgetFollowsWeight(t *testing.T) {
	const large, small, started = 1, 2, 3 // IDs; the third starts
	for weight, want := range map[float64]float64{4: 4, 1: 1} {
		b := New(at, 1, deployment())
		b.UpdateEndpoints(at, FullUpdate, []Endpoint{{Server: large, State: Ready, Weight: 4}, {Server: small, State: Ready, Weight: 1}})
		const answersPerWeight = 10 // a second
		for i := range Micros(10 * 5 * answersPerWeight) {
			b.answers = append(b.answers, at+i*second/(5*answersPerWeight))
		}
		now := at + 10*second
		b.Maintain(now)
		b.UpdateEndpoints(now, IncrementalUpdate, []Endpoint{{Server: started, State: Ready, Weight: weight, StartedAt: now}})
		s := b.servers.find(started)
		if got := b.answerRateOf(s); math.Abs(got-want*answersPerWeight) > 0.1 {
			t.Errorf("weight %v: %.2f answers a second, want %v", weight, got, want*answersPerWeight)
		}
		// 0.8 of 4 x 0.25 of that in a second.
		if got, budget := b.slowStartBudget(now, s), int(0.8*want*answersPerWeight); got != budget {
			t.Errorf("weight %v: a budget of %d, want %d", weight, got, budget)
		}
	}
}

// Before any server was ready, an observation stays valid for the longest time.
func TestObservationsStayValidBeforeAnyServer(t *testing.T) {
	b := New(at, 1, deployment())
	if b.Maintain(at); b.observationTTL != maxFreshFor {
		t.Errorf("valid for %d us, want %d", b.observationTTL, maxFreshFor)
	}
}
