package chaostest

import "time"

// Fault is a fault that is in effect for a limited time.
type Fault struct {
	Name     string
	Kind     FaultKind
	At       time.Duration // since the start of the run
	Duration time.Duration
	Target   int     // number of the affected server or router, or AllTargets
	Share    float64 // of the requests that are affected, for kinds that affect some of them
	Factor   float64 // by which something gets slower, or by which demand rises
}

// AllTargets is the Fault.Target that selects all servers, or all routers.
const AllTargets = -1

// active reports whether the fault is in effect at a time, given since the start of the run.
func (f Fault) active(at time.Duration) bool { return at >= f.At && at < f.At+f.Duration }

// targets returns the numbers of the affected servers or routers; there are n.
func (f Fault) targets(n int) []int {
	if f.Target >= n {
		return nil
	}
	if f.Target >= 0 {
		return []int{f.Target}
	}
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// FaultKind is a kind of fault. Its value is its name in scenario files.
type FaultKind string

// The kinds of fault.
const (
	FaultHang                 FaultKind = "hang"         // servers accept requests and answer none
	FaultCrash                FaultKind = "crash"        // servers stop; they restart without loaded functions
	FaultHangThenCrash        FaultKind = "vanish"       // servers stop answering, then crash
	FaultIntermittentSlowness FaultKind = "pauses"       // servers are ten times slower for short periods
	FaultLostResponses        FaultKind = "answer_lost"  // servers run a share of the requests without answering
	FaultResetBefore          FaultKind = "reset_before" // servers reset a share of connections before the request runs
	FaultResetAfter           FaultKind = "reset_after"  // servers reset a share of connections after the request has run
	FaultServerOverloaded     FaultKind = "refuse"       // servers answer that they are overloaded
	FaultProgressiveSlowdown  FaultKind = "ageing"       // servers get slower step by step
	FaultDeploy               FaultKind = "deploy"       // servers drain, are withdrawn, and restart

	FaultStoreSlow    FaultKind = "origin_slow"    // the model store is slower
	FaultStoreStopped FaultKind = "origin_stopped" // the model store serves nothing

	FaultHotFunction     FaultKind = "hot_key"     // a share of the requests is for one function
	FaultUniqueFunctions FaultKind = "scan"        // a share of the requests is for a different function each
	FaultShortTimeouts   FaultKind = "give_up"     // a share of the clients has short timeouts
	FaultRetryAbuse      FaultKind = "retry_abuse" // a share of the clients gives up early and retries at once
	FaultNoisyTenant     FaultKind = "one_tenant"  // a share of the requests belongs to a tenant that retries without pause
	FaultDemandSurge     FaultKind = "rise"        // demand grows by a factor

	FaultStaleEndpoints          FaultKind = "discovery_stale" // the endpoint list isn't updated
	FaultControlPlaneEmptyList   FaultKind = "plane_lost"      // the control plane publishes an empty list
	FaultControlPlaneHalfList    FaultKind = "plane_half"      // the control plane publishes half of the list
	FaultControlPlaneStreamDrops FaultKind = "plane_cut"       // the control plane drops its streams repeatedly
	FaultControlPlaneStall       FaultKind = "plane_silent"    // the control plane sends nothing

	FaultRouterStall   FaultKind = "balancer_stall" // routers are suspended with SIGSTOP and then resumed
	FaultRouterRestart FaultKind = "balancer_roll"  // routers shut down gracefully and restart
	FaultRouterKill    FaultKind = "balancer_kill"  // routers are killed and restart
)

// faultKinds lists all kinds, in the order in which an error message names them.
var faultKinds = []FaultKind{FaultHang, FaultCrash, FaultHangThenCrash, FaultIntermittentSlowness, FaultLostResponses, FaultStoreSlow, FaultStoreStopped,
	FaultHotFunction, FaultUniqueFunctions, FaultStaleEndpoints, FaultDeploy, FaultShortTimeouts, FaultRetryAbuse, FaultRouterStall, FaultRouterRestart,
	FaultRouterKill, FaultProgressiveSlowdown, FaultResetBefore, FaultResetAfter, FaultServerOverloaded, FaultNoisyTenant, FaultDemandSurge, FaultControlPlaneEmptyList,
	FaultControlPlaneHalfList, FaultControlPlaneStreamDrops, FaultControlPlaneStall}

// needsControlPlane reports whether the fault affects the control plane, so that the scenario must have one.
func (k FaultKind) needsControlPlane() bool {
	switch k {
	case FaultControlPlaneEmptyList, FaultControlPlaneHalfList, FaultControlPlaneStreamDrops, FaultControlPlaneStall:
		return true
	}
	return false
}

// affectsRouters reports whether the fault's target is a router; it is a server otherwise.
func (k FaultKind) affectsRouters() bool {
	return k == FaultRouterStall || k == FaultRouterRestart || k == FaultRouterKill
}
