package chaostest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"hollymast/client"
	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
	"hollymast/internal/rest"
)

func itoa(n int) string { return strconv.Itoa(n) }

// The servers of a day: about twice the demand of a usual day, with loads far longer than jobs.
const (
	serverCores        = 2
	serverLanes        = 2
	workTime           = 50 * time.Millisecond
	serverRate         = float64(serverCores) * float64(time.Second/workTime) // jobs a second that a warm server bears
	slowStartDuration  = 4 * time.Second
	slowStartInitial   = 0.25
	overloadWindow     = time.Second
	overloadFactor     = 2.0
	keepAlive          = 5 * time.Second
	drainGrace         = 500 * time.Millisecond
	loadRateWindow     = 4 * time.Second
	loadRateBase       = 6
	loadRatePerRequest = 0.05
	storeFetchTime     = 25 * time.Millisecond
	storeConcurrency   = 8
)

// play is a day under way.
type harness struct {
	scenario       *Scenario
	dir            string
	program        string
	log            *invariant.Log
	store          *fakeserver.Store
	controlPlane   *fakeserver.ControlPlane // nil: the list is a file
	certificates   *certificates            // nil: connections are in plain text
	servers        []*fakeserver.Server
	routers        []*routerProcess
	addresses      []string
	pools          []*clientPool
	outcomes       []effectOutcome
	restartRetries RestartRetries
	restarts       []restartEvent
	startedAt      time.Time
	logStart       int64            // of the log, when the day began
	libraryClients []*client.Client // of clients that behave as the library

	mu                sync.Mutex
	states            []string // as the list is to tell them
	published         []string // as it does
	publishHolds      int      // troubles that keep the list from being written
	err               error
	brokenConnections int // client connections that ended without an answer, but for lack of time
}

// process is one router.
type routerProcess struct {
	number     int
	configFile string
	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{}
	exitErr    error
	logFile    *os.File
}

// Result is a day's end.
type Result struct {
	*invariant.Report
	InTime             float64  `json:"InTime"` // share of all effects that were finished within their start target
	Records            int      `json:"Records"`
	Seconds            []Second `json:"Seconds"`
	outcomes           []effectOutcome
	RestartRetries     RestartRetries `json:"Resumed"` // run-once jobs that clients asked their restarted router for again
	Restarts           []Restart      `json:"Renewed"` // what followed each restart of a router
	WeightedInTime     float64        `json:"Worth"`   // as InTime, each effect counted with its workload's importance
	Overloads          int            `json:"Storms"`  // that routers told of
	ExcessLoadCommands int            `json:"Over"`    // orders over the ration, were those of a router's earlier lives counted for all
}

// Run plays a day with routers of the named program. Everything that it starts has ended when it returns.
func Run(ctx context.Context, d *Scenario, program string) (res *Result, err error) {
	if d.Routers > maxRouters || d.Workers > maxWorkers {
		return nil, fmt.Errorf("%d routers and %d workers are more than a day on sockets may have (%d, %d): hmchaos emulate plays it", d.Routers, d.Workers, maxRouters, maxWorkers)
	}
	dir, err := os.MkdirTemp("", "hmchaos-")
	if err != nil {
		return nil, err
	}
	p := &harness{scenario: d, dir: dir, program: program, log: invariant.NewLog(), store: fakeserver.NewStore(storeFetchTime, storeConcurrency)}
	keysCtx, keysStop := context.WithCancel(ctx)
	defer keysStop()
	defer func() {
		for _, r := range p.routers {
			r.stop(syscall.SIGKILL)
		}
		if p.controlPlane != nil {
			p.controlPlane.Stop()
		}
		for _, s := range p.servers {
			s.Stop()
		}
		if err == nil && res.Passed() || ctx.Err() != nil {
			os.RemoveAll(dir)
		} else {
			err = annotate(err, fmt.Sprintf("the routers' logs are kept in %s", dir))
		}
	}()
	if d.TLS {
		if p.certificates, err = issueCertificates(keysCtx, filepath.Join(dir, "keys"), d.Workers); err != nil {
			return nil, err
		}
	}
	if d.EndpointSource == "xds" || d.EndpointSource == "delta" {
		if p.controlPlane, err = fakeserver.NewControlPlane(p.certificates.controlPlaneOptions()...); err != nil {
			return nil, err
		}
	}
	if err := p.startAll(ctx); err != nil {
		return nil, err
	}
	renewing := make(chan error, 1)
	if d.TLS {
		go func() { renewing <- p.rotateCertificates(keysCtx, p.certificates, d.Seed, false) }()
	}
	defer context.AfterFunc(ctx, func() { // told to stop: whoever waits for a router waits no longer
		for _, r := range p.routers {
			r.signal(syscall.SIGKILL)
		}
	})()
	in, total := p.drive(ctx)
	if keysStop(); d.TLS {
		if err := <-renewing; err != nil && ctx.Err() == nil {
			p.recordError(err)
		}
	}
	for i, r := range p.routers {
		if e := r.stop(syscall.SIGTERM); e != nil && ctx.Err() == nil {
			p.recordError(fmt.Errorf("router %d did not end well when told to: %w", i, e))
		}
	}
	if p.err != nil {
		return nil, p.err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	storms, err := p.countOverloads()
	if err != nil {
		return nil, err
	}
	recs := p.log.Records()
	v := invariant.Check(p.invariantConfig(), recs)
	return &Result{Report: v, InTime: float64(in) / float64(max(1, total)), Records: len(recs), Seconds: p.seconds(recs, v.SlowStart), outcomes: p.outcomes,
		RestartRetries: p.restartRetries, Restarts: p.afterRestarts(recs), ExcessLoadCommands: p.excessLoadCommands(recs), WeightedInTime: p.weightedInTime(), Overloads: storms}, nil
}

func annotate(err error, text string) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w (%s)", err, text)
}

func (p *harness) recordError(err error) {
	p.mu.Lock()
	if p.err == nil {
		p.err = err
	}
	p.mu.Unlock()
}

// broke counts a client's connection that ended without an answer.
func (p *harness) countBrokenConnection(err error) {
	if errors.Is(err, rest.ErrTimeout) {
		return
	}
	p.mu.Lock()
	p.brokenConnections++
	p.mu.Unlock()
}

func (p *harness) startAll(ctx context.Context) error {
	d := p.scenario
	for i := range d.Workers {
		m := p.serverOptions(i)
		m.Handshake = p.certificates.serverSecurity(workerName(i))
		s := fakeserver.New(m, p.store, p.log)
		if err := s.Start(false); err != nil {
			return err
		}
		p.servers = append(p.servers, s)
		p.states = append(p.states, "ready")
	}
	p.published = make([]string, d.Workers)
	p.publish()
	for i := range d.Routers {
		r := &routerProcess{number: i}
		p.routers = append(p.routers, r)
		addr, err := freeAddress()
		if err != nil {
			return err
		}
		p.addresses = append(p.addresses, addr)
		p.pools = append(p.pools, &clientPool{address: addr, secure: p.certificates.clientSecurity("client")})
		r.configFile = filepath.Join(p.dir, fmt.Sprintf("router-%d.ini", i))
		if err := os.WriteFile(r.configFile, p.routerConfig(i), 0o600); err != nil {
			return err
		}
		if err := r.start(p.program, p.dir); err != nil {
			return err
		}
	}
	for i := range p.routers {
		if err := p.awaitReady(ctx, i); err != nil {
			return err
		}
	}
	return p.openLibraryClients()
}

func (r *routerProcess) logName(dir string) string {
	return filepath.Join(dir, fmt.Sprintf("router-%d.log", r.number))
}

// make gives what a server of the day is made like.
func (p *harness) serverOptions(i int) fakeserver.Config {
	return fakeserver.Config{Number: i, MaxReplicas: 40, Lanes: serverLanes, Cores: serverCores, ExecutionTime: workTime, QueueLimit: 40,
		LoadTime: 150 * time.Millisecond, MaxLoads: 4, LoadCommandsOnly: p.scenario.LoadCommandsOnly, DedupWindow: 5 * time.Second, KeepAlive: keepAlive, SlowStartDuration: slowStartDuration, SlowStartInitial: slowStartInitial, OverloadWindow: overloadWindow,
		OverloadRate: serverRate * overloadFactor, Seed: p.scenario.Seed, NoDedupPrefix: nonIdempotentKeyPrefix}
}

// settings writes one router's file.
func (p *harness) routerConfig(i int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[router]\nlisten = %s\nnumber = %d\nrouters = %d\nzone = %s\nlist = %s\nseed = %d\nlog = info\n", p.addresses[i], i,
		p.scenario.Routers, zone(i), filepath.Join(p.dir, "workers.ini"), p.scenario.Seed*64+uint64(i)+1)
	fmt.Fprintf(&b, "[servers]\nkeep_alive = %s\ncold_from = %g\ncold = %s\nfall = %s\nfall_multiple = %g\ngrace = %s\n", keepAlive, slowStartInitial, slowStartDuration, overloadWindow, overloadFactor, drainGrace)
	if p.scenario.LoadCommandsOnly {
		b.WriteString("loads_on_miss = no\n")
	}
	if p.scenario.LimitLoadRate {
		fmt.Fprintf(&b, "load_window = %s\nload_free = %d\nload_share = %g\n", loadRateWindow, loadRateBase, loadRatePerRequest)
	}
	if p.scenario.RecordDir != "" {
		fmt.Fprintf(&b, "[record]\nfolder = %s\nsegment = 1000000\nage = 5s\n", filepath.Join(p.scenario.RecordDir, fmt.Sprintf("router-%d", i)))
	}
	if p.scenario.keepsRouterState() {
		fmt.Fprintf(&b, "[memory]\nfolder = %s\nevery = 1s\nmarks_for = 1m\n", p.stateDir(i))
	}
	for _, w := range workloadMix {
		fmt.Fprintf(&b, "[workload %s]\nstart_target = %s\ntime_limit = %s\nimportance = %g\neffect = %s\n", w.name, w.latencyObjective, w.maxDeadline, w.importance, w.effect)
		if w.window > 0 {
			fmt.Fprintf(&b, "group = %s\nwindow = %s\n", w.scope, w.window)
		}
		fmt.Fprintf(&b, "[function %s-*]\nworkload = %s\nlanes = %d\n", w.name, w.name, serverLanes)
	}
	if slices.ContainsFunc(p.scenario.Faults, func(t Fault) bool { return t.Kind == "one_tenant" }) {
		fmt.Fprintf(&b, "[tenant calm]\nshare = %d\n[tenant loud]\nshare = %d\n", p.scenario.Requests/max(1, int(p.scenario.Length.Seconds())), noisyTenantQuota)
	}
	if !p.scenario.DampOverload {
		b.WriteString("[clients]\ndamp_storms = no\n")
	}
	b.WriteString(p.certificates.routerConfig(p.controlPlane != nil))
	text := strings.NewReplacer(p.scenario.configOverrides...).Replace(b.String())
	if p.controlPlane != nil {
		text = strings.Replace(text, "list = "+filepath.Join(p.dir, "workers.ini"), "xds = "+p.controlPlane.Address()+"\nxds_variant = "+
			map[string]string{"xds": "sotw", "delta": "delta"}[p.scenario.EndpointSource], 1)
	}
	return []byte(text)
}

func zone(i int) string { return string(rune('a' + i%3)) }

// law is what the judge is told: the same figures as the routers, and the stand-ins' own rate.
func (p *harness) invariantConfig() invariant.Config {
	l := invariant.Config{Classes: map[string]invariant.Class{}, DrainGrace: drainGrace.Microseconds(), SlowStartDuration: slowStartDuration.Microseconds(),
		SlowStartInitial: slowStartInitial, OverloadWindow: overloadWindow.Microseconds(), OverloadFactor: overloadFactor, ServerRate: serverRate,
		MaxNetworkDelay: 50_000} // as the module allows for a hop
	for i := range p.servers {
		l.Zone, l.Cell = append(l.Zone, zone(i)), append(l.Cell, zone(i))
	}
	for _, w := range workloadMix {
		l.Classes[w.name] = invariant.Class{NonIdempotent: w.effect == "run-once", IdempotentByKey: w.effect == "fingerprinted",
			Scope: w.scope, Window: w.window.Microseconds()}
	}
	if p.scenario.LimitLoadRate {
		l.LoadRateWindow, l.LoadRateBase, l.LoadRatePerRequest = loadRateWindow.Microseconds(), loadRateBase, loadRatePerRequest
	}
	return l
}

// publish writes the list, unless a trouble keeps it.
func (p *harness) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.publishHolds > 0 {
		return
	}
	var b bytes.Buffer
	for i, s := range p.servers {
		if p.states[i] == "gone" {
			continue
		}
		fmt.Fprintf(&b, "[server %d]\naddress = %s\nstate = %s\nzone = %s\ncell = %s\n", i, s.Address(), p.states[i], zone(i), zone(i))
		if born, cold := s.StartedAt(); cold { // the others began long before the day
			fmt.Fprintf(&b, "born = %s\n", born.UTC().Format(time.RFC3339Nano))
		}
	}
	if p.controlPlane != nil {
		p.controlPlane.Update(p.clusterMembers(p.states))
	}
	if err := renameio.WriteFile(filepath.Join(p.dir, "workers.ini"), b.Bytes(), 0o600); err != nil && p.err == nil {
		p.err = err
	}
	for i, state := range p.states {
		if p.published[i] != state {
			p.log.Add(invariant.Record{Kind: invariant.EndpointPublished, Server: i, Detail: state})
		}
	}
	p.published = slices.Clone(p.states)
}

func (p *harness) setState(i int, state string) {
	p.mu.Lock()
	p.states[i] = state
	p.mu.Unlock()
	p.publish()
}

func (r *routerProcess) start(bin, dir string) error {
	var err error
	if r.logFile, err = os.OpenFile(r.logName(dir), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(bin, "serve", r.configFile)
	cmd.Stdout, cmd.Stderr = r.logFile, r.logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.exited = cmd, ended
	r.mu.Unlock()
	go func() {
		err := cmd.Wait()
		r.mu.Lock()
		r.exitErr = err
		r.mu.Unlock()
		r.logFile.Close()
		close(ended)
	}()
	return nil
}

func (r *routerProcess) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		r.cmd.Process.Signal(s)
	}
}

// end sends a signal and waits for the process; after ten seconds it is killed.
func (r *routerProcess) stop(s syscall.Signal) error {
	r.mu.Lock()
	ended := r.exited
	r.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		return nil
	default:
	}
	r.signal(s)
	select {
	case <-ended:
	case <-time.After(10 * time.Second): // longer than any job's limit
		r.signal(syscall.SIGKILL)
		<-ended
		return fmt.Errorf("it had to be killed")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == syscall.SIGKILL {
		return nil
	}
	return r.exitErr
}

// run plays calls and troubles and counts the effects finished in time.
func (p *harness) drive(ctx context.Context) (in, total int) {
	p.startedAt, p.logStart = time.Now(), p.log.Now()
	var wg sync.WaitGroup
	for _, t := range p.scenario.Faults {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if p.waitUntil(ctx, t.At) == nil {
				p.injectFault(ctx, t)
			}
		}()
	}
	var mu sync.Mutex
	for _, c := range p.scenario.schedule() {
		if p.waitUntil(ctx, c.at) != nil {
			break
		}
		total++
		wg.Add(1)
		go func() {
			defer wg.Done()
			well := p.perform(ctx, c)
			mu.Lock()
			defer mu.Unlock()
			if p.outcomes = append(p.outcomes, effectOutcome{c.router, c.at, well, c.workload.effect, c.workload.importance, c.noisyTenant || c.limitedTenant}); well {
				in++
			}
		}()
	}
	wg.Wait()
	for _, c := range p.pools {
		c.close()
	}
	for _, x := range p.libraryClients {
		x.Close()
	}
	return in, total
}

func (p *harness) waitUntil(ctx context.Context, at time.Duration) error {
	return sleep(ctx, at-time.Since(p.startedAt))
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return fakeserver.Sleep(ctx, d)
}

// trouble makes one trouble and ends it.
func (p *harness) injectFault(ctx context.Context, t Fault) {
	which := []int{t.Target}
	if t.Target < 0 {
		which = nil
		for i := range p.servers {
			which = append(which, i)
		}
	}
	if !strings.HasPrefix(t.Kind, "balancer") {
		which = slices.DeleteFunc(which, func(i int) bool { return i >= len(p.servers) })
	}
	faults := func(f fakeserver.Faults) {
		for _, i := range which {
			p.servers[i].SetFaults(f)
		}
	}
	switch t.Kind {
	case "hang":
		faults(fakeserver.Faults{Silent: true})
	case "pauses":
		for end := time.Now().Add(t.Duration); time.Now().Before(end) && ctx.Err() == nil; {
			faults(fakeserver.Faults{Slowdown: 10})
			sleep(ctx, 200*time.Millisecond)
			faults(fakeserver.Faults{})
			sleep(ctx, 600*time.Millisecond)
		}
		return
	case "answer_lost":
		faults(fakeserver.Faults{LostAnswers: t.Share})
	case "reset_before":
		faults(fakeserver.Faults{ResetBefore: t.Share})
	case "reset_after":
		faults(fakeserver.Faults{ResetAfter: t.Share})
	case "refuse":
		faults(fakeserver.Faults{Overloaded: true})
	case "ageing":
		for step := range 5 {
			faults(fakeserver.Faults{Slowdown: 1 + (t.Factor-1)*float64(step+1)/5})
			sleep(ctx, t.Duration/5)
		}
	case "origin_slow":
		p.store.Degrade(t.Factor, false)
		sleep(ctx, t.Duration)
		p.store.Degrade(1, false)
		return
	case "origin_stopped":
		p.store.Degrade(1, true)
		sleep(ctx, t.Duration)
		p.store.Degrade(1, false)
		return
	case "discovery_stale":
		p.mu.Lock()
		p.publishHolds++
		p.mu.Unlock()
		sleep(ctx, t.Duration)
		p.mu.Lock()
		p.publishHolds--
		p.mu.Unlock()
		p.publish()
		return
	case "plane_lost", "plane_half", "plane_cut", "plane_silent":
		p.injectControlPlaneFault(ctx, t)
		return
	case "crash":
		for _, i := range which {
			p.servers[i].Stop()
		}
		sleep(ctx, t.Duration)
		p.restartServers(ctx, which)
		return
	case "vanish":
		faults(fakeserver.Faults{Silent: true})
		sleep(ctx, t.Duration)
		for _, i := range which {
			p.servers[i].Stop()
		}
		p.restartServers(ctx, which)
		return
	case "deploy":
		for _, i := range which {
			p.setState(i, "draining")
		}
		sleep(ctx, t.Duration)
		for _, i := range which {
			p.setState(i, "gone")
			p.servers[i].Stop()
		}
		p.restartServers(ctx, which)
		return
	case "rise": // the schedule has it
		return
	case "balancer_stall", "balancer_roll", "balancer_kill":
		which := []int{t.Target}
		if t.Target < 0 {
			which = nil
			for i := range p.routers {
				which = append(which, i)
			}
		}
		var wg sync.WaitGroup
		for _, i := range which {
			one := t
			one.Target = i
			wg.Go(func() { p.injectRouterFault(ctx, one) })
		}
		wg.Wait()
		return
	}
	if t.Kind != "ageing" {
		sleep(ctx, t.Duration)
	}
	faults(fakeserver.Faults{})
}

// planeTrouble breaks the control plane: all of its list or half of it is lost by a fault, its streams are cut again and again,
// or it says nothing. What really happens to servers meanwhile it tells afterwards.
func (p *harness) injectControlPlaneFault(ctx context.Context, t Fault) {
	hold := func(by int) {
		p.mu.Lock()
		p.publishHolds += by
		p.mu.Unlock()
	}
	switch t.Kind {
	case "plane_lost", "plane_half":
		hold(1)
		p.controlPlane.Update(func(clusters map[string][]fakeserver.Endpoint) {
			if t.Kind == "plane_lost" {
				clear(clusters)
			} else {
				delete(clusters, "odd")
			}
		})
		sleep(ctx, t.Duration)
		hold(-1)
		p.publish()
	case "plane_cut":
		for end := time.Now().Add(t.Duration); time.Now().Before(end) && ctx.Err() == nil; {
			p.controlPlane.DropStreams(true)
			sleep(ctx, 300*time.Millisecond)
		}
	case "plane_silent": // while it is, nothing that it should say happens
		hold(1)
		p.controlPlane.SetStalled(true)
		sleep(ctx, t.Duration)
		p.controlPlane.SetStalled(false)
		hold(-1)
		p.publish()
	}
}

// revive starts dead servers, cold and empty, and has the list tell it a little later.
func (p *harness) restartServers(ctx context.Context, which []int) {
	for _, i := range which {
		if err := p.servers[i].Start(true); err != nil {
			p.recordError(fmt.Errorf("server %d could not start again: %w", i, err))
		}
	}
	for _, i := range which {
		p.setState(i, "ready")
	}
}

func (p *harness) injectRouterFault(ctx context.Context, t Fault) {
	if t.Target < 0 || t.Target >= len(p.routers) {
		return
	}
	r, halted := p.routers[t.Target], invariant.Record{Router: t.Target}
	halted.Kind = invariant.RouterDown
	p.log.Add(halted)
	switch t.Kind {
	case "balancer_stall":
		r.signal(syscall.SIGSTOP)
		sleep(ctx, t.Duration)
		r.signal(syscall.SIGCONT)
	case "balancer_roll":
		if err := r.stop(syscall.SIGTERM); err != nil {
			p.recordError(fmt.Errorf("router %d did not end well when told to: %w", t.Target, err))
		}
		fallthrough
	case "balancer_kill":
		r.stop(syscall.SIGKILL)
		sleep(ctx, t.Duration)
		renewed := invariant.Record{Kind: invariant.RouterRestarted, Router: t.Target}
		if p.scenario.keepsRouterState() {
			renewed.Detail = invariant.StateRestored
			if err := p.alterState(t.Target); err != nil {
				p.recordError(err)
				return
			}
		}
		p.log.Add(renewed)
		if err := r.start(p.program, p.dir); err != nil {
			p.recordError(err)
			return
		}
		p.awaitReady(ctx, t.Target)
		p.mu.Lock()
		p.restarts = append(p.restarts, restartEvent{t.Target, p.log.Now(), time.Since(p.startedAt)})
		p.mu.Unlock()
	}
	halted.Kind = invariant.RouterUp
	p.log.Add(halted)
}

// awaitReady waits until a router says that it takes jobs.
func (p *harness) awaitReady(ctx context.Context, i int) error {
	const most = 10 * time.Second
	for end := time.Now().Add(most); time.Now().Before(end); {
		c, err := rest.DialWith(ctx, p.addresses[i], &rest.DefaultLimits, p.pools[i].secure)
		if err == nil {
			res, _, err := c.Do(&rest.Request{Method: "GET", Target: "/v2/health/ready", Header: rest.Header{"Host": {"lab"}}}, time.Now().Add(time.Second))
			c.Close()
			if err == nil && res.Status == 200 {
				return nil
			}
		}
		select {
		case <-p.routers[i].exited:
			return fmt.Errorf("router %d ended before it was ready", i)
		default:
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("router %d was not ready within %s", i, most)
}
