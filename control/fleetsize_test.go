package control

import (
	"fmt"
	"slices"
	"testing"
)

// sizedBalancer returns a balancer of one of many routers, with many servers, functions with some instances, and attempts
// in flight.
func sizedBalancer(servers int) *Balancer {
	config := deployment()
	config.Routers, config.RouterIndex = 300, 7
	config.Classes[0].MaxDeadline = 4 * second
	r := New(0, 1, config)
	list := make([]Endpoint, servers)
	for i := range list {
		list[i] = Endpoint{Server: ServerID(hash(1, uint64(i))), State: Ready, Weight: 1 + float64(i%4)/2}
	}
	r.UpdateEndpoints(at, FullUpdate, list)
	all := slices.Collect(r.servers.all)
	for i := range 512 {
		f := r.function(&Request{Function: FunctionID(hash(2, uint64(i)))})
		for k := range 2 {
			inst := f.instanceOn(all[(i*7+k*31)%servers], true)
			inst.replicas, inst.lastUsed = 1, at
		}
	}
	for i := range 16 {
		r.Route(at, sizedRequest(RequestID(i), FunctionID(hash(2, uint64(i)))))
	}
	r.latencies.add(at, second)
	return r
}

func sizedRequest(id RequestID, f FunctionID) *Request {
	return &Request{ID: id, Function: f, Lanes: 2, ExecTimeHint: 100_000, ArrivedAt: at, Deadline: at + 4*second}
}

// routeMiss routes a request for a function without replicas and reports a cache miss for it.
func routeMiss(b *testing.B, r *Balancer, req *Request) {
	d := r.Route(at, req)
	if d.Action != Forward {
		b.Fatalf("got %+v", d)
	}
	r.HandleOutcome(at, req, Outcome{Server: d.Server, Result: NotLoaded, RequestDone: true})
}

// restartTenth puts one in ten servers in slow start.
func restartTenth(r *Balancer) {
	var list []Endpoint
	for i, s := range slices.Collect(r.servers.all) {
		if i%10 == 0 {
			endpoint := s.Endpoint
			endpoint.StartedAt = at - second
			list = append(list, endpoint)
		}
	}
	r.UpdateEndpoints(at, IncrementalUpdate, list)
}

// BenchmarkFleetSize compares a balancer's costs with 3200 servers and with 200. Only a function never seen
// before, one that becomes busy, and servers in slow start may cost more in a larger fleet: see buildRanking,
// buildHomes and totalCapacity.
func BenchmarkFleetSize(b *testing.B) {
	const known = 256 // functions in rotation, so that none gets more than its share
	for _, c := range []struct {
		name string
		run  func(b *testing.B, r *Balancer, i int, all []*server)
	}{
		{"change", func(_ *testing.B, r *Balancer, i int, all []*server) { // drains, leaves, returns restarted
			s := all[i/3*37%len(all)]
			endpoint := s.Endpoint
			if endpoint.State = []ServerState{Draining, Removed, Ready}[i%3]; endpoint.State == Ready {
				endpoint.StartedAt = max(1, endpoint.StartedAt+1)
			}
			r.UpdateEndpoints(at, IncrementalUpdate, []Endpoint{endpoint})
		}},
		// Each step replaces a server; half as many as are present are remembered as removed.
		{"replace", func(_ *testing.B, r *Balancer, i int, all []*server) {
			now := at + Micros(i)*1200*second/Micros(len(all))
			r.UpdateEndpoints(now, IncrementalUpdate, []Endpoint{{Server: ServerID(hash(1, uint64(i)))},
				{Server: ServerID(hash(1, uint64(len(all)+i))), State: Ready, Weight: 1, StartedAt: now}})
			r.Maintain(now)
		}},
		{"place-known", func(b *testing.B, r *Balancer, i int, _ []*server) {
			routeMiss(b, r, sizedRequest(RequestID(i), FunctionID(hash(3, uint64(i%known)))))
		}},
		{"place-known-hot", func(b *testing.B, r *Balancer, i int, _ []*server) {
			routeMiss(b, r, sizedRequest(RequestID(i), FunctionID(hash(3, uint64(i%(known/8))))))
		}},
		{"place-never-seen", func(b *testing.B, r *Balancer, i int, _ []*server) {
			routeMiss(b, r, sizedRequest(RequestID(i), FunctionID(hash(4, uint64(i)))))
			if i%1000 == 0 {
				r.Maintain(at)
			}
		}},
		{"upkeep", func(_ *testing.B, r *Balancer, _ int, _ []*server) { r.Maintain(at) }},
		{"upkeep-tenth-cold", func(_ *testing.B, r *Balancer, i int, _ []*server) {
			if i == 0 {
				restartTenth(r)
			}
			r.Maintain(at)
		}},
		{"forget", func(_ *testing.B, r *Balancer, i int, all []*server) {
			r.dropInstances(all[i*37%len(all)], at-second)
		}},
	} {
		for _, servers := range []int{200, 3200} {
			b.Run(fmt.Sprintf("%s/servers=%d", c.name, servers), func(b *testing.B) {
				r := sizedBalancer(servers)
				all := slices.Collect(r.servers.all)
				for i := range 2 * known { // the first ranking of a function is not measured
					c.run(b, r, i, all)
				}
				b.ReportAllocs()
				i := 2 * known
				for b.Loop() {
					c.run(b, r, i, all)
					i++
				}
			})
		}
	}
}
