// Package certstore makes TLS connections by the decisions of package tlspolicy. It loads certificates, keys, authorities and CRLs from files
// or receives them from a secret discovery service, and replaces them while connections are open.
package certstore

import (
	"context"
	"errors"
	"io/fs"
	"math/rand/v2"
	"sync"
	"time"

	"hollymast/control"
	"hollymast/internal/tlspolicy"
)

// pollInterval is how often the files are read: often enough for a replacement to take effect almost at once, at the cost of four small
// reads each time.
const pollInterval = 250 * time.Millisecond

// Store holds the certificate, authorities and CRLs for one side of one kind of connection. It is safe for concurrent use.
type Store struct {
	config *Config
	now    func() control.Micros // wall clock
	log    func(text string)

	mu       sync.Mutex
	identity tlspolicy.Identity
	verifier *tlspolicy.Verifier
	tracked  map[*trackedConn]struct{} // connections that are closed once their peer is no longer trusted
	stats    Stats                     // without ExpiresAt
	random   *rand.Rand                // spreads the replacement of connections
}

// Open returns a store with the contents of the configured files. It returns an error if a file is unreadable or invalid. If a secret
// discovery service is configured, the store is empty until UpdateKeyPair and UpdateAuthorities are called.
func Open(config *Config, now func() control.Micros, log func(text string)) (*Store, error) {
	s := &Store{
		config:   config,
		now:      now,
		log:      log,
		verifier: tlspolicy.NewVerifier(config.Names),
		tracked:  map[*trackedConn]struct{}{},
		stats:    Stats{RejectedPeers: map[tlspolicy.Reason]uint64{}},
		random:   rand.New(rand.NewPCG(uint64(now()), 1)),
	}
	if config.SecretsAddress != "" {
		return s, nil
	}
	return s, s.reload()
}

// reload reads the files and updates the store. If a file can't be read, nothing changes and the error is an *fs.PathError.
func (s *Store) reload() error {
	f, err := s.config.readFiles()
	if err != nil {
		return err
	}
	var errs []error
	if s.config.hasCertificate() {
		errs = append(errs, s.UpdateKeyPair(f.certificate, f.key))
	}
	if s.config.verifiesPeer() {
		errs = append(errs, s.UpdateAuthorities(f.authorities, f.revocationLists))
	}
	return errors.Join(errs...)
}

// UpdateKeyPair applies a certificate chain and its key; see tlspolicy.Identity.Update.
func (s *Store) UpdateKeyPair(chain, key []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.identity.Update(s.now(), chain, key)
	s.flushLogLocked()
	return err
}

// UpdateAuthorities applies authorities and CRLs; see tlspolicy.Verifier.Update. It closes tracked connections with peers that are no
// longer trusted.
func (s *Store) UpdateAuthorities(authorities, revoked []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.verifier.Version()
	err := s.verifier.Update(authorities, revoked)
	if s.verifier.Version() != before {
		s.closeUntrustedLocked()
	}
	s.flushLogLocked()
	return err
}

func (s *Store) flushLogLocked() {
	for _, line := range append(s.identity.TakeLogLines(), s.verifier.TakeLogLines()...) {
		s.log(line)
	}
}

// maintain handles certificates that become valid or expire with time.
func (s *Store) maintain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.identity.Maintain(s.now())
	s.verifier.Maintain(s.now())
	s.closeUntrustedLocked()
	s.flushLogLocked()
}

// Run polls the files and maintains the store until the context ends. An unreadable file is logged only once until it can be read again.
func (s *Store) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	var logged string // the last read error; empty: all files were readable
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if s.config.SecretsAddress == "" {
			logged = s.poll(logged)
		}
		s.maintain()
	}
}

// poll reloads the files and returns the text of a read error, empty if there was none. It logs the error unless it equals the last one.
// Invalid contents are logged by the updates.
func (s *Store) poll(last string) string {
	var unreadable *fs.PathError
	if err := s.reload(); !errors.As(err, &unreadable) {
		return ""
	}
	if unreadable.Error() != last {
		s.log(unreadable.Error() + ": the previous contents stay in use")
	}
	return unreadable.Error()
}
