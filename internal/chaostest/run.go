package chaostest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
)

// Run runs a scenario with routers started from the given executable. Everything that it starts has ended when it returns. The
// routers' logs are kept if the run fails or violates an invariant.
func Run(ctx context.Context, s *Scenario, program string) (result *Result, err error) {
	if s.Routers > maxRouters || s.Workers > maxWorkers {
		return nil, fmt.Errorf("%d routers and %d workers exceed what a run of real processes may have (%d, %d): use hmchaos emulate", s.Routers, s.Workers, maxRouters, maxWorkers)
	}
	dir, err := os.MkdirTemp("", "hmchaos-")
	if err != nil {
		return nil, err
	}
	h := &harness{scenario: s, dir: dir, program: program, log: invariant.NewLog(), store: fakeserver.NewStore(storeFetchTime, storeConcurrency)}
	certCtx, stopRotation := context.WithCancel(ctx)
	defer func() {
		stopRotation()
		h.certificates.wait()
	}()
	defer func() {
		h.stopAll()
		err = keepLogs(dir, result, err, ctx.Err() != nil)
	}()
	if err := h.prepare(certCtx); err != nil {
		return nil, err
	}
	if err := h.startAll(ctx); err != nil {
		return nil, err
	}
	rotated := h.startRotation(certCtx, rotation{seed: s.Seed})
	defer context.AfterFunc(ctx, h.killRouters)() // so that nothing waits for a router after a cancellation
	h.drive(ctx)
	stopRotation()
	if err := <-rotated; err != nil && ctx.Err() == nil {
		h.recordError(err)
	}
	h.shutDownRouters(ctx)
	if h.err != nil {
		return nil, h.err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return h.result()
}

// keepLogs keeps the routers' logs of a run that failed or violated an invariant, and names their folder in the error or the
// result. It removes those of all other runs, including cancelled ones.
func keepLogs(dir string, result *Result, err error, cancelled bool) error {
	switch {
	case cancelled || err == nil && result.Passed():
		os.RemoveAll(dir)
		return err
	case err != nil:
		return fmt.Errorf("%w (the routers' logs are kept in %s)", err, dir)
	}
	result.logDir = dir
	return nil
}

// prepare issues certificates and starts the control plane, if the scenario uses them.
func (h *harness) prepare(ctx context.Context) (err error) {
	if h.scenario.TLS {
		if h.certificates, err = issueCertificates(ctx, filepath.Join(h.dir, "keys"), h.scenario.Workers); err != nil {
			return err
		}
	}
	if h.scenario.usesControlPlane() {
		if h.controlPlane, err = fakeserver.NewControlPlane(h.certificates.controlPlaneOptions()...); err != nil {
			return err
		}
	}
	return nil
}

func (h *harness) killRouters() {
	for _, r := range h.routers {
		r.signal(syscall.SIGKILL)
	}
}

// shutDownRouters shuts all routers down gracefully, and records an error for each that doesn't exit cleanly.
func (h *harness) shutDownRouters(ctx context.Context) {
	for i, r := range h.routers {
		if err := r.stop(syscall.SIGTERM); err != nil && ctx.Err() == nil {
			h.recordError(fmt.Errorf("router %d did not shut down cleanly: %w", i, err))
		}
	}
}
