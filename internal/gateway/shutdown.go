package gateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/rest"
)

// Times of a graceful shutdown; the others follow from the earliest kill (control.Deployment.EarliestKill). Requests keep coming on
// open connections.
const (
	// answerBeforeKill is kept free before the kill for answers that are due at the last moment, half of it for their way
	// out: some hundred writes on a small part of a core.
	answerBeforeKill = 100 * time.Millisecond
	// acceptConnectionsFor is for how long a stopping router accepts connections, to reject what they send: several times
	// what it takes to accept all that wait. Later ones are refused by the kernel, which proves that nothing ran.
	acceptConnectionsFor = 20 * time.Millisecond
)

// shutdownTimes are the times of a graceful shutdown, counted from the request to stop.
type shutdownTimes struct {
	readUntil time.Duration // until when requests are read from open connections, to reject them
	answerBy  time.Duration // when each request has its answer, however long it would take
	closeBy   time.Duration // when client connections that are still open are closed
}

// shutdownTimes returns the times that follow from the longest configured deadline.
func (c *Config) shutdownTimes() shutdownTimes {
	kill := duration(c.Deployment.EarliestKill())
	return shutdownTimes{
		readUntil: duration(control.KillAfter) - answerBeforeKill,
		answerBy:  kill - answerBeforeKill,
		closeBy:   kill - answerBeforeKill/2,
	}
}

// isStopping reports whether the gateway was asked to stop. It may be called from any goroutine.
func (g *Gateway) isStopping() bool { return g.stopRequestedAt.Load() != 0 }

// afterStop returns the time that lies d after the request to stop.
func (g *Gateway) afterStop(d time.Duration) time.Time {
	return g.loop.Time(control.Micros(g.stopRequestedAt.Load())).Add(d)
}

// beginStop marks the gateway as stopping: it accepts connections for acceptConnectionsFor more, and no requests.
func (g *Gateway) beginStop() {
	g.stopping = true
	g.ready.Store(false)
	g.stopRequestedAt.Store(int64(g.loop.Now()))
	times := g.config.shutdownTimes()
	g.log.Info().Int("requests", len(g.requests)).Dur("at_most_ms", times.closeBy).Msg("stopping: no new requests are accepted")
	for _, l := range g.listeners {
		l.(*net.TCPListener).SetDeadline(time.Now().Add(acceptConnectionsFor))
	}
	g.clientConns.Range(func(c, _ any) bool {
		c.(*rest.Conn).SetIdleDeadline(g.afterStop(times.readUntil))
		return true
	})
}

// answerOpen answers every request in flight: the kill would leave it without an answer.
func (g *Gateway) answerOpen(now control.Micros) {
	for _, id := range slices.Sorted(maps.Keys(g.requests)) {
		req := g.requests[id]
		if req.answer.Decided {
			continue
		}
		g.core.Cancel(now, id)
		mayHaveRun := slices.ContainsFunc(req.attempts, func(call *serverCall) bool {
			return call == nil || !call.withdraw() && attempt.Stage(call.stage.Load()) == attempt.Writing
		})
		if g.config.Deployment.Classes[req.pattern.Class].RejectedByStop(mayHaveRun) {
			g.finish(req, answerRejected, rejection(reasonStopping, g.config.Deployment.MaxRetryAfter))
		} else {
			g.finish(req, answerFailed, failure(reasonStopping))
		}
	}
}

// cancelLoadCommands stops waiting for answers to load commands: with no request in flight they are of no use here.
func (g *Gateway) cancelLoadCommands() {
	for _, pool := range g.pools {
		for call := range pool.open {
			if call.request == nil {
				call.abandon()
			}
		}
	}
}

// closeAll ends everything after the last step: what goes on in the background, the recording, and all connections.
// Clients that have read their answers close by themselves; those that have not by closeBy are closed.
func (g *Gateway) closeAll(stopBackground context.CancelFunc) {
	if g.state != nil {
		g.state.finalState = g.learnedState(g.loop.Now())
		if g.state.historyTally != nil {
			g.state.finalHistory = g.state.historyTally.Drain()
		}
	}
	close(g.loopEnded)
	stopBackground()
	if g.recordWriter != nil {
		g.core.SetRecorder(nil)
		g.recorder = nil
		g.recordWriter.Close()
		g.log.Info().Int64("bytes", g.recordWriter.WrittenBytes()).Int64("lost_turns", g.recordWriter.LostSteps()).
			Msg("recording ended")
	}
	g.closePools()
	ended := make(chan struct{})
	go func() {
		g.background.Wait()
		g.clientReaders.Wait()
		g.serverConns.Wait()
		close(ended)
	}()
	timer := time.NewTimer(time.Until(g.afterStop(g.config.shutdownTimes().closeBy)))
	defer timer.Stop()
	select {
	case <-ended:
		return
	case <-timer.C:
	}
	closed := 0
	g.clientConns.Range(func(c, _ any) bool {
		closed++
		c.(*rest.Conn).Close()
		return true
	})
	<-ended
	if closed > 0 {
		g.log.Warn().Int("connections", closed).Msg("closed client connections that were still open")
	}
}
