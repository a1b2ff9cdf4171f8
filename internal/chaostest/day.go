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
	cores        = 2
	lanes        = 2
	work         = 50 * time.Millisecond
	rate         = float64(cores) * float64(time.Second/work) // jobs a second that a warm server bears
	cold         = 4 * time.Second
	coldFrom     = 0.25
	fall         = time.Second
	fallMultiple = 2.0
	keepAlive    = 5 * time.Second
	grace        = 500 * time.Millisecond
	loadWindow   = 4 * time.Second
	loadFree     = 6
	loadShare    = 0.05
	storeFetch   = 25 * time.Millisecond
	storeAtOnce  = 8
)

// play is a day under way.
type play struct {
	day     *Day
	dir     string
	bin     string
	log     *invariant.Log
	store   *fakeserver.Store
	plane   *fakeserver.ControlPlane // nil: the list is a file
	keys    *keys                    // nil: connections are in plain text
	servers []*fakeserver.Server
	routers []*process
	addrs   []string
	client  []*clientPool
	effects []wish
	resumed resumed
	renewed []renewal
	begun   time.Time
	first   int64            // of the log, when the day began
	apps    []*client.Client // of clients that behave as the library

	mu     sync.Mutex
	states []string // as the list is to tell them
	told   []string // as it does
	stale  int      // troubles that keep the list from being written
	faults error
	broken int // client connections that ended without an answer, but for lack of time
}

// process is one router.
type process struct {
	number int
	file   string
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	err    error
	log    *os.File
}

// Result is a day's end.
type Result struct {
	*invariant.Report
	InTime  float64  `json:"InTime"` // share of all effects that were finished within their start target
	Records int      `json:"Records"`
	Seconds []Second `json:"Seconds"`
	effects []wish
	Resumed resumed   `json:"Resumed"` // run-once jobs that clients asked their restarted router for again
	Renewed []Renewed `json:"Renewed"` // what followed each restart of a router
	Worth   float64   `json:"Worth"`   // as InTime, each effect counted with its workload's importance
	Storms  int       `json:"Storms"`  // that routers told of
	Over    int       `json:"Over"`    // orders over the ration, were those of a router's earlier lives counted for all
}

// Run plays a day with routers of the named program. Everything that it starts has ended when it returns.
func Run(ctx context.Context, d *Day, program string) (res *Result, err error) {
	if d.Routers > mostRouters || d.Workers > mostWorkers {
		return nil, fmt.Errorf("%d routers and %d workers are more than a day on sockets may have (%d, %d): hmchaos emulate plays it", d.Routers, d.Workers, mostRouters, mostWorkers)
	}
	dir, err := os.MkdirTemp("", "hmchaos-")
	if err != nil {
		return nil, err
	}
	p := &play{day: d, dir: dir, bin: program, log: invariant.NewLog(), store: fakeserver.NewStore(storeFetch, storeAtOnce)}
	keysCtx, keysStop := context.WithCancel(ctx)
	defer keysStop()
	defer func() {
		for _, r := range p.routers {
			r.end(syscall.SIGKILL)
		}
		if p.plane != nil {
			p.plane.Stop()
		}
		for _, s := range p.servers {
			s.Stop()
		}
		if err == nil && res.Passed() || ctx.Err() != nil {
			os.RemoveAll(dir)
		} else {
			err = join(err, fmt.Sprintf("the routers' logs are kept in %s", dir))
		}
	}()
	if d.Keys {
		if p.keys, err = openKeys(keysCtx, filepath.Join(dir, "keys"), d.Workers); err != nil {
			return nil, err
		}
	}
	if d.Source == "xds" || d.Source == "delta" {
		if p.plane, err = fakeserver.NewControlPlane(p.keys.planeOptions()...); err != nil {
			return nil, err
		}
	}
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	renewing := make(chan error, 1)
	if d.Keys {
		go func() { renewing <- p.changeKeys(keysCtx, p.keys, d.Seed, false) }()
	}
	defer context.AfterFunc(ctx, func() { // told to stop: whoever waits for a router waits no longer
		for _, r := range p.routers {
			r.signal(syscall.SIGKILL)
		}
	})()
	in, total := p.run(ctx)
	if keysStop(); d.Keys {
		if err := <-renewing; err != nil && ctx.Err() == nil {
			p.fail(err)
		}
	}
	for i, r := range p.routers {
		if e := r.end(syscall.SIGTERM); e != nil && ctx.Err() == nil {
			p.fail(fmt.Errorf("router %d did not end well when told to: %w", i, e))
		}
	}
	if p.faults != nil {
		return nil, p.faults
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	storms, err := p.storms()
	if err != nil {
		return nil, err
	}
	recs := p.log.Records()
	v := invariant.Check(p.law(), recs)
	return &Result{Report: v, InTime: float64(in) / float64(max(1, total)), Records: len(recs), Seconds: p.seconds(recs, v.SlowStart), effects: p.effects,
		Resumed: p.resumed, Renewed: p.after(recs), Over: p.over(recs), Worth: p.worth(), Storms: storms}, nil
}

func join(err error, text string) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w (%s)", err, text)
}

func (p *play) fail(err error) {
	p.mu.Lock()
	if p.faults == nil {
		p.faults = err
	}
	p.mu.Unlock()
}

// broke counts a client's connection that ended without an answer.
func (p *play) broke(err error) {
	if errors.Is(err, rest.ErrTimeout) {
		return
	}
	p.mu.Lock()
	p.broken++
	p.mu.Unlock()
}

func (p *play) start(ctx context.Context) error {
	d := p.day
	for i := range d.Workers {
		m := p.make(i)
		m.Handshake = p.keys.accept(worker(i))
		s := fakeserver.New(m, p.store, p.log)
		if err := s.Start(false); err != nil {
			return err
		}
		p.servers = append(p.servers, s)
		p.states = append(p.states, "ready")
	}
	p.told = make([]string, d.Workers)
	p.publish()
	for i := range d.Routers {
		r := &process{number: i}
		p.routers = append(p.routers, r)
		addr, err := freeAddress()
		if err != nil {
			return err
		}
		p.addrs = append(p.addrs, addr)
		p.client = append(p.client, &clientPool{address: addr, secure: p.keys.dial("client")})
		r.file = filepath.Join(p.dir, fmt.Sprintf("router-%d.ini", i))
		if err := os.WriteFile(r.file, p.settings(i), 0o600); err != nil {
			return err
		}
		if err := r.start(p.bin, p.dir); err != nil {
			return err
		}
	}
	for i := range p.routers {
		if err := p.awaitReady(ctx, i); err != nil {
			return err
		}
	}
	return p.openApps()
}

func (r *process) logName(dir string) string {
	return filepath.Join(dir, fmt.Sprintf("router-%d.log", r.number))
}

// make gives what a server of the day is made like.
func (p *play) make(i int) fakeserver.Config {
	return fakeserver.Config{Number: i, MaxReplicas: 40, Lanes: lanes, Cores: cores, ExecutionTime: work, QueueLimit: 40,
		LoadTime: 150 * time.Millisecond, MaxLoads: 4, LoadCommandsOnly: p.day.Orders, DedupWindow: 5 * time.Second, KeepAlive: keepAlive, SlowStartDuration: cold, SlowStartInitial: coldFrom, OverloadWindow: fall,
		OverloadRate: rate * fallMultiple, Seed: p.day.Seed, NoDedupPrefix: runOnceMark}
}

// settings writes one router's file.
func (p *play) settings(i int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[router]\nlisten = %s\nnumber = %d\nrouters = %d\nzone = %s\nlist = %s\nseed = %d\nlog = info\n", p.addrs[i], i,
		p.day.Routers, zone(i), filepath.Join(p.dir, "workers.ini"), p.day.Seed*64+uint64(i)+1)
	fmt.Fprintf(&b, "[servers]\nkeep_alive = %s\ncold_from = %g\ncold = %s\nfall = %s\nfall_multiple = %g\ngrace = %s\n", keepAlive, coldFrom, cold, fall, fallMultiple, grace)
	if p.day.Orders {
		b.WriteString("loads_on_miss = no\n")
	}
	if p.day.Ration {
		fmt.Fprintf(&b, "load_window = %s\nload_free = %d\nload_share = %g\n", loadWindow, loadFree, loadShare)
	}
	if p.day.Record != "" {
		fmt.Fprintf(&b, "[record]\nfolder = %s\nsegment = 1000000\nage = 5s\n", filepath.Join(p.day.Record, fmt.Sprintf("router-%d", i)))
	}
	if p.day.remembers() {
		fmt.Fprintf(&b, "[memory]\nfolder = %s\nevery = 1s\nmarks_for = 1m\n", p.memory(i))
	}
	for _, w := range mix {
		fmt.Fprintf(&b, "[workload %s]\nstart_target = %s\ntime_limit = %s\nimportance = %g\neffect = %s\n", w.name, w.target, w.limit, w.importance, w.effect)
		if w.window > 0 {
			fmt.Fprintf(&b, "group = %s\nwindow = %s\n", w.group, w.window)
		}
		fmt.Fprintf(&b, "[function %s-*]\nworkload = %s\nlanes = %d\n", w.name, w.name, lanes)
	}
	if slices.ContainsFunc(p.day.Troubles, func(t Trouble) bool { return t.Kind == "one_tenant" }) {
		fmt.Fprintf(&b, "[tenant calm]\nshare = %d\n[tenant loud]\nshare = %d\n", p.day.Jobs/max(1, int(p.day.Length.Seconds())), loudShare)
	}
	if !p.day.Damped {
		b.WriteString("[clients]\ndamp_storms = no\n")
	}
	b.WriteString(p.keys.settings(p.plane != nil))
	text := strings.NewReplacer(p.day.mistold...).Replace(b.String())
	if p.plane != nil {
		text = strings.Replace(text, "list = "+filepath.Join(p.dir, "workers.ini"), "xds = "+p.plane.Address()+"\nxds_variant = "+
			map[string]string{"xds": "sotw", "delta": "delta"}[p.day.Source], 1)
	}
	return []byte(text)
}

func zone(i int) string { return string(rune('a' + i%3)) }

// law is what the judge is told: the same figures as the routers, and the stand-ins' own rate.
func (p *play) law() invariant.Config {
	l := invariant.Config{Classes: map[string]invariant.Class{}, DrainGrace: grace.Microseconds(), SlowStartDuration: cold.Microseconds(),
		SlowStartInitial: coldFrom, OverloadWindow: fall.Microseconds(), OverloadFactor: fallMultiple, ServerRate: rate,
		MaxNetworkDelay: 50_000} // as the module allows for a hop
	for i := range p.servers {
		l.Zone, l.Cell = append(l.Zone, zone(i)), append(l.Cell, zone(i))
	}
	for _, w := range mix {
		l.Classes[w.name] = invariant.Class{NonIdempotent: w.effect == "run-once", IdempotentByKey: w.effect == "fingerprinted",
			Scope: w.group, Window: w.window.Microseconds()}
	}
	if p.day.Ration {
		l.LoadRateWindow, l.LoadRateBase, l.LoadRatePerRequest = loadWindow.Microseconds(), loadFree, loadShare
	}
	return l
}

// publish writes the list, unless a trouble keeps it.
func (p *play) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale > 0 {
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
	if p.plane != nil {
		p.plane.Update(p.members(p.states))
	}
	if err := renameio.WriteFile(filepath.Join(p.dir, "workers.ini"), b.Bytes(), 0o600); err != nil && p.faults == nil {
		p.faults = err
	}
	for i, state := range p.states {
		if p.told[i] != state {
			p.log.Add(invariant.Record{Kind: invariant.EndpointPublished, Server: i, Detail: state})
		}
	}
	p.told = slices.Clone(p.states)
}

func (p *play) set(i int, state string) {
	p.mu.Lock()
	p.states[i] = state
	p.mu.Unlock()
	p.publish()
}

func (r *process) start(bin, dir string) error {
	var err error
	if r.log, err = os.OpenFile(r.logName(dir), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(bin, "serve", r.file)
	cmd.Stdout, cmd.Stderr = r.log, r.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.mu.Lock()
	r.cmd, r.ended = cmd, ended
	r.mu.Unlock()
	go func() {
		err := cmd.Wait()
		r.mu.Lock()
		r.err = err
		r.mu.Unlock()
		r.log.Close()
		close(ended)
	}()
	return nil
}

func (r *process) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		r.cmd.Process.Signal(s)
	}
}

// end sends a signal and waits for the process; after ten seconds it is killed.
func (r *process) end(s syscall.Signal) error {
	r.mu.Lock()
	ended := r.ended
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
	return r.err
}

// run plays calls and troubles and counts the effects finished in time.
func (p *play) run(ctx context.Context) (in, total int) {
	p.begun, p.first = time.Now(), p.log.Now()
	var wg sync.WaitGroup
	for _, t := range p.day.Troubles {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if p.until(ctx, t.At) == nil {
				p.trouble(ctx, t)
			}
		}()
	}
	var mu sync.Mutex
	for _, c := range p.day.schedule() {
		if p.until(ctx, c.at) != nil {
			break
		}
		total++
		wg.Add(1)
		go func() {
			defer wg.Done()
			well := p.effect(ctx, c)
			mu.Lock()
			defer mu.Unlock()
			if p.effects = append(p.effects, wish{c.router, c.at, well, c.workload.effect, c.workload.importance, c.loud || c.quiet}); well {
				in++
			}
		}()
	}
	wg.Wait()
	for _, c := range p.client {
		c.close()
	}
	for _, x := range p.apps {
		x.Close()
	}
	return in, total
}

func (p *play) until(ctx context.Context, at time.Duration) error {
	return sleep(ctx, at-time.Since(p.begun))
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return fakeserver.Sleep(ctx, d)
}

// trouble makes one trouble and ends it.
func (p *play) trouble(ctx context.Context, t Trouble) {
	which := []int{t.Number}
	if t.Number < 0 {
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
		for end := time.Now().Add(t.Lasts); time.Now().Before(end) && ctx.Err() == nil; {
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
			faults(fakeserver.Faults{Slowdown: 1 + (t.Times-1)*float64(step+1)/5})
			sleep(ctx, t.Lasts/5)
		}
	case "origin_slow":
		p.store.Degrade(t.Times, false)
		sleep(ctx, t.Lasts)
		p.store.Degrade(1, false)
		return
	case "origin_stopped":
		p.store.Degrade(1, true)
		sleep(ctx, t.Lasts)
		p.store.Degrade(1, false)
		return
	case "discovery_stale":
		p.mu.Lock()
		p.stale++
		p.mu.Unlock()
		sleep(ctx, t.Lasts)
		p.mu.Lock()
		p.stale--
		p.mu.Unlock()
		p.publish()
		return
	case "plane_lost", "plane_half", "plane_cut", "plane_silent":
		p.planeTrouble(ctx, t)
		return
	case "crash":
		for _, i := range which {
			p.servers[i].Stop()
		}
		sleep(ctx, t.Lasts)
		p.revive(ctx, which)
		return
	case "vanish":
		faults(fakeserver.Faults{Silent: true})
		sleep(ctx, t.Lasts)
		for _, i := range which {
			p.servers[i].Stop()
		}
		p.revive(ctx, which)
		return
	case "deploy":
		for _, i := range which {
			p.set(i, "draining")
		}
		sleep(ctx, t.Lasts)
		for _, i := range which {
			p.set(i, "gone")
			p.servers[i].Stop()
		}
		p.revive(ctx, which)
		return
	case "rise": // the schedule has it
		return
	case "balancer_stall", "balancer_roll", "balancer_kill":
		which := []int{t.Number}
		if t.Number < 0 {
			which = nil
			for i := range p.routers {
				which = append(which, i)
			}
		}
		var wg sync.WaitGroup
		for _, i := range which {
			one := t
			one.Number = i
			wg.Go(func() { p.routerTrouble(ctx, one) })
		}
		wg.Wait()
		return
	}
	if t.Kind != "ageing" {
		sleep(ctx, t.Lasts)
	}
	faults(fakeserver.Faults{})
}

// planeTrouble breaks the control plane: all of its list or half of it is lost by a fault, its streams are cut again and again,
// or it says nothing. What really happens to servers meanwhile it tells afterwards.
func (p *play) planeTrouble(ctx context.Context, t Trouble) {
	hold := func(by int) {
		p.mu.Lock()
		p.stale += by
		p.mu.Unlock()
	}
	switch t.Kind {
	case "plane_lost", "plane_half":
		hold(1)
		p.plane.Update(func(clusters map[string][]fakeserver.Endpoint) {
			if t.Kind == "plane_lost" {
				clear(clusters)
			} else {
				delete(clusters, "odd")
			}
		})
		sleep(ctx, t.Lasts)
		hold(-1)
		p.publish()
	case "plane_cut":
		for end := time.Now().Add(t.Lasts); time.Now().Before(end) && ctx.Err() == nil; {
			p.plane.DropStreams(true)
			sleep(ctx, 300*time.Millisecond)
		}
	case "plane_silent": // while it is, nothing that it should say happens
		hold(1)
		p.plane.SetStalled(true)
		sleep(ctx, t.Lasts)
		p.plane.SetStalled(false)
		hold(-1)
		p.publish()
	}
}

// revive starts dead servers, cold and empty, and has the list tell it a little later.
func (p *play) revive(ctx context.Context, which []int) {
	for _, i := range which {
		if err := p.servers[i].Start(true); err != nil {
			p.fail(fmt.Errorf("server %d could not start again: %w", i, err))
		}
	}
	for _, i := range which {
		p.set(i, "ready")
	}
}

func (p *play) routerTrouble(ctx context.Context, t Trouble) {
	if t.Number < 0 || t.Number >= len(p.routers) {
		return
	}
	r, halted := p.routers[t.Number], invariant.Record{Router: t.Number}
	halted.Kind = invariant.RouterDown
	p.log.Add(halted)
	switch t.Kind {
	case "balancer_stall":
		r.signal(syscall.SIGSTOP)
		sleep(ctx, t.Lasts)
		r.signal(syscall.SIGCONT)
	case "balancer_roll":
		if err := r.end(syscall.SIGTERM); err != nil {
			p.fail(fmt.Errorf("router %d did not end well when told to: %w", t.Number, err))
		}
		fallthrough
	case "balancer_kill":
		r.end(syscall.SIGKILL)
		sleep(ctx, t.Lasts)
		renewed := invariant.Record{Kind: invariant.RouterRestarted, Router: t.Number}
		if p.day.remembers() {
			renewed.Detail = invariant.StateRestored
			if err := p.change(t.Number); err != nil {
				p.fail(err)
				return
			}
		}
		p.log.Add(renewed)
		if err := r.start(p.bin, p.dir); err != nil {
			p.fail(err)
			return
		}
		p.awaitReady(ctx, t.Number)
		p.mu.Lock()
		p.renewed = append(p.renewed, renewal{t.Number, p.log.Now(), time.Since(p.begun)})
		p.mu.Unlock()
	}
	halted.Kind = invariant.RouterUp
	p.log.Add(halted)
}

// awaitReady waits until a router says that it takes jobs.
func (p *play) awaitReady(ctx context.Context, i int) error {
	const most = 10 * time.Second
	for end := time.Now().Add(most); time.Now().Before(end); {
		c, err := rest.DialWith(ctx, p.addrs[i], &rest.DefaultLimits, p.client[i].secure)
		if err == nil {
			res, _, err := c.Do(&rest.Request{Method: "GET", Target: "/v2/health/ready", Header: rest.Header{"Host": {"lab"}}}, time.Now().Add(time.Second))
			c.Close()
			if err == nil && res.Status == 200 {
				return nil
			}
		}
		select {
		case <-p.routers[i].ended:
			return fmt.Errorf("router %d ended before it was ready", i)
		default:
		}
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("router %d was not ready within %s", i, most)
}
