package main

import (
	"fmt"
	"strings"
	"time"
)

const onceWorkloads = `
[workload forecast]
start_target = 3s
time_limit = 10s
effect = restartable
[workload order]
start_target = 3s
time_limit = 10s
importance = 2
effect = run-once
[function order-*]
workload = order
lanes = 1
[function *]
workload = forecast
lanes = 1
`

// sameTwice: a run-once call waits in its router for a model that is being loaded. The connection between client and router breaks on the
// client's side alone, so the client library sends the call again, with its key, to the same router, as run-once calls may be where routers
// remember keys. The router has both in hand, and runs both.
func sameTwice(s *scene) bool {
	ran := &ledger{scene: s}
	var workers []listedWorker
	for i := range 3 {
		w := startWorker(&worker{name: fmt.Sprintf("worker-%d", i), scene: s, ledger: ran, loadTime: 1500 * time.Millisecond,
			workTime: 100 * time.Millisecond}, "")
		defer w.stop()
		workers = append(workers, listedWorker{w.address(), "c1", s.began.Add(-time.Hour)})
	}
	g := s.startGateway(gatewaySettings{number: 0, routers: 1, workloads: onceWorkloads}, s.endpointList(workers...), nil)
	f := startFront(g.listen)
	time.Sleep(1100 * time.Millisecond)

	// Two orders for one model: the first begins its load, the second waits in the router.
	call := func(name, key string) *process {
		return s.start(name, nil, "bin/hmcall", "--router", f.address(), "--model", "order-7", "--mark", key, "--effect", "run-once", "--remembered")
	}
	first := call("first", "order-key-1")
	time.Sleep(200 * time.Millisecond)
	second := call("second", "order-key-2")
	time.Sleep(300 * time.Millisecond)
	if s.trouble {
		if n := f.cutCarrying("order-key-2"); n != 1 {
			panic(fmt.Sprintf("%d connections carried the second order", n))
		}
		s.note("the second order's connection is cut on the client's side")
	}
	for _, p := range []*process{first, second} {
		select {
		case <-p.ended:
		case <-time.After(20 * time.Second):
			panic("a call did not end")
		}
		s.note("hmcall %s: %s", p.name, strings.TrimSpace(s.log(p.name)))
	}
	time.Sleep(2 * time.Second) // what the router still has in hand
	held := true
	for key, runs := range ran.byKey() {
		s.note("%s ran %d times: %s", key, len(runs), times(runs))
		held = held && len(runs) < 2
	}
	return held
}
