package chaostest

import (
	"context"
	"fmt"
	"hollymast/internal/fakeserver"
	"hollymast/internal/invariant"
	"os"
	"path/filepath"
	"syscall"
)

// Run plays a day with routers of the named program. Everything that it starts has ended when it returns.
func Run(ctx context.Context, d *Scenario, program string) (res *Result, err error) {
	if d.Routers > maxRouters || d.Workers > maxWorkers {
		return nil, fmt.Errorf("%d routers and %d workers are more than a day on sockets may have (%d, %d): hmchaos emulate plays it", d.Routers, d.Workers, maxRouters, maxWorkers)
	}
	dir, err := os.MkdirTemp("", "hmchaos-")
	if err != nil {
		return nil, err
	}
	p := &harness{scenario: d, dir: dir, program: program, log: invariant.NewLog(), store: fakeserver.NewStore(storeFetchTime, storeConcurrency)}
	keysCtx, keysStop := context.WithCancel(ctx)
	defer keysStop()
	defer func() {
		for _, r := range p.routers {
			r.stop(syscall.SIGKILL)
		}
		if p.controlPlane != nil {
			p.controlPlane.Stop()
		}
		for _, s := range p.servers {
			s.Stop()
		}
		if err == nil && res.Passed() || ctx.Err() != nil {
			os.RemoveAll(dir)
		} else {
			err = annotate(err, fmt.Sprintf("the routers' logs are kept in %s", dir))
		}
	}()
	if d.TLS {
		if p.certificates, err = issueCertificates(keysCtx, filepath.Join(dir, "keys"), d.Workers); err != nil {
			return nil, err
		}
	}
	if d.EndpointSource == "xds" || d.EndpointSource == "delta" {
		if p.controlPlane, err = fakeserver.NewControlPlane(p.certificates.controlPlaneOptions()...); err != nil {
			return nil, err
		}
	}
	if err := p.startAll(ctx); err != nil {
		return nil, err
	}
	renewing := make(chan error, 1)
	if d.TLS {
		go func() { renewing <- p.rotateCertificates(keysCtx, p.certificates, d.Seed, false) }()
	}
	defer context.AfterFunc(ctx, func() { // told to stop: whoever waits for a router waits no longer
		for _, r := range p.routers {
			r.signal(syscall.SIGKILL)
		}
	})()
	in, total := p.drive(ctx)
	if keysStop(); d.TLS {
		if err := <-renewing; err != nil && ctx.Err() == nil {
			p.recordError(err)
		}
	}
	for i, r := range p.routers {
		if e := r.stop(syscall.SIGTERM); e != nil && ctx.Err() == nil {
			p.recordError(fmt.Errorf("router %d did not end well when told to: %w", i, e))
		}
	}
	if p.err != nil {
		return nil, p.err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	storms, err := p.countOverloads()
	if err != nil {
		return nil, err
	}
	recs := p.log.Records()
	v := invariant.Check(p.invariantConfig(), recs)
	return &Result{Report: v, InTime: float64(in) / float64(max(1, total)), Records: len(recs), Seconds: p.seconds(recs, v.SlowStart), outcomes: p.outcomes,
		RestartRetries: p.restartRetries, Restarts: p.afterRestarts(recs), ExcessLoadCommands: p.excessLoadCommands(recs), WeightedInTime: p.weightedInTime(), Overloads: storms}, nil
}

func annotate(err error, text string) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w (%s)", err, text)
}
