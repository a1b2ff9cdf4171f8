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

// reloadTime is longer than anybody takes to reload changed files.
const reloadTime = 700 * time.Millisecond

// Of the steps of a rotation, every revocationCycle-th is a revocation, an incomplete renewal or, every second time, another
// authority; all others are renewals.
const (
	revocationCycle       = 12
	revocationStep        = 6
	incompleteRenewalStep = 9
	authorityCycle        = 2 * revocationCycle

	minRotationPause = 100 // milliseconds between two steps
	rotationJitter   = 200 // milliseconds
	maxRenewalDelay  = 20  // milliseconds between the two files of a renewal
)

// rotation says how certificates are rotated.
type rotation struct {
	seed         uint64
	revokeWorker bool // worker 0 is revoked now and again
}

// startRotation rotates certificates until the context ends; the channel then has the error, or is closed.
func (h *harness) startRotation(ctx context.Context, r rotation) <-chan error {
	done := make(chan error, 1)
	if !h.scenario.TLS {
		close(done)
		return done
	}
	go func() { done <- h.rotateCertificates(ctx, r) }()
	return done
}

// rotateCertificates renews certificates one after another until the context ends. In between a renewal stays incomplete for
// a while, a worker is revoked and gets another certificate, or all owners change to another authority.
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
		case r.revokeWorker && n%revocationCycle == revocationStep:
			err = h.revokeWorker(ctx, 0)
		case n%revocationCycle == incompleteRenewalStep:
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

// revokeWorker revokes a worker's certificate and issues another one later. The invariants count the worker as withdrawn in between.
func (h *harness) revokeWorker(ctx context.Context, worker int) error {
	c := h.certificates
	c.authority.Revoke(c.issued[workerName(worker)].Serial)
	c.changes++
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
