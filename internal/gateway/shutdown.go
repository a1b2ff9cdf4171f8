package gateway

import (
	"context"
	"net"
	"slices"
	"time"

	"hollymast/control"
	"hollymast/internal/rest"
)

// What a stopping router may rely on: SIGKILL comes no sooner after SIGTERM than the deployment's longest deadline, counted as
// deadlineMost at most, and killAfter. Requests keep coming on open connections; all its times follow from these.
const (
	maxCountedDeadline = 3 * time.Second
	killAfter          = 700 * time.Millisecond
	// lastAnswers is kept free before the kill for answers that are due at the last moment, half of it for their way out: some
	// hundred writes on a small part of a core.
	answerBeforeKill = 100 * time.Millisecond
	// lastAccepts is for how long a stopping router takes connections, to push back what they ask: several times what it takes
	// to accept all that wait. Later ones are refused, which proves that nothing ran.
	acceptConnectionsFor = 20 * time.Millisecond
)

// stopTimes are a stopping router's, from when it was told to stop.
type shutdownTimes struct {
	readUntil time.Duration // until when a request is awaited on an open connection, to push it back
	answerBy  time.Duration // when each job has its answer, however long it would take
	closeBy   time.Duration // when clients that don't read or go are closed
}

// stopTimes gives the times that follow from the longest time limit.
func (c *Config) shutdownTimes() shutdownTimes {
	longest := control.Micros(0)
	for _, class := range c.Deployment.Classes {
		longest = max(longest, class.MaxDeadline)
	}
	killed := min(duration(longest), maxCountedDeadline) + killAfter
	return shutdownTimes{readUntil: killAfter - answerBeforeKill, answerBy: killed - answerBeforeKill, closeBy: killed - answerBeforeKill/2}
}

func (g *Gateway) isStopping() bool { return g.stopRequestedAt.Load() != 0 }

// sinceStop gives when so much of the stop will be over.
func (g *Gateway) afterStop(d time.Duration) time.Time {
	return g.startedAt.Add(duration(control.Micros(g.stopRequestedAt.Load())-g.epoch) + d)
}

func (g *Gateway) beginStop() {
	g.stopping = true
	g.ready.Store(false)
	g.stopRequestedAt.Store(int64(g.now()))
	times := g.config.shutdownTimes()
	g.log.Info().Int("jobs", len(g.requests)).Dur("at_most_ms", times.closeBy).Msg("stopping: no new jobs are taken")
	for _, l := range g.listeners {
		l.(*net.TCPListener).SetDeadline(time.Now().Add(acceptConnectionsFor))
	}
	g.clientConns.Range(func(c, _ any) bool {
		c.(*rest.Conn).SetIdleDeadline(g.afterStop(times.readUntil))
		return true
	})
}

// answerAll gives each job in hand the answer that promises nothing: the process may be killed before its own time is up.
func (g *Gateway) answerOpen(now control.Micros) {
	var ids []control.RequestID
	for id := range g.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if req := g.requests[id]; !req.answer.Given {
			g.core.Cancel(now, id)
			g.finish(req, "killed", failure("this router is stopping"))
		}
	}
}

// dropOrders stops waiting for answers to orders: with no job in hand they serve nobody here.
func (g *Gateway) cancelLoadCommands() {
	for _, pool := range g.pools {
		for call := range pool.open {
			if call.request == nil {
				call.abandon()
			}
		}
	}
}

func (g *Gateway) closeAll(stop context.CancelFunc) error {
	if g.state != nil {
		g.state.finalState = g.learnedState(g.now())
		if g.state.historyTally != nil {
			g.state.finalHistory = g.state.historyTally.Drain()
		}
	}
	close(g.loopEnded)
	stop()
	if g.recordWriter != nil {
		g.core.SetRecorder(nil)
		g.recorder = nil
		g.recordWriter.Close()
		g.log.Info().Int64("bytes", g.recordWriter.WrittenBytes()).Int64("lost_turns", g.recordWriter.LostSteps()).Msg("recording ended")
	}
	g.closePools()
	settled := make(chan struct{})
	go func() {
		g.background.Wait()
		g.clientReaders.Wait()
		g.serverConns.Wait()
		close(settled)
	}()
	// Answers are written; only those who may still ask are left, and slow readers.
	timer := time.NewTimer(time.Until(g.afterStop(g.config.shutdownTimes().closeBy)))
	defer timer.Stop()
	select {
	case <-settled:
		return nil
	case <-timer.C:
	}
	n := 0
	g.clientConns.Range(func(c, _ any) bool {
		n++
		c.(*rest.Conn).Close()
		return true
	})
	<-settled
	if n > 0 {
		g.log.Warn().Int("connections", n).Msg("closed on clients that did not read or go")
	}
	return nil
}
