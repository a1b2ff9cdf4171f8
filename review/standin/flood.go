package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["flood"] = playFlood }

// playFlood has bad clients send requests for functions that no model server knows, as many at once as the protocol
// allows on a connection, beside the usual clients. The limits are those of the operators' day with bad clients.
func playFlood(dir string) (broken bool) {
	const (
		sockets, memoryMB = 384, 64
		badClients        = 145
		openEach          = 32       // as many as may be open on one connection
		bodySize          = 16 << 10 // the largest body
		usualClients      = 10
		usualInterval     = 10 * time.Millisecond
		usualAllow        = 4 * time.Second
	)
	b := newBoard("board")
	var targets []object
	for i := range 6 {
		s := newModelServer(fmt.Sprintf("s-%d", i+1), 16, 60*time.Millisecond, 500*time.Millisecond)
		s.knows = func(function string) bool { return function[0] == '0' }
		s.onFrame = func(f frame, _ time.Time) {
			rec.log("%s: got code %d, id %016x, %v, %d bytes", s.name, f.code, f.id, f.fields, len(f.body))
		}
		targets = append(targets, s.target("ready", 0))
	}
	b.publish(true, targets...)
	r := startRouter(dir, "n1", routerConfig(b, settings(1, 0, []object{forecast, booking}), memoryMB, sockets, 0.25))

	overLimit := make(chan float64, 1)
	var mu sync.Mutex
	var peak float64
	go func() {
		for i := 0; ; i++ {
			time.Sleep(20 * time.Millisecond)
			now, all := r.memory()
			mu.Lock()
			peak = max(peak, now)
			mu.Unlock()
			if i%25 == 0 || now > memoryMB {
				rec.log("n1: %.1f MB of memory without mapped files, %.1f MB with them", now, all)
			}
			if now > memoryMB {
				overLimit <- now
				return
			}
		}
	}()

	counts := map[string]int{}
	count := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		counts[what]++
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var usual []*client
	for range usualClients {
		c, err := dialClient(r.address)
		if err != nil {
			cannotRun("%v", err)
		}
		usual = append(usual, c)
	}
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(usualInterval):
			}
			q := &request{class: "forecast", tenant: "harbor-wash", ref: randomRef(), lookup: fmt.Sprintf("%016x", i%10+1), allow: usualAllow,
				body: []byte("hello"), memoryMB: 512, lanes: 4}
			at := time.Now()
			ch, err := usual[i%len(usual)].call(q)
			if err != nil {
				rec.log("usual client: request %s can't be sent: %v", q.ref, err)
				continue
			}
			wg.Go(func() {
				select {
				case a := <-ch:
					rec.log("usual client: request %s: %s after %v %s", q.ref, a.kind, time.Since(at), a.text)
					count("usual: " + a.kind)
				case <-time.After(usualAllow + 550*time.Millisecond):
					rec.log("usual client: request %s: no answer", q.ref)
					count("usual: no answer")
				}
			})
		}
	})
	time.Sleep(5 * time.Second)

	if trouble() {
		rec.log("%d bad clients send %d requests each", badClients, openEach)
		body := make([]byte, bodySize)
		for n := range badClients {
			go func() {
				c, err := dialClient(r.address)
				if err != nil {
					rec.log("bad client %d: no connection: %v", n, err)
					return
				}
				for range openEach {
					q := &request{class: "forecast", tenant: "harbor-wash", ref: randomRef(), lookup: fmt.Sprintf("f%015x", rand.Uint64()>>12),
						allow: usualAllow, body: body, memoryMB: 512, lanes: 4}
					ch, err := c.call(q)
					if err != nil {
						rec.log("bad client %d: request %s can't be sent: %v", n, q.ref, err)
						return
					}
					count("bad: sent")
					at := time.Now()
					go func() {
						a := <-ch
						rec.log("bad client %d: request %s: %s after %v %s", n, q.ref, a.kind, time.Since(at), a.text)
						count("bad: " + a.kind)
					}()
				}
			}()
		}
	}
	select {
	case mb := <-overLimit:
		rec.say("n1 has %.1f MB of memory without mapped files, the limit is %d MB: the platform kills it", mb, memoryMB)
		r.kill(9)
		<-r.exited
		broken = true
	case <-r.exited:
		rec.say("n1 has ended by itself: %v", r.exitErr)
		broken = true
	case <-time.After(10 * time.Second):
	}
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.say("n1 had %.1f MB at most, of %d MB; answers: %v", peak, memoryMB, counts)
	return broken
}
