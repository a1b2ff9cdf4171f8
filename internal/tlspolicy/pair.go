// Package tlspolicy decides which certificate is in service and which peers are believed. It is free of I/O and clocks: texts of
// files or secrets and the time are given to it. Times are the wall clock's, in microseconds since 1970, since certificates
// tell theirs by it.
package tlspolicy

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"time"

	"hollymast/control"
)

// wall is a time in the form that x509 wants.
func wall(at control.Micros) time.Time { return time.UnixMicro(int64(at)).UTC() }

func micros(t time.Time) control.Micros { return control.Micros(t.UnixMicro()) }

// shown is a time as operators read it.
func shown(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") }

// ReadPair reads a certificate, with those that lead from it towards its authority, and its key, all PEM. Errors say in one
// line what is wrong: what can't be read, a key of another certificate, a chain whose next certificate did not sign the last.
func ParseKeyPair(chain, key []byte) (*tls.Certificate, error) {
	pair, err := tls.X509KeyPair(chain, key)
	if err != nil {
		if bytes.Contains([]byte(err.Error()), []byte("does not match")) {
			return nil, errMismatch
		}
		return nil, fmt.Errorf("the certificate or its key can't be read: %w", err)
	}
	under := pair.Leaf
	if under.IsCA {
		return nil, errors.New("the certificate is an authority's, which signs others and serves none")
	}
	for i, der := range pair.Certificate[1:] {
		over, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("certificate %d of the chain can't be read: %w", i+2, err)
		}
		if err := under.CheckSignatureFrom(over); err != nil {
			return nil, fmt.Errorf("certificate %d of the chain did not sign the one before it", i+2)
		}
		under = over
	}
	return &pair, nil
}

var errMismatch = errors.New("the key is not that of the certificate")

// ends is when the first certificate of a pair's chain ends.
func ends(p *tls.Certificate) control.Micros {
	end := micros(p.Leaf.NotAfter)
	for _, der := range p.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil { // read before
			end = min(end, micros(c.NotAfter))
		}
	}
	return end
}

// Identity is the certificate and key by which one side of connections is known. What is offered comes into service when it is
// whole, matches and is valid; until then what was in service stays.
type Identity struct {
	serving  *tls.Certificate
	ends     control.Micros // of what serves
	waiting  *tls.Certificate
	seen     [sha256.Size]byte // of the last offer
	mismatch bool              // the last offer did not match, and nothing was said yet
	warned   bool
	expired  bool
	notes
	version uint64
	since   control.Micros // when what serves came into service
}

// Serving is what is in service; nil: nothing was yet.
func (i *Identity) Current() *tls.Certificate { return i.serving }

// Version counts what came into service.
func (i *Identity) Version() uint64 { return i.version }

// Ends is when what serves stops being valid; 0: nothing serves.
func (i *Identity) ExpiresAt() control.Micros { return i.ends }

// Offer takes in the texts of a certificate chain and its key as they are found now. The error, if any, is why they do not come
// into service; it is also noted, once. A pair that does not match is noted only when it is found so twice: between the
// writing of two files that is how they look.
func (i *Identity) Update(now control.Micros, chain, key []byte) error {
	h := sha256.New()
	fmt.Fprintf(h, "%d ", len(chain))
	h.Write(chain)
	h.Write(key)
	digest := [sha256.Size]byte(h.Sum(nil))
	again := digest == i.seen
	if again && !i.mismatch {
		return nil
	}
	i.seen = digest
	pair, err := ParseKeyPair(chain, key)
	if errors.Is(err, errMismatch) && !again && i.serving != nil {
		i.mismatch = true
		return err
	}
	i.mismatch = false
	if err == nil && i.serving != nil && bytes.Equal(pair.Certificate[0], i.serving.Certificate[0]) {
		i.waiting = nil // back to what serves
		return nil
	}
	if err == nil && now >= ends(pair) {
		err = fmt.Errorf("the certificate ended at %s", shown(wall(ends(pair))))
	}
	if err != nil {
		if i.serving != nil {
			i.note("%v: the old pair stays in service", err)
		}
		return err
	}
	if from := micros(pair.Leaf.NotBefore); now < from {
		i.waiting = pair
		i.note("the certificate of %s is not valid before %s and waits until then", names(pair.Leaf), shown(pair.Leaf.NotBefore))
		return nil
	}
	i.serve(now, pair)
	return nil
}

func (i *Identity) serve(now control.Micros, p *tls.Certificate) {
	i.serving, i.waiting, i.ends = p, nil, ends(p)
	i.warned, i.expired, i.since = false, false, now
	i.version++
	i.note("the certificate of %s, number %x, is in service until %s", names(p.Leaf), p.Leaf.SerialNumber, shown(wall(i.ends)))
}

// turnover is the time within which connections that show an earlier certificate are replaced as they fall idle: short against
// the time for which authorities are usually trusted beside their successors, long enough that thousands of handshakes spread out.
const turnover = control.Micros(5_000_000)

// Outlived tells whether a connection made with an earlier version of the identity is to be replaced now. Place, between 0 and 1,
// is the connection's own and spreads them.
func (i *Identity) ReplaceNow(now control.Micros, version uint64, place float64) bool {
	return version != i.version && now >= i.since+control.Micros(place*float64(turnover))
}

// lastPart is the share of a certificate's life at whose start its end is announced: whoever renews at the usual two thirds has
// failed to by then.
const lastPart = 0.25

// Tick brings into service what has waited, and announces ends. It gives when it must be called again; 0: at the next offer.
func (i *Identity) Maintain(now control.Micros) (next control.Micros) {
	if i.waiting != nil && now >= micros(i.waiting.Leaf.NotBefore) {
		i.serve(now, i.waiting)
	}
	at := func(t control.Micros) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	if i.waiting != nil {
		at(micros(i.waiting.Leaf.NotBefore))
	}
	if i.serving == nil {
		return next
	}
	warn := i.ends - control.Micros(lastPart*float64(i.ends-micros(i.serving.Leaf.NotBefore)))
	switch {
	case now >= i.ends && !i.expired:
		i.expired = true
		i.note("the certificate of %s ended at %s: peers refuse it until another is given", names(i.serving.Leaf), shown(wall(i.ends)))
	case now >= warn && now < i.ends && !i.warned:
		i.warned = true
		i.note("the certificate of %s ends at %s and no other was given", names(i.serving.Leaf), shown(wall(i.ends)))
	}
	at(warn)
	at(i.ends)
	return next
}
