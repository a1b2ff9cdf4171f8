package control

import (
	"cmp"
	"math"
	"slices"
)

// This file decides when a function gets another replica, and on which server.

// loadTarget picks the server for one more replica, nil if there is none. Candidates are in the order of a
// weighted rendezvous hash over the endpoint list: routers that share no state agree on the same servers, and a
// request sent to load a function finds it already loaded there.
//
// With several routers only the first two candidates count; otherwise each full server would make the routers
// spread out and load what others have loaded already. A function with a large share of the requests has several
// homes, which each router orders by its own number: this guards against all routers crowding onto one replica. An
// additional replica goes to the candidate with the fewest of them, and only if three quarters of that server are
// free: in a full fleet it would only take capacity from other functions.
func (r *Balancer) loadTarget(now Micros, f *function, j *Request, beside bool) *server {
	// Loads that we have pending on one server: beyond a few, the server itself queues or refuses them.
	const few = 8
	takes := func(s *server) bool {
		return now >= s.loadsAfter && s.pendingLoads() < few && !(beside && s.freeShare() < 0.75)
	}
	cs, known := []candidate(nil), false
	if r.deployment.Routers > 1 && r.homeCount(f, len(r.index.ids)-len(r.index.notReady)) == 1 {
		cs, known = r.firstTwoByRanking(now, f, j)
	}
	if !known {
		if r.deployment.Routers == 1 && !slices.ContainsFunc(r.servers, func(s *server) bool { return takes(s) && r.usableUnchanged(now, s, j) }) {
			return nil // bounds the work of an iteration with many held requests
		}
		cs = r.candidatesInOrder(now, f, j)
	}
	var best *server
	fewest := math.MaxInt
	near := len(cs)
	if r.deployment.Routers > 1 {
		near = min(near, 2) // one candidate alone would block while its server is stuck
	}
	for _, c := range cs[:near] {
		s, copies := c.server, 0
		if !takes(s) {
			continue
		}
		if in := f.instanceOn(s, false); in != nil {
			copies = in.replicas + in.loading
		}
		if copies < fewest {
			best, fewest = s, copies
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
func (r *Balancer) homeCount(f *function, usable int) int {
	const spread = 2  // homes per server's worth of requests, so that a home takes half of its server's load
	const enough = 32 // requests needed to estimate a share; the current one says nothing
	part := float64(f.recent-1) / float64(max(enough, len(r.recent)))
	return min(usable, max(1, int(math.Ceil(spread*part*float64(usable)))))
}

// candidatesInOrder returns servers that a load may go to. Those that loadTarget looks at come first, in order.
func (r *Balancer) candidatesInOrder(now Micros, f *function, j *Request) []candidate {
	cs, n := r.nearestHomes(now, f, j)
	near := cs
	if r.deployment.Routers > 1 {
		near = cs[:min(len(cs), 2)]
	}
	homes := cs[:n]
	partitionLowest(cs, len(homes))
	for i, c := range homes {
		homes[i].key = rankKey(hash(uint64(f.id), uint64(r.deployment.Number)+1), c.server.Server, c.weight)
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
func (r *Balancer) startLoad(now Micros, f *function, j *Request, s *server) Decision {
	in := f.instanceOn(s, true)
	if !r.loaded(now, in) {
		in.replicas = 0
	}
	if !r.loading(now, in) {
		in.loading = 0
	}
	if r.deployment.LoadsOnMiss && in.replicas+in.loading == 0 {
		in.loading, in.loadingSince = 1, now
		return r.forward(now, f, j, in)
	}
	if given := r.deployment.LoadCommands && r.loadCommandAllowed(now); !given && !r.deployment.LoadsOnMiss && len(j.Attempts) == 0 {
		return r.forward(now, f, j, in)
	} else if !given {
		return Decision{Action: Hold, Rank: r.Rank(now, j), RecheckAt: now + maintenanceInterval}
	}
	p := Decision{Action: Hold, Rank: r.Rank(now, j), RecheckAt: now + 30_000}
	in.loading, in.loadingSince = in.loading+1, now
	if r.deployment.LoadsOnMiss { // otherwise a request would overtake its load command and miss
		p = r.forward(now, f, j, in)
	}
	p.LoadCommands = []LoadCommand{{s.Server, f.id, min(16, in.replicas+in.loading)}}
	return p
}

// loadCommandAllowed enforces the load-rate limit (rule 5 of docs/design.md) and counts the command if it is
// allowed.
func (r *Balancer) loadCommandAllowed(now Micros) bool {
	if r.deployment.LoadRateWindow > 0 {
		// An earlier command may be written late, this one at once: the window is wider for commands than for
		// requests.
		begin, late := now-r.deployment.LoadRateWindow, r.deployment.MaxCommandDelay
		r.loadCommands, r.admitted = dropBefore(r.loadCommands, begin-late), dropBefore(r.admitted, begin+max(r.deployment.Tick, late))
		if float64(len(r.loadCommands)+1) > r.deployment.LoadRateBase+r.deployment.LoadRatePerRequest*float64(len(r.admitted)) {
			return false
		}
		r.loadCommands = append(r.loadCommands, now)
	}
	return true
}

// checkReplicas is Fifer's test for whether a function needs more replicas: recent delay has reached the slack,
// and the held requests would wait at least as long as a load takes. Route then starts the loads that are due. The
// paper's D_f counts every waiting request. Here requests without slack are shed, so those shed within the last
// load's time count as held; otherwise a latency objective shorter than a load would keep D_f below the load time
// whatever the demand.
func (r *Balancer) checkReplicas(now Micros, f *function) {
	held := f.held + len(f.shed.since(now-r.loadTime(f.lastRequest)))
	if f.loadsDue = 0; held == 0 {
		return
	}
	exec, perLane := r.execTime(f, f.lastRequest), r.slotsPerLane(f, f.lastRequest)
	target := r.latencyObjective(f.lastRequest, exec)
	delay := quantile(f.delays.since(now-2_000_000), 0.9)
	if f.held > 0 {
		delay = max(delay, now-f.heldSince)
	}
	slots, loading := 0, 0
	for _, in := range f.instances {
		if in.server.healthy() {
			slots += r.slots(now, in, f, perLane)
			if r.loading(now, in) {
				loading += in.loading
			}
		}
	}
	if r.trace != nil {
		r.trace.replicaCheck(ReplicaCheck{Now: now, Function: f.id, Held: held, Slots: slots, Loading: loading, Delay: delay,
			Slack: target - exec, Objective: target, LoadTime: r.loadTime(f.lastRequest)})
	}
	if delay < target-exec || slots == 0 || Micros(held)*target/Micros(slots) < r.loadTime(f.lastRequest) {
		return
	}
	const few = 3 // per check: these are in progress before the next check counts
	f.loadsDue = min(few, int(math.Ceil(float64(held-slots)/perLane))-loading)
}

// HandleLoadResult records the result of a load command. The replica count is what the server reports; took is
// unused.
func (r *Balancer) HandleLoadResult(now Micros, id ServerID, fn FunctionID, result Result, took Micros, copies int) {
	f := r.functions[fn]
	i, known := r.find(id)
	if f == nil || !known {
		return
	}
	in := f.instanceOn(r.servers[i], true)
	switch result {
	case Succeeded:
		if in.loading > 0 && copies > in.replicas {
			r.loadTimes.add(now, now-in.loadingSince)
			in.loading = max(0, in.loading-(copies-in.replicas))
		}
		in.replicas, in.lastUsed = copies, now
	case Overloaded, Failed:
		in.loading, in.server.loadsAfter = 0, now+loadBackoff
	case ConnectionReset, ConnectFailed:
		in.loading = 0
		r.connectionFailed(now, in.server)
	}
}

const loadBackoff = 50_000 // microseconds; a fraction of a load's time, since a load that ends meanwhile frees capacity
