package control

import (
	"math"
)

// This file limits what all routers together may send to a server that has just started.

// withinSlowStartBudget enforces rule 4 of docs/design.md: all routers together may send a server in slow start a
// configured multiple of its present capacity, where full capacity is at least its share of what the fleet
// answers. Where our part of a window is less than one request, the routers alternate by number, server and time:
// the sum stays within the budget without any coordination.
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
		// What our earlier incarnation sent within this window is unknown, and all routers may have restarted at
		// once.
		return 0
	}
	capacity := b.capacity(now, s)
	const margin = 0.8 // for the variance between requests
	budget := b.deployment.OverloadFactor * capacity * b.answerRateOf(s) * float64(b.deployment.OverloadWindow) / 1e6
	whole, fraction := math.Modf(margin * budget)
	routers := float64(max(1, b.deployment.Routers))
	most := slowStartTolerance(budget*routers) - whole*routers
	wanted := fraction * routers
	if whole == 0 {
		wanted = max(wanted, 1) // of all routers, in turns: without answers there would never be any
	}
	share := turnShare(wanted, estimateMargin*most) / routers
	// Turns follow the server's age, which all routers compute alike: wall clocks may have been set between their starts.
	turn := max(0, now-s.StartedAt) / b.deployment.OverloadWindow
	if b.turnPosition(s.Server, turn) < share {
		whole++
	}
	return int(whole)
}

// estimateMargin is the part of the tolerance that turns use: the routers' estimates of the budget differ. With 0.95 one of
// 588 simulated days goes over what a server in slow start survives; with 0.9 none does, and the worst comes to 0.93 of it.
const estimateMargin = 0.9

// turnShare returns how many routers have a turn, on average: wanted, or less so that the requests of two consecutive
// turns, which may fall into one window, are at most most.
func turnShare(wanted, most float64) float64 {
	share := min(wanted, most/2)
	if 2*math.Ceil(share) > most {
		return math.Floor(share)
	}
	return share
}

// turnPosition returns this router's position in a turn, in [0, 1); the routers below the share have the turn. The
// positions of all routers are evenly spaced, so that a share of any size holds that many routers, give or take one.
// From turn to turn they advance by the golden ratio, which spaces the turns of one router evenly too. A share that
// becomes smaller within a turn admits some of the routers of before and no others.
func (b *Balancer) turnPosition(server ServerID, turn Micros) float64 {
	offset := uniform(0, uint64(server)) // servers that start together have different routers' turns
	routers := float64(max(1, b.deployment.Routers))
	_, position := math.Modf(float64(b.deployment.RouterIndex)/routers + offset + math.Phi*float64(turn))
	return position
}

// capacity returns the fraction of its full capacity that a server has at least: 1 unless it is in slow start.
func (b *Balancer) capacity(now Micros, s *server) float64 {
	if age := now - s.StartedAt; s.StartedAt > 0 && age < b.deployment.SlowStartDuration {
		initial, duration := b.deployment.SlowStartInitial, float64(b.deployment.SlowStartDuration)
		return initial + (1-initial)*float64(max(0, age))/duration
	}
	return 1
}

// slowStartTolerance returns how many requests a server in slow start with the given budget survives in a window;
// the rule allows this much for random variation.
func slowStartTolerance(budget float64) float64 {
	if budget < 30 {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// announcementLag is the largest part of slow start that may pass between a server's start and its first
// listing: sources list a server once it was found ready. A clock that is off by less makes a server look this
// much older. If capacity starts at a quarter the slow-start budget is then a fifth too large, which the
// margin of the budget covers.
const announcementLag = 1.0 / 16

// EarliestStart returns the earliest start time that is believed of a server, where the endpoint list was last known to
// be complete without it at the given time.
func EarliestStart(completeWithout, slowStartDuration Micros) Micros {
	return completeWithout - Micros(announcementLag*float64(slowStartDuration))
}

// milliWeight is a server's weight in thousandths. Sums of whole numbers don't depend on the order of their parts.
type milliWeight int64

// thousandths returns a weight in thousandths. One beyond the bound counts as the bound: no sum over thousands of servers and
// the length of slow start overflows.
func thousandths(weight float64) milliWeight {
	const largest = 10_000
	return milliWeight(math.Round(1000 * min(weight, largest)))
}

// weightOf returns a server's weight, as the index has it of a ready one.
func weightOf(s *server) milliWeight { return thousandths(max(0.1, s.Weight)) }

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
