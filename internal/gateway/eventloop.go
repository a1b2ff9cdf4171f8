package gateway

import (
	"context"
	"hollymast/control"
	"hollymast/internal/attempt"
	"time"
)

// Serve routes until the context ends; then it stops taking jobs, gives each one in hand its answer within its own
// limits, and returns. A nil error means that none was left.
func (g *Gateway) Serve(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	g.serveContext = serving
	g.watchCertStores(serving)
	if g.loadReporter != nil {
		g.background.Add(1)
		go func() {
			defer g.background.Done()
			g.reportLoads(serving)
		}()
	}
	for i, l := range g.listeners {
		g.background.Add(1)
		go func() {
			defer g.background.Done()
			g.accept(l, i > 0)
		}()
	}
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		g.followEndpoints(serving)
	}()
	if g.state != nil {
		g.background.Add(1)
		go func() {
			defer g.background.Done()
			g.state.run(g)
		}()
		if g.state.historyTally != nil {
			g.background.Add(1)
			go func() {
				defer g.background.Done()
				g.state.runHistory(g)
			}()
		}
	}
	if g.view != nil {
		g.background.Add(1)
		go func() {
			defer g.background.Done()
			g.publishView()
		}()
	}
	g.timer = time.NewTimer(time.Hour)
	defer g.timer.Stop()
	done := ctx.Done()
	var last <-chan time.Time // when all jobs are to have their answers
	var batch []func(control.Micros)
	g.step(g.now(), nil)
	for {
		select {
		case <-g.queue.Ready():
		case <-g.timer.C:
		case <-done:
			done = nil
			g.beginStop()
			last = time.After(g.config.shutdownTimes().answerBy)
		case <-last:
			g.post(g.answerOpen)
		}
		g.logStall(g.now() - g.timerAt)
		g.readEndpoints()
		batch = g.queue.Drain(batch)
		g.step(g.now(), batch)
		if g.stopping && len(g.requests) == 0 {
			if g.openLoadCommands == 0 {
				break
			}
			g.cancelLoadCommands()
		}
	}
	g.log.Info().Msg("no job is left in hand")
	return g.closeAll(stop)
}

// noteStop tells of a time in which this process was stopped.
func (g *Gateway) logStall(late control.Micros) {
	if !attempt.Stalled(late, micros(g.config.GracePeriod)) {
		return
	}
	g.log.Warn().Int64("late_us", int64(late)).Msg("the router stood still")
	if g.overload != nil {
		g.overload.RecordStall(g.now(), late)
	}
}

// catchUp has all that the list's source told taken in by the turn that comes next.
func (g *Gateway) readEndpoints() {
	asOf := g.now()
	if g.readRequested.Swap(false) || attempt.MustReadEndpoints(asOf-g.endpointsAsOf, micros(g.config.GracePeriod)) {
		g.awaitSourceRead()
		g.endpointsAsOf = asOf
	}
	g.endpointsCompleteAsOf = control.Micros(g.sourceCompleteAsOf.Load()) // before the batch is taken: it holds all told by then
}

// look waits until the list's source was looked at. A source that gives no word for a quarter of the grace counts as one that
// can't be reached: the router goes on with what it knows, and waits for no other look before that one has ended.
func (g *Gateway) awaitSourceRead() {
	if g.pendingRead != nil {
		select {
		case <-g.pendingRead:
		default:
			return
		}
	}
	g.pendingRead = make(chan struct{})
	g.sourceReads <- g.pendingRead // has room: the look before has ended
	timer := time.NewTimer(g.config.GracePeriod / 4)
	defer timer.Stop()
	select {
	case <-g.pendingRead:
	case <-timer.C:
	}
}

func (g *Gateway) step(now control.Micros, events []func(control.Micros)) {
	begun := time.Now()
	g.stepTime = now
	for _, f := range events {
		f(now)
	}
	g.fleet.SetCompleteAsOf(g.endpointsCompleteAsOf)
	g.core.Step(now)
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

// afterTurn has a function called right after the next turn, when no news waits for its decisions.
func (g *Gateway) afterStep(f func(now control.Micros)) {
	g.post(func(control.Micros) { g.afterStepFuncs = append(g.afterStepFuncs, f) })
}

// SetTimer sets the one timer.
func (g *Gateway) SetTimer(at control.Micros) {
	g.timerAt = at
	g.timer.Reset(time.Duration(max(0, at-g.now())) * time.Microsecond)
}
