package chaostest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
)

// Changes is a stream of changes of the list, told by a pretend control plane to one router under load.
type Changes struct {
	Seed    uint64
	Number  int
	Every   time.Duration // on average, between two changes
	Rate    int           // jobs a second
	Workers int
	Delta   bool
	Cuts    bool          // streams are cut now and again
	Loses   bool          // a third and two thirds on, all of the list and half of it are lost for three seconds, by a fault
	Keys    bool          // all connections are secret, and keys change meanwhile
	Delay   time.Duration // planted: the control plane says everything later
}

// Followed is how quickly a router followed changes that took servers away.
type Followed struct {
	*invariant.Report
	Taken         int           // changes that took a server away
	Late          int           // after which something new still came to it
	Median, Worst time.Duration // of those: the last that came, after the change was sent; 0 of none
	Finished      float64       // share of jobs
	Streams       int
	Keys          int // changes of keys
	Broken        int // client connections that ended without an answer
}

// members gives the control plane's view: two clusters that share the servers between them.
func (p *play) members(states []string) func(map[string][]fakeserver.Endpoint) {
	return func(clusters map[string][]fakeserver.Endpoint) {
		clusters["even"], clusters["odd"] = nil, nil
		for i, s := range p.servers {
			m := fakeserver.Endpoint{Address: s.Address(), Zone: zone(i), Cell: zone(i), Health: core.HealthStatus_HEALTHY}
			if born, cold := s.StartedAt(); cold {
				m.StartedAt = born.UTC().Format(time.RFC3339Nano)
			}
			switch states[i] {
			case "draining":
				m.Health = core.HealthStatus_DRAINING
			case "gone":
				continue
			}
			name := []string{"even", "odd"}[i%2]
			clusters[name] = append(clusters[name], m)
		}
	}
}

// PlayChanges plays them with a router of the named program.
func PlayChanges(ctx context.Context, c Changes, program string) (f *Followed, err error) {
	dir, err := os.MkdirTemp("", "hmchaos-changes-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	length := time.Duration(c.Number) * c.Every
	d := &Day{Seed: c.Seed, Jobs: int(length.Seconds() * float64(c.Rate)), Length: length, Routers: 1, Workers: c.Workers, Functions: 12}
	p := &play{day: d, dir: dir, bin: program, log: invariant.NewLog(), store: fakeserver.NewStore(5*time.Millisecond, 8)}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var k *keys
	if c.Keys {
		if k, err = openKeys(ctx, filepath.Join(dir, "keys"), c.Workers); err != nil {
			return nil, err
		}
	}
	plane, err := fakeserver.NewControlPlane(k.planeOptions()...)
	if err != nil {
		return nil, err
	}
	defer plane.Stop()
	defer func() {
		for _, s := range p.servers {
			s.Stop()
		}
	}()
	states := make([]string, c.Workers)
	for i := range c.Workers {
		s := fakeserver.New(fakeserver.Config{Number: i, MaxReplicas: 60, Lanes: lanes, Cores: 4, ExecutionTime: 10 * time.Millisecond, QueueLimit: 100, LoadTime: 10 * time.Millisecond, MaxLoads: 8,
			DedupWindow: 5 * time.Second, KeepAlive: keepAlive, Seed: c.Seed, Handshake: k.accept(worker(i))}, p.store, p.log)
		if err := s.Start(false); err != nil {
			return nil, err
		}
		p.servers, states[i] = append(p.servers, s), "ready"
	}
	plane.Update(p.members(states))
	plane.SetDelay(c.Delay)
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	p.addrs, p.client = []string{address}, []*clientPool{{address: address, secure: k.dial("client")}}
	p.plane, p.keys, d.Source = plane, k, "xds"
	if c.Delta {
		d.Source = "delta"
	}
	r := &process{file: filepath.Join(dir, "router-0.ini")}
	if err := os.WriteFile(r.file, p.settings(0), 0o600); err != nil {
		return nil, err
	}
	if err := r.start(program, dir); err != nil {
		return nil, err
	}
	defer r.end(syscall.SIGKILL)
	p.routers = []*process{r}
	if err := p.awaitReady(ctx, 0); err != nil {
		return nil, err
	}
	p.begun = time.Now()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		p.change1000(ctx, c, plane, states)
	}()
	changing := sync.WaitGroup{}
	keysCtx, keysStop := context.WithCancel(ctx)
	defer keysStop()
	if c.Keys {
		changing.Go(func() {
			if err := p.changeKeys(keysCtx, k, c.Seed, true); err != nil && ctx.Err() == nil {
				p.fail(err)
			}
		})
	}
	for _, call := range d.schedule() {
		if p.until(ctx, call.at) != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.effect(ctx, call)
		}()
	}
	wg.Wait()
	keysStop()
	changing.Wait()
	p.client[0].close()
	if err := r.end(syscall.SIGTERM); err != nil {
		return nil, err
	}
	if p.faults != nil || ctx.Err() != nil {
		return nil, fmt.Errorf("%w %w", p.faults, ctx.Err())
	}
	recs := p.log.Records()
	f = &Followed{Report: invariant.Check(p.law(), recs)}
	if _, f.Streams, _ = plane.Counts(); c.Keys {
		f.Keys = k.Number
	}
	f.Broken = p.broken
	f.Finished = float64(f.Report.Succeeded) / float64(max(1, f.Requests))
	f.follow(recs)
	return f, nil
}

// change1000 makes the changes: a server drains, is withdrawn or comes back. Two thirds of the servers stay ready.
func (p *play) change1000(ctx context.Context, c Changes, plane *fakeserver.ControlPlane, states []string) {
	chance := rand.New(rand.NewPCG(c.Seed, 2))
	away := map[int]time.Duration{} // since when
	for n := range c.Number {
		if p.until(ctx, time.Duration(n)*c.Every+time.Duration(chance.Int64N(int64(c.Every)))) != nil {
			return
		}
		const least = 700 * time.Millisecond // long enough that what comes after the grace is seen
		at := time.Since(p.begun)
		if c.Loses && (n == c.Number/3 || n == 2*c.Number/3) {
			plane.Update(func(clusters map[string][]fakeserver.Endpoint) {
				if n == c.Number/3 {
					clear(clusters)
				} else {
					delete(clusters, "odd")
				}
			})
			if sleep(ctx, 3*time.Second) != nil {
				return
			}
			plane.Update(p.members(states))
		}
		i := chance.IntN(len(states))
		if c.Keys && i == 0 { // its keys take it away
			continue
		}
		for k := range states { // one that was away for long comes first
			if since, is := away[k]; is && at > since+least && chance.IntN(2) == 0 {
				i = k
				break
			}
		}
		since, is := away[i]
		switch {
		case is && at > since+least:
			states[i] = "ready"
			delete(away, i)
		case !is && len(away) < len(states)/3:
			states[i] = []string{"draining", "gone"}[chance.IntN(2)]
			away[i] = at
		default:
			continue
		}
		p.log.Add(invariant.Record{Kind: invariant.EndpointPublished, Server: i, Detail: states[i]})
		plane.Update(p.members(states))
		if c.Cuts && chance.IntN(50) == 0 {
			plane.DropStreams(chance.IntN(2) == 0)
		}
	}
}

// follow works out how late the last new thing came to each server that was taken away.
func (f *Followed) follow(recs []invariant.Record) {
	since, last := map[int]int64{}, map[int]int64{}
	var lates []int64
	end := func(server int) {
		if at, away := since[server]; away {
			if l := last[server]; l > at {
				lates = append(lates, l-at)
			}
			delete(since, server)
			delete(last, server)
		}
	}
	for _, r := range recs {
		switch r.Kind {
		case invariant.EndpointPublished:
			if r.Detail == "ready" {
				end(r.Server)
			} else if _, away := since[r.Server]; !away {
				since[r.Server] = r.At
				f.Taken++
			}
		case invariant.AttemptReceived, invariant.LoadCommandReceived:
			if _, away := since[r.Server]; away {
				last[r.Server] = r.At
			}
		}
	}
	for server := range since {
		if l := last[server]; l > since[server] {
			lates = append(lates, l-since[server])
		}
	}
	slices.Sort(lates)
	if f.Late = len(lates); f.Late > 0 {
		f.Median, f.Worst = time.Duration(lates[f.Late/2])*time.Microsecond, time.Duration(lates[f.Late-1])*time.Microsecond
	}
}

// String tells the result in a line.
func (f *Followed) String() string {
	var broken []string
	for _, r := range f.Rules {
		if r.ViolationCount > 0 {
			broken = append(broken, fmt.Sprintf("rule %d broken %d times (%s)", r.Number, r.ViolationCount, r.Violations[0]))
		}
	}
	word := "kept"
	if len(broken) > 0 {
		word = strings.Join(broken, "; ")
	}
	if f.Keys > 0 {
		word = fmt.Sprintf("%d changes of keys; %s", f.Keys, word)
	}
	return fmt.Sprintf("%d servers taken away, %d got something new after it: median %s, worst %s; %d jobs, %.3f finished, %d unanswered, %d client connections broken, %d streams; %s",
		f.Taken, f.Late, f.Median, f.Worst, f.Requests, f.Finished, f.Unanswered, f.Broken, f.Streams, word)
}
