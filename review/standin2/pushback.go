package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The client gives up after the time limit; the workers remember a key for half of that.
const bookingWorkloads = `
[workload pickup-booking]
start_target = 4s
time_limit = 10s
effect = fingerprinted
group = fleet
window = 5s
[function *]
workload = pickup-booking
lanes = 8
`

// pushback: some answers of workers get lost, their connections are reset in place of the answer. Such a booking has run; its router has no
// time left to send it again and pushes it back, with a time to return. The client library returns then, and the booking runs again: the
// workers no longer remember its key.
func pushback(s *scene) bool {
	ran := &ledger{scene: s}
	keys := newKeyMemory(5 * time.Second)
	random, mu := rand.New(rand.NewPCG(6, 6)), sync.Mutex{}
	lost := 0
	lose := func(_, key string) bool {
		mu.Lock()
		defer mu.Unlock()
		if !s.trouble || random.Float64() >= 0.2 {
			return false
		}
		lost++
		return true
	}
	var workers []listedWorker
	for i := range 4 {
		w := startWorker(&worker{name: fmt.Sprintf("worker-%d", i), scene: s, ledger: ran, keys: keys, loadTime: 900 * time.Millisecond,
			workTime: 3300 * time.Millisecond, resetAfter: lose}, "")
		defer w.stop()
		workers = append(workers, listedWorker{w.address(), "c1", s.began.Add(-time.Hour)})
	}
	list := s.endpointList(workers...)
	var routers []string
	for number := range 2 {
		g := s.startGateway(gatewaySettings{number: number, routers: 2, workloads: bookingWorkloads}, list, nil)
		routers = append(routers, g.listen)
	}
	time.Sleep(1100 * time.Millisecond) // the routers' first second is over

	var bookings strings.Builder
	for i := range 60 {
		bookings.WriteString(callLine(fmt.Sprintf("pickup-booking-%d", i%4), "fingerprinted", fmt.Sprintf("booking-%d", i)))
	}
	booking := s.start("bookings", nil, "bin/hmcall", "--router", strings.Join(routers, ","), "--calls", s.file("bookings.jsonl", bookings.String()),
		"--window", "5s", "--timeout", "10s", "--concurrency", "8")
	select {
	case <-booking.ended:
	case <-time.After(100 * time.Second):
		panic("the bookings did not end")
	}
	for line := range strings.Lines(s.log("bookings")) {
		s.recordOnly("hmcall: %s", strings.TrimSpace(line))
	}
	mu.Lock()
	s.note("%d answers to bookings were lost", lost)
	mu.Unlock()
	held := true
	for key, runs := range ran.byKey() {
		if len(runs) > 1 {
			held = false
			s.note("%s of %s ran %d times: %s", key, runs[0].model, len(runs), times(runs))
		}
	}
	return held
}

// times describes when and where a request ran.
func times(runs []execution) string {
	var parts []string
	for _, e := range runs {
		parts = append(parts, fmt.Sprintf("%s at %.3f s", e.worker, e.at.Seconds()))
	}
	return strings.Join(parts, ", ")
}
