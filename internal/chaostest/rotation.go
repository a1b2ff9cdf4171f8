package chaostest

import (
	"context"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"hollymast/internal/fakeserver/authority"
	"hollymast/internal/invariant"
)

// reloadTime is longer than any process takes to reload changed files.
const reloadTime = 700 * time.Millisecond

// Steps of a rotation. In each rotationCycle steps, step revocationStep revokes a certificate, if rotation.revokeWorker is set, and
// step incompleteRenewalStep leaves a renewal incomplete for a while. Every authorityCycle-th step replaces the authority. All other
// steps renew a certificate.
const (
	rotationCycle         = 12
	revocationStep        = 6
	incompleteRenewalStep = 9
	authorityCycle        = 2 * rotationCycle

	minRotationPause = 100 // milliseconds between two steps
	rotationJitter   = 200 // milliseconds
	maxRenewalDelay  = 20  // milliseconds between the two files of a renewal
)

// rotation holds the options of a rotation of certificates.
type rotation struct {
	seed         uint64
	revokeWorker bool // the certificate of worker 0 is revoked once per cycle
}

// startRotation starts a goroutine that rotates certificates until ctx is done or a change fails, and then sends the error, or nil, on the
// returned channel. If the run doesn't use TLS, the channel is closed at once.
func (h *harness) startRotation(ctx context.Context, r rotation) <-chan error {
	done := make(chan error, 1)
	if !h.scenario.TLS {
		close(done)
		return done
	}
	go func() { done <- h.rotateCertificates(ctx, r) }()
	return done
}

// rotateCertificates renews certificates one after another until ctx is done. In between, a renewal stays incomplete for a while, a
// worker's certificate is revoked and replaced, or all owners change to another authority.
func (h *harness) rotateCertificates(ctx context.Context, r rotation) error {
	c := h.certificates
	random := rand.New(rand.NewPCG(r.seed, 3))
	owners := slices.Sorted(maps.Keys(c.issued))
	for n := 1; ctx.Err() == nil; n++ {
		if sleep(ctx, time.Duration(minRotationPause+random.IntN(rotationJitter))*time.Millisecond) != nil {
			return nil
		}
		var err error
		switch {
		case r.revokeWorker && n%rotationCycle == revocationStep:
			err = h.revokeWorker(ctx, 0)
		case n%rotationCycle == incompleteRenewalStep:
			err = c.renew(owners[random.IntN(len(owners))], reloadTime)
		case n%authorityCycle == 0:
			err = c.replaceAuthority(ctx, owners)
		default:
			err = c.renew(owners[random.IntN(len(owners))], time.Duration(random.IntN(maxRenewalDelay))*time.Millisecond)
		}
		if err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}

// revokeWorker revokes a worker's certificate and issues another one later. In between, the log records the worker as withdrawn, so that
// the invariant check reports attempts that it still receives after the drain grace.
func (h *harness) revokeWorker(ctx context.Context, worker int) error {
	c := h.certificates
	c.authority.Revoke(c.issued[workerName(worker)].Serial)
	c.changeCount++
	h.log.Add(invariant.Record{Kind: invariant.EndpointPublished, Server: worker, Detail: invariant.EndpointGone})
	if err := c.writeRevocationList(routerToWorkers, revocationList(c.authority)); err != nil {
		return err
	}
	if err := sleep(ctx, 2*reloadTime); err != nil {
		return err
	}
	h.log.Add(invariant.Record{Kind: invariant.EndpointPublished, Server: worker, Detail: invariant.EndpointReady})
	return c.renew(workerName(worker), 0)
}

// replaceAuthority has all owners change to another authority, without interruption: they trust both, get new certificates,
// and then trust the new one alone.
func (c *certificates) replaceAuthority(ctx context.Context, owners []string) error {
	old, successor := c.authority, authority.New("laboratory, later")
	both := append(old.CertificatePEM(), successor.CertificatePEM()...)
	lists := append(revocationList(old), revocationList(successor)...)
	c.authority = successor
	for _, step := range []func(owner string) error{
		func(owner string) error {
			if err := os.WriteFile(c.file(owner, "authorities"), both, 0o600); err != nil {
				return err
			}
			return c.writeRevocationList(owner, lists)
		},
		func(owner string) error { return c.renew(owner, 0) },
		func(owner string) error { return c.writeAuthorities(owner, successor.CertificatePEM()) },
	} {
		for _, owner := range owners {
			if err := step(owner); err != nil {
				return err
			}
		}
		if err := sleep(ctx, reloadTime); err != nil {
			return err
		}
	}
	return nil
}
