package control

import "slices"

// This file estimates what a server at full capacity does for this router. The slow-start budget follows from it.

// answerWindow is the ready time over which answers are counted: some tens of answers, even if a router gets only a few
// requests per second.
const answerWindow = 10_000_000

// updateAnswerRate updates answerRate, the answers per second that this router gets from a server of mean weight at full
// capacity, and freshFor, how long an observation of a server stays valid: about the time until its next answer is due.
//
// Answers and capacity are those of the same servers over the same time. That guards against a budget many times too large:
// divided by the present capacity, the answers of all would be credited to the few servers that are left where most have just
// begun to drain (docs/incidents/slow-start-overload.md).
func (b *Balancer) updateAnswerRate(now Micros) {
	b.recordCapacity(now)
	history := &b.capacityHistory
	history.keepLatest(answerWindow)
	if len(history.periods) > 0 { // else no server was ever ready
		b.answers = dropBefore(b.answers, history.periods[0].From)
		span, serverTime := history.totals()
		const minSpan = answerWindow / 10 // a shorter time, after a start, counts as so long
		serverTime *= max(1, minSpan/float64(span))
		if mean := b.meanWeight(); mean > 0 {
			history.meanWeight = mean
		}
		b.answerRate = float64(len(b.answers)) * 1e6 / serverTime * history.meanWeight
	}
	b.observationTTL = Micros(min(maxObservationTTL, max(rareAnswerInterval, 1e6/max(0.01, b.answerRate))))
}

// answerRateOf returns the answers per second that this router gets from a server at full capacity, by its weight. It guards
// against overload of the smaller servers of a fleet.
func (b *Balancer) answerRateOf(s *server) float64 {
	mean := b.capacityHistory.meanWeight
	if mean == 0 {
		return b.answerRate
	}
	return b.answerRate * float64(milliWeightOf(s)) / 1000 / mean
}

// countAnswer counts an answer from a server. One that drains is no part of the capacity, and its answers don't count.
func (b *Balancer) countAnswer(now Micros, s *server) {
	if s.State == Ready {
		b.answers = append(b.answers, now)
	}
}

// capacityHistory is the capacity of the ready servers over the time for which answers count. Times in which none was ready are
// left out: they say nothing of what a server does, and what was known before them still holds.
type capacityHistory struct {
	periods    []CapacityPeriod // in order of time
	asOf       Micros           // until when it is complete; 0: it is not known for the time before
	meanWeight float64          // of the ready servers when the answer rate was last computed; 0: it was not yet
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
	// Includes ejected and overloaded servers: leaving them out would make the rest look more capable.
	from, capacity := history.asOf, max(mean, b.totalCapacity(now))
	if from == 0 {
		// Restored with answers, but without the capacity of their time: all servers known now may have given them. That
		// guards against too large a budget after a restart into a smaller fleet; it is too small while these answers count.
		from, capacity = max(b.startedAt, now-answerWindow), mean*float64(b.servers.len)
	}
	history.asOf = max(history.asOf, now)
	if now > from {
		history.add(CapacityPeriod{from, now, capacity})
	}
}

// add appends a period. It is merged with one that it continues as long as that is short, so that the length of the history
// does not depend on how often the endpoint list changes.
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

// keepLatest drops all but the latest periods, of the given length together.
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
