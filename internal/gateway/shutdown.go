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

// Durations of a graceful shutdown. The others follow from the earliest time of the kill
// (control.Deployment.EarliestKill). During a shutdown, requests keep arriving on open connections.
const (
	// answerBeforeKill is the time between the last answers and the kill. Half of it is for writing these answers: some
	// hundred writes on a small share of a core.
	answerBeforeKill = 100 * time.Millisecond
	// acceptConnectionsFor is how long a stopping router accepts connections, to reject their requests: several times
	// what it takes to accept all pending ones. The kernel refuses later ones, which proves to their clients that
	// nothing ran.
	acceptConnectionsFor = 20 * time.Millisecond
)

// shutdownTimes are the times of a graceful shutdown, relative to the request to stop.
type shutdownTimes struct {
	readUntil time.Duration // latest time to read requests from open connections, to reject them
	answerBy  time.Duration // when all open requests are answered, finished or not
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

// isStopping reports whether the gateway was asked to stop. Any goroutine may call it.
func (g *Gateway) isStopping() bool { return g.stopRequestedAt.Load() != 0 }

// afterStop returns the time d after the request to stop.
func (g *Gateway) afterStop(d time.Duration) time.Time {
	return g.loop.Time(control.Micros(g.stopRequestedAt.Load())).Add(d)
}

// beginStop begins the shutdown: from now on the gateway accepts no requests, and after acceptConnectionsFor no
// connections.
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

// answerAllInFlight answers every request in flight, since the process may be killed before they finish.
func (g *Gateway) answerAllInFlight(now control.Micros) {
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

// cancelLoadCommands abandons all load commands in flight. It is called when no request is left that could use their
// results.
func (g *Gateway) cancelLoadCommands() {
	for _, pool := range g.pools {
		for call := range pool.inFlight {
			if call.request == nil {
				call.abandon()
			}
		}
	}
}

// closeAll ends the background goroutines, the recording and all connections after the last step. It gives clients
// until closeBy to read their answers and close their connections, and then closes those that are still open.
func (g *Gateway) closeAll(stopBackground context.CancelFunc) {
	if g.state != nil {
		g.state.finalState = g.learnedState(g.loop.Now())
		if g.state.historyCollector != nil {
			g.state.finalHistory = g.state.historyCollector.Drain()
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
