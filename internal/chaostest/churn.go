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

	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
)

// Changes is a stream of changes of the list, told by a pretend control plane to one router under load.
type Churn struct {
	Seed          uint64
	Changes       int
	Interval      time.Duration // on average, between two changes
	Rate          int           // jobs a second
	Workers       int
	Delta         bool
	CutStreams    bool          // streams are cut now and again
	LoseEndpoints bool          // a third and two thirds on, all of the list and half of it are lost for three seconds, by a fault
	TLS           bool          // all connections are secret, and keys change meanwhile
	PublishDelay  time.Duration // planted: the control plane says everything later
}

// Followed is how quickly a router followed changes that took servers away.
type ChurnResult struct {
	*invariant.Report
	RemovedServers     int           // changes that took a server away
	LateServers        int           // after which something new still came to it
	Median, Max        time.Duration // of those: the last that came, after the change was sent; 0 of none
	SuccessRate        float64       // share of jobs
	Streams            int
	CertificateChanges int // changes of keys
	BrokenConnections  int // client connections that ended without an answer
}

// PlayChanges plays them with a router of the named program.
func RunChurn(ctx context.Context, c Churn, program string) (f *ChurnResult, err error) {
	dir, err := os.MkdirTemp("", "hmchaos-changes-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	length := time.Duration(c.Changes) * c.Interval
	d := &Scenario{Seed: c.Seed, Requests: int(length.Seconds() * float64(c.Rate)), Length: length, Routers: 1, Workers: c.Workers, Functions: 12}
	p := &harness{scenario: d, dir: dir, program: program, log: invariant.NewLog(), store: fakeserver.NewStore(5*time.Millisecond, 8)}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var k *certificates
	if c.TLS {
		if k, err = issueCertificates(ctx, filepath.Join(dir, "keys"), c.Workers); err != nil {
			return nil, err
		}
	}
	plane, err := fakeserver.NewControlPlane(k.controlPlaneOptions()...)
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
		s := fakeserver.New(fakeserver.Config{Number: i, MaxReplicas: 60, Lanes: serverLanes, Cores: 4, ExecutionTime: 10 * time.Millisecond, QueueLimit: 100, LoadTime: 10 * time.Millisecond, MaxLoads: 8,
			DedupWindow: 5 * time.Second, KeepAlive: keepAlive, Seed: c.Seed, Handshake: k.serverSecurity(workerName(i))}, p.store, p.log)
		if err := s.Start(false); err != nil {
			return nil, err
		}
		p.servers, states[i] = append(p.servers, s), "ready"
	}
	plane.Update(p.clusterMembers(states))
	plane.SetDelay(c.PublishDelay)
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	p.addresses, p.pools = []string{address}, []*clientPool{{address: address, secure: k.clientSecurity("client")}}
	p.controlPlane, p.certificates, d.EndpointSource = plane, k, "xds"
	if c.Delta {
		d.EndpointSource = "delta"
	}
	r := &routerProcess{configFile: filepath.Join(dir, "router-0.ini")}
	if err := os.WriteFile(r.configFile, p.routerConfig(0), 0o600); err != nil {
		return nil, err
	}
	if err := r.start(program, dir); err != nil {
		return nil, err
	}
	defer r.stop(syscall.SIGKILL)
	p.routers = []*routerProcess{r}
	if err := p.awaitReady(ctx, 0); err != nil {
		return nil, err
	}
	p.startedAt = time.Now()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		p.applyChanges(ctx, c, plane, states)
	}()
	changing := sync.WaitGroup{}
	keysCtx, keysStop := context.WithCancel(ctx)
	defer keysStop()
	if c.TLS {
		changing.Go(func() {
			if err := p.rotateCertificates(keysCtx, k, c.Seed, true); err != nil && ctx.Err() == nil {
				p.recordError(err)
			}
		})
	}
	for _, call := range d.schedule() {
		if p.waitUntil(ctx, call.at) != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.perform(ctx, call)
		}()
	}
	wg.Wait()
	keysStop()
	changing.Wait()
	p.pools[0].close()
	if err := r.stop(syscall.SIGTERM); err != nil {
		return nil, err
	}
	if p.err != nil || ctx.Err() != nil {
		return nil, fmt.Errorf("%w %w", p.err, ctx.Err())
	}
	recs := p.log.Records()
	f = &ChurnResult{Report: invariant.Check(p.invariantConfig(), recs)}
	if _, f.Streams, _ = plane.Counts(); c.TLS {
		f.CertificateChanges = k.changes
	}
	f.BrokenConnections = p.brokenConnections
	f.SuccessRate = float64(f.Report.Succeeded) / float64(max(1, f.Requests))
	f.measureDelays(recs)
	return f, nil
}

// change1000 makes the changes: a server drains, is withdrawn or comes back. Two thirds of the servers stay ready.
func (p *harness) applyChanges(ctx context.Context, c Churn, plane *fakeserver.ControlPlane, states []string) {
	chance := rand.New(rand.NewPCG(c.Seed, 2))
	away := map[int]time.Duration{} // since when
	for n := range c.Changes {
		if p.waitUntil(ctx, time.Duration(n)*c.Interval+time.Duration(chance.Int64N(int64(c.Interval)))) != nil {
			return
		}
		const least = 700 * time.Millisecond // long enough that what comes after the grace is seen
		at := time.Since(p.startedAt)
		if c.LoseEndpoints && (n == c.Changes/3 || n == 2*c.Changes/3) {
			plane.Update(func(clusters map[string][]fakeserver.Endpoint) {
				if n == c.Changes/3 {
					clear(clusters)
				} else {
					delete(clusters, "odd")
				}
			})
			if sleep(ctx, 3*time.Second) != nil {
				return
			}
			plane.Update(p.clusterMembers(states))
		}
		i := chance.IntN(len(states))
		if c.TLS && i == 0 { // its keys take it away
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
		plane.Update(p.clusterMembers(states))
		if c.CutStreams && chance.IntN(50) == 0 {
			plane.DropStreams(chance.IntN(2) == 0)
		}
	}
}

// follow works out how late the last new thing came to each server that was taken away.
func (f *ChurnResult) measureDelays(recs []invariant.Record) {
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
				f.RemovedServers++
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
	if f.LateServers = len(lates); f.LateServers > 0 {
		f.Median, f.Max = time.Duration(lates[f.LateServers/2])*time.Microsecond, time.Duration(lates[f.LateServers-1])*time.Microsecond
	}
}

// String tells the result in a line.
func (f *ChurnResult) String() string {
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
	if f.CertificateChanges > 0 {
		word = fmt.Sprintf("%d changes of keys; %s", f.CertificateChanges, word)
	}
	return fmt.Sprintf("%d servers taken away, %d got something new after it: median %s, worst %s; %d jobs, %.3f finished, %d unanswered, %d client connections broken, %d streams; %s",
		f.RemovedServers, f.LateServers, f.Median, f.Max, f.Requests, f.SuccessRate, f.Unanswered, f.BrokenConnections, f.Streams, word)
}
