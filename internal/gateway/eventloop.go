package gateway

import (
	"context"
	"time"

	"hollymast/control"
)

// Serve runs the event loop until ctx ends, and then shuts down gracefully: it accepts no more requests, answers every
// request in flight, and returns once every connection has ended. The error is always nil.
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

// startBackground starts the goroutines that accept clients, follow the endpoint source, and persist and publish state.
// They end with ctx, or after the last step.
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
		if g.state.historyCollector != nil {
			g.background.Go(func() { g.state.runHistory(g) })
		}
	}
	if g.view != nil {
		g.background.Go(g.publishView)
	}
}

// runEventLoop runs the event loop until the gateway was asked to stop and no request is in flight.
func (g *Gateway) runEventLoop(stopRequested <-chan struct{}) {
	var answerDeadline <-chan time.Time // fires when every open request must be answered
	g.step(g.loop.Now(), nil)
	for {
		select {
		case <-g.loop.Ready():
		case <-g.loop.Timer():
		case <-stopRequested:
			stopRequested = nil
			g.beginStop()
			answerDeadline = time.After(g.config.shutdownTimes().answerBy)
		case <-answerDeadline:
			g.loop.Post(g.answerAllInFlight)
		}
		if delay, stalled := g.loop.Stalled(); stalled {
			g.handleStall(delay)
		}
		g.readEndpoints()
		batch := g.loop.Drain()
		g.step(g.loop.Now(), batch)
		if g.stopping && len(g.requests) == 0 {
			if g.loadCommandsInFlight == 0 {
				return
			}
			g.cancelLoadCommands()
		}
	}
}

// handleStall logs that the process was stalled; delay is the time since the timer was due.
func (g *Gateway) handleStall(delay control.Micros) {
	g.log.Warn().Int64("late_us", int64(delay)).Msg("the process was stalled")
	if g.overload != nil {
		g.overload.RecordStall(g.loop.Now(), delay)
	}
}

// readEndpoints makes the next step handle everything that the endpoint source has announced, unless the list is recent
// enough. It must run before the event batch is drained: then the step's choices are based on that list, wherever the
// process stalls.
func (g *Gateway) readEndpoints() {
	if g.readRequested.Swap(false) {
		g.loop.RequireEndpointsRead()
	}
	g.loop.ReadEndpoints(func() (asOf control.Micros) {
		asOf = g.loop.Now()
		g.awaitSourceRead()
		return asOf
	})
	// Loaded before the batch is drained, so that the batch contains every update up to that time.
	g.loop.EndpointsCompleteAsOf = control.Micros(g.sourceCompleteAsOf.Load())
}

// awaitSourceRead waits until the endpoint source was read. If that takes longer than a quarter of the grace period,
// the source counts as unreachable: the router continues with the list that it has, and requests no other read before
// this one ends.
func (g *Gateway) awaitSourceRead() {
	if g.pendingRead != nil {
		select {
		case <-g.pendingRead:
		default:
			return
		}
	}
	g.pendingRead = make(chan struct{})
	g.sourceReads <- g.pendingRead // does not block: the previous read has ended
	timer := time.NewTimer(g.config.GracePeriod / 4)
	defer timer.Stop()
	select {
	case <-g.pendingRead:
	case <-timer.C:
	}
}

// step handles a batch of events, lets the core decide on them, and does the work that is due after each step.
func (g *Gateway) step(now control.Micros, events []func(control.Micros)) {
	start := time.Now()
	g.loop.Step(now, events, g.fleet, g.core)
	for _, f := range g.afterStepFuncs {
		f(now)
	}
	clear(g.afterStepFuncs)
	g.afterStepFuncs = g.afterStepFuncs[:0]
	g.prune(now)
	g.logOverload()
	g.metrics.stepSeconds.Observe(time.Since(start).Seconds())
	g.metrics.inFlight.Set(float64(len(g.requests)))
	g.metrics.held.Set(float64(g.core.Held()))
}

// afterStep schedules a function to be called right after the next step, when the core has decided on all events.
func (g *Gateway) afterStep(f func(now control.Micros)) {
	g.loop.Post(func(control.Micros) { g.afterStepFuncs = append(g.afterStepFuncs, f) })
}

// SetTimer sets the event loop's only timer, replacing its previous time.
func (g *Gateway) SetTimer(at control.Micros) { g.loop.SetTimer(at) }
