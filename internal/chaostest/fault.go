package chaostest

import "time"

// Fault is something that goes wrong for a time.
type Fault struct {
	Name     string
	Kind     FaultKind
	At       time.Duration // since the start of the run
	Duration time.Duration
	Target   int     // number of the server or router, or AllTargets
	Share    float64 // of requests, for kinds that affect some of them
	Factor   float64 // of the slowdown, or of the demand
}

// AllTargets as a fault's target stands for all servers, or all routers.
const AllTargets = -1

// active reports whether a time of the run is within the fault.
func (f Fault) active(at time.Duration) bool { return at >= f.At && at < f.At+f.Duration }

// targets gives the numbers below n that the fault is about.
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

// FaultKind names a kind of fault, as scenarios write it.
type FaultKind string

// The kinds of fault.
const (
	FaultHang                 FaultKind = "hang"         // servers accept requests and answer none
	FaultCrash                FaultKind = "crash"        // servers stop; they restart without loaded functions
	FaultHangThenCrash        FaultKind = "vanish"       // servers fall silent, then crash
	FaultIntermittentSlowness FaultKind = "pauses"       // servers are ten times slower now and again
	FaultLostResponses        FaultKind = "answer_lost"  // servers run a share of the requests and don't answer
	FaultResetBefore          FaultKind = "reset_before" // servers reset a share of connections before the request runs
	FaultResetAfter           FaultKind = "reset_after"  // servers reset a share of connections after the request has run
	FaultServerOverloaded     FaultKind = "refuse"       // servers answer that they are overloaded
	FaultProgressiveSlowdown  FaultKind = "ageing"       // servers get slower step by step
	FaultDeploy               FaultKind = "deploy"       // servers drain, are withdrawn, and restart

	FaultStoreSlow    FaultKind = "origin_slow"    // the model store is slower
	FaultStoreStopped FaultKind = "origin_stopped" // the model store serves nothing

	FaultHotFunction     FaultKind = "hot_key"     // a share of the requests is for one function
	FaultUniqueFunctions FaultKind = "scan"        // a share of the requests is for functions of their own
	FaultShortTimeouts   FaultKind = "give_up"     // a share of the clients has short timeouts
	FaultRetryAbuse      FaultKind = "retry_abuse" // a share of the clients gives up early and retries at once
	FaultNoisyTenant     FaultKind = "one_tenant"  // a share of the requests belongs to a tenant that retries without pause
	FaultDemandSurge     FaultKind = "rise"        // there are more requests

	FaultStaleEndpoints          FaultKind = "discovery_stale" // the endpoint list isn't updated
	FaultControlPlaneEmptyList   FaultKind = "plane_lost"      // the control plane publishes an empty list
	FaultControlPlaneHalfList    FaultKind = "plane_half"      // the control plane publishes half of the list
	FaultControlPlaneStreamDrops FaultKind = "plane_cut"       // the control plane drops its streams again and again
	FaultControlPlaneStall       FaultKind = "plane_silent"    // the control plane sends nothing

	FaultRouterStall   FaultKind = "balancer_stall" // routers are stopped by SIGSTOP and go on
	FaultRouterRestart FaultKind = "balancer_roll"  // routers shut down gracefully and restart
	FaultRouterKill    FaultKind = "balancer_kill"  // routers are killed and restart
)

// faultKinds lists all kinds, in the order in which an error message names them.
var faultKinds = []FaultKind{FaultHang, FaultCrash, FaultHangThenCrash, FaultIntermittentSlowness, FaultLostResponses, FaultStoreSlow, FaultStoreStopped,
	FaultHotFunction, FaultUniqueFunctions, FaultStaleEndpoints, FaultDeploy, FaultShortTimeouts, FaultRetryAbuse, FaultRouterStall, FaultRouterRestart,
	FaultRouterKill, FaultProgressiveSlowdown, FaultResetBefore, FaultResetAfter, FaultServerOverloaded, FaultNoisyTenant, FaultDemandSurge, FaultControlPlaneEmptyList,
	FaultControlPlaneHalfList, FaultControlPlaneStreamDrops, FaultControlPlaneStall}

// needsControlPlane reports whether the fault is one of the control plane.
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
