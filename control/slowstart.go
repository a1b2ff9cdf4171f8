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
	capacity := b.capacity(now, s)
	if capacity == 1 {
		return true
	}
	if now < b.startedAt+b.deployment.OverloadWindow {
		// What our earlier incarnation sent within this window is unknown, and all routers may have restarted at
		// once.
		return false
	}
	s.slowStartSends = dropBefore(s.slowStartSends, now-b.deployment.OverloadWindow)
	const margin = 0.8 // for the variance between requests
	budget := b.deployment.OverloadFactor * capacity * b.answerRate * float64(b.deployment.OverloadWindow) / 1e6
	whole, fraction := math.Modf(margin * budget)
	// Requests of two consecutive turns may fall into one window: both together stay within the tolerance.
	routers := float64(max(1, b.deployment.Routers))
	fraction = min(fraction, (slowStartTolerance(budget*routers)/routers-whole)/2)
	// The period is a power of two, so that a value that changes within a window admits no router besides those of
	// the largest period. Turns follow the server's age, which all routers compute alike: wall clocks may have
	// been set between their starts.
	period := uint64(1) << int(math.Ceil(-math.Log2(max(fraction, 1e-6))))
	window := uint64(max(0, now-s.StartedAt) / b.deployment.OverloadWindow)
	if (window+uint64(b.deployment.Number)+hash(0, uint64(s.Server)))%period == 0 {
		whole++
	}
	return len(s.slowStartSends) < int(whole)
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

// totalCapacity returns the sum of the capacity of all ready servers. Its cost doesn't depend on their number.
func (b *Balancer) totalCapacity(now Micros) float64 {
	set := &b.index.slowStart
	duration := b.deployment.SlowStartDuration
	set.expire(now - duration)
	starting := len(set.servers)
	initial := b.deployment.SlowStartInitial
	sum := float64(len(b.index.ready) - starting)
	if starting > 0 {
		sum += initial*float64(starting) + (1-initial)*float64(set.totalAge(now))/float64(duration)
	}
	return sum
}
