package control

import "slices"

// ApplyLearned restores what an earlier incarnation of the router learned. Call it right after New, before anything
// else. Load commands, attempts and quota debt count against their limits whatever their age. If the clock was set back
// in the meantime, load commands and attempts with a time in the future count as of now, since they may be recent.
// Replicas expire as they would have without the restart. Execution and load times are not part of the learned state
// (docs/persistence.md).
func (b *Balancer) ApplyLearned(now Micros, state *LearnedState) {
	const recently = 60_000_000 // six times answerWindow
	b.loadCommands, b.admitted = clampTo(state.LoadCommands, now), dropAfter(state.Admitted, now)
	if now >= state.SavedAt && now < state.SavedAt+recently {
		b.answers, b.startedAt = dropAfter(state.Answers, now), min(now, state.StartedAt)
		b.capacityHistory = capacityHistory{} // not stored
	}
	for i := range min(len(b.quotaDebt), len(state.QuotaDebt)) {
		b.quotaDebt[i] = min(state.QuotaDebt[i], now+2_000_000) // see exceedsQuota
	}
	for _, v := range state.Servers {
		b.servers.insert(&server{
			Endpoint:       Endpoint{Server: v.Server, StartedAt: min(v.StartedAt, now)},
			lastListed:     now,
			lastAnswer:     now,
			slowStartSends: clampTo(v.SlowStartSends, now),
		})
	}
	for _, v := range state.Functions {
		f := b.function(&Request{Function: v.ID, Lanes: v.Lanes})
		for _, c := range v.Instances {
			if s := b.servers.find(c.Server); s != nil && max(c.LastUsed, c.LoadingSince) <= now {
				inst := instance{server: s, replicas: c.Replicas, lastUsed: c.LastUsed,
					loading: c.Loading, loadingSince: c.LoadingSince}
				if b.loaded(now, &inst) || b.loading(now, &inst) {
					*f.instanceOn(inst.server, true) = inst
				}
			}
		}
	}
	b.rebuildIndex()
}

// LearnedState is what a router learned that its next incarnation may use, in plain values with the times at which they
// were learned. Unlike a Snapshot it holds nothing in flight. ApplyLearned decides which of it is still valid.
type LearnedState struct {
	SavedAt      Micros            `cbor:"Saved"`
	StartedAt    Micros            `cbor:"Started"`
	QuotaDebt    []Micros          `cbor:"Due"`    // by tenant
	LoadCommands []Micros          `cbor:"Orders"` // within the window of the load-rate limit
	Admitted     []Micros          `cbor:"Taken"`
	Answers      []Micros          `cbor:"Answers"`
	Servers      []LearnedServer   `cbor:"Servers"`   // by ascending id
	Functions    []LearnedFunction `cbor:"Functions"` // in order of first use
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

// LearnedInstance is the set of a function's replicas that the router believed to be on one server.
type LearnedInstance struct {
	Server       ServerID `cbor:"Server"`
	Replicas     int      `cbor:"Copies"`
	LastUsed     Micros   `cbor:"Used"`
	Loading      int      `cbor:"Loading"`
	LoadingSince Micros   `cbor:"Since"`
}

// LearnedState returns the state to save. It leaves out functions without a replica that is believed to be loaded or
// loading. The result shares no memory with the balancer.
func (b *Balancer) LearnedState(now Micros) *LearnedState {
	state := &LearnedState{
		SavedAt:      now,
		StartedAt:    b.startedAt,
		QuotaDebt:    slices.Clone(b.quotaDebt),
		LoadCommands: slices.Clone(b.loadCommands),
		Admitted:     slices.Clone(b.admitted),
		Answers:      slices.Clone(b.answers),
	}
	for s := range b.servers.all {
		sends := dropBefore(s.slowStartSends, now-b.deployment.OverloadWindow)
		state.Servers = append(state.Servers, LearnedServer{s.Server, s.StartedAt, slices.Clone(sends)})
	}
	for _, f := range b.functionOrder {
		learned := LearnedFunction{ID: f.id, Lanes: f.lanes}
		for _, inst := range f.instances {
			if b.loaded(now, inst) || b.loading(now, inst) {
				learned.Instances = append(learned.Instances,
					LearnedInstance{inst.server.Server, inst.replicas, inst.lastUsed, inst.loading, inst.loadingSince})
			}
		}
		if len(learned.Instances) > 0 {
			state.Functions = append(state.Functions, learned)
		}
	}
	return state
}

// clampTo returns the times in ascending order, with those after latest replaced by latest.
func clampTo(times []Micros, latest Micros) []Micros {
	times = slices.Clone(times)
	for i := range times {
		times[i] = min(times[i], latest)
	}
	slices.Sort(times)
	return times
}

// dropAfter returns the times in ascending order without those after latest.
func dropAfter(times []Micros, latest Micros) []Micros {
	times = slices.DeleteFunc(slices.Clone(times), func(t Micros) bool { return t > latest })
	slices.Sort(times)
	return times
}

// dropBefore returns ascending times without those before t. It shares memory with its argument.
func dropBefore(times []Micros, t Micros) []Micros {
	i := 0
	for i < len(times) && times[i] < t {
		i++
	}
	return times[i:]
}
