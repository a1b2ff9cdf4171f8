package control

import (
	"math"
	"slices"
)

// Slow start: what all routers together may send to a server that has just started.

// withinSlowStartBudget keeps the fourth rule: all routers together may send a cold server a told multiple of its present
// capacity, at least its part of what the fleet answers. Where our fraction of a window is less than a job,
// the routers take turns by number, server and time: the sum stays within the budget with no agreement.
func (r *Balancer) withinSlowStartBudget(now Micros, s *server) bool {
	has := r.capacity(now, s)
	if has == 1 {
		return true
	}
	if now < r.startedAt+r.deployment.OverloadWindow {
		return false // what our earlier life sent within this window is forgotten; all routers may have restarted at once
	}
	s.slowStartSends = dropBefore(s.slowStartSends, now-r.deployment.OverloadWindow)
	const margin = 0.8 // jobs vary
	budget := r.deployment.OverloadFactor * has * r.answerRate * float64(r.deployment.OverloadWindow) / 1e6
	whole, part := math.Modf(margin * budget)
	// Jobs of two turns that follow one another may meet in one window: both together stay within what chance may make of it.
	routers := float64(max(1, r.deployment.Routers))
	part = min(part, (slowStartTolerance(budget*routers)/routers-whole)/2)
	// Powers of two, so that a figure that changes within a window lets nobody in beside those of the largest. Turns go by the
	// server's age, which all routers know alike: their clocks may have been set between their starts.
	turns := uint64(1) << int(math.Ceil(-math.Log2(max(part, 1e-6))))
	if (uint64(max(0, now-s.StartedAt)/r.deployment.OverloadWindow)+uint64(r.deployment.Number)+hash(0, uint64(s.Server)))%turns == 0 {
		whole++
	}
	return len(s.slowStartSends) < int(whole)
}

// capacity is the share of its full capacity that a server has at least.
func (r *Balancer) capacity(now Micros, s *server) float64 {
	if age := now - s.StartedAt; s.StartedAt > 0 && age < r.deployment.SlowStartDuration {
		return r.deployment.SlowStartInitial + (1-r.deployment.SlowStartInitial)*float64(max(0, age))/float64(r.deployment.SlowStartDuration)
	}
	return 1
}

// slowStartTolerance is how many jobs a cold server with a budget for some survives in a window, by the rule's allowance for chance.
func slowStartTolerance(budget float64) float64 {
	if budget < 30 {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// totalCapacity sums up the capacity of all ready servers, in the order of their ids and rounded at each: the sum decides, and must not
// depend on who is known to be cold. Each has all of its own but those of cold. It costs as many steps as those are, times a logarithm.
func (r *Balancer) totalCapacity(now Micros) float64 {
	x := &r.index
	sum, counted, i, unready := 0.0, 0, 0, 0
	x.inSlowStart = slices.DeleteFunc(x.inSlowStart, func(s *server) bool {
		has := r.capacity(now, s)
		if has == 1 {
			return true
		}
		i, unready = seek(x.ids, i, s.Server), seek(x.notReady, unready, s.Server)
		sum = addOnes(sum, i-unready-counted) + has
		counted = i - unready + 1
		return false
	})
	return addOnes(sum, len(x.ids)-len(x.notReady)-counted)
}

// addOnes adds 1 to a positive sum n times and gives just what doing so one by one gives: only the step to the next power of two and
// beyond it may round.
func addOnes(sum float64, n int) float64 {
	for n > 0 {
		const fraction = 52 // bits of it in a float64: without them and one exponent up is the next power of two
		next := math.Float64frombits((math.Float64bits(sum)>>fraction + 1) << fraction)
		exact := max(1, min(n, int(next-sum)))
		sum += float64(exact)
		n -= exact
	}
	return sum
}
