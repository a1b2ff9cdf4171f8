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

// drainTime is for how long a day goes on after the last call's client stopped reading: long enough for what is in flight to arrive.
const drainTime = control.Micros(1_000_000)

// world is a day that is being simulated.
type world struct {
	plan           *Plan
	engine         *engine
	infrastructure *infrastructure
	routers        []*router
	servers        []*server
	clients        []*client
}

// Run simulates a day on some threads.
func Run(plan *Plan, threads int) *Result {
	w := newWorld(plan, max(1, threads))
	w.start()
	longest := w.scheduleCalls()
	for i := range plan.Incidents {
		w.schedule(&plan.Incidents[i])
	}
	events := w.engine.run(epoch + plan.Duration + longest + lateAnswerTimeout + drainTime)
	return newResult(w, events)
}

// newWorld makes all nodes. Their order decides their ids, and so their random sources and the order of simultaneous events.
func newWorld(plan *Plan, threads int) *world {
	w := &world{plan: plan, engine: newEngine(threads, minDelay)}
	w.infrastructure = newInfrastructure(w)
	for i := range plan.Routers {
		w.routers = append(w.routers, newRouter(w, i))
	}
	for i := range plan.Servers {
		w.servers = append(w.servers, newServer(w, i))
	}
	for range max(1, plan.Clients) {
		w.clients = append(w.clients, newClient(w))
	}
	return w
}

func (w *world) start() {
	for _, s := range w.engine.shards {
		s.now = epoch
	}
	w.infrastructure.publish()
	for _, s := range w.servers {
		s.model.Start(modelserver.FullCapacity)
	}
	for _, r := range w.routers {
		r.start()
	}
}

// scheduleCalls deals the calls to the clients and returns the longest timeout.
func (w *world) scheduleCalls() (longest control.Micros) {
	for i := range w.plan.Calls {
		call := &w.plan.Calls[i]
		client := w.clients[call.Number%len(w.clients)]
		client.node.at(epoch+call.At, func() { client.begin(i, call) })
		longest = max(longest, call.Timeout)
	}
	return longest
}

// delay draws how long a message takes.
func (n *node) delay() control.Micros {
	return minDelay + control.Micros(n.random.ExpFloat64()*meanExtraDelay)
}
