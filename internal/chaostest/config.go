package chaostest

import (
	"bytes"
	"fmt"
	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

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
