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

// Churn is a stream of changes of the endpoint list, which a fake control plane sends to one router under load.
type Churn struct {
	Seed          uint64
	Changes       int
	Interval      time.Duration // between two changes, on average
	Rate          int           // requests per second
	Workers       int
	Delta         bool          // the incremental variant of xDS
	DropStreams   bool          // streams are dropped now and again
	LoseEndpoints bool          // the control plane loses the whole list after a third of the changes, half of it after two thirds
	TLS           bool          // all connections use TLS, and certificates are rotated meanwhile
	PublishDelay  time.Duration // by which the control plane sends everything later than it claims: to test the measurement
}

// The fake servers of a churn: fast, so that requests come to each of them all the time.
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

// Steps of a churn.
const (
	// minRemoval is the least time for which a server is away: long enough to see what reaches it after drainGrace.
	minRemoval = 700 * time.Millisecond
	// endpointLossTime is how long the control plane has lost endpoints.
	endpointLossTime = 3 * time.Second
	// streamDropOdds is the number of changes for each of which streams are dropped, on average.
	streamDropOdds = 50
	// maxRemoved is the reciprocal of the share of servers that may be away at once.
	maxRemoved = 3
)

// RunChurn makes the changes, with a router of the named program, and measures how soon it follows them. Everything that it
// starts has ended when it returns.
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

// scenario gives the load and the router's settings.
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
			QueueLimit: churnQueue, LoadTime: churnLoadTime, MaxLoads: churnLoads, DedupWindow: dedupWindow, KeepAlive: keepAlive, Seed: c.Seed}
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

// driveChurn makes the calls and the changes, and returns when all of them are over.
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

// applyChanges makes the changes: a server drains, is withdrawn or comes back. Two thirds of the servers stay ready. The order
// of the draws from the generator makes the changes the same for the same seed, as far as the time between them is.
func (h *harness) applyChanges(ctx context.Context, c Churn) {
	random := rand.New(rand.NewPCG(c.Seed, 2))
	removedAt := map[int]time.Duration{} // of the servers that are away
	for n := range c.Changes {
		if h.waitUntil(ctx, time.Duration(n)*c.Interval+time.Duration(random.Int64N(int64(c.Interval)))) != nil {
			return
		}
		now := time.Since(h.startedAt)
		if c.LoseEndpoints && h.loseEndpoints(ctx, n, c.Changes) != nil {
			return
		}
		server := random.IntN(len(h.states))
		if c.TLS && server == 0 { // the rotation of certificates takes it away
			continue
		}
		due := func(server int) bool {
			at, removed := removedAt[server]
			return removed && now > at+minRemoval
		}
		for i := range h.states { // one that was away long enough comes first
			if due(i) && random.IntN(2) == 0 {
				server = i
				break
			}
		}
		_, removed := removedAt[server]
		switch {
		case due(server):
			h.states[server] = invariant.EndpointReady
			delete(removedAt, server)
		case !removed && len(removedAt) < len(h.states)/maxRemoved:
			h.states[server] = []string{invariant.EndpointDraining, invariant.EndpointGone}[random.IntN(2)]
			removedAt[server] = now
		default:
			continue
		}
		h.log.Add(invariant.Record{Kind: invariant.EndpointPublished, Server: server, Detail: h.states[server]})
		h.controlPlane.Update(h.clusters(h.states))
		if c.DropStreams && random.IntN(streamDropOdds) == 0 {
			h.controlPlane.DropStreams(random.IntN(2) == 0)
		}
	}
}

// loseEndpoints has the control plane lose all endpoints for a time at a third of the changes, and half of them at two thirds.
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
