package control

import (
	"cmp"
	"math"
	"slices"
)

// This file decides when a function gets another replica, and on which server.

// loadPurpose is the reason for a load.
type loadPurpose uint8

const (
	firstReplica      loadPurpose = iota // the function has no replica loaded or loading
	additionalReplica                    // the function's replicas don't suffice
)

// loadTarget returns the server that should load one more replica, nil if there is none. Candidates are ordered by a
// weighted rendezvous hash over the endpoint list, so routers that share no state choose the same servers: a request
// that is sent to load a function finds it loaded already if another router was first.
//
// With several routers only the first two candidates are eligible; otherwise, whenever a server is full, the routers
// would move on to further servers and load what others have loaded already. A function with a large share of the
// requests has several homes, which each router orders differently, by its index, so that not all routers send to one
// replica. Of the eligible servers, the one with the fewest replicas of the function is chosen. An additional replica
// is loaded only where three quarters of the server are free: in a full fleet it would only take capacity from other
// functions.
func (b *Balancer) loadTarget(now Micros, f *function, req *Request, purpose loadPurpose) *server {
	// Limit on this router's pending loads on one server: with more, the server queues or refuses them.
	const maxPending = 8
	acceptsLoads := func(s *server) bool {
		return now >= s.loadBackoffUntil && s.pendingLoads() < maxPending &&
			!(purpose == additionalReplica && s.freeShare() < 0.75)
	}
	cs, determined := []candidate(nil), false
	switch {
	case b.deployment.Routers == 1: // all candidates are eligible
	case b.homeCount(f, len(b.index.ready)) == 1:
		cs, determined = b.firstTwoByRanking(now, f, req)
	case b.prefersHomeSet(f):
		cs, determined = b.firstTwoHomes(now, f, req)
	}
	if !determined {
		if b.deployment.Routers == 1 && !b.servers.contains(func(s *server) bool {
			return acceptsLoads(s) && b.usableReadOnly(now, s, req)
		}) {
			return nil // bounds the work of a step of the event loop with many held requests
		}
		cs = b.candidatesInOrder(now, f, req)
	}
	var best *server
	fewest := math.MaxInt
	eligible := len(cs)
	if b.deployment.Routers > 1 {
		eligible = min(eligible, 2) // a single candidate would block the load while its server is stuck
	}
	for _, c := range cs[:eligible] {
		s, replicas := c.server, 0
		if !acceptsLoads(s) {
			continue
		}
		if inst := f.instanceOn(s, false); inst != nil {
			replicas = inst.replicas + inst.loading
		}
		if replicas < fewest {
			best, fewest = s, replicas
		}
	}
	return best
}

// candidate is a server that may take a load, with its key in the function's order: the lowest key comes first.
type candidate struct {
	server      *server
	key, weight float64
}

// homeCount returns how many of the usable servers are homes of a function.
func (b *Balancer) homeCount(f *function, usable int) int {
	const homesPerServer = 2 // homes for each server's share of all requests, so that the function uses half of each home's capacity
	const minRequests = 32   // a share can't be estimated from fewer recent requests
	// The current request is not counted, since alone it says nothing about the function's share.
	share := float64(f.recentRequests-1) / float64(max(minRequests, len(b.recentFunctions)))
	return min(usable, max(1, int(math.Ceil(homesPerServer*share*float64(usable)))))
}

// candidatesInOrder returns candidates for a load. Those that are eligible in loadTarget come first, in order.
func (b *Balancer) candidatesInOrder(now Micros, f *function, req *Request) []candidate {
	cs, n := b.nearestHomes(now, f, req)
	eligible := cs
	if b.deployment.Routers > 1 {
		eligible = cs[:min(len(cs), 2)]
	}
	homes := cs[:n]
	partitionLowest(cs, len(homes))
	for i, c := range homes {
		homes[i].key = rankKey(b.ownOrder(f), c.server.Server, c.weight)
	}
	byKey := func(a, b candidate) int { return cmp.Compare(a.key, b.key) }
	if len(eligible) <= len(homes) {
		partitionLowest(homes, len(eligible))
		slices.SortFunc(eligible, byKey)
	} else {
		partitionLowest(cs[len(homes):], len(eligible)-len(homes))
		slices.SortFunc(homes, byKey)
		slices.SortFunc(eligible[len(homes):], byKey)
	}
	return cs
}

// startLoad starts a load for a request. If servers load a missing function on request (LoadsOnMiss), the request is
// forwarded at once: it starts the load, or finds a replica that another router has loaded, at no extra cost. It is
// then preceded by a load command only for an additional replica. If functions are loaded only on command, and the
// load-rate limit denies the command, the request is forwarded once without it: another router may have loaded the
// function, and a request that misses is known not to have run.
func (b *Balancer) startLoad(now Micros, f *function, req *Request, s *server) Decision {
	inst := f.instanceOn(s, true)
	if !b.loaded(now, inst) {
		inst.replicas = 0
	}
	if !b.loading(now, inst) {
		inst.loading = 0
	}
	if b.deployment.LoadsOnMiss && inst.replicas+inst.loading == 0 {
		inst.loading, inst.loadingSince = 1, now
		return b.forward(now, f, req, inst)
	}
	commanded := b.deployment.SupportsLoadCommands && b.loadCommandAllowed(now)
	if !commanded && !b.deployment.LoadsOnMiss && len(req.Attempts) == 0 {
		return b.forward(now, f, req, inst)
	} else if !commanded {
		return Decision{Action: Hold, Rank: b.Rank(now, req), RecheckAt: now + maintenanceInterval}
	}
	d := Decision{Action: Hold, Rank: b.Rank(now, req), RecheckAt: now + 30_000}
	inst.loading, inst.loadingSince = inst.loading+1, now
	if b.deployment.LoadsOnMiss { // otherwise a request would overtake its load command and miss
		d = b.forward(now, f, req, inst)
	}
	d.LoadCommands = []LoadCommand{{s.Server, f.id, min(16, inst.replicas+inst.loading)}}
	return d
}

// loadCommandAllowed enforces the load-rate limit (rule 5 of docs/design.md) and counts the command if it is
// allowed.
func (b *Balancer) loadCommandAllowed(now Micros) bool {
	if b.deployment.LoadRateWindow > 0 {
		// An earlier command may have been written late, while this one may be written at once, so the window is wider
		// for commands than for requests.
		windowStart, delay := now-b.deployment.LoadRateWindow, b.deployment.MaxCommandDelay
		b.loadCommands = dropBefore(b.loadCommands, windowStart-delay)
		b.admitted = dropBefore(b.admitted, windowStart+max(b.deployment.Tick, delay))
		allowed := b.deployment.LoadRateBase + b.deployment.LoadRatePerRequest*float64(len(b.admitted))
		if float64(len(b.loadCommands)+1) > allowed {
			return false
		}
		b.loadCommands = append(b.loadCommands, now)
	}
	return true
}

// checkReplicas tests, as Fifer does, whether a function needs more replicas: it does if the recent delay has reached
// the slack and the held requests would wait at least as long as a load takes. Route then starts the loads that are
// due. In the Fifer paper the queueing delay D_f counts every waiting request. Here requests without slack are shed, so
// those shed within the last load time count as held; otherwise, with a latency objective shorter than a load, D_f
// would stay below the load time whatever the demand.
func (b *Balancer) checkReplicas(now Micros, f *function) {
	held := f.held + len(f.shed.since(now-b.loadTime(f.lastRequest)))
	if f.loadsDue = 0; held == 0 {
		return
	}
	exec, perLane := b.execTime(f, f.lastRequest), b.slotsPerLane(f, f.lastRequest)
	objective := b.latencyObjective(f.lastRequest, exec)
	delay := quantile(f.delays.since(now-2_000_000), 0.9)
	if f.held > 0 {
		delay = max(delay, now-f.heldSince)
	}
	slots, loading := 0, 0
	for _, inst := range f.instances {
		if inst.server.healthy() {
			slots += b.slots(now, inst, f, perLane)
			if b.loading(now, inst) {
				loading += inst.loading
			}
		}
	}
	if b.trace != nil {
		b.trace.replicaCheck(ReplicaCheck{Now: now, Function: f.id, Held: held, Slots: slots, Loading: loading,
			Delay: delay, Slack: objective - exec, Objective: objective, LoadTime: b.loadTime(f.lastRequest)})
	}
	if delay < objective-exec || slots == 0 || Micros(held)*objective/Micros(slots) < b.loadTime(f.lastRequest) {
		return
	}
	const maxLoads = 3 // per check: the next check already sees these in progress
	f.loadsDue = min(maxLoads, int(math.Ceil(float64(held-slots)/perLane))-loading)
}

// HandleLoadResult records the result of a load command. replicas is the count that the server reports; took is unused.
func (b *Balancer) HandleLoadResult(now Micros, id ServerID, functionID FunctionID, result Result, took Micros,
	replicas int) {
	f := b.functions[functionID]
	s := b.servers.find(id)
	if f == nil || s == nil {
		return
	}
	inst := f.instanceOn(s, true)
	switch result {
	case Succeeded:
		if inst.loading > 0 && replicas > inst.replicas {
			b.loadTimes.add(now, now-inst.loadingSince)
			inst.loading = max(0, inst.loading-(replicas-inst.replicas))
		}
		inst.replicas, inst.lastUsed = replicas, now
	case Overloaded, Failed:
		inst.loading, inst.server.loadBackoffUntil = 0, now+loadBackoff
	case ConnectionReset, ConnectFailed:
		inst.loading = 0
		b.recordConnectionFailure(now, inst.server)
	}
}

// loadBackoff is how long a server that refused a load gets no further one, in microseconds. It is a fraction of a
// load's time, because a load that ends in the meantime frees capacity.
const loadBackoff = 50_000
