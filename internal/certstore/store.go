// Package certstore puts what package trust decides on connections: it finds certificates, keys, authorities and lists of revoked
// certificates in files or hears them from a secret discovery service, and changes them while connections stand.
package certstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"hollymast/control"
	"hollymast/internal/tlspolicy"
)

// lookEvery is how often the files are read: often enough that whoever has replaced them sees it at once, at the cost of four
// small reads.
const pollInterval = 250 * time.Millisecond

// Ring is one side's keys. All methods may be called by any goroutine.
type Store struct {
	config *Config
	now    func() control.Micros
	log    func(text string)

	mu       sync.Mutex
	identity tlspolicy.Identity
	verifier *tlspolicy.Verifier
	tracked  map[*trackedConn]struct{} // connections that are cut once their peer is no longer believed
	stats    Stats
	random   *rand.Rand // spreads the replacing of connections
}

// Open finds the keys. Where files are told they must be whole; secrets may come later. Errors are what is wrong with them.
func Open(told *Config, now func() control.Micros, note func(text string)) (*Store, error) {
	r := &Store{config: told, now: now, log: note, verifier: tlspolicy.NewVerifier(told.Names), tracked: map[*trackedConn]struct{}{}, stats: Stats{RejectedPeers: map[string]uint64{}},
		random: rand.New(rand.NewPCG(uint64(now()), 1))}
	if told.SecretsAddress != "" {
		return r, nil
	}
	return r, r.reload()
}

// look reads the files and offers them. A file that can't be read leaves all as it was.
func (r *Store) reload() error {
	var texts [4][]byte
	for i, name := range []string{r.config.Certificate, r.config.Key, r.config.Authorities, r.config.RevocationLists} {
		if name == "" {
			continue
		}
		var err error
		if texts[i], err = os.ReadFile(name); err != nil {
			return err
		}
	}
	var errs []error
	if r.config.hasCertificate() {
		errs = append(errs, r.UpdateKeyPair(texts[0], texts[1]))
	}
	if r.config.verifiesPeer() {
		errs = append(errs, r.UpdateAuthorities(texts[2], texts[3]))
	}
	return errors.Join(errs...)
}

// OfferPair offers a certificate chain and its key; see trust.Identity.Offer.
func (r *Store) UpdateKeyPair(chain, key []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.identity.Update(r.now(), chain, key)
	r.flushLog()
	return err
}

// OfferPeers offers authorities and revoked certificates; see trust.Peers.Offer. Long connections with peers that are not
// believed any more end.
func (r *Store) UpdateAuthorities(authorities, revoked []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.verifier.Version()
	err := r.verifier.Update(r.now(), authorities, revoked)
	if r.verifier.Version() != before {
		r.closeUntrusted()
	}
	r.flushLog()
	return err
}

func (r *Store) flushLog() {
	for _, n := range append(r.identity.LogLines(), r.verifier.LogLines()...) {
		r.log(n)
	}
}

// tick ends what is over.
func (r *Store) maintain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.identity.Maintain(r.now())
	r.verifier.Maintain(r.now())
	r.closeUntrusted()
	r.flushLog()
}

// Follow looks at the files now and again until the context ends. What can't be read is told once, until it can.
func (r *Store) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	unread := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if r.config.SecretsAddress == "" {
			var missing *os.PathError
			if err := r.reload(); errors.As(err, &missing) {
				if unread != missing.Error() {
					unread = missing.Error()
					r.log(unread + ": what was read before stands")
				}
			} else {
				unread = ""
			}
		}
		r.maintain()
	}
}
