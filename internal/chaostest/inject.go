package chaostest

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
)

// injectFault injects a fault and returns when it is over.
func (h *harness) injectFault(ctx context.Context, f Fault) {
	switch f.Kind {
	case FaultStoreSlow:
		h.store.Degrade(f.Factor, false)
		sleep(ctx, f.Duration)
		h.store.Degrade(1, false)
	case FaultStoreStopped:
		h.store.Degrade(1, true)
		sleep(ctx, f.Duration)
		h.store.Degrade(1, false)
	case FaultStaleEndpoints:
		h.withPublishingPaused(func() { sleep(ctx, f.Duration) })
	case FaultControlPlaneEmptyList, FaultControlPlaneHalfList, FaultControlPlaneStreamDrops, FaultControlPlaneStall:
		h.injectControlPlaneFault(ctx, f)
	case FaultCrash, FaultHangThenCrash, FaultDeploy:
		h.injectServerRestart(ctx, f)
	case FaultRouterStall, FaultRouterRestart, FaultRouterKill:
		var wg sync.WaitGroup
		for _, router := range f.targets(len(h.routers)) {
			wg.Go(func() { h.injectRouterFault(ctx, f, router) })
		}
		wg.Wait()
	case FaultDemandSurge: // only the schedule of calls changes
	default:
		h.injectServerFault(ctx, f)
	}
}

// setServerFaults sets the faults of some servers.
func (h *harness) setServerFaults(servers []int, faults fakeserver.Faults) {
	for _, i := range servers {
		h.servers[i].SetFaults(faults)
	}
}

// Settings of the faults that make servers slow.
const (
	pauseSlowdown = 10
	pauseLength   = 200 * time.Millisecond
	pauseInterval = 600 * time.Millisecond // from the end of a pause to the next
	slowdownSteps = 5
)

// injectServerFault sets faults of running servers for a time. For kinds that only change the schedule of calls it does nothing
// but clear the faults of the targets at the end.
func (h *harness) injectServerFault(ctx context.Context, f Fault) {
	servers := f.targets(len(h.servers))
	switch f.Kind {
	case FaultIntermittentSlowness:
		for end := time.Now().Add(f.Duration); time.Now().Before(end) && ctx.Err() == nil; {
			h.setServerFaults(servers, fakeserver.Faults{Slowdown: pauseSlowdown})
			sleep(ctx, pauseLength)
			h.setServerFaults(servers, fakeserver.Faults{})
			sleep(ctx, pauseInterval)
		}
		return
	case FaultProgressiveSlowdown:
		for step := range slowdownSteps {
			h.setServerFaults(servers, fakeserver.Faults{Slowdown: 1 + (f.Factor-1)*float64(step+1)/slowdownSteps})
			sleep(ctx, f.Duration/slowdownSteps)
		}
		h.setServerFaults(servers, fakeserver.Faults{})
		return
	case FaultHang:
		h.setServerFaults(servers, fakeserver.Faults{Unresponsive: true})
	case FaultLostResponses:
		h.setServerFaults(servers, fakeserver.Faults{LostResponses: f.Share})
	case FaultResetBefore:
		h.setServerFaults(servers, fakeserver.Faults{ResetBefore: f.Share})
	case FaultResetAfter:
		h.setServerFaults(servers, fakeserver.Faults{ResetAfter: f.Share})
	case FaultServerOverloaded:
		h.setServerFaults(servers, fakeserver.Faults{Overloaded: true})
	}
	sleep(ctx, f.Duration)
	h.setServerFaults(servers, fakeserver.Faults{})
}

// injectServerRestart stops servers in the way that the kind of fault says, and restarts them.
func (h *harness) injectServerRestart(ctx context.Context, f Fault) {
	servers := f.targets(len(h.servers))
	switch f.Kind {
	case FaultCrash:
		h.stopServers(servers)
		sleep(ctx, f.Duration)
	case FaultHangThenCrash:
		h.setServerFaults(servers, fakeserver.Faults{Unresponsive: true})
		sleep(ctx, f.Duration)
		h.stopServers(servers)
	case FaultDeploy:
		for _, i := range servers {
			h.setState(i, invariant.EndpointDraining)
		}
		sleep(ctx, f.Duration)
		for _, i := range servers {
			h.setState(i, invariant.EndpointGone)
			h.servers[i].Stop()
		}
	}
	h.restartServers(servers)
}

func (h *harness) stopServers(servers []int) {
	for _, i := range servers {
		h.servers[i].Stop()
	}
}

// restartServers restarts stopped servers, in slow start and without loaded functions, and then publishes them as ready.
func (h *harness) restartServers(servers []int) {
	for _, i := range servers {
		if err := h.servers[i].Start(true); err != nil {
			h.recordError(fmt.Errorf("restarting server %d: %w", i, err))
		}
	}
	for _, i := range servers {
		h.setState(i, invariant.EndpointReady)
	}
}

// injectRouterFault suspends a router for a time, or restarts it.
func (h *harness) injectRouterFault(ctx context.Context, f Fault, router int) {
	r := h.routers[router]
	h.log.Add(invariant.Record{Kind: invariant.RouterDown, Router: router})
	switch f.Kind {
	case FaultRouterStall:
		r.signal(syscall.SIGSTOP)
		sleep(ctx, f.Duration)
		r.signal(syscall.SIGCONT)
	case FaultRouterRestart, FaultRouterKill:
		if f.Kind == FaultRouterRestart {
			if err := r.stop(syscall.SIGTERM); err != nil {
				h.recordError(fmt.Errorf("router %d did not shut down cleanly: %w", router, err))
			}
		}
		r.stop(syscall.SIGKILL)
		sleep(ctx, f.Duration)
		if err := h.restartRouter(ctx, router); err != nil {
			h.recordError(err)
			return
		}
	}
	h.log.Add(invariant.Record{Kind: invariant.RouterUp, Router: router})
}

// restartRouter starts a stopped router with the persisted state that the scenario specifies, and waits until it is ready.
func (h *harness) restartRouter(ctx context.Context, router int) error {
	record := invariant.Record{Kind: invariant.RouterRestarted, Router: router}
	if h.scenario.persistsRouterState() {
		record.Detail = invariant.StateRestored
		if err := h.prepareState(router); err != nil {
			return err
		}
	}
	h.log.Add(record)
	if err := h.routers[router].start(h.program); err != nil {
		return err
	}
	h.routers[router].awaitReady(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.restarts = append(h.restarts, restartEvent{router, h.log.Now(), time.Since(h.startedAt)})
	return nil
}
