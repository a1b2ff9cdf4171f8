package tlspolicy

import (
	"hollymast/internal/fakeserver/authority"
	"slices"
	"testing"
	"time"
)

// A list of revoked certificates that is missing, older, a stranger's or unreadable changes nothing; one out of date counts on.
func TestRevokedStaysRevoked(t *testing.T) {
	a, b := authority.New("a"), authority.New("b")
	x := a.Issue(authority.Request{Names: []string{"127.0.0.1"}})
	p := NewVerifier(nil)
	old := a.RevocationList(time.Now().Add(time.Hour))
	offer := func(roots, lists []byte, well bool) {
		t.Helper()
		if err := p.Update(now(), roots, lists); well != (err == nil) {
			t.Errorf("%v", err)
		}
	}
	offer(a.CertificatePEM(), old, true)
	s, err := p.Verify(now(), leaf(x), Server, "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	a.Revoke(x.Serial)
	next := a.RevocationList(time.Now().Add(time.Hour))
	offer(a.CertificatePEM(), next, true)
	if reason(t, p.Reverify(now(), &s)) != Revoked {
		t.Error("a connection outlives its peer's revocation")
	}
	version := p.Version()
	offer(a.CertificatePEM(), nil, false)
	offer(a.CertificatePEM(), old, false)
	offer(a.CertificatePEM(), b.RevocationList(time.Now().Add(time.Hour)), false)
	offer(a.CertificatePEM(), append(slices.Clone(next), "-----BEGIN X509 CRL-----\nAAAA\n-----END X509 CRL-----\n"...), false)
	offer(x.Chain, next, false) // no authority
	offer(nil, next, false)
	if notes := p.LogLines(); p.Version() != version || len(notes) != 8 {
		t.Errorf("version %d after %d, notes %q", p.Version(), version, notes)
	}
	offer(nil, next, true) // the same again: not said twice
	if notes := p.LogLines(); len(notes) != 0 {
		t.Errorf("notes %q", notes)
	}
	offer(b.CertificatePEM(), nil, true) // an authority that is trusted no more needs no list
	p = NewVerifier(nil)
	soon := time.Now().Add(time.Minute)
	offer(a.CertificatePEM(), a.RevocationList(soon), true)
	if next := p.Maintain(now()); next != at(soon.Truncate(time.Second)) {
		t.Errorf("the alarm is at %d", next)
	}
	p.LogLines()
	late := at(soon) + 1
	p.Maintain(late)
	p.Maintain(late)
	if _, err := p.Verify(late, leaf(x), Server, "127.0.0.1"); reason(t, err) != Revoked || len(p.LogLines()) != 1 {
		t.Errorf("out of date: %v", err)
	}
}
