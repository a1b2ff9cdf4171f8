package soak

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// Times of faults.
const (
	drainTime       = 5 * time.Second // from the announcement of a drain to the removal
	offTime         = 500 * time.Millisecond
	returnLate      = 1200 * time.Millisecond // by how much at most a rolled server's return is put off
	routerOffTime   = 300 * time.Millisecond
	termInterval    = 1500 * time.Millisecond // between the signals of a series at most
	burstFactor     = 2.5
	quietFactor     = 0.03
	stoppingDials   = 400 * time.Millisecond // for which new connections come to a router that stops
	stoppingDialGap = 100 * time.Millisecond
)

// inject carries out a fault, to its end.
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
		r.hangServers(ctx, r.take(f.Count, stateReady), f.Duration)
	case ResetConns:
		servers := r.take(f.Count, stateReady)
		for _, s := range servers {
			s.resetConns()
		}
		r.giveBack(servers...)
	case DisruptResponses:
		r.losingAnswers.Store(true)
		r.sleep(ctx, f.Duration)
		r.losingAnswers.Store(false)
	case DiscoveryDown:
		r.discovery.breakOff()
		r.sleep(ctx, f.Duration)
		r.noteFault(r.discovery.resume())
	case DiscoverySilent:
		r.discovery.silence()
	case MoveDiscovery:
		r.moveDiscovery()
	case RestartRouters:
		r.restartRouters(ctx, f.Count)
	case KillRouters:
		r.killSome(f.Count)
	case StallRouters:
		r.stallRouters(ctx, f.Count, f.Duration)
	case ThrottleRouters:
		r.throttleRouters(ctx, f.Count, f.Duration)
	case PartitionZone:
		r.partitionZone(ctx, f.Duration)
	case Burst, Quiet:
		r.changeTraffic(ctx, f)
	}
}

// noteFault reports what kept this process from playing a fault.
func (r *run) noteFault(err error) {
	if err != nil {
		r.ledger.report(time.Now(), RuleNoCrash, "the run itself: %v", err)
	}
}

// rollServers drains servers, removes and stops them, and has them back in slow start.
func (r *run) rollServers(ctx context.Context, count int) {
	servers := r.take(count, stateReady)
	defer r.giveBack(servers...)
	r.announce(stateDraining, servers...)
	r.sleep(ctx, drainTime)
	r.announce(stateGone, servers...)
	for _, s := range servers {
		s.stop()
	}
	r.sleep(ctx, offTime+time.Duration(r.chance()*float64(returnLate)))
	var returning sync.WaitGroup
	for _, s := range servers {
		returning.Go(func() { r.restart(s) })
	}
	returning.Wait()
}

// drainAll drains all ready servers, and ends that without a restart.
func (r *run) drainAll(ctx context.Context, span time.Duration) {
	servers := r.take(0, stateReady)
	defer r.giveBack(servers...)
	r.announce(stateDraining, servers...)
	r.sleep(ctx, span)
	r.announce(stateReady, servers...)
}

// crashServers ends servers without a word; they start again later.
func (r *run) crashServers(ctx context.Context, count int, span time.Duration) {
	servers := r.take(count, stateReady)
	defer r.giveBack(servers...)
	for _, s := range servers {
		s.stop()
	}
	r.sleep(ctx, span)
	var returning sync.WaitGroup
	for _, s := range servers {
		returning.Go(func() { r.restart(s) })
	}
	returning.Wait()
}

// replaceServers replaces servers by new ones, evenly over a span.
func (r *run) replaceServers(ctx context.Context, count int, span time.Duration) {
	servers := r.take(count, stateReady)
	var removing sync.WaitGroup
	for _, s := range servers {
		r.restart(r.newServer(s.speed))
		r.announce(stateDraining, s)
		removing.Go(func() {
			r.sleep(ctx, drainTime)
			r.announce(stateGone, s)
			s.stop()
		})
		r.sleep(ctx, span/time.Duration(len(servers)))
	}
	removing.Wait()
}

// moveDiscovery moves discovery and tells all routers by SIGHUP, twice in a row now and then.
func (r *run) moveDiscovery() {
	moves := 1
	if r.chance() < 0.3 {
		moves = 2
	}
	for range moves {
		if err := r.discovery.move(); err != nil {
			r.noteFault(err)
			return
		}
		for _, router := range r.routers {
			if router.isReady() {
				r.noteFault(router.writeConfig(1))
				router.signal(syscall.SIGHUP)
			}
		}
	}
}

// restartRouters stops routers in a series, kills what is left, and starts them again. Signals overlap.
func (r *run) restartRouters(ctx context.Context, count int) {
	var restarting sync.WaitGroup
	for n := range min(count, len(r.routers)) {
		router := r.routers[n]
		if router.isReady() && !r.trafficOver() {
			restarting.Go(func() { r.restartRouter(ctx, router) })
		}
		r.sleep(ctx, time.Duration(r.chance()*float64(termInterval)))
	}
	restarting.Wait()
}

// restartRouter stops a router, with new connections coming for a while, and starts it again.
func (r *run) restartRouter(ctx context.Context, router *router) {
	if r.chance() < 0.3 { // a signal before, and one after
		router.signal(syscall.SIGHUP)
		time.AfterFunc(stoppingDialGap, func() { router.signal(syscall.SIGTERM) })
	}
	var dialing sync.WaitGroup
	dialing.Go(func() { r.connectWhileStopping(router) })
	router.stop()
	dialing.Wait()
	r.sleep(ctx, routerOffTime)
	if !r.trafficOver() {
		r.noteFault(router.start())
	}
}

// connectWhileStopping opens new connections to a router that stops, with a request each, until its end.
func (r *run) connectWhileStopping(router *router) {
	for begin := time.Now(); time.Since(begin) < stoppingDials; time.Sleep(stoppingDialGap) {
		random := newRandom(r.newRequestID(), "stopping")
		c := &client{run: r, random: random}
		r.goes.Go(func() {
			c.converse(router, func(cc *clientConn) { cc.sendRequest(r.drawRequest(random), 0) })
		})
	}
}

// killSome kills routers outright, all at once, and starts them again.
func (r *run) killSome(count int) {
	var restarting sync.WaitGroup
	for _, router := range r.routers[:min(count, len(r.routers))] {
		if router.isReady() {
			restarting.Go(func() {
				router.kill()
				time.Sleep(routerOffTime)
				if !r.trafficOver() {
					r.noteFault(router.start())
				}
			})
		}
	}
	restarting.Wait()
}

// stallRouters stops the processes of routers for a while.
func (r *run) stallRouters(ctx context.Context, count int, span time.Duration) {
	stalled := r.routers[:min(count, len(r.routers))]
	from := time.Now()
	for _, router := range stalled {
		router.signal(syscall.SIGSTOP)
	}
	r.sleep(ctx, span)
	for _, router := range stalled {
		router.signal(syscall.SIGCONT)
		r.ledger.stalls.add(stall{router.number, from, time.Now()})
	}
}

// throttleRouters lets the processes of routers run for a part of the time only, as on a share of a core.
func (r *run) throttleRouters(ctx context.Context, count int, span time.Duration) {
	const runs, stopped = 25 * time.Millisecond, 75 * time.Millisecond
	throttled := r.routers[:min(count, len(r.routers))]
	for end := time.Now().Add(span); time.Now().Before(end) && ctx.Err() == nil; {
		for _, router := range throttled {
			router.signal(syscall.SIGSTOP)
		}
		r.sleep(ctx, stopped)
		for _, router := range throttled {
			router.signal(syscall.SIGCONT)
		}
		r.sleep(ctx, runs)
	}
}

// hangServers keeps servers from answering for a while.
func (r *run) hangServers(ctx context.Context, servers []*serverSlot, span time.Duration) {
	for _, s := range servers {
		s.hang(true)
	}
	r.sleep(ctx, span)
	for _, s := range servers {
		s.hang(false)
	}
	r.giveBack(servers...)
}

// partitionZone keeps all servers of a zone from answering for a while.
func (r *run) partitionZone(ctx context.Context, span time.Duration) {
	zone := zoneName(int(r.chance() * float64(r.scenario.Zones)))
	var cut []*serverSlot
	for _, s := range r.take(0, stateReady) {
		if s.zone == zone {
			cut = append(cut, s)
		} else {
			r.giveBack(s)
		}
	}
	r.hangServers(ctx, cut, span)
}

// changeTraffic changes the request rate for a while.
func (r *run) changeTraffic(ctx context.Context, f Fault) {
	factor := burstFactor
	if f.Kind == Quiet {
		factor = quietFactor
	}
	r.setTraffic(factor)
	r.sleep(ctx, f.Duration)
	r.setTraffic(1)
}
