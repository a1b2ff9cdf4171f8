package chaostest

import (
	"bytes"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
)

// Settings of the fake servers, which the routers' configuration repeats. Together the servers have about twice the capacity that
// the normal load needs, and loading a function takes far longer than a request.
const (
	serverCores       = 2
	serverLanes       = 2
	executionTime     = 50 * time.Millisecond
	serverRate        = float64(serverCores) * float64(time.Second/executionTime) // requests per second, after slow start
	serverQueue       = 40
	maxReplicas       = 40
	loadTime          = 150 * time.Millisecond
	maxLoads          = 4 // concurrent loads per server
	dedupWindow       = 5 * time.Second
	keepAlive         = 5 * time.Second
	slowStartDuration = 4 * time.Second
	slowStartInitial  = 0.25 // of serverRate
	overloadWindow    = time.Second
	overloadFactor    = 2.0
	drainGrace        = 500 * time.Millisecond
	storeFetchTime    = 25 * time.Millisecond
	storeConcurrency  = 8
)

// Limit on the load commands that each router sends in loadRateWindow: loadRateBase, plus loadRatePerRequest for each request.
const (
	loadRateWindow     = 4 * time.Second
	loadRateBase       = 6
	loadRatePerRequest = 0.05
)

// maxNetworkDelay is the maximum delay between the two ends of a connection that the invariant check allows for. The balancer allows for
// the same delay.
const maxNetworkDelay = 50 * time.Millisecond

// zone returns the zone of a server or router. Each zone has one cell of the same name.
func zone(i int) string { return string(rune('a' + i%zones)) }

const zones = 3

func (h *harness) serverConfig(i int) fakeserver.Config {
	return fakeserver.Config{Number: i, MaxReplicas: maxReplicas, Lanes: serverLanes, Cores: serverCores, ExecutionTime: executionTime, QueueLimit: serverQueue,
		LoadTime: loadTime, MaxConcurrentLoads: maxLoads, LoadCommandsOnly: h.scenario.LoadCommandsOnly, DedupWindow: dedupWindow, KeepAlive: keepAlive,
		SlowStartDuration: slowStartDuration, SlowStartInitial: slowStartInitial, OverloadWindow: overloadWindow,
		OverloadRate: serverRate * overloadFactor, Seed: h.scenario.Seed, NoDedupPrefix: nonIdempotentKeyPrefix}
}

// endpointsFile returns the name of the file that routers read the endpoint list from, unless there is a control plane.
func (h *harness) endpointsFile() string { return filepath.Join(h.dir, "workers.ini") }

// routerConfig returns the content of a router's configuration file.
func (h *harness) routerConfig(i int) []byte {
	var b bytes.Buffer
	h.writeRouterSections(&b, i)
	for _, w := range workloadMix {
		fmt.Fprintf(&b, "[workload %s]\nstart_target = %s\ntime_limit = %s\nimportance = %g\neffect = %s\n", w.name, w.latencyObjective, w.maxDeadline, w.importance, w.effect)
		if w.window > 0 {
			fmt.Fprintf(&b, "group = %s\nwindow = %s\n", w.scope, w.window)
		}
		fmt.Fprintf(&b, "[function %s-*]\nworkload = %s\nlanes = %d\n", w.name, w.name, serverLanes)
	}
	if slices.ContainsFunc(h.scenario.Faults, func(f Fault) bool { return f.Kind == FaultNoisyTenant }) {
		perSecond := h.scenario.Calls / max(1, int(h.scenario.Length.Seconds()))
		fmt.Fprintf(&b, "[tenant %s]\nshare = %d\n[tenant %s]\nshare = %d\n", regularTenant, perSecond, noisyTenant, noisyTenantQuota)
	}
	if !h.scenario.OverloadProtection {
		b.WriteString("[clients]\ndamp_storms = no\n")
	}
	b.WriteString(h.certificates.routerConfig())
	if h.controlPlane != nil {
		b.WriteString(h.certificates.controlPlaneConfig())
	}
	text := strings.NewReplacer(h.scenario.configOverrides...).Replace(b.String())
	if h.controlPlane != nil {
		variant := map[EndpointSource]string{SourceXDS: "sotw", SourceXDSDelta: "delta"}[h.scenario.EndpointSource]
		text = strings.Replace(text, "list = "+h.endpointsFile(), "xds = "+h.controlPlane.Address()+"\nxds_variant = "+variant, 1)
	}
	return []byte(text)
}

// writeRouterSections writes the sections about the router itself and about the servers, recordings and persisted state.
func (h *harness) writeRouterSections(b *bytes.Buffer, i int) {
	fmt.Fprintf(b, "[router]\nlisten = %s\nnumber = %d\nrouters = %d\nzone = %s\nlist = %s\nseed = %d\nlog = info\n", h.addresses[i], i,
		h.scenario.Routers, zone(i), h.endpointsFile(), h.scenario.Seed*maxRouters+uint64(i)+1)
	fmt.Fprintf(b, "[servers]\nkeep_alive = %s\ncold_from = %g\ncold = %s\nfall = %s\nfall_multiple = %g\ngrace = %s\n", keepAlive, slowStartInitial, slowStartDuration,
		overloadWindow, overloadFactor, drainGrace)
	if h.scenario.LoadCommandsOnly {
		b.WriteString("loads_on_miss = no\n")
	}
	if h.scenario.LimitLoadRate {
		fmt.Fprintf(b, "load_window = %s\nload_free = %d\nload_share = %g\n", loadRateWindow, loadRateBase, loadRatePerRequest)
	}
	if h.scenario.RecordDir != "" {
		fmt.Fprintf(b, "[record]\nfolder = %s\nsegment = 1000000\nage = 5s\n", filepath.Join(h.scenario.RecordDir, fmt.Sprintf("router-%d", i)))
	}
	if h.scenario.persistsRouterState() {
		fmt.Fprintf(b, "[memory]\nfolder = %s\nevery = 1s\nmarks_for = 1m\n", h.stateDir(i))
	}
}

// invariantConfig returns the configuration of the invariant check: the settings of the routers, and the rate of the fake servers.
func (h *harness) invariantConfig() invariant.Config {
	c := invariant.Config{Classes: map[string]invariant.Class{}, DrainGrace: drainGrace.Microseconds(), SlowStartDuration: slowStartDuration.Microseconds(),
		SlowStartInitial: slowStartInitial, OverloadWindow: overloadWindow.Microseconds(), OverloadFactor: overloadFactor, ServerRate: serverRate,
		MaxNetworkDelay: maxNetworkDelay.Microseconds()}
	for i := range h.servers {
		c.Zone, c.Cell = append(c.Zone, zone(i)), append(c.Cell, zone(i))
	}
	for _, w := range workloadMix {
		c.Classes[w.name] = invariant.Class{NonIdempotent: w.effect == effectNonIdempotent, IdempotentByKey: w.effect == effectIdempotentByKey,
			Scope: w.scope, Window: w.window.Microseconds()}
	}
	if h.scenario.LimitLoadRate {
		c.LoadRateWindow, c.LoadRateBase, c.LoadRatePerRequest = loadRateWindow.Microseconds(), loadRateBase, loadRatePerRequest
	}
	return c
}
