package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	crowdSize  = 600      // bad clients
	crowdOpen  = 32       // requests that each has open at once: what the protocol allows
	crowdBody  = 16 << 10 // bytes of a body: what the protocol allows
	badLookups = 1 << 63  // functions from here on are known to no model server
	crowdLasts = 12 * time.Second
)

// crowdClients is the process of the bad clients: each connects, sends requests for functions that no model server knows, at full speed,
// and another one as soon as one is turned away. It reads what is sent to it and connects again when it is closed.
func crowdClients(address string) {
	body := make([]byte, crowdBody)
	for range crowdSize {
		go func() {
			for {
				if c, err := dialRouter(address); err == nil {
					c.floodUntilClosed(body)
				} else {
					time.Sleep(10 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(crowdLasts)
}

func (c *client) floodUntilClosed(body []byte) {
	defer c.conn.Close()
	open, closed := make(chan struct{}, crowdOpen), make(chan struct{})
	go func() {
		defer close(closed)
		dec := msgpack.NewDecoder(c.conn)
		for {
			if _, err := dec.DecodeSlice(); err != nil {
				return
			}
			<-open
		}
	}()
	for {
		select {
		case open <- struct{}{}:
		case <-closed:
			return
		}
		_, message := c.call("forecast", callFields(rand.Uint64()|badLookups, 4*time.Second), body)
		if _, err := c.conn.Write(message); err != nil {
			return
		}
	}
}

func callFields(function uint64, allow time.Duration) map[string]string {
	return map[string]string{"ref": fmt.Sprintf("%016x", rand.Uint64()), "allow": fmt.Sprint(allow.Milliseconds()), "project": "ridgeline",
		"lookup": fmt.Sprintf("%016x", function), "spec": "memory_mb:3512;lanes:4"}
}

// crowd: beside a crowd of bad clients, usual clients' requests are answered more than half a second after their time.
func crowd(s *scene) bool {
	var targets []target
	for i := range 8 {
		m := startModelServer("127.0.0.1:0", func(f frame, answer func(byte, string, []byte)) {
			switch {
			case f.code != 65 && f.code != 69:
			case f.field("thing") >= "8":
				answer(101, "", nil) // what it can't use
			case f.code == 69:
				answer(97, "pods=1", nil)
			default:
				time.Sleep(100 * time.Millisecond)
				answer(97, "remark=resident", f.body)
			}
		})
		targets = append(targets, target{fmt.Sprintf("s-%08x", i), m.address(), "kent", "gen2", i / 4, "ready", 4, 0})
	}
	r := s.startRouter(startBoard(targets), map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 384}, kentSettings(nil), "")
	if s.trouble {
		s.start("crowd", nil, os.Args[0], "crowd-clients", r.listen)
	}
	var mu sync.Mutex
	var ownLag time.Duration // of this process, the largest
	counts := map[string]int{}
	var late []time.Duration
	stop := make(chan struct{})
	go func() {
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			mu.Lock()
			ownLag = max(ownLag, time.Since(last)-5*time.Millisecond)
			mu.Unlock()
		}
	}()
	const allow = 2 * time.Second // half of the class's time limit
	end := time.Now().Add(crowdLasts - 2*time.Second)
	var clients sync.WaitGroup
	for n := range 25 { // they hold far less than a third of the descriptors
		clients.Go(func() {
			for time.Now().Before(end) {
				c, err := dialRouter(r.listen)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				dec := msgpack.NewDecoder(c.conn)
				for nth := 1; nth <= 3; nth++ {
					_, message := c.call("forecast", callFields(1+rand.Uint64N(20), allow), []byte("body"))
					sentAt := time.Now()
					c.conn.Write(message)
					c.conn.SetReadDeadline(sentAt.Add(allow + 5*time.Second))
					v, err := dec.DecodeSlice()
					took := time.Since(sentAt)
					outcome := "refused"
					switch {
					case err != nil && took < 50*time.Millisecond:
						outcome = "closed within 50 ms, to be sent again"
					case err != nil && nth == 1 && took < allow:
						outcome = "first of its connection, closed"
					case err != nil:
						outcome = "LOST, no answer"
					case v[2] == nil:
						outcome = "served"
					}
					mu.Lock()
					if err == nil && took > allow+550*time.Millisecond {
						outcome = "LOST, answered over half a second after its time"
						late = append(late, took-allow)
					}
					counts[outcome]++
					mu.Unlock()
					s.recordOnly("client %d request %d: %s after %v", n, nth, outcome, took.Round(time.Millisecond))
					if err != nil {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				c.conn.Close()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	close(stop)
	select {
	case <-r.ended:
		panic("the router has ended")
	default:
	}
	mu.Lock()
	defer mu.Unlock()
	s.note("usual clients' requests: %v", counts)
	s.note("lag of this process: %v at most", ownLag)
	lost := counts["LOST, no answer"]
	slices.Sort(late)
	for _, by := range late {
		if by > 550*time.Millisecond+ownLag {
			lost++
		}
	}
	if len(late) > 0 {
		s.note("late by %v to %v", late[0], late[len(late)-1])
	}
	s.note("%d lost", lost)
	return lost == 0
}
