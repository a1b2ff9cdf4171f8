package control

import "slices"

// ApplyLearned takes back what an earlier life remembered; call it after Start, before all else. What limits us
// counts whatever its age, an order or a job sent at a time still to come as now: it may be fresh. Beliefs count
// for as long as they would have. How long executions and loads take is no part of it (docs/memory.md).
func (r *Balancer) ApplyLearned(now Micros, m *LearnedState) {
	const lately = 60_000_000 // six times as long as answers count
	r.loadCommands, r.admitted = clampTo(m.LoadCommands, now), dropAfter(m.Admitted, now)
	if now >= m.SavedAt && now < m.SavedAt+lately {
		r.answers, r.startedAt = dropAfter(m.Answers, now), min(now, m.StartedAt)
	}
	for i := range min(len(r.quotaDebt), len(m.QuotaDebt)) {
		r.quotaDebt[i] = min(m.QuotaDebt[i], now+2_000_000) // see surplus
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

// LearnedState is what a router learned that a later life of it may use, in plain values with the times at which it was
// learned. Unlike a Snapshot it holds nothing that is under way. What of it still counts is decided by Recall.
type LearnedState struct {
	SavedAt      Micros            `cbor:"Saved"`
	StartedAt    Micros            `cbor:"Started"`
	QuotaDebt    []Micros          `cbor:"Due"`    // by tenant
	LoadCommands []Micros          `cbor:"Orders"` // within the ration's window
	Admitted     []Micros          `cbor:"Taken"`
	Answers      []Micros          `cbor:"Answers"`
	Servers      []LearnedServer   `cbor:"Servers"`   // by ascending id
	Functions    []LearnedFunction `cbor:"Functions"` // as first seen
}

// LearnedServer is what was learned of one server.
type LearnedServer struct {
	Server         ServerID `cbor:"Server"`
	StartedAt      Micros   `cbor:"Born"`
	SlowStartSends []Micros `cbor:"Sent"` // within Deployment.Fall
}

// LearnedFunction is what was learned of one function.
type LearnedFunction struct {
	ID        FunctionID        `cbor:"ID"`
	Lanes     int               `cbor:"Lanes"`
	Instances []LearnedInstance `cbor:"Copies"` // by ascending server
}

// LearnedInstance is a function's copies on one server, as believed.
type LearnedInstance struct {
	Server       ServerID `cbor:"Server"`
	Replicas     int      `cbor:"Copies"`
	LastUsed     Micros   `cbor:"Used"`
	Loading      int      `cbor:"Loading"`
	LoadingSince Micros   `cbor:"Since"`
}

// LearnedState gives what is worth keeping. Functions of which no copy is believed are left out. It shares nothing
// with the router.
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

// clampTo gives ascending times, none of them later than one.
func clampTo(ts []Micros, latest Micros) []Micros {
	ts = slices.Clone(ts)
	for i := range ts {
		ts[i] = min(ts[i], latest)
	}
	slices.Sort(ts)
	return ts
}

// dropAfter gives ascending times without those later than one.
func dropAfter(ts []Micros, latest Micros) []Micros {
	ts = slices.DeleteFunc(slices.Clone(ts), func(t Micros) bool { return t > latest })
	slices.Sort(ts)
	return ts
}

// dropBefore drops the times before t from the front of an ascending list.
func dropBefore(times []Micros, t Micros) []Micros {
	i := 0
	for i < len(times) && times[i] < t {
		i++
	}
	return times[i:]
}
