package tlspolicy

import (
	"slices"
	"testing"
	"time"

	"hollymast/internal/fakeserver/authority"
)

// An update whose CRL is missing, older, another authority's or unreadable changes nothing, and neither does one without a valid
// authority.
func TestRevocationIsNotLost(t *testing.T) {
	a, b := authority.New("a"), authority.New("b")
	issued := a.Issue(authority.Request{Names: []string{"127.0.0.1"}})
	v := NewVerifier(nil)
	before := a.RevocationList(time.Now().Add(time.Hour))
	if err := v.Update(a.CertificatePEM(), before); err != nil {
		t.Fatal(err)
	}
	peer, err := v.Verify(now(), parse(t, issued), Server, "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	a.Revoke(issued.Serial)
	current := a.RevocationList(time.Now().Add(time.Hour))
	if err := v.Update(a.CertificatePEM(), current); err != nil {
		t.Error(err)
	}
	if reasonOf(t, v.Reverify(now(), &peer)) != Revoked {
		t.Error("a peer is still trusted after its certificate was revoked")
	}
	version := v.Version()
	unreadable := append(slices.Clone(current), "-----BEGIN X509 CRL-----\nAAAA\n-----END X509 CRL-----\n"...)
	for _, c := range []struct {
		what              string
		authorities, crls []byte
	}{
		{"no CRL", a.CertificatePEM(), nil},
		{"an older CRL", a.CertificatePEM(), before},
		{"another authority's CRL", a.CertificatePEM(), b.RevocationList(time.Now().Add(time.Hour))},
		{"an unreadable CRL", a.CertificatePEM(), unreadable},
		{"no authority's certificate", issued.Chain, current},
		{"no authority", nil, current},
	} {
		if err := v.Update(c.authorities, c.crls); err == nil {
			t.Errorf("%s is accepted", c.what)
		}
	}
	if lines := v.TakeLogLines(); v.Version() != version || len(lines) != 8 { // two updates and six errors
		t.Errorf("version %d after %d, log lines %q", v.Version(), version, lines)
	}
	if err := v.Update(nil, current); err != nil {
		t.Errorf("a repeated update: %v", err)
	}
	if lines := v.TakeLogLines(); len(lines) != 0 {
		t.Errorf("a repeated update is logged: %q", lines)
	}
	if err := v.Update(b.CertificatePEM(), nil); err != nil {
		t.Errorf("the CRL of an authority that is no longer trusted is still required: %v", err)
	}
}

// A CRL that is overdue for replacement stays in use, and is logged once.
func TestOverdueRevocationList(t *testing.T) {
	a := authority.New("a")
	issued := a.Issue(authority.Request{Names: []string{"127.0.0.1"}})
	a.Revoke(issued.Serial)
	v := NewVerifier(nil)
	nextUpdate := time.Now().Add(time.Minute)
	if err := v.Update(a.CertificatePEM(), a.RevocationList(nextUpdate)); err != nil {
		t.Error(err)
	}
	if next := v.Maintain(now()); next != microsOf(nextUpdate.Truncate(time.Second)) {
		t.Errorf("next at %d", next)
	}
	v.TakeLogLines()
	late := microsOf(nextUpdate) + 1
	v.Maintain(late)
	v.Maintain(late)
	if _, err := v.Verify(late, parse(t, issued), Server, "127.0.0.1"); reasonOf(t, err) != Revoked || len(v.TakeLogLines()) != 1 {
		t.Errorf("overdue: %v", err)
	}
}

// A CRL applies to every certificate of the authority that signed it. Otherwise a revoked peer would be accepted through another
// certificate of that authority, as after a reissue.
func TestRevocationCountsForReissuedAuthority(t *testing.T) {
	a := authority.New("a")
	issued := a.Issue(authority.Request{Names: []string{"127.0.0.1"}})
	a.Revoke(issued.Serial)
	crl := a.RevocationList(time.Now().Add(time.Hour))
	for name, authorities := range map[string][]byte{
		"the older first":    append(a.CertificatePEM(), a.ReissueCertificatePEM()...),
		"the reissued first": append(a.ReissueCertificatePEM(), a.CertificatePEM()...),
	} {
		v := NewVerifier(nil)
		if err := v.Update(authorities, crl); err != nil {
			t.Fatal(err)
		}
		if _, err := v.Verify(now(), parse(t, issued), Server, "127.0.0.1"); reasonOf(t, err) != Revoked {
			t.Errorf("%s: %v", name, err)
		}
		if err := v.Update(a.ReissueCertificatePEM(), nil); err == nil {
			t.Errorf("%s: the CRL of an authority that stays trusted by another certificate may be left out", name)
		}
	}
}
