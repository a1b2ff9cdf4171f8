package control

import "slices"

// ApplyLearned restores what an earlier incarnation of the router learned. Call it right after New, before anything
// else. Limits count whatever their age; load commands and attempts with a time in the future, after the clock was set
// back, count as of now, since they may be recent. Beliefs about replicas expire as they would have without the
// restart. Execution and load times are not part of it (docs/memory.md).
func (r *Balancer) ApplyLearned(now Micros, m *LearnedState) {
	const lately = 60_000_000 // six times as long as answers count, see updateAnswerRate
	r.loadCommands, r.admitted = clampTo(m.LoadCommands, now), dropAfter(m.Admitted, now)
	if now >= m.SavedAt && now < m.SavedAt+lately {
		r.answers, r.startedAt = dropAfter(m.Answers, now), min(now, m.StartedAt)
	}
	for i := range min(len(r.quotaDebt), len(m.QuotaDebt)) {
		r.quotaDebt[i] = min(m.QuotaDebt[i], now+2_000_000) // see exceedsQuota
	}
	for _, v := range m.Servers {
		r.servers = append(r.servers, &server{Endpoint: Endpoint{Server: v.Server, StartedAt: min(v.StartedAt, now)}, lastListed: now,
			lastAnswer: now, slowStartSends: clampTo(v.SlowStartSends, now)})
	}
	for _, v := range m.Functions {
		f := r.function(&Request{Function: v.ID, Lanes: v.Lanes})
		for _, c := range v.Instances {
			if i, known := r.find(c.Server); known && max(c.LastUsed, c.LoadingSince) <= now {
				in := instance{server: r.servers[i], replicas: c.Replicas, lastUsed: c.LastUsed, loading: c.Loading, loadingSince: c.LoadingSince}
				if r.loaded(now, &in) || r.loading(now, &in) {
					*f.instanceOn(in.server, true) = in
				}
			}
		}
	}
	r.rebuildIndex()
}

// LearnedState is what a router learned that a later incarnation may use, in plain values with the times at which they
// were learned. Unlike a Snapshot it holds nothing in flight. ApplyLearned decides what of it still counts.
type LearnedState struct {
	SavedAt      Micros            `cbor:"Saved"`
	StartedAt    Micros            `cbor:"Started"`
	QuotaDebt    []Micros          `cbor:"Due"`    // by tenant
	LoadCommands []Micros          `cbor:"Orders"` // within the window of the load-rate limit
	Admitted     []Micros          `cbor:"Taken"`
	Answers      []Micros          `cbor:"Answers"`
	Servers      []LearnedServer   `cbor:"Servers"`   // by ascending id
	Functions    []LearnedFunction `cbor:"Functions"` // as first seen
}

// LearnedServer is what was learned about one server.
type LearnedServer struct {
	Server         ServerID `cbor:"Server"`
	StartedAt      Micros   `cbor:"Born"`
	SlowStartSends []Micros `cbor:"Sent"` // within Deployment.OverloadWindow
}

// LearnedFunction is what was learned about one function.
type LearnedFunction struct {
	ID        FunctionID        `cbor:"ID"`
	Lanes     int               `cbor:"Lanes"`
	Instances []LearnedInstance `cbor:"Copies"` // by ascending server
}

// LearnedInstance is the set of a function's replicas on one server, as far as the router believed.
type LearnedInstance struct {
	Server       ServerID `cbor:"Server"`
	Replicas     int      `cbor:"Copies"`
	LastUsed     Micros   `cbor:"Used"`
	Loading      int      `cbor:"Loading"`
	LoadingSince Micros   `cbor:"Since"`
}

// LearnedState returns what is worth saving. It leaves out functions without a replica that is believed loaded or
// loading. The result shares no memory with the balancer.
func (r *Balancer) LearnedState(now Micros) *LearnedState {
	m := &LearnedState{SavedAt: now, StartedAt: r.startedAt, QuotaDebt: slices.Clone(r.quotaDebt), LoadCommands: slices.Clone(r.loadCommands),
		Admitted: slices.Clone(r.admitted), Answers: slices.Clone(r.answers)}
	for _, s := range r.servers {
		m.Servers = append(m.Servers, LearnedServer{s.Server, s.StartedAt, slices.Clone(dropBefore(s.slowStartSends, now-r.deployment.OverloadWindow))})
	}
	for _, f := range r.functionOrder {
		v := LearnedFunction{ID: f.id, Lanes: f.lanes}
		for _, in := range f.instances {
			if r.loaded(now, in) || r.loading(now, in) {
				v.Instances = append(v.Instances, LearnedInstance{in.server.Server, in.replicas, in.lastUsed, in.loading, in.loadingSince})
			}
		}
		if len(v.Instances) > 0 {
			m.Functions = append(m.Functions, v)
		}
	}
	return m
}

// clampTo returns the times in ascending order, with later ones than latest replaced by it.
func clampTo(ts []Micros, latest Micros) []Micros {
	ts = slices.Clone(ts)
	for i := range ts {
		ts[i] = min(ts[i], latest)
	}
	slices.Sort(ts)
	return ts
}

// dropAfter returns the times in ascending order without those after latest.
func dropAfter(ts []Micros, latest Micros) []Micros {
	ts = slices.DeleteFunc(slices.Clone(ts), func(t Micros) bool { return t > latest })
	slices.Sort(ts)
	return ts
}

// dropBefore returns ascending times without those before t. It shares memory with its argument.
func dropBefore(times []Micros, t Micros) []Micros {
	i := 0
	for i < len(times) && times[i] < t {
		i++
	}
	return times[i:]
}
