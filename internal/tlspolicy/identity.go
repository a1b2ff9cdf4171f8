// Package tlspolicy decides which certificate is in service and which peers are trusted. It is free of I/O and clocks: it is given the
// contents of files or secrets, and the time. Times are those of the wall clock, in microseconds since 1970, since certificates have
// theirs by it.
package tlspolicy

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"

	"hollymast/control"
)

// Identity is the certificate and key that one side of connections presents. A new pair comes into service when it is complete, matches
// and is valid; until then the current one stays. It is not safe for concurrent use.
type Identity struct {
	current      *tls.Certificate
	currentSince control.Micros // when it came into service
	expiresAt    control.Micros
	version      uint64
	pending      *tls.Certificate // not yet valid; comes into service when it is

	lastDigest digest // of the last update
	mismatched bool   // the last update's key was another certificate's, which is not logged yet

	warnedOfExpiry bool
	loggedExpiry   bool
	logBuffer
}

// Current returns the pair in service; nil: none was yet.
func (i *Identity) Current() *tls.Certificate { return i.current }

// Version counts the pairs that came into service.
func (i *Identity) Version() uint64 { return i.version }

// ExpiresAt returns when the pair in service expires; 0: there is none.
func (i *Identity) ExpiresAt() control.Micros { return i.expiresAt }

// Update takes a certificate chain and its key (PEM) as they are now. The error says why they don't come into service; it is logged as
// well, once, and a repeated update returns none. A key that doesn't match is logged only when it is found twice: while the two files are
// being replaced one after the other it is to be expected.
func (i *Identity) Update(now control.Micros, chain, key []byte) error {
	d := digestOf(chain, key)
	repeated := d == i.lastDigest
	if repeated && !i.mismatched {
		return nil
	}
	i.lastDigest = d
	pair, err := ParseKeyPair(chain, key)
	if errors.Is(err, errKeyMismatch) && !repeated && i.current != nil {
		i.mismatched = true
		return err
	}
	i.mismatched = false
	if err == nil && i.current != nil && bytes.Equal(pair.Certificate[0], i.current.Certificate[0]) {
		i.pending = nil // back to the current one
		return nil
	}
	if err == nil && now >= chainExpiry(pair) {
		err = fmt.Errorf("the certificate ended at %s", formatTime(timeOf(chainExpiry(pair))))
	}
	if err != nil {
		if i.current != nil {
			i.logf("%v: the old pair stays in service", err)
		}
		return err
	}
	if now < microsOf(pair.Leaf.NotBefore) {
		i.pending = pair
		i.logf("the certificate of %s is not valid before %s and waits until then", subjectNames(pair.Leaf), formatTime(pair.Leaf.NotBefore))
		return nil
	}
	i.activate(now, pair)
	return nil
}

// activate brings a pair into service.
func (i *Identity) activate(now control.Micros, pair *tls.Certificate) {
	i.current, i.currentSince, i.expiresAt, i.pending = pair, now, chainExpiry(pair), nil
	i.warnedOfExpiry, i.loggedExpiry = false, false
	i.version++
	i.logf("the certificate of %s, number %x, is in service until %s", subjectNames(pair.Leaf), pair.Leaf.SerialNumber, formatTime(timeOf(i.expiresAt)))
}

// replacementPeriod is the time within which connections made with an earlier pair are replaced as they fall idle: short compared with
// the time for which an old authority stays trusted beside the new one, and long enough to spread thousands of handshakes.
const replacementPeriod = control.Micros(5_000_000)

// ShouldReplace reports whether a connection that was made with that version of the identity is to be replaced now. Position, from 0 to 1, is
// the connection's own place in the replacement period.
func (i *Identity) ShouldReplace(now control.Micros, version uint64, position float64) bool {
	return version != i.version && now >= i.currentSince+control.Micros(position*float64(replacementPeriod))
}

// expiryWarningShare is the last share of a certificate's validity, in which its expiry is logged: renewal, usually at two thirds of it,
// has failed by then.
const expiryWarningShare = 0.25

// Maintain brings a pending pair into service and logs an expiry that is near or over. It returns when it must be called again; 0: after
// the next update.
func (i *Identity) Maintain(now control.Micros) (next control.Micros) {
	if i.pending != nil && now >= microsOf(i.pending.Leaf.NotBefore) {
		i.activate(now, i.pending)
	}
	callAt := func(t control.Micros) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	if i.pending != nil {
		callAt(microsOf(i.pending.Leaf.NotBefore))
	}
	if i.current == nil {
		return next
	}
	warnAt := i.expiresAt - control.Micros(expiryWarningShare*float64(i.expiresAt-microsOf(i.current.Leaf.NotBefore)))
	switch {
	case now >= i.expiresAt && !i.loggedExpiry:
		i.loggedExpiry = true
		i.logf("the certificate of %s ended at %s: peers refuse it until another is given", subjectNames(i.current.Leaf), formatTime(timeOf(i.expiresAt)))
	case now >= warnAt && now < i.expiresAt && !i.warnedOfExpiry:
		i.warnedOfExpiry = true
		i.logf("the certificate of %s ends at %s and no other was given", subjectNames(i.current.Leaf), formatTime(timeOf(i.expiresAt)))
	}
	callAt(warnAt)
	callAt(i.expiresAt)
	return next
}
