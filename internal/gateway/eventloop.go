package gateway

import (
	"context"
	"time"

	"hollymast/control"
)

// Serve runs the event loop until ctx ends, and then the graceful shutdown: it accepts no more requests, answers every
// request in flight, and returns once each connection has ended. The error is nil.
func (g *Gateway) Serve(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	g.startBackground(background)
	defer g.loop.StopTimer()
	g.runEventLoop(ctx.Done())
	g.log.Info().Msg("no request is in flight any more")
	g.closeAll(stop)
	return nil
}

// startBackground starts the goroutines that feed the event loop and store what it learns. They end with ctx, or after
// the last step.
func (g *Gateway) startBackground(ctx context.Context) {
	g.watchCertStores(ctx)
	if g.loadReporter != nil {
		g.background.Go(func() { g.reportLoads(ctx) })
	}
	for i, l := range g.listeners {
		role := clientListener
		if i > 0 {
			role = adminListener
		}
		g.background.Go(func() { g.accept(ctx, l, role) })
	}
	g.background.Go(func() { g.followEndpoints(ctx) })
	if g.state != nil {
		g.background.Go(func() { g.state.run(g) })
		if g.state.historyTally != nil {
			g.background.Go(func() { g.state.runHistory(g) })
		}
	}
	if g.view != nil {
		g.background.Go(g.publishView)
	}
}

// runEventLoop runs the event loop until the gateway was asked to stop and nothing is in flight.
func (g *Gateway) runEventLoop(stopRequested <-chan struct{}) {
	var answerDue <-chan time.Time // when every request is to have its answer
	g.step(g.loop.Now(), nil)
	for {
		select {
		case <-g.loop.Ready():
		case <-g.loop.Timer():
		case <-stopRequested:
			stopRequested = nil
			g.beginStop()
			answerDue = time.After(g.config.shutdownTimes().answerBy)
		case <-answerDue:
			g.loop.Post(g.answerOpen)
		}
		if late, stalled := g.loop.Stalled(); stalled {
			g.handleStall(late)
		}
		g.readEndpoints()
		batch := g.loop.Drain()
		g.step(g.loop.Now(), batch)
		if g.stopping && len(g.requests) == 0 {
			if g.openLoadCommands == 0 {
				return
			}
			g.cancelLoadCommands()
		}
	}
}

// handleStall logs that the process was stalled. late is by how much a step comes after its timer.
func (g *Gateway) handleStall(late control.Micros) {
	g.log.Warn().Int64("late_us", int64(late)).Msg("the process was stalled")
	if g.overload != nil {
		g.overload.RecordStall(g.loop.Now(), late)
	}
}

// readEndpoints makes the next step handle everything that the endpoints' source has announced. It runs before the event
// batch is taken: wherever the process stalls, the step's choices are no newer than its endpoint list.
func (g *Gateway) readEndpoints() {
	if g.readRequested.Swap(false) {
		g.loop.RequireEndpointsRead()
	}
	g.loop.ReadEndpoints(func() (asOf control.Micros) {
		asOf = g.loop.Now()
		g.awaitSourceRead()
		return asOf
	})
	// Read before the batch is taken, which so holds everything up to then.
	g.loop.EndpointsCompleteAsOf = control.Micros(g.sourceCompleteAsOf.Load())
}

// awaitSourceRead waits until the endpoints' source was read. A source that does not answer within a quarter of the
// grace period counts as unreachable: the router goes on with the list that it has, and requests no other read before
// that one has ended.
func (g *Gateway) awaitSourceRead() {
	if g.pendingRead != nil {
		select {
		case <-g.pendingRead:
		default:
			return
		}
	}
	g.pendingRead = make(chan struct{})
	g.sourceReads <- g.pendingRead // has room: the read before has ended
	timer := time.NewTimer(g.config.GracePeriod / 4)
	defer timer.Stop()
	select {
	case <-g.pendingRead:
	case <-timer.C:
	}
}

// step handles a batch of events and lets the core decide on them.
func (g *Gateway) step(now control.Micros, events []func(control.Micros)) {
	begun := time.Now()
	g.loop.Step(now, events, g.fleet, g.core)
	for _, f := range g.afterStepFuncs {
		f(now)
	}
	clear(g.afterStepFuncs)
	g.afterStepFuncs = g.afterStepFuncs[:0]
	g.prune(now)
	g.logOverload()
	g.metrics.stepSeconds.Observe(time.Since(begun).Seconds())
	g.metrics.inFlight.Set(float64(len(g.requests)))
	g.metrics.held.Set(float64(g.core.Held()))
}

// afterStep has a function called right after the next step, when no event waits for the core's decision.
func (g *Gateway) afterStep(f func(now control.Micros)) {
	g.loop.Post(func(control.Micros) { g.afterStepFuncs = append(g.afterStepFuncs, f) })
}

// SetTimer sets the one timer, replacing its time.
func (g *Gateway) SetTimer(at control.Micros) { g.loop.SetTimer(at) }
