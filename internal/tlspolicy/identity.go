// Package tlspolicy decides which certificate is in service and which peers are believed. It is free of I/O and clocks: texts of
// files or secrets and the time are given to it. Times are the wall clock's, in microseconds since 1970, since certificates
// tell theirs by it.
package tlspolicy

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"

	"hollymast/control"
)

// Identity is the certificate and key by which one side of connections is known. What is offered comes into service when it is
// whole, matches and is valid; until then what was in service stays.
type Identity struct {
	current    *tls.Certificate
	expiresAt  control.Micros // of what serves
	pending    *tls.Certificate
	lastDigest [sha256.Size]byte // of the last offer
	mismatched bool              // the last offer did not match, and nothing was said yet
	warned     bool
	expired    bool
	logBuffer
	version      uint64
	currentSince control.Micros // when what serves came into service
}

// Serving is what is in service; nil: nothing was yet.
func (i *Identity) Current() *tls.Certificate { return i.current }

// Version counts what came into service.
func (i *Identity) Version() uint64 { return i.version }

// Ends is when what serves stops being valid; 0: nothing serves.
func (i *Identity) ExpiresAt() control.Micros { return i.expiresAt }

// Offer takes in the texts of a certificate chain and its key as they are found now. The error, if any, is why they do not come
// into service; it is also noted, once. A pair that does not match is noted only when it is found so twice: between the
// writing of two files that is how they look.
func (i *Identity) Update(now control.Micros, chain, key []byte) error {
	h := sha256.New()
	fmt.Fprintf(h, "%d ", len(chain))
	h.Write(chain)
	h.Write(key)
	digest := [sha256.Size]byte(h.Sum(nil))
	again := digest == i.lastDigest
	if again && !i.mismatched {
		return nil
	}
	i.lastDigest = digest
	pair, err := ParseKeyPair(chain, key)
	if errors.Is(err, errKeyMismatch) && !again && i.current != nil {
		i.mismatched = true
		return err
	}
	i.mismatched = false
	if err == nil && i.current != nil && bytes.Equal(pair.Certificate[0], i.current.Certificate[0]) {
		i.pending = nil // back to what serves
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
	if from := microsOf(pair.Leaf.NotBefore); now < from {
		i.pending = pair
		i.logf("the certificate of %s is not valid before %s and waits until then", subjectNames(pair.Leaf), formatTime(pair.Leaf.NotBefore))
		return nil
	}
	i.activate(now, pair)
	return nil
}

func (i *Identity) activate(now control.Micros, p *tls.Certificate) {
	i.current, i.pending, i.expiresAt = p, nil, chainExpiry(p)
	i.warned, i.expired, i.currentSince = false, false, now
	i.version++
	i.logf("the certificate of %s, number %x, is in service until %s", subjectNames(p.Leaf), p.Leaf.SerialNumber, formatTime(timeOf(i.expiresAt)))
}

// turnover is the time within which connections that show an earlier certificate are replaced as they fall idle: short against
// the time for which authorities are usually trusted beside their successors, long enough that thousands of handshakes spread out.
const replacementPeriod = control.Micros(5_000_000)

// Outlived tells whether a connection made with an earlier version of the identity is to be replaced now. Place, between 0 and 1,
// is the connection's own and spreads them.
func (i *Identity) ReplaceNow(now control.Micros, version uint64, place float64) bool {
	return version != i.version && now >= i.currentSince+control.Micros(place*float64(replacementPeriod))
}

// lastPart is the share of a certificate's life at whose start its end is announced: whoever renews at the usual two thirds has
// failed to by then.
const expiryWarningShare = 0.25

// Tick brings into service what has waited, and announces ends. It gives when it must be called again; 0: at the next offer.
func (i *Identity) Maintain(now control.Micros) (next control.Micros) {
	if i.pending != nil && now >= microsOf(i.pending.Leaf.NotBefore) {
		i.activate(now, i.pending)
	}
	at := func(t control.Micros) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	if i.pending != nil {
		at(microsOf(i.pending.Leaf.NotBefore))
	}
	if i.current == nil {
		return next
	}
	warn := i.expiresAt - control.Micros(expiryWarningShare*float64(i.expiresAt-microsOf(i.current.Leaf.NotBefore)))
	switch {
	case now >= i.expiresAt && !i.expired:
		i.expired = true
		i.logf("the certificate of %s ended at %s: peers refuse it until another is given", subjectNames(i.current.Leaf), formatTime(timeOf(i.expiresAt)))
	case now >= warn && now < i.expiresAt && !i.warned:
		i.warned = true
		i.logf("the certificate of %s ends at %s and no other was given", subjectNames(i.current.Leaf), formatTime(timeOf(i.expiresAt)))
	}
	at(warn)
	at(i.expiresAt)
	return next
}
