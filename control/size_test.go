package control

import (
	"fmt"
	"testing"
)

// sized gives one of many routers with many servers and functions that stand here and there, some with executions out.
func sized(servers int) *Router {
	told := deployment()
	told.Routers, told.Number = 300, 7
	told.Workloads[0].TimeLimit = 4 * second
	r := Start(0, 1, told)
	list := make([]Listing, servers)
	for i := range list {
		list[i] = Listing{Server: ServerID(mix(1, uint64(i))), State: Ready, Power: 1 + float64(i%4)/2}
	}
	r.Listed(at, ListWhole, list)
	for i := range 512 {
		f := r.function(&Job{Function: FunctionID(mix(2, uint64(i)))})
		for k := range 2 {
			in := f.at(r.servers[(i*7+k*31)%servers], true)
			in.copies, in.used = 1, at
		}
	}
	for i := range 16 {
		r.Place(at, sizedJob(JobID(i), FunctionID(mix(2, uint64(i)))))
	}
	r.latencies.add(at, second)
	return r
}

func sizedJob(id JobID, f FunctionID) *Job {
	return &Job{ID: id, Function: f, Lanes: 2, Work: 100_000, Arrived: at, Patience: at + 4*second}
}

// missed places a job of a function that has no copy, and has it told that there was none.
func missed(b *testing.B, r *Router, j *Job) {
	p := r.Place(at, j)
	if p.Verb != Send {
		b.Fatalf("got %+v", p)
	}
	r.After(at, j, Outcome{Server: p.Server, Result: Missing, JobOver: true})
}

// BenchmarkFleetSize holds a router's costs with 3200 servers against those with 200. Only a function never seen before, one that
// draws many of the jobs and servers in slow start may cost more where there are more servers: see rank, nearest and capacities.
func BenchmarkFleetSize(b *testing.B) {
	const known = 256 // functions in turn, so that none draws more than its part
	for _, c := range []struct {
		name string
		run  func(b *testing.B, r *Router, i, servers int)
	}{
		{"change", func(_ *testing.B, r *Router, i, _ int) { // drains, leaves, joins again as another start
			s := r.servers[i/3*37%len(r.servers)]
			l := s.Listing
			if l.State = []ServerState{Draining, Gone, Ready}[i%3]; l.State == Ready {
				l.Born = max(1, l.Born+1)
			}
			r.Listed(at, ListChanges, []Listing{l})
		}},
		{"replace", func(_ *testing.B, r *Router, i, servers int) { // a new one for an old one; half as many as stand are remembered as gone
			now := at + Micros(i)*1200*second/Micros(servers)
			r.Listed(now, ListChanges, []Listing{{Server: ServerID(mix(1, uint64(i)))}, {Server: ServerID(mix(1, uint64(servers+i))), State: Ready, Power: 1, Born: now}})
			r.Wait(now)
		}},
		{"place-known", func(b *testing.B, r *Router, i, _ int) {
			missed(b, r, sizedJob(JobID(i), FunctionID(mix(3, uint64(i%known)))))
		}},
		{"place-known-hot", func(b *testing.B, r *Router, i, _ int) {
			missed(b, r, sizedJob(JobID(i), FunctionID(mix(3, uint64(i%(known/8))))))
		}},
		{"place-never-seen", func(b *testing.B, r *Router, i, _ int) {
			missed(b, r, sizedJob(JobID(i), FunctionID(mix(4, uint64(i)))))
			if i%1000 == 0 {
				r.Wait(at)
			}
		}},
		{"upkeep", func(_ *testing.B, r *Router, _, _ int) { r.Wait(at) }},
		{"upkeep-tenth-cold", func(_ *testing.B, r *Router, i, _ int) {
			if i == 0 {
				var list []Listing
				for k := 0; k < len(r.servers); k += 10 {
					l := r.servers[k].Listing
					l.Born = at - second
					list = append(list, l)
				}
				r.Listed(at, ListChanges, list)
			}
			r.Wait(at)
		}},
		{"forget", func(_ *testing.B, r *Router, i, _ int) { r.forget(r.servers[i*37%len(r.servers)], at-second) }},
	} {
		for _, servers := range []int{200, 3200} {
			b.Run(fmt.Sprintf("%s/servers=%d", c.name, servers), func(b *testing.B) {
				r := sized(servers)
				for i := range 2 * known { // first looks are told apart
					c.run(b, r, i, servers)
				}
				b.ReportAllocs()
				i := 2 * known
				for b.Loop() {
					c.run(b, r, i, servers)
					i++
				}
			})
		}
	}
}
