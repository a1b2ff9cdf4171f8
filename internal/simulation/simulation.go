// Package simulation plays days in simulated time: hundreds of unchanged cores, each with a policy of its own, against the same model
// servers that package fakeserver runs on sockets, with clients that retry, a shared store, network delays, partitions, and routers and
// servers that stall, crash and come back. The same plan gives the same records, to the last byte, whatever the number of threads.
package simulation

import (
	"hollymast/control"
	"hollymast/internal/modelserver"
)

// epoch is the time at which days begin: above zero, which means "long ago" or "none" to the balancer.
const epoch = control.Micros(1_000_000_000)

// Network delays: half a millisecond at least and as much on average on top, as within a data center. The least delay is also
// the length of the engine's windows.
const (
	minDelay       = control.Micros(500)
	meanExtraDelay = 500.0
)

// Timeouts. Those of routers are as deployments usually set them; clients read late answers for as long as the chaos tester's do on
// sockets, so that late answers are seen.
const (
	dialTimeout       = control.Micros(1_000_000)
	loadTimeout       = control.Micros(30_000_000)
	lateAnswerTimeout = control.Micros(300_000)
)

// settleTime is for how long a day goes on after the last call's client stopped reading: long enough for what is in flight to arrive.
const settleTime = control.Micros(1_000_000)

// simulation is a day that is being simulated.
type simulation struct {
	plan           *Plan
	engine         *engine
	infrastructure *infrastructure
	routers        []*router
	servers        []*server
	clients        []*client
}

// Run simulates a day on some threads.
func Run(plan *Plan, threads int) *Result {
	sim := newSimulation(plan, max(1, threads))
	sim.start()
	longest := sim.scheduleCalls()
	for i := range plan.Incidents {
		sim.scheduleIncident(&plan.Incidents[i])
	}
	events := sim.engine.run(epoch + plan.Duration + longest + lateAnswerTimeout + settleTime)
	return newResult(sim, events)
}

// newSimulation makes all nodes. Their order decides their ids, and so their random sources and the order of simultaneous events.
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

// scheduleCalls deals the calls to the clients and returns the longest timeout.
func (sim *simulation) scheduleCalls() (longest control.Micros) {
	for i := range sim.plan.Calls {
		call := &sim.plan.Calls[i]
		client := sim.clients[call.Number%len(sim.clients)]
		client.node.at(epoch+call.At, func() { client.startCall(i, call) })
		longest = max(longest, call.Timeout)
	}
	return longest
}

// randomDelay draws how long a message takes.
func (n *node) randomDelay() control.Micros {
	return minDelay + control.Micros(n.random.ExpFloat64()*meanExtraDelay)
}
