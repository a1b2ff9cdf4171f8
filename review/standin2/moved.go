package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const cellWorkloads = `
[workload pickup-booking]
start_target = 1s
time_limit = 5s
importance = 2
effect = fingerprinted
group = cell
window = 5s
[function *]
workload = pickup-booking
lanes = 4
`

// moved: a booking runs in cell c1, and its router is killed before the answer. Meanwhile the worker that had it is replaced, and its address
// goes to a new worker of cell c2. The client, which found its router unreachable, sends the booking again with its key once the router is
// back, within the window: the router takes c2 for the group that knows the key.
func moved(s *scene) bool {
	ran := &ledger{scene: s}
	cells := map[string]*keyMemory{"c1": newKeyMemory(5 * time.Second), "c2": newKeyMemory(5 * time.Second)}
	inFlight := make(chan string, 16)
	newWorker := func(name, cell, address string, slow bool) *worker {
		w := &worker{name: name + "/" + cell, scene: s, ledger: ran, keys: cells[cell], loadTime: 200 * time.Millisecond, workTime: 100 * time.Millisecond}
		if slow {
			w.loseAnswer = func(_, key string) bool {
				inFlight <- w.address()
				return s.trouble // the router is killed before it has the answer
			}
		}
		return startWorker(w, address)
	}
	longAgo := s.began.Add(-time.Hour)
	c1 := []*worker{newWorker("a", "c1", "", true), newWorker("b", "c1", "", true)}
	c2 := newWorker("c", "c2", "", false)
	defer c1[0].stop()
	defer c1[1].stop()
	defer c2.stop()
	list := func(extra ...listedWorker) string { return s.endpointList(extra...) }
	// The first call goes to cell c1, since c2's worker is listed from then on.
	settings := gatewaySettings{number: 0, routers: 1, workloads: cellWorkloads}
	path := list(listedWorker{c1[0].address(), "c1", longAgo}, listedWorker{c1[1].address(), "c1", longAgo})
	g := s.startGateway(settings, path, nil)
	time.Sleep(1100 * time.Millisecond)
	const key = "booking-key-1"
	answered := make(chan string, 1)
	go func() { answered <- s.book(g.listen, key) }()
	var address string
	select {
	case address = <-inFlight:
	case <-time.After(5 * time.Second):
		panic("the booking did not run")
	}
	sentAt := time.Now()
	list(listedWorker{c1[0].address(), "c1", longAgo}, listedWorker{c1[1].address(), "c1", longAgo}, listedWorker{c2.address(), "c2", longAgo})
	if !s.trouble {
		s.note("the client got: %s", <-answered)
	} else {
		time.Sleep(100 * time.Millisecond)
		g.kill()
		s.note("the router is killed; the client got: %s", <-answered)
		// The worker is replaced; its address goes to a worker of the other cell.
		other := c1[0]
		for i, w := range c1 {
			if w.address() == address {
				w.stop()
				other = c1[1-i]
			}
		}
		time.Sleep(500 * time.Millisecond)
		replacement := newWorker("d", "c2", address, false)
		defer replacement.stop()
		list(listedWorker{other.address(), "c1", longAgo}, listedWorker{c2.address(), "c2", longAgo},
			listedWorker{address, "c2", time.Now()})
		s.note("%s belongs to a new worker of cell c2; %s is left in c1", address, other.address())
		g = s.startGateway(settings, path, g)
		s.note("the client sends the booking again %.1f s after the first time", time.Since(sentAt).Seconds())
		s.note("the client got: %s", s.book(g.listen, key))
	}
	runs := ran.byKey()[key]
	s.note("%s ran %d times: %s", key, len(runs), times(runs))
	return len(runs) < 2
}

// book sends a booking with its key to a router and returns what came of it.
func (s *scene) book(router, key string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+router+"/v2/models/pickup-booking-1/infer", strings.NewReader(`{"inputs":[]}`))
	check(err)
	req.Header.Set("Idempotency-Key", key)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %s", resp.StatusCode, body)
}
