package control

import (
	"cmp"
	"math"
	"slices"
)

// Loading: when a function gets another replica, and on which server.

// loadTarget picks the server for one more copy, in the order of a rendezvous hash weighted with what the
// list tells: routers that share nothing meet on the same copies, and a load sent where one stands finds it.
// Several routers keep to the first two: else each full one sends them elsewhere, to load what others load.
// A function that draws much of the jobs has several homes, and each router turns to one of them by its
// number: guards against crowds on one copy. A copy beside others of ours goes to the server with the fewest,
// and only where three quarters of it are free: in a full fleet it would only take more from the rest.
func (r *Balancer) loadTarget(now Micros, f *function, j *Request, beside bool) *server {
	const few = 8 // functions of ours loading on a server: past a few it queues or refuses them itself
	takes := func(s *server) bool {
		return now >= s.loadsAfter && s.pendingLoads() < few && !(beside && s.freeShare() < 0.75)
	}
	cs, known := []candidate(nil), false
	if r.deployment.Routers > 1 && r.homeCount(f, len(r.index.ids)-len(r.index.notReady)) == 1 {
		cs, known = r.firstTwoByRanking(now, f, j)
	}
	if !known {
		if r.deployment.Routers == 1 && !slices.ContainsFunc(r.servers, func(s *server) bool { return takes(s) && r.usableUnchanged(now, s, j) }) {
			return nil // bounds the work of a turn with many held jobs
		}
		cs = r.candidatesInOrder(now, f, j)
	}
	var best *server
	fewest := math.MaxInt
	near := len(cs)
	if r.deployment.Routers > 1 {
		near = min(near, 2) // one alone would wait for a server that is stuck
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

// candidate is a server that may take a load, with its place in a function's order: lowest key first.
type candidate struct {
	server      *server
	key, weight float64
}

// homeCount is how many of the servers that can be used a function has for homes.
func (r *Balancer) homeCount(f *function, usable int) int {
	const spread = 2  // homes for a server's part of the jobs, so that a home is half of its server's load
	const enough = 32 // jobs that tell a part; the one in hand tells nothing
	part := float64(f.recent-1) / float64(max(enough, len(r.recent)))
	return min(usable, max(1, int(math.Ceil(spread*part*float64(usable)))))
}

// candidatesInOrder gives servers that a load may go to, those that loadTarget looks at first and in order.
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

// startLoad starts a load for a job. Where a job loads what is missing it goes by itself: so it finds what others
// loaded, for no price. An order goes before it for one copy more, or where only orders load: there a job goes
// once without, when the ration gives none, since others may have loaded it and a miss never ran.
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
	if r.deployment.LoadsOnMiss { // else a job would overtake its order and only miss
		p = r.forward(now, f, j, in)
	}
	p.LoadCommands = []LoadCommand{{s.Server, f.id, min(16, in.replicas+in.loading)}}
	return p
}

// loadCommandAllowed keeps the fifth rule.
func (r *Balancer) loadCommandAllowed(now Micros) bool {
	if r.deployment.LoadRateWindow > 0 {
		begin, late := now-r.deployment.LoadRateWindow, r.deployment.MaxCommandDelay // an earlier order may arrive late, this one not
		r.loadCommands, r.admitted = dropBefore(r.loadCommands, begin-late), dropBefore(r.admitted, begin+max(r.deployment.Tick, late))
		if float64(len(r.loadCommands)+1) > r.deployment.LoadRateBase+r.deployment.LoadRatePerRequest*float64(len(r.admitted)) {
			return false
		}
		r.loadCommands = append(r.loadCommands, now)
	}
	return true
}

// checkReplicas is the design's test whether a function needs more copies: recent delay has reached slack, and what
// is held would wait at least as long as a load takes. Held jobs then carry the loads out, see place. The
// page's D_f holds every job; here those without slack leave, so those of the last load's time count as held:
// else a start target shorter than a load keeps D_f below it whatever the demand.
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
	const few = 3 // a check's loads are under way before the next one counts again
	f.loadsDue = min(few, int(math.Ceil(float64(held-slots)/perLane))-loading)
}

// HandleLoadResult takes in the answer to an order.
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

const loadBackoff = 50_000 // a part of a load: one that ends meanwhile makes room
