// Package simulation is a deterministic discrete-event simulation of a deployment: up to hundreds of routers that run the
// production core, each with its own policy, and the same model servers that package fakeserver runs on sockets. It
// includes clients that retry, a shared function store, network delays, partitions, and routers and servers that stall,
// crash and restart. The same plan gives identical records with any number of threads.
package simulation

import (
	"hollymast/control"
	"hollymast/internal/modelserver"
)

// epoch is the time at which a run begins: well above zero, which means "long ago" or "none" to the balancer.
const epoch = control.Micros(1_000_000_000)

// Network delays, as within a data center: at least half a millisecond, plus half a millisecond on average. The minimum
// delay is also the maximum length of the engine's windows.
const (
	minDelay       = control.Micros(500)
	meanExtraDelay = 500.0
)

// Timeouts. Those of routers have typical values. Clients wait for a late response beyond their timeout, as long as the
// chaos tester's clients do in a run of real processes, so that late responses are recorded.
const (
	dialTimeout         = control.Micros(1_000_000)
	loadTimeout         = control.Micros(30_000_000)
	lateResponseTimeout = control.Micros(300_000)
)

// settleTime is how long a run continues after all clients have stopped waiting, so that messages in flight arrive.
const settleTime = control.Micros(1_000_000)

// simulation is a run in progress.
type simulation struct {
	plan           *Plan
	engine         *engine
	infrastructure *infrastructure
	routers        []*router
	servers        []*server
	clients        []*client
}

// Run simulates a plan with a number of threads.
func Run(plan *Plan, threads int) *Result {
	sim := newSimulation(plan, max(1, threads))
	sim.start()
	longest := sim.scheduleCalls()
	for i := range plan.Incidents {
		sim.scheduleIncident(&plan.Incidents[i])
	}
	events := sim.engine.run(epoch + plan.Duration + longest + lateResponseTimeout + settleTime)
	return newResult(sim, events)
}

// newSimulation creates all nodes. Their order determines their ids, on which their random sources and the order of
// simultaneous events depend.
func newSimulation(plan *Plan, threads int) *simulation {
	sim := &simulation{plan: plan, engine: newEngine(threads, minDelay)}
	sim.infrastructure = newInfrastructure(sim)
	for i := range plan.Routers {
		sim.routers = append(sim.routers, newRouter(sim, i))
	}
	for i := range plan.Servers {
		sim.servers = append(sim.servers, newServer(sim, i))
	}
	for range max(1, plan.Clients) {
		sim.clients = append(sim.clients, newClient(sim))
	}
	return sim
}

// start publishes the endpoint list and starts all servers and routers.
func (sim *simulation) start() {
	for _, s := range sim.engine.shards {
		s.now = epoch
	}
	sim.infrastructure.publish()
	for _, s := range sim.servers {
		s.model.Start(modelserver.FullCapacity)
	}
	for _, r := range sim.routers {
		r.start()
	}
}

// scheduleCalls distributes the calls to the clients and returns the longest timeout.
func (sim *simulation) scheduleCalls() (longest control.Micros) {
	for i := range sim.plan.Calls {
		call := &sim.plan.Calls[i]
		client := sim.clients[call.Number%len(sim.clients)]
		client.node.at(epoch+call.At, func() { client.startCall(i, call) })
		longest = max(longest, call.Timeout)
	}
	return longest
}

// randomDelay returns a random network delay.
func (n *node) randomDelay() control.Micros {
	return minDelay + control.Micros(n.random.ExpFloat64()*meanExtraDelay)
}
