package chaostest

import (
	"context"
	"fmt"
	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

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
