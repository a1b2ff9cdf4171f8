package control

import (
	"cmp"
	"math"
	"slices"
)

// This file decides when a function gets another replica, and on which server.

// loadPurpose is why a load is wanted.
type loadPurpose uint8

const (
	firstReplica      loadPurpose = iota // the function has no replica loaded or loading
	additionalReplica                    // its replicas don't suffice
)

// loadTarget picks the server for one more replica, nil if there is none. Candidates are in the order of a
// weighted rendezvous hash over the endpoint list: routers that share no state agree on the same servers, and a
// request sent to load a function finds it already loaded there.
//
// With several routers only the first two candidates count; otherwise each full server would make the routers
// spread out and load what others have loaded already. A function with a large share of the requests has several
// homes, which each router orders by its own number: this guards against all routers crowding onto one replica. An
// additional replica goes to the candidate with the fewest of them, and only if three quarters of that server are
// free: in a full fleet it would only take capacity from other functions.
func (b *Balancer) loadTarget(now Micros, f *function, req *Request, purpose loadPurpose) *server {
	// Loads that we have pending on one server: beyond a few, the server itself queues or refuses them.
	const maxPending = 8
	acceptsLoads := func(s *server) bool {
		return now >= s.loadsAfter && s.pendingLoads() < maxPending &&
			!(purpose == additionalReplica && s.freeShare() < 0.75)
	}
	cs, ranked := []candidate(nil), false
	switch {
	case b.deployment.Routers == 1: // all candidates count
	case b.homeCount(f, len(b.index.ready)) == 1:
		cs, ranked = b.firstTwoByRanking(now, f, req)
	case b.prefersHomeSet(f):
		cs, ranked = b.firstTwoHomes(now, f, req)
	}
	if !ranked {
		if b.deployment.Routers == 1 && !b.servers.contains(func(s *server) bool {
			return acceptsLoads(s) && b.usableUnchanged(now, s, req)
		}) {
			return nil // bounds the work of an iteration with many held requests
		}
		cs = b.candidatesInOrder(now, f, req)
	}
	var best *server
	fewest := math.MaxInt
	near := len(cs)
	if b.deployment.Routers > 1 {
		near = min(near, 2) // one candidate alone would block while its server is stuck
	}
	for _, c := range cs[:near] {
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

// candidate is a server that may take a load, with its key in a function's order: lowest first.
type candidate struct {
	server      *server
	key, weight float64
}

// homeCount returns how many of the usable servers are homes of a function.
func (b *Balancer) homeCount(f *function, usable int) int {
	const homesPerServer = 2 // homes per server's worth of requests, so that a home takes half of its server's load
	const minRequests = 32   // requests needed to estimate a share; the current one says nothing
	share := float64(f.recent-1) / float64(max(minRequests, len(b.recent)))
	return min(usable, max(1, int(math.Ceil(homesPerServer*share*float64(usable)))))
}

// candidatesInOrder returns servers that a load may go to. Those that loadTarget looks at come first, in order.
func (b *Balancer) candidatesInOrder(now Micros, f *function, req *Request) []candidate {
	cs, n := b.nearestHomes(now, f, req)
	near := cs
	if b.deployment.Routers > 1 {
		near = cs[:min(len(cs), 2)]
	}
	homes := cs[:n]
	partitionLowest(cs, len(homes))
	for i, c := range homes {
		homes[i].key = rankKey(b.ownOrder(f), c.server.Server, c.weight)
	}
	byKey := func(a, b candidate) int { return cmp.Compare(a.key, b.key) }
	if len(near) <= len(homes) {
		partitionLowest(homes, len(near))
		slices.SortFunc(near, byKey)
	} else {
		partitionLowest(cs[len(homes):], len(near)-len(homes))
		slices.SortFunc(homes, byKey)
		slices.SortFunc(near[len(homes):], byKey)
	}
	return cs
}

// startLoad starts a load for a request. Where a request to a server that lacks the function loads it
// (LoadsOnMiss), the request is forwarded at once and finds what other routers have loaded, at no extra cost. A
// load command precedes it only for an additional replica. Where only load commands load, a request whose command
// the load-rate limit denies is forwarded once without it: another router may have loaded the function, and a miss
// is known not to have run.
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
		// An earlier command may be written late, this one at once: the window is wider for commands than for
		// requests.
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

// checkReplicas is Fifer's test for whether a function needs more replicas: recent delay has reached the slack,
// and the held requests would wait at least as long as a load takes. Route then starts the loads that are due. The
// paper's D_f counts every waiting request. Here requests without slack are shed, so those shed within the last
// load's time count as held; otherwise a latency objective shorter than a load would keep D_f below the load time
// whatever the demand.
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
	const maxLoads = 3 // per check: these are in progress before the next check counts
	f.loadsDue = min(maxLoads, int(math.Ceil(float64(held-slots)/perLane))-loading)
}

// HandleLoadResult records the result of a load command. The replica count is what the server reports; took is
// unused.
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
		inst.loading, inst.server.loadsAfter = 0, now+loadBackoff
	case ConnectionReset, ConnectFailed:
		inst.loading = 0
		b.connectionFailed(now, inst.server)
	}
}

// loadBackoff is how long no load goes to a server that refused one, in microseconds: a fraction of a load's time,
// since a load that ends meanwhile frees capacity.
const loadBackoff = 50_000
