package chaostest

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
)

// Churn describes a sequence of changes of the endpoint list that a fake control plane sends to one router under load.
type Churn struct {
	Seed          uint64
	Changes       int
	Interval      time.Duration // between two changes, on average
	Rate          int           // requests per second
	Workers       int
	Delta         bool          // the incremental variant of xDS
	DropStreams   bool          // the control plane drops its streams occasionally
	LoseEndpoints bool          // the control plane publishes an empty list after a third of the changes, and half of the list after two thirds
	TLS           bool          // all connections use TLS, and certificates are rotated during the run
	PublishDelay  time.Duration // by which updates are sent later than the log records, to check that RunChurn measures it
}

// Settings of the fake servers. They are fast, so that each of them receives requests all the time.
const (
	churnFunctions     = 12
	churnReplicas      = 60
	churnCores         = 4
	churnExecutionTime = 10 * time.Millisecond
	churnQueue         = 100
	churnLoadTime      = 10 * time.Millisecond
	churnLoads         = 8
	churnFetchTime     = 5 * time.Millisecond
)

// Settings of the changes.
const (
	// minRemovalTime is the minimum time for which a server is removed: long enough to see what reaches it after drainGrace.
	minRemovalTime = 700 * time.Millisecond
	// endpointLossTime is how long the control plane publishes an incomplete list.
	endpointLossTime = 3 * time.Second
	// changesPerStreamDrop is the mean number of changes per drop of the streams.
	changesPerStreamDrop = 50
	// removedDivisor limits how many servers are removed at a time: the number of servers divided by it.
	removedDivisor = 3
)

// RunChurn starts a router from the given executable, makes the changes and measures how soon the router follows them. Everything
// that it starts has ended when it returns.
func RunChurn(ctx context.Context, c Churn, program string) (*ChurnResult, error) {
	dir, err := os.MkdirTemp("", "hmchaos-changes-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	h := &harness{scenario: c.scenario(), dir: dir, program: program, log: invariant.NewLog(), store: fakeserver.NewStore(churnFetchTime, storeConcurrency)}
	ctx, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		h.certificates.wait()
	}()
	defer h.stopAll()
	if err := h.startChurn(ctx, c); err != nil {
		return nil, err
	}
	h.driveChurn(ctx, c)
	h.pools[0].close()
	if err := h.routers[0].stop(syscall.SIGTERM); err != nil {
		return nil, err
	}
	if err := errors.Join(h.err, ctx.Err()); err != nil {
		return nil, err
	}
	return h.churnResult(), nil
}

// scenario returns the scenario that sets the load and the router's configuration.
func (c Churn) scenario() *Scenario {
	length := time.Duration(c.Changes) * c.Interval
	s := &Scenario{Seed: c.Seed, Calls: int(length.Seconds() * float64(c.Rate)), Length: length, Routers: 1, Workers: c.Workers, Functions: churnFunctions,
		TLS: c.TLS, EndpointSource: SourceXDS}
	if c.Delta {
		s.EndpointSource = SourceXDSDelta
	}
	return s
}

// startChurn starts the servers, the control plane and the router.
func (h *harness) startChurn(ctx context.Context, c Churn) error {
	if err := h.prepare(ctx); err != nil {
		return err
	}
	for i := range c.Workers {
		config := fakeserver.Config{Number: i, MaxReplicas: churnReplicas, Lanes: serverLanes, Cores: churnCores, ExecutionTime: churnExecutionTime,
			QueueLimit: churnQueue, LoadTime: churnLoadTime, MaxConcurrentLoads: churnLoads, DedupWindow: dedupWindow, KeepAlive: keepAlive, Seed: c.Seed}
		if err := h.startServer(config); err != nil {
			return err
		}
	}
	h.controlPlane.Update(h.clusters(h.states))
	h.controlPlane.SetDelay(c.PublishDelay)
	if err := h.startRouter(0); err != nil {
		return err
	}
	return h.routers[0].awaitReady(ctx)
}

// driveChurn makes the calls and the changes, and returns when all of them have finished.
func (h *harness) driveChurn(ctx context.Context, c Churn) {
	h.startedAt = time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { h.applyChanges(ctx, c) })
	certCtx, stopRotation := context.WithCancel(ctx)
	defer stopRotation()
	rotated := h.startRotation(certCtx, rotation{seed: c.Seed, revokeWorker: true})
	for _, call := range h.scenario.schedule() {
		if h.waitUntil(ctx, call.at) != nil {
			break
		}
		wg.Go(func() { h.perform(ctx, call) })
	}
	wg.Wait()
	stopRotation()
	if err := <-rotated; err != nil && ctx.Err() == nil {
		h.recordError(err)
	}
}

// applyChanges makes the changes: a server starts to drain, is withdrawn, or becomes ready again. At least two thirds of the
// servers stay ready. The order of the draws from the generator is fixed, so that the same seed gives the same changes as long as
// the times between them are the same.
func (h *harness) applyChanges(ctx context.Context, c Churn) {
	random := rand.New(rand.NewPCG(c.Seed, 2))
	removedAt := map[int]time.Duration{} // by server that is removed at present
	for n := range c.Changes {
		if h.waitUntil(ctx, time.Duration(n)*c.Interval+time.Duration(random.Int64N(int64(c.Interval)))) != nil {
			return
		}
		now := time.Since(h.startedAt)
		if c.LoseEndpoints && h.loseEndpoints(ctx, n, c.Changes) != nil {
			return
		}
		server := random.IntN(len(h.states))
		if c.TLS && server == 0 { // the rotation of certificates removes and restores this one
			continue
		}
		mayReturn := func(server int) bool {
			at, removed := removedAt[server]
			return removed && now > at+minRemovalTime
		}
		for i := range h.states { // prefer a server that was removed long enough ago
			if mayReturn(i) && random.IntN(2) == 0 {
				server = i
				break
			}
		}
		_, removed := removedAt[server]
		switch {
		case mayReturn(server):
			h.states[server] = invariant.EndpointReady
			delete(removedAt, server)
		case !removed && len(removedAt) < len(h.states)/removedDivisor:
			h.states[server] = []string{invariant.EndpointDraining, invariant.EndpointGone}[random.IntN(2)]
			removedAt[server] = now
		default:
			continue
		}
		h.log.Add(invariant.Record{Kind: invariant.EndpointPublished, Server: server, Detail: h.states[server]})
		h.controlPlane.Update(h.clusters(h.states))
		if c.DropStreams && random.IntN(changesPerStreamDrop) == 0 {
			h.controlPlane.DropStreams(random.IntN(2) == 0)
		}
	}
}

// loseEndpoints has the control plane publish an empty list for a while after a third of the changes, and half of the list after
// two thirds.
func (h *harness) loseEndpoints(ctx context.Context, change, changes int) error {
	switch change {
	case changes / 3:
		h.controlPlane.Update(loseAllEndpoints)
	case 2 * changes / 3:
		h.controlPlane.Update(loseHalfOfEndpoints)
	default:
		return nil
	}
	if err := sleep(ctx, endpointLossTime); err != nil {
		return err
	}
	h.controlPlane.Update(h.clusters(h.states))
	return nil
}
