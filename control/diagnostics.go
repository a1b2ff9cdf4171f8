package control

// This file provides diagnostics for a service's log. Nothing here influences a decision.

// SlowStartStatus describes a server in slow start: its estimated capacity, and what this router has sent it.
type SlowStartStatus struct {
	StartedAt Micros
	Capacity  float64 // fraction of its full capacity
	Budget    int     // requests that this router may send it within the window that ends now
	Sent      int     // requests that this router sent it within that window
}

// SlowStartStatus returns the status of a server; ok is false if it is not in slow start.
func (b *Balancer) SlowStartStatus(now Micros, id ServerID) (status SlowStartStatus, ok bool) {
	s := b.servers.find(id)
	if s == nil || b.capacity(now, s) == 1 {
		return SlowStartStatus{}, false
	}
	sent := dropBefore(s.slowStartSends, now-b.deployment.OverloadWindow)
	return SlowStartStatus{s.StartedAt, b.capacity(now, s), b.slowStartBudget(now, s), len(sent)}, true
}

// Throughput holds the estimates from which the slow-start budget is computed, and the number of known functions.
type Throughput struct {
	AnswerRate float64 // answers per second that this router gets from a server at full capacity
	Ready      int     // ready servers
	SlowStart  int     // those of them that are in slow start
	Functions  int     // functions of which anything is known
}

// Throughput returns the current estimates.
func (b *Balancer) Throughput() Throughput {
	return Throughput{b.answerRate, len(b.index.ready), len(b.index.slowStart.servers), len(b.functions)}
}
