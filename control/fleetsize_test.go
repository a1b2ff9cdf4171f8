package control

import (
	"fmt"
	"slices"
	"testing"
)

// newLargeBalancer returns the balancer of one of many routers, with the given number of servers, functions with some
// instances, and attempts in flight.
func newLargeBalancer(servers int) *Balancer {
	config := testDeployment()
	config.Routers, config.RouterIndex = 300, 7
	config.Classes[0].MaxDeadline = 4 * second
	balancer := New(0, 1, config)
	list := make([]Endpoint, servers)
	for i := range list {
		list[i] = Endpoint{Server: ServerID(hash(1, uint64(i))), State: Ready, Weight: 1 + float64(i%4)/2}
	}
	balancer.UpdateEndpoints(testNow, FullUpdate, list)
	all := slices.Collect(balancer.servers.all)
	for i := range 512 {
		f := balancer.function(&Request{Function: FunctionID(hash(2, uint64(i)))})
		for k := range 2 {
			inst := f.instanceOn(all[(i*7+k*31)%servers], true)
			inst.replicas, inst.lastUsed = 1, testNow
		}
	}
	for i := range 16 {
		balancer.Route(testNow, newLargeFleetRequest(RequestID(i), FunctionID(hash(2, uint64(i)))))
	}
	balancer.latencies.add(testNow, second)
	return balancer
}

func newLargeFleetRequest(id RequestID, f FunctionID) *Request {
	return &Request{ID: id, Function: f, Lanes: 2, ExecTimeHint: 100_000, ArrivedAt: testNow, Deadline: testNow + 4*second}
}

// routeMiss routes a request for a function without replicas and reports a cache miss for it.
func routeMiss(b *testing.B, balancer *Balancer, req *Request) {
	d := balancer.Route(testNow, req)
	if d.Action != Forward {
		b.Fatalf("got %+v", d)
	}
	balancer.HandleOutcome(testNow, req, Outcome{Server: d.Server, Result: NotLoaded, RequestDone: true})
}

// restartTenth puts one in ten servers in slow start.
func restartTenth(balancer *Balancer) {
	var list []Endpoint
	for i, s := range slices.Collect(balancer.servers.all) {
		if i%10 == 0 {
			endpoint := s.Endpoint
			endpoint.StartedAt = testNow - second
			list = append(list, endpoint)
		}
	}
	balancer.UpdateEndpoints(testNow, IncrementalUpdate, list)
}

// BenchmarkFleetSize compares a balancer's costs with 3200 servers and with 200. Only a new function, a function that
// becomes busy, and servers in slow start may cost more in a larger fleet: see buildRanking, buildHomes and
// totalCapacity.
func BenchmarkFleetSize(b *testing.B) {
	const known = 256 // functions in rotation, so that none is busy
	for _, c := range []struct {
		name string
		run  func(b *testing.B, balancer *Balancer, i int, all []*server)
	}{
		{"change", func(_ *testing.B, balancer *Balancer, i int, all []*server) { // the server drains, is removed, and returns restarted
			s := all[i/3*37%len(all)]
			endpoint := s.Endpoint
			if endpoint.State = []ServerState{Draining, Removed, Ready}[i%3]; endpoint.State == Ready {
				endpoint.StartedAt = max(1, endpoint.StartedAt+1)
			}
			balancer.UpdateEndpoints(testNow, IncrementalUpdate, []Endpoint{endpoint})
		}},
		// Each step replaces a server; half as many as are present are still remembered as removed.
		{"replace", func(_ *testing.B, balancer *Balancer, i int, all []*server) {
			now := testNow + Micros(i)*1200*second/Micros(len(all))
			balancer.UpdateEndpoints(now, IncrementalUpdate, []Endpoint{{Server: ServerID(hash(1, uint64(i)))},
				{Server: ServerID(hash(1, uint64(len(all)+i))), State: Ready, Weight: 1, StartedAt: now}})
			balancer.Maintain(now)
		}},
		{"route-known", func(b *testing.B, balancer *Balancer, i int, _ []*server) {
			routeMiss(b, balancer, newLargeFleetRequest(RequestID(i), FunctionID(hash(3, uint64(i%known)))))
		}},
		{"route-known-busy", func(b *testing.B, balancer *Balancer, i int, _ []*server) {
			routeMiss(b, balancer, newLargeFleetRequest(RequestID(i), FunctionID(hash(3, uint64(i%(known/8))))))
		}},
		{"route-new", func(b *testing.B, balancer *Balancer, i int, _ []*server) {
			routeMiss(b, balancer, newLargeFleetRequest(RequestID(i), FunctionID(hash(4, uint64(i)))))
			if i%1000 == 0 {
				balancer.Maintain(testNow)
			}
		}},
		{"maintain", func(_ *testing.B, balancer *Balancer, _ int, _ []*server) { balancer.Maintain(testNow) }},
		{"maintain-tenth-in-slow-start", func(_ *testing.B, balancer *Balancer, i int, _ []*server) {
			if i == 0 {
				restartTenth(balancer)
			}
			balancer.Maintain(testNow)
		}},
		{"drop-instances", func(_ *testing.B, balancer *Balancer, i int, all []*server) {
			balancer.dropInstances(all[i*37%len(all)], testNow-second)
		}},
	} {
		for _, servers := range []int{200, 3200} {
			b.Run(fmt.Sprintf("%s/servers=%d", c.name, servers), func(b *testing.B) {
				balancer := newLargeBalancer(servers)
				all := slices.Collect(balancer.servers.all)
				for i := range 2 * known { // the first ranking of each function is not measured
					c.run(b, balancer, i, all)
				}
				b.ReportAllocs()
				i := 2 * known
				for b.Loop() {
					c.run(b, balancer, i, all)
					i++
				}
			})
		}
	}
}
