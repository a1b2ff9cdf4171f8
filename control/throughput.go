package control

import "slices"

// This file estimates how many answers per second this router gets from a server at full capacity. The slow-start
// budget is computed from it.

// answerWindow is the time over which answers are counted, leaving out times without a ready server. It covers some
// tens of answers even if a router gets only a few requests per second.
const answerWindow = 10_000_000

// updateAnswerRate updates answerRate, the answers per second that this router gets from a server of mean weight at
// full capacity, and observationTTL, how long an observation of a server stays valid: about the time until its next
// answer is due.
//
// The answers are divided by the capacity of the servers that gave them, over the same time. If they were divided by the
// present capacity, the few servers that are left when most have just begun to drain would be credited with the answers
// of all, and the slow-start budget would be many times too large (docs/incidents/slow-start-overload.md).
func (b *Balancer) updateAnswerRate(now Micros) {
	b.recordCapacity(now)
	history := &b.capacityHistory
	history.keepLatest(answerWindow)
	if len(history.periods) > 0 { // else no server was ever ready
		b.answers = dropBefore(b.answers, history.periods[0].From)
		span, serverTime := history.totals()
		const minSpan = answerWindow / 10 // a shorter time, after a start, counts as this long
		serverTime *= max(1, minSpan/float64(span))
		if mean := b.meanWeight(); mean > 0 {
			history.meanWeight = mean
		}
		b.answerRate = float64(len(b.answers)) * 1e6 / serverTime * history.meanWeight
	}
	b.observationTTL = Micros(min(maxObservationTTL, max(rareAnswerInterval, 1e6/max(0.01, b.answerRate))))
}

// answerRateOf returns the answers per second that this router gets from a server at full capacity, in proportion to
// its weight. Without the weight the smaller servers of a fleet would be overloaded.
func (b *Balancer) answerRateOf(s *server) float64 {
	mean := b.capacityHistory.meanWeight
	if mean == 0 {
		return b.answerRate
	}
	return b.answerRate * float64(milliWeightOf(s)) / 1000 / mean
}

// countAnswer counts an answer from a server. A draining server is not part of the capacity, so its answers don't
// count.
func (b *Balancer) countAnswer(now Micros, s *server) {
	if s.State == Ready {
		b.answers = append(b.answers, now)
	}
}

// capacityHistory is the capacity of the ready servers over the time in which answers are counted. Times in which no
// server was ready are left out: they say nothing about a server's rate, and the earlier estimate still holds after them.
type capacityHistory struct {
	periods    []CapacityPeriod // in order of time
	asOf       Micros           // the history is complete up to this time; 0: the capacity before now is not known
	meanWeight float64          // of the ready servers when the answer rate was last computed; 0: not computed yet
}

// CapacityPeriod is a time in which servers were ready, and their mean capacity, in units of weight.
type CapacityPeriod struct {
	From     Micros  `json:"From"`
	To       Micros  `json:"To"`
	Capacity float64 `json:"Capacity"`
}

// recordCapacity records the capacity up to now. It must be called before each change of the endpoint list.
func (b *Balancer) recordCapacity(now Micros) {
	history := &b.capacityHistory
	mean := b.meanWeight()
	if len(b.index.ready) == 0 {
		if history.asOf != 0 {
			history.asOf = max(history.asOf, now)
		}
		return
	}
	// Ejected and overloaded servers are included: leaving them out would make the others look more capable.
	from, capacity := history.asOf, max(mean, b.totalCapacity(now))
	if from == 0 {
		// The answers were restored, but not the capacity at that time: all servers known now may have given them.
		// This keeps the budget from being too large after a restart into a smaller fleet; the budget is too small
		// while the restored answers count.
		from, capacity = max(b.startedAt, now-answerWindow), mean*float64(b.servers.len)
	}
	history.asOf = max(history.asOf, now)
	if now > from {
		history.add(CapacityPeriod{from, now, capacity})
	}
}

// add appends a period, or extends the last one if that is short and adjoins, so that the length of the history does
// not depend on how often the endpoint list changes.
func (h *capacityHistory) add(period CapacityPeriod) {
	const shortPeriod = answerWindow / 100
	if n := len(h.periods); n > 0 {
		if last := &h.periods[n-1]; last.To == period.From && last.To-last.From < shortPeriod {
			serverTime := last.serverTime() + period.serverTime()
			last.To = period.To
			last.Capacity = serverTime / float64(last.To-last.From)
			return
		}
	}
	h.periods = append(h.periods, period)
}

// serverTime returns the capacity over the period, in microseconds x weight.
func (p CapacityPeriod) serverTime() float64 { return p.Capacity * float64(p.To-p.From) }

// totals returns the length of all periods together, and the capacity over them.
func (h *capacityHistory) totals() (span Micros, serverTime float64) {
	for _, period := range h.periods {
		span += period.To - period.From
		serverTime += period.serverTime()
	}
	return span, serverTime
}

// keepLatest drops all but the latest periods, up to the given total length.
func (h *capacityHistory) keepLatest(length Micros) {
	span, _ := h.totals()
	excess := span - length
	dropped := 0
	for dropped < len(h.periods) && excess >= h.periods[dropped].To-h.periods[dropped].From {
		excess -= h.periods[dropped].To - h.periods[dropped].From
		dropped++
	}
	h.periods = slices.Delete(h.periods, 0, dropped)
	if excess > 0 && len(h.periods) > 0 {
		h.periods[0].From += excess
	}
}
