// Package tlspolicy decides which certificate is in service and which peers are trusted. It does no I/O and reads no clock: callers pass
// the contents of files or secrets, and the time. Times are wall clock times in microseconds since 1970, like those in certificates.
package tlspolicy

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"

	"hollymast/control"
)

// Identity manages the certificate and key that this side of connections presents. A new pair comes into service once certificate and
// key match and the chain is valid; until then the current pair stays. It is not safe for concurrent use.
type Identity struct {
	current      *tls.Certificate
	currentSince control.Micros   // when it came into service
	expiresAt    control.Micros   // of the current pair
	version      uint64           // number of pairs that came into service
	pending      *tls.Certificate // not valid yet; comes into service once it is

	lastDigest digest // of the last update
	mismatched bool   // the key of the last update did not match its certificate, which was not logged yet

	warnedOfExpiry bool
	loggedExpiry   bool
	logBuffer
}

// Current returns the pair in service; nil: there is none yet.
func (i *Identity) Current() *tls.Certificate { return i.current }

// Version returns the number of pairs that have come into service.
func (i *Identity) Version() uint64 { return i.version }

// ExpiresAt returns when the pair in service expires; 0: there is none.
func (i *Identity) ExpiresAt() control.Micros { return i.expiresAt }

// Update applies the current contents of a certificate chain and its key (PEM). If they can't come into service, it returns an error. If
// another pair is in service, it logs the error as well. An update with the same contents as the last one does nothing and returns nil.
// The exception is a key that does not match, which is logged only when the same contents come a second time: it is to be expected while
// the two files are replaced one after the other.
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
		i.pending = nil // the files contain the current pair again
		return nil
	}
	if err == nil && now >= chainExpiry(pair) {
		err = fmt.Errorf("the certificate ended at %s", formatTime(timeOf(chainExpiry(pair))))
	}
	if err != nil {
		if i.current != nil {
			i.logf("%v: the current certificate stays in service", err)
		}
		return err
	}
	if now < microsOf(pair.Leaf.NotBefore) {
		i.pending = pair
		i.logf("the certificate of %s is not valid before %s: it comes into service then", subjectNames(pair.Leaf), formatTime(pair.Leaf.NotBefore))
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
	i.logf("the certificate of %s, serial number %x, is in service and valid until %s", subjectNames(pair.Leaf), pair.Leaf.SerialNumber, formatTime(timeOf(i.expiresAt)))
}

// replacementPeriod is the time within which connections made with an earlier pair are replaced when they become idle. It is short
// compared with the time for which an old authority stays trusted beside a new one, and long enough to spread thousands of handshakes.
const replacementPeriod = control.Micros(5_000_000)

// ShouldReplace reports whether a connection made with the given version of the identity should be replaced now. Position, from 0 to 1,
// is the connection's point in the replacement period, which spreads the replacements.
func (i *Identity) ShouldReplace(now control.Micros, version uint64, position float64) bool {
	return version != i.version && now >= i.currentSince+control.Micros(position*float64(replacementPeriod))
}

// expiryWarningShare is the share of a certificate's validity, at its end, in which a warning is logged. Certificates are usually renewed
// after two thirds of their validity, so by then the renewal has failed.
const expiryWarningShare = 0.25

// Maintain brings a pending pair into service once it is valid, and logs the approaching and the actual expiry of the current one. It
// returns when it must be called again; 0: after the next update.
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
		i.logf("the certificate of %s expired at %s: peers reject it until it is replaced", subjectNames(i.current.Leaf), formatTime(timeOf(i.expiresAt)))
	case now >= warnAt && now < i.expiresAt && !i.warnedOfExpiry:
		i.warnedOfExpiry = true
		i.logf("the certificate of %s expires at %s and has not been replaced", subjectNames(i.current.Leaf), formatTime(timeOf(i.expiresAt)))
	}
	callAt(warnAt)
	callAt(i.expiresAt)
	return next
}
