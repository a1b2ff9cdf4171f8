package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const afterKillWorkloads = `
[workload forecast]
start_target = 1s
time_limit = 4s
effect = restartable
[workload order]
start_target = 4s
time_limit = 10s
importance = 2
effect = run-once
[function order-*]
workload = order
lanes = 64
[function *]
workload = forecast
lanes = 8
`

// afterKill: a router is killed while run-once calls of its clients run, and started again. It reads in its journal which calls may have run. The
// clients, whose router was unreachable, ask it again with their keys. The router takes that for a storm of retries and pushes most of them
// back, which says that trying again is harmless. So they go to the other router, where calls run a second time.
func afterKill(s *scene) bool {
	const orders = 150
	ran := &ledger{scene: s}
	var workers []listedWorker
	for i := range 4 {
		w := startWorker(&worker{name: fmt.Sprintf("worker-%d", i), scene: s, ledger: ran, loadTime: 200 * time.Millisecond,
			workTime: 100 * time.Millisecond, slow: func(key string) time.Duration {
				if len(key) > 5 && key[:5] == "order" {
					return 3 * time.Second
				}
				return 0
			}}, "")
		defer w.stop()
		workers = append(workers, listedWorker{w.address(), "c1", s.began.Add(-time.Hour)})
	}
	list := s.endpointList(workers...)
	var routers []*gateway
	for number := range 2 {
		routers = append(routers, s.startGateway(gatewaySettings{number: number, routers: 2, workloads: afterKillWorkloads}, list, nil))
	}
	time.Sleep(1100 * time.Millisecond)
	pool := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	stop := make(chan struct{})
	for n := range 8 { // ordinary forecasts, some 45 a second, at all workers
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(80 * time.Millisecond):
				}
				s.call(pool, routers[0].listen, fmt.Sprintf("forecast-%d", n), fmt.Sprintf("f-%d", rand.Uint64()), 1, 4*time.Second)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	var mu sync.Mutex
	counts := map[string]int{}
	count := func(what string) { mu.Lock(); counts[what]++; mu.Unlock() }
	var clients sync.WaitGroup
	for i := range orders {
		clients.Go(func() {
			key := fmt.Sprintf("order-key-%d", i)
			// They come within 1.5 s, so that all run when the router is killed.
			time.Sleep(time.Duration(i) * 1500 * time.Millisecond / time.Duration(orders))
			a := s.call(pool, routers[0].listen, fmt.Sprintf("order-%d", i%6), key, 1, 10*time.Second)
			if a.err == nil {
				count("first try: " + a.outcome())
				s.recordOnly("%s first try: %v", key, a)
				return
			}
			s.recordOnly("%s first try: %v", key, a)
			for range 20 { // its router was unreachable: it asks again, once it is back
				time.Sleep(time.Duration(53+rand.IntN(327)) * time.Millisecond)
				if a = s.call(pool, routers[0].listen, fmt.Sprintf("order-%d", i%6), key, 2, 8*time.Second); a.err == nil {
					break
				}
			}
			count("second try: " + a.outcome())
			s.recordOnly("%s second try, with the key, at the same router: %v", key, a)
			if a.err == nil && a.status == 503 && a.Answer == "pushed back" {
				time.Sleep(time.Duration(a.Pause) * time.Microsecond)
				a = s.call(pool, routers[1].listen, fmt.Sprintf("order-%d", i%6), key, 3, 5*time.Second)
				count("third try: " + a.outcome())
				s.recordOnly("%s third try, with the key, at the other router: %v", key, a)
			}
		})
	}
	time.Sleep(2400 * time.Millisecond)
	if s.trouble {
		routers[0].kill()
		s.note("router 0 is killed")
		routers[0] = s.startGateway(gatewaySettings{number: 0, routers: 2, workloads: afterKillWorkloads}, list, routers[0])
	}
	clients.Wait()
	close(stop)
	s.note("orders: %v", counts)
	twice := 0
	for key, runs := range ran.byKey() {
		if len(runs) > 1 && key[:5] == "order" {
			if twice++; twice <= 5 {
				s.note("%s ran %d times: %s", key, len(runs), times(runs))
			}
		}
	}
	s.note("%d of %d orders ran twice", twice, orders)
	return twice == 0
}

// outcome describes an answer in few words.
func (a answer) outcome() string {
	if a.err != nil {
		return "no answer"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", a.status, a.Answer))
}
