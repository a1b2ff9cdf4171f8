package soak

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// Timing of faults.
const (
	drainTime            = 5 * time.Second // from the announcement of a drain to the removal
	serverOffTime        = 500 * time.Millisecond
	maxReturnDelay       = 1200 * time.Millisecond // random delay before a rolled server starts again
	routerOffTime        = 300 * time.Millisecond
	maxTermInterval      = 1500 * time.Millisecond // between two SIGTERMs to different routers
	burstFactor          = 2.5
	quietFactor          = 0.03
	stoppingDialDuration = 400 * time.Millisecond // how long clients keep opening connections to a stopping router
	stoppingDialGap      = 100 * time.Millisecond
)

// inject injects a fault and returns when it is over.
func (r *run) inject(ctx context.Context, f Fault) {
	switch f.Kind {
	case RollServers:
		r.rollServers(ctx, f.Count)
	case DrainAll:
		r.drainAll(ctx, f.Duration)
	case CrashServers:
		r.crashServers(ctx, f.Count, f.Duration)
	case ReplaceServers:
		r.replaceServers(ctx, f.Count, f.Duration)
	case HangServers:
		r.hangServers(ctx, r.reserve(f.Count, stateReady), f.Duration)
	case ResetConns:
		servers := r.reserve(f.Count, stateReady)
		for _, s := range servers {
			s.resetConns()
		}
		r.release(servers...)
	case DisruptResponses:
		r.disruptingResponses.Store(true)
		r.sleep(ctx, f.Duration)
		r.disruptingResponses.Store(false)
	case DiscoveryDown:
		r.discovery.takeDown()
		r.sleep(ctx, f.Duration)
		r.reportFaultError(r.discovery.resume())
	case DiscoverySilent:
		r.discovery.silence()
	case MoveDiscovery:
		r.moveDiscovery()
	case RestartRouters:
		r.restartRouters(ctx, f.Count)
	case KillRouters:
		r.killAndRestartRouters(f.Count)
	case StallRouters:
		r.stallRouters(ctx, f.Count, f.Duration)
	case ThrottleRouters:
		r.throttleRouters(ctx, f.Count, f.Duration)
	case FloodRouters:
		r.floodRouters(ctx, f.Count, f.Duration)
	case PartitionZone:
		r.partitionZone(ctx, f.Duration)
	case Burst, Quiet:
		r.changeTrafficFor(ctx, f)
	}
}

// reportFaultError reports an error of the harness that prevented a fault from being injected.
func (r *run) reportFaultError(err error) {
	if err != nil {
		r.ledger.report(time.Now(), RuleNoCrash, "fault injection failed: %v", err)
	}
}

// rollServers drains servers, removes and stops them, and restarts them in slow start.
func (r *run) rollServers(ctx context.Context, count int) {
	servers := r.reserve(count, stateReady)
	defer r.release(servers...)
	r.announce(stateDraining, servers...)
	r.sleep(ctx, drainTime)
	r.announce(stateGone, servers...)
	for _, s := range servers {
		s.stop()
	}
	r.sleep(ctx, serverOffTime+time.Duration(r.randomFloat()*float64(maxReturnDelay)))
	var returning sync.WaitGroup
	for _, s := range servers {
		returning.Go(func() { r.restart(s) })
	}
	returning.Wait()
}

// drainAll drains all ready servers and makes them ready again without a restart.
func (r *run) drainAll(ctx context.Context, duration time.Duration) {
	servers := r.reserve(0, stateReady)
	defer r.release(servers...)
	r.announce(stateDraining, servers...)
	r.sleep(ctx, duration)
	r.announce(stateReady, servers...)
}

// crashServers stops servers without announcing it and restarts them later.
func (r *run) crashServers(ctx context.Context, count int, duration time.Duration) {
	servers := r.reserve(count, stateReady)
	defer r.release(servers...)
	for _, s := range servers {
		s.stop()
	}
	r.sleep(ctx, duration)
	var returning sync.WaitGroup
	for _, s := range servers {
		returning.Go(func() { r.restart(s) })
	}
	returning.Wait()
}

// replaceServers replaces servers by new ones, one at a time, spread evenly over a duration.
func (r *run) replaceServers(ctx context.Context, count int, duration time.Duration) {
	servers := r.reserve(count, stateReady)
	var removing sync.WaitGroup
	for _, s := range servers {
		r.restart(r.newServer(s.speed))
		r.announce(stateDraining, s)
		removing.Go(func() {
			r.sleep(ctx, drainTime)
			r.announce(stateGone, s)
			s.stop()
		})
		r.sleep(ctx, duration/time.Duration(len(servers)))
	}
	removing.Wait()
}

// moveDiscovery moves discovery to a new address, sometimes twice in a row, and makes the routers reload their configuration with
// SIGHUP.
func (r *run) moveDiscovery() {
	moves := 1
	if r.randomFloat() < 0.3 {
		moves = 2
	}
	for range moves {
		if err := r.discovery.move(); err != nil {
			r.reportFaultError(err)
			return
		}
		for _, router := range r.routers {
			if router.isReady() {
				r.reportFaultError(router.writeConfig(1))
				router.signal(syscall.SIGHUP)
			}
		}
	}
}

// restartRouters restarts routers one after the other. A router may get its SIGTERM while earlier ones are still stopping.
func (r *run) restartRouters(ctx context.Context, count int) {
	var restarting sync.WaitGroup
	for n := range min(count, len(r.routers)) {
		router := r.routers[n]
		if router.isReady() && !r.trafficEnded() {
			restarting.Go(func() { r.restartRouter(ctx, router) })
		}
		r.sleep(ctx, time.Duration(r.randomFloat()*float64(maxTermInterval)))
	}
	restarting.Wait()
}

// restartRouter stops a router while clients keep opening connections to it, and starts it again.
func (r *run) restartRouter(ctx context.Context, router *router) {
	if r.randomFloat() < 0.3 { // a SIGHUP shortly before the SIGTERM from stop, and another SIGTERM after it
		router.signal(syscall.SIGHUP)
		time.AfterFunc(stoppingDialGap, func() { router.signal(syscall.SIGTERM) })
	}
	var dials sync.WaitGroup
	dials.Go(func() { r.connectWhileStopping(router) })
	router.stop()
	dials.Wait()
	r.sleep(ctx, routerOffTime)
	if !r.trafficEnded() {
		r.reportFaultError(router.start())
	}
}

// connectWhileStopping opens connections to a stopping router for a while and sends one request on each.
func (r *run) connectWhileStopping(router *router) {
	for begin := time.Now(); time.Since(begin) < stoppingDialDuration; time.Sleep(stoppingDialGap) {
		random := newRandom(r.newRequestID(), "stopping")
		c := &client{run: r, random: random}
		r.goroutines.Go(func() {
			c.withConnection(router, func(cc *clientConn) { cc.sendRequest(r.drawRequest(random), 0) })
		})
	}
}

// killAndRestartRouters kills routers with SIGKILL, all at once, and starts them again.
func (r *run) killAndRestartRouters(count int) {
	var restarting sync.WaitGroup
	for _, router := range r.routers[:min(count, len(r.routers))] {
		if router.isReady() {
			restarting.Go(func() {
				router.kill()
				time.Sleep(routerOffTime)
				if !r.trafficEnded() {
					r.reportFaultError(router.start())
				}
			})
		}
	}
	restarting.Wait()
}

// stallRouters suspends the processes of routers for a duration.
func (r *run) stallRouters(ctx context.Context, count int, duration time.Duration) {
	stalled := r.routers[:min(count, len(r.routers))]
	from := time.Now()
	for _, router := range stalled {
		router.signal(syscall.SIGSTOP)
	}
	r.sleep(ctx, duration)
	for _, router := range stalled {
		router.signal(syscall.SIGCONT)
		r.ledger.stalls.add(stall{router.number, from, time.Now()})
	}
}

// throttleRouters suspends and resumes the processes of routers in short intervals, as if they had a fraction of a core.
func (r *run) throttleRouters(ctx context.Context, count int, duration time.Duration) {
	const runTime, stopTime = 25 * time.Millisecond, 75 * time.Millisecond
	throttled := r.routers[:min(count, len(r.routers))]
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		for _, router := range throttled {
			router.signal(syscall.SIGSTOP)
		}
		r.sleep(ctx, stopTime)
		for _, router := range throttled {
			router.signal(syscall.SIGCONT)
		}
		r.sleep(ctx, runTime)
	}
}

// hangServers makes servers withhold their responses for a duration.
func (r *run) hangServers(ctx context.Context, servers []*listedServer, duration time.Duration) {
	for _, s := range servers {
		s.hang(true)
	}
	r.sleep(ctx, duration)
	for _, s := range servers {
		s.hang(false)
	}
	r.release(servers...)
}

// partitionZone makes all servers of a random zone withhold their responses for a duration.
func (r *run) partitionZone(ctx context.Context, duration time.Duration) {
	zone := zoneName(int(r.randomFloat() * float64(r.scenario.Zones)))
	var zoneServers []*listedServer
	for _, s := range r.reserve(0, stateReady) {
		if s.zone == zone {
			zoneServers = append(zoneServers, s)
		} else {
			r.release(s)
		}
	}
	r.hangServers(ctx, zoneServers, duration)
}

// changeTrafficFor changes the request rate for the duration of a Burst or Quiet fault.
func (r *run) changeTrafficFor(ctx context.Context, f Fault) {
	factor := burstFactor
	if f.Kind == Quiet {
		factor = quietFactor
	}
	r.setTrafficFactor(factor)
	r.sleep(ctx, f.Duration)
	r.setTrafficFactor(1)
}
