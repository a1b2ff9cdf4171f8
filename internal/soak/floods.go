package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Flooding clients send messages that have no effect, each at full speed on one connection.
const (
	minFloodClients, maxFloodClients   = 4, 8 // per router
	minFloodDuration, maxFloodDuration = 3 * time.Second, 8 * time.Second
	floodMessagesPerWrite              = 64
	floodDialRetryPause                = 100 * time.Millisecond
)

// floodKind is what a flooding client sends. encode returns its nth message, from 1.
type floodKind struct {
	name   string
	encode func(number uint32) []any
	reads  bool // the client reads the responses
}

var floodKinds = []floodKind{
	{"health checks", encodeHealthCheck, true},
	{"health checks, responses unread", encodeHealthCheck, false},
	{"cancellations", func(number uint32) []any { return []any{2, "forget", []any{number}} }, true},
	{"requests of an unknown class", func(number uint32) []any {
		return []any{0, number, "unknown", []any{map[string]string{}, []byte{}}}
	}, true},
	{"health checks with large fields", func(number uint32) []any {
		return []any{0, number, "isWell", []any{map[string]string{"field": string(make([]byte, 1<<10))}}}
	}, true},
}

func encodeHealthCheck(number uint32) []any {
	return []any{0, number, "isWell", []any{map[string]string{}}}
}

// drawFlood draws a flood of some routers, in one run of two. It has a source of randomness of its own, so that the other faults of
// a seed stay the same.
func drawFlood(random *rand.Rand, s *Scenario) []Fault {
	if random.IntN(2) == 0 {
		return nil
	}
	flood := Fault{Kind: FloodRouters, Count: uniformInt(random, 1, s.Routers), Duration: uniformDuration(random, minFloodDuration, maxFloodDuration)}
	flood.At = uniformDuration(random, 4*time.Second, max(5*time.Second, s.TrafficDuration-flood.Duration))
	if random.IntN(2) == 0 {
		return []Fault{flood}
	}
	throttle := flood // the flood meets routers with a quarter of a core
	throttle.Kind = ThrottleRouters
	return []Fault{flood, throttle}
}

// floodRouters lets clients flood routers for a duration.
func (r *run) floodRouters(ctx context.Context, count int, duration time.Duration) {
	end := time.Now().Add(duration)
	var clients sync.WaitGroup
	for n, router := range r.routers[:min(count, len(r.routers))] {
		random := newRandom(r.scenario.Seed, "flood of "+routerName(n))
		kind := floodKinds[random.IntN(len(floodKinds))]
		for range uniformInt(random, minFloodClients, maxFloodClients) {
			clients.Go(func() { kind.flood(ctx, router, end) })
		}
	}
	clients.Wait()
}

// flood sends messages to a router until end. It connects again when its connection ends.
func (k floodKind) flood(ctx context.Context, router *router, end time.Time) {
	for ctx.Err() == nil && time.Now().Before(end) {
		conn, err := net.Dial("tcp", router.address)
		if err != nil {
			time.Sleep(floodDialRetryPause) // the router may be restarting
			continue
		}
		conn.SetDeadline(end)
		var reading sync.WaitGroup
		if k.reads {
			reading.Go(func() { io.Copy(io.Discard, conn) })
		}
		k.send(conn)
		conn.Close()
		reading.Wait()
	}
}

// send sends messages until the connection ends or its deadline passes.
func (k floodKind) send(conn net.Conn) {
	for number := uint32(1); ; {
		var batch []byte
		for range floodMessagesPerWrite {
			message, err := msgpack.Marshal(k.encode(number))
			if err != nil {
				panic(err) // cannot fail: only strings and numbers
			}
			batch = append(batch, message...)
			number++
		}
		if _, err := conn.Write(batch); err != nil {
			return
		}
	}
}
