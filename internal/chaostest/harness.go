package chaostest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hollymast/client"
	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
	"hollymast/internal/rest"
)

// harness owns the processes, servers and clients of one run.
type harness struct {
	scenario       *Scenario
	dir            string // for configuration files, logs, certificates and persisted state
	program        string // the routers' executable
	log            *invariant.Log
	store          *fakeserver.Store
	controlPlane   *fakeserver.ControlPlane // nil: the endpoint list is a file
	certificates   *certificates            // nil: no TLS
	servers        []*fakeserver.Server
	routers        []*routerProcess
	addresses      []string // of routers
	pools          []*clientPool
	libraryClients []*client.Client
	startedAt      time.Time
	logStart       int64 // time of the log at startedAt

	mu                sync.Mutex // guards what is below
	states            []string   // of servers, as they are to be published
	published         []string   // of servers, as last published in the endpoint list
	publishPauses     int        // number of active faults that keep the endpoint list from being published
	outcomes          []outcome
	restarts          []restartEvent
	restartRetries    RestartRetries
	brokenConnections int   // client connections that ended without an answer, except by a timeout
	err               error // the first one recorded; the run is invalid
}

// recordError records an error that makes the run invalid. The first one is kept.
func (h *harness) recordError(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil {
		h.err = err
	}
}

// countBrokenConnection counts a client connection that ended without an answer, unless the request timed out.
func (h *harness) countBrokenConnection(err error) {
	if errors.Is(err, rest.ErrTimeout) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.brokenConnections++
}

// startAll starts servers, then routers, and returns when all routers are ready.
func (h *harness) startAll(ctx context.Context) error {
	for i := range h.scenario.Workers {
		if err := h.startServer(h.serverConfig(i)); err != nil {
			return err
		}
	}
	h.published = make([]string, h.scenario.Workers)
	h.publish()
	for i := range h.scenario.Routers {
		if err := h.startRouter(i); err != nil {
			return err
		}
	}
	for _, r := range h.routers {
		if err := r.awaitReady(ctx); err != nil {
			return err
		}
	}
	return h.openLibraryClients()
}

func (h *harness) startServer(config fakeserver.Config) error {
	config.Handshake = h.certificates.serverHandshake(workerName(config.Number))
	server := fakeserver.New(config, h.store, h.log)
	if err := server.Start(false); err != nil {
		return err
	}
	h.servers = append(h.servers, server)
	h.states = append(h.states, invariant.EndpointReady)
	return nil
}

func (h *harness) startRouter(i int) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	handshake := h.certificates.clientHandshake(clientOwner)
	r := &routerProcess{number: i, address: address, handshake: handshake, configFile: filepath.Join(h.dir, fmt.Sprintf("router-%d.ini", i)),
		logName: filepath.Join(h.dir, fmt.Sprintf("router-%d.log", i))}
	h.routers = append(h.routers, r)
	h.addresses = append(h.addresses, address)
	h.pools = append(h.pools, &clientPool{address: address, handshake: handshake})
	if err := os.WriteFile(r.configFile, h.routerConfig(i), 0o600); err != nil {
		return err
	}
	return r.start(h.program)
}

// stopAll stops the routers, the control plane and the servers that were started.
func (h *harness) stopAll() {
	for _, r := range h.routers {
		r.stop(syscall.SIGKILL)
	}
	if h.controlPlane != nil {
		h.controlPlane.Stop()
	}
	for _, s := range h.servers {
		s.Stop()
	}
}

// drive makes the calls and injects the faults of the scenario, and returns when all of them have finished.
func (h *harness) drive(ctx context.Context) {
	h.startedAt, h.logStart = time.Now(), h.log.Now()
	var wg sync.WaitGroup
	for _, f := range h.scenario.Faults {
		wg.Go(func() {
			if h.waitUntil(ctx, f.At) == nil {
				h.injectFault(ctx, f)
			}
		})
	}
	for _, c := range h.scenario.schedule() {
		if h.waitUntil(ctx, c.at) != nil {
			break
		}
		wg.Go(func() { h.recordOutcome(c, h.perform(ctx, c)) })
	}
	wg.Wait()
	for _, p := range h.pools {
		p.close()
	}
	for _, c := range h.libraryClients {
		c.Close()
	}
}

// waitUntil waits until a time, given since the start of the run.
func (h *harness) waitUntil(ctx context.Context, at time.Duration) error {
	return sleep(ctx, at-time.Since(h.startedAt))
}

// sleep waits, or returns early with the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return fakeserver.Sleep(ctx, d)
}
