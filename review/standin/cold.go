package main

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["cold"] = playCold }

// The figures of the settings that concern a server that has just started.
const (
	coldFrom     = 0.21
	coldFor      = 7500 * time.Millisecond
	fallMultiple = 2.0
	fallWindow   = time.Second
)

// capacity returns the share of its full capacity that a server has at an age.
func capacity(age time.Duration) float64 {
	if age >= coldFor {
		return 1
	}
	return coldFrom + (1-coldFrom)*age.Seconds()/coldFor.Seconds()
}

// coldServer is a model server that has just started. It falls when it gets more than the rule allows, and stays down.
type coldServer struct {
	*modelServer
	startedAt time.Time
	full      float64 // the requests a second that it can do once it is warm
	mu        sync.Mutex
	arrivals  []time.Time
	fallen    string  // with what it fell
	most      float64 // the largest share of what the rule allows
	mostText  string
}

// arrived counts a request, and compares the requests of the window that ends now with what the rule allows. All
// requests are of the same work, so each is one of mean work.
func (s *coldServer) arrived(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := at.Sub(s.startedAt)
	if age > coldFor || s.fallen != "" {
		return
	}
	s.arrivals = append(s.arrivals, at)
	for at.Sub(s.arrivals[0]) > fallWindow {
		s.arrivals = s.arrivals[1:]
	}
	n := fallMultiple * capacity(age) * s.full * fallWindow.Seconds()
	bound := n + 2*math.Sqrt(n) + 2
	if n < 30 {
		bound = n + 3*math.Sqrt(n) + 3
	}
	got := float64(len(s.arrivals))
	text := fmt.Sprintf("%s (%s, %.0f requests a second when warm) got %d requests within %v at an age of %.2f s, where the rule allows %.1f (N is %.1f)",
		s.name, s.kind, s.full, len(s.arrivals), fallWindow, age.Seconds(), bound, n)
	if got/bound > s.most {
		s.most, s.mostText = got/bound, text
	}
	if got > bound {
		s.fallen = text
		rec.log("%s falls and stays down", s.name)
		go s.modelServer.crash()
	}
}

func (s *coldServer) hasFallen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fallen != ""
}

// playCold replaces three of five model servers at a time, as releases do, under load. The servers are of two kinds and the
// list states no weights.
func playCold(dir string) (broken bool) {
	const (
		routers   = 1
		rate      = 950 // of each router
		functions = 10
		fastCores = 3
		fastWork  = 14 * time.Millisecond
		slowCores = 2
		slowWork  = 28 * time.Millisecond
		allow     = 2 * time.Second
		steps     = 9
		stepEvery = 10 * time.Second
	)
	b := newBoard("board")
	var servers []*modelServer
	newServer := func(kind string) *modelServer {
		cores, work := fastCores, fastWork
		if kind == "lite-2c" {
			cores, work = slowCores, slowWork
		}
		s := newModelServer(fmt.Sprintf("s-%d", len(servers)+1), cores, work, 200*time.Millisecond)
		s.kind = kind
		servers = append(servers, s)
		return s
	}
	target := func(s *modelServer, state string, bootMS int64) object {
		t := s.target(state, bootMS)
		t["capacity_hint"] = 1
		return t
	}
	logFrames := func(s *modelServer, arrived func(at time.Time)) {
		s.onFrame = func(f frame, at time.Time) {
			rec.log("%s got %d %016x", s.name, f.code, f.id)
			if f.code == 65 {
				arrived(at)
			}
		}
	}
	var targets []object
	for _, kind := range []string{"std-3c", "lite-2c", "std-3c", "std-3c", "std-3c"} {
		s := newServer(kind)
		logFrames(s, func(time.Time) {})
		targets = append(targets, target(s, "ready", 0))
	}
	b.publish(true, targets...)
	class := object{"aim": 500000, "hard_limit": allow.Microseconds(), "importance": 1.0, "key_scope": "all", "late_value": 0.1, "name": "seat-query",
		"semantics": "pure", "streaming": false, "window": 3000000}
	var fleet []*router
	var clients []*client
	for n := range routers {
		set := settings(routers, n, []object{class})
		set["weight_kind"], set["host_types"] = "off", []string{"std-3c", "lite-2c"}
		set["customers"] = []object{{"allowance_per_s": 2000.0, "fraction": 1.0, "name": "east-coast-line"}}
		set["contract"] = object{"answer_slack": 16000, "ask_every": 10000000, "cold": coldFor.Microseconds(), "cold_from": coldFrom,
			"fall": fallWindow.Microseconds(), "fall_multiple": fallMultiple, "stop_sending_within": 500000}
		r := startRouter(dir, fmt.Sprintf("n%d", n+1), routerConfig(b, set, 64, 384, 1))
		fleet = append(fleet, r)
		for range 60 {
			c, err := dialClient(r.address)
			if err != nil {
				cannotRun("%v", err)
			}
			clients = append(clients, c)
		}
	}
	var mu sync.Mutex
	counts := map[string]int{}
	var wg sync.WaitGroup
	var stop atomic.Bool
	begin := time.Now()
	wg.Go(func() {
		for i := 0; !stop.Load(); i++ {
			time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / (routers * rate))))
			// A handful of functions draw a large part of all requests.
			f := int(math.Pow(functions, float64(i*7919%1000)/1000))
			q := &request{class: "seat-query", tenant: "east-coast-line", ref: randomRef(), lookup: fmt.Sprintf("%016x", f), allow: allow,
				body: []byte("hello"), memoryMB: 512, lanes: 4}
			at := time.Now()
			ch, err := clients[(i%routers*60 + i/routers%60)].call(q)
			if err != nil {
				rec.log("client: request %s can't be sent: %v", q.ref, err)
				continue
			}
			wg.Go(func() {
				kind := "no answer"
				select {
				case a := <-ch:
					kind = a.kind
				case <-time.After(allow + 550*time.Millisecond):
				}
				rec.log("client %s %s %d ms", q.ref, kind, time.Since(at).Milliseconds())
				mu.Lock()
				counts[kind]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(8 * time.Second)

	// Each step replaces one server of the slower kind and two of the faster one.
	var colds []*coldServer
	current := append([]*modelServer{}, servers...)
	for step := 0; step < steps; step++ {
		if trouble() {
			targets = nil
			replaced := map[string]int{"lite-2c": 1, "std-3c": 2}
			var next, added []*modelServer
			for _, old := range current {
				if replaced[old.kind] == 0 {
					next = append(next, old)
					continue
				}
				replaced[old.kind]--
				targets = append(targets, target(old, "draining", 0))
				s := newServer(old.kind)
				cs := &coldServer{modelServer: s, startedAt: time.Now(), full: float64(s.slots) / s.work.Seconds()}
				s.workNow = func() time.Duration { return time.Duration(float64(s.work) / capacity(time.Since(cs.startedAt))) }
				logFrames(s, cs.arrived)
				colds, added = append(colds, cs), append(added, s)
				targets = append(targets, target(s, "ready", cs.startedAt.UnixMilli()))
			}
			current = append(next, added...)
			b.publish(false, targets...)
		}
		time.Sleep(stepEvery)
		if slices.ContainsFunc(colds, func(cs *coldServer) bool { return cs.hasFallen() }) {
			break
		}
	}
	stop.Store(true)
	wg.Wait()
	for _, r := range fleet {
		if r.hasExited() {
			cannotRun("%s has ended", r.name)
		}
	}
	for _, cs := range colds {
		cs.mu.Lock()
		if rec.say("most, against the rule: %s", cs.mostText); cs.fallen != "" {
			rec.say("fell: %s", cs.fallen)
			broken = true
		}
		cs.mu.Unlock()
	}
	mu.Lock()
	defer mu.Unlock()
	rec.say("answers: %v", counts)
	return broken
}
