package control

import (
	"math"
)

// This file limits what all routers together may send to a server that has just started.

// withinSlowStartBudget enforces rule 4 of docs/design.md: in each overload window, all routers together may send a
// server in slow start a configured multiple of its present capacity. Its full capacity is taken to be its share of the
// fleet's answers, which is a lower bound. Where this router's part of the budget is less than one request per window,
// the routers take turns. The turns follow from the router's index, the server and the time, so the sum stays within the
// budget without any coordination.
func (b *Balancer) withinSlowStartBudget(now Micros, s *server) bool {
	if b.capacity(now, s) == 1 {
		return true
	}
	s.slowStartSends = dropBefore(s.slowStartSends, now-b.deployment.OverloadWindow)
	return len(s.slowStartSends) < b.slowStartBudget(now, s)
}

// slowStartBudget returns how many requests this router may send a server in slow start within the window that ends now.
func (b *Balancer) slowStartBudget(now Micros, s *server) int {
	if now < b.startedAt+b.deployment.OverloadWindow {
		// What this router's earlier incarnation sent within this window is unknown, and all routers may have restarted
		// at once.
		return 0
	}
	capacity := b.capacity(now, s)
	const margin = 0.8 // for the variance between requests
	budget := b.deployment.OverloadFactor * capacity * b.answerRateOf(s) * float64(b.deployment.OverloadWindow) / 1e6
	whole, fraction := math.Modf(margin * budget)
	routers := float64(max(1, b.deployment.Routers))
	toleranceLeft := slowStartTolerance(budget*routers) - whole*routers
	wanted := fraction * routers
	if whole == 0 {
		wanted = max(wanted, 1) // one request of all routers together: otherwise a server without answers would never get one
	}
	share := routersWithTurn(wanted, estimateMargin*toleranceLeft) / routers
	// Turns are counted by the server's age, which all routers compute alike: wall clocks may have been set between the
	// starts of the routers.
	turn := max(0, now-s.StartedAt) / b.deployment.OverloadWindow
	if b.turnPosition(s.Server, turn) < share {
		whole++
	}
	return int(whole)
}

// estimateMargin is the part of the tolerance that turns use, because the routers' estimates of the budget differ. With
// 0.95, one of 588 simulated slow starts exceeds what a server can take; with 0.9 none does, and the worst reaches 0.93
// of it.
const estimateMargin = 0.9

// routersWithTurn returns how many routers have a turn, on average: wanted, or fewer so that two consecutive turns,
// which may fall into one window, bring at most maxInTwoTurns requests.
func routersWithTurn(wanted, maxInTwoTurns float64) float64 {
	share := min(wanted, maxInTwoTurns/2)
	if 2*math.Ceil(share) > maxInTwoTurns {
		return math.Floor(share)
	}
	return share
}

// turnPosition returns this router's position in a turn, in [0, 1); the routers whose position is below the share have
// the turn. The positions of all routers are evenly spaced, so that a share of any size holds that many routers, give
// or take one. From turn to turn they advance by the golden ratio, which also spaces the turns of one router evenly. If
// the share shrinks within a turn, only routers that were admitted before remain admitted.
func (b *Balancer) turnPosition(server ServerID, turn Micros) float64 {
	offset := uniform(0, uint64(server)) // servers that start together get the turns of different routers
	routers := float64(max(1, b.deployment.Routers))
	_, position := math.Modf(float64(b.deployment.RouterIndex)/routers + offset + math.Phi*float64(turn))
	return position
}

// capacity returns a server's capacity as a fraction of its full capacity: 1 unless the server is in slow start, else a
// lower bound.
func (b *Balancer) capacity(now Micros, s *server) float64 {
	if age := now - s.StartedAt; s.StartedAt > 0 && age < b.deployment.SlowStartDuration {
		initial, duration := b.deployment.SlowStartInitial, float64(b.deployment.SlowStartDuration)
		return initial + (1-initial)*float64(max(0, age))/duration
	}
	return 1
}

// slowStartTolerance returns how many requests a server in slow start with the given budget can take in a window; the
// rule allows this much for random variation.
func slowStartTolerance(budget float64) float64 {
	if budget < 30 {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// maxListingLag is the longest time between a server's start and its first listing that is allowed for, as a fraction
// of slow start: a server is listed only once it was found ready. If a clock is off by less than this, a server looks
// older by that much. With an initial capacity of a quarter the slow-start budget is then a fifth too large, which the
// margin of the budget covers.
const maxListingLag = 1.0 / 16

// EarliestStart returns the earliest time at which a server can have started, if the endpoint list was complete without
// the server at the given time.
func EarliestStart(completeWithout, slowStartDuration Micros) Micros {
	return completeWithout - Micros(maxListingLag*float64(slowStartDuration))
}

// milliWeight is a server's weight in thousandths. Sums of integers don't depend on the order of their terms.
type milliWeight int64

// toMilliWeight returns a weight in thousandths. It is capped, so that no sum over thousands of servers and the length
// of slow start overflows.
func toMilliWeight(weight float64) milliWeight {
	const maxWeight = 10_000
	return milliWeight(math.Round(1000 * min(weight, maxWeight)))
}

// milliWeightOf returns a server's weight as the index counts it while the server is ready.
func milliWeightOf(s *server) milliWeight { return toMilliWeight(max(0.1, s.Weight)) }

// meanWeight returns the mean weight of the ready servers; 0 if there is none.
func (b *Balancer) meanWeight() float64 {
	if len(b.index.ready) == 0 {
		return 0
	}
	return float64(b.index.readyWeight) / 1000 / float64(len(b.index.ready))
}

// totalCapacity returns the capacity of all ready servers, in units of weight. Its cost doesn't depend on their number.
func (b *Balancer) totalCapacity(now Micros) float64 {
	set := &b.index.slowStart
	duration := b.deployment.SlowStartDuration
	set.expire(now - duration)
	sum := float64(b.index.readyWeight - set.weight)
	if len(set.servers) > 0 {
		initial := b.deployment.SlowStartInitial
		sum += initial*float64(set.weight) + (1-initial)*float64(set.totalAge(now))/float64(duration)
	}
	return sum / 1000
}
