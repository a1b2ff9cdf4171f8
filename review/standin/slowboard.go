package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slowboard"] = playSlowBoard }

// playSlowBoard moves the notice board by SIGHUP. The new board is crowded: it answers each watch after 2 s. A server
// drains at the same time.
func playSlowBoard(dir string) (broken bool) {
	const (
		answerDelay = 2 * time.Second        // of the crowded board
		told        = 4 * time.Second        // after SIGHUP, what the board has to tell counts as told
		grace       = 500 * time.Millisecond // stop_sending_within of the settings
		slack       = 50 * time.Millisecond  // every time limit is this much longer on sockets
	)
	b := newBoard("old board")
	var servers []*modelServer
	var targets []object
	var mu sync.Mutex
	var drained *modelServer
	var drainedAt, limit time.Time
	late := 0
	for i := range 4 {
		s := newModelServer(fmt.Sprintf("s-%d", i+1), 16, 60*time.Millisecond, 300*time.Millisecond)
		s.onFrame = func(f frame, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			after := ""
			if s == drained && (f.code == 65 || f.code == 69 && f.fields["pods"] != "0") {
				after = fmt.Sprintf(", %.3f s after it began to drain", at.Sub(drainedAt).Seconds())
				if at.After(limit) {
					late++
					after += fmt.Sprintf(": %.3f s after the grace", at.Sub(limit).Seconds())
				}
			}
			rec.log("%s: got code %d, id %016x, %v%s", s.name, f.code, f.id, f.fields, after)
		}
		servers, targets = append(servers, s), append(targets, s.target("ready", 0))
	}
	b.publish(true, targets...)
	config := routerConfig(b, settings(1, 0, []object{forecast, booking}), 64, 384, 1)
	r := startRouter(dir, "n1", config)

	counts := map[string]int{}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var clients []*client
	for range 10 {
		c, err := dialClient(r.address)
		if err != nil {
			cannotRun("%v", err)
		}
		clients = append(clients, c)
	}
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(15 * time.Millisecond):
			}
			q := &request{class: "forecast", tenant: "harbor-wash", ref: randomRef(), lookup: fmt.Sprintf("%016x", i%12+1), allow: 4 * time.Second,
				body: []byte("hello"), memoryMB: 512, lanes: 4}
			at := time.Now()
			ch, err := clients[i%len(clients)].call(q)
			if err != nil {
				cannotRun("a request can't be sent: %v", err)
			}
			wg.Go(func() {
				kind := "none"
				select {
				case a := <-ch:
					kind = a.kind
				case <-time.After(4*time.Second + 550*time.Millisecond):
				}
				rec.log("client: request %s for %s: %s after %v", q.ref, q.lookup, kind, time.Since(at))
				mu.Lock()
				counts[kind]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(6 * time.Second)

	next := newBoard("new board")
	if trouble() {
		next.delay = answerDelay
	}
	b.moveTo(next)
	config["board"] = next.address()
	r.writeConfig(config)
	rec.log("n1: SIGHUP")
	hupAt := time.Now()
	r.process.Process.Signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	mu.Lock()
	drained, drainedAt = servers[1], time.Now()
	limit = hupAt.Add(told + grace + slack)
	mu.Unlock()
	next.publish(false, servers[1].target("draining", 0))
	time.Sleep(14 * time.Second)
	next.mu.Lock()
	watches := next.watches
	next.mu.Unlock()
	close(stop)
	wg.Wait()
	if r.hasExited() {
		cannotRun("the router has ended")
	}
	mu.Lock()
	defer mu.Unlock()
	rec.say("%s got %d requests and orders to load later than %v after SIGHUP; the router asked the new board %d times; answers: %v",
		drained.name, late, told+grace+slack, watches, counts)
	return late > 0
}
