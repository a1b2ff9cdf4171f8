package tlspolicy

import (
	"crypto/x509"
	"encoding/pem"
	"errors"
	"strings"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/fakeserver/authority"
)

func at(t time.Time) control.Micros { return microsOf(t) }

func now() control.Micros { return at(time.Now()) }

func leaf(i authority.Certificate) []*x509.Certificate {
	var chain []*x509.Certificate
	for b, rest := pem.Decode(i.Chain); b != nil; b, rest = pem.Decode(rest) {
		c, err := x509.ParseCertificate(b.Bytes)
		if err != nil {
			panic(err)
		}
		chain = append(chain, c)
	}
	return chain
}

func reason(t *testing.T, err error) Reason {
	t.Helper()
	var no *PeerError
	if !errors.As(err, &no) {
		t.Fatalf("%v is no refusal", err)
	}
	if strings.ContainsAny(no.Text, "\n") || no.Text == "" {
		t.Errorf("%q is not one plain line", no.Text)
	}
	return no.Reason
}

// Every way in which a peer can be wrong is refused for its own reason.
func TestPeersAreRefused(t *testing.T) {
	a, stranger := authority.New("ours"), authority.New("theirs")
	middle := a.Intermediate("middle")
	day := 24 * time.Hour
	issue := func(a *authority.Authority, q authority.Request) []*x509.Certificate {
		if q.Names == nil {
			q.Names = []string{"127.0.0.1", "w1.workers.example", "spiffe://example/worker/1"}
		}
		return leaf(a.Issue(q))
	}
	gone, goneMiddle := a.Issue(authority.Request{Names: []string{"127.0.0.1"}}), a.Intermediate("gone")
	a.Revoke(gone.Serial)
	under := goneMiddle.Issue(authority.Request{Names: []string{"127.0.0.1"}})
	a.Revoke(leaf(under)[1].SerialNumber)
	crl := a.RevocationList(time.Now().Add(day))
	for name, c := range map[string]struct {
		chain []*x509.Certificate
		names []string
		side  Role
		host  string
		want  Reason
		well  bool
	}{
		"good server":      {chain: issue(a, authority.Request{}), host: "127.0.0.1", well: true},
		"by a middle one":  {chain: issue(middle, authority.Request{}), host: "127.0.0.1", well: true},
		"good client":      {chain: issue(a, authority.Request{}), side: Client, well: true},
		"told name":        {chain: issue(a, authority.Request{}), names: []string{"*.workers.example"}, host: "10.0.0.1", well: true},
		"told URI":         {chain: issue(a, authority.Request{}), names: []string{"spiffe://example/worker/*"}, well: true},
		"none":             {side: Client, want: NoCertificate},
		"another host":     {chain: issue(a, authority.Request{}), host: "127.0.0.2", want: WrongName},
		"another name":     {chain: issue(a, authority.Request{}), names: []string{"*.example", "w1.workers"}, host: "127.0.0.1", want: WrongName},
		"a longer URI":     {chain: issue(a, authority.Request{}), names: []string{"spiffe://example/work/*"}, want: WrongName},
		"stranger":         {chain: issue(stranger, authority.Request{}), host: "127.0.0.1", want: UnknownAuthority},
		"early":            {chain: issue(a, authority.Request{NotBefore: time.Now().Add(day), NotAfter: time.Now().Add(2 * day)}), host: "127.0.0.1", want: NotYetValid},
		"ended":            {chain: issue(a, authority.Request{NotBefore: time.Now().Add(-2 * day), NotAfter: time.Now().Add(-day)}), host: "127.0.0.1", want: Expired},
		"a client's alone": {chain: issue(a, authority.Request{Uses: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}), host: "127.0.0.1", want: WrongKeyUsage},
		"revoked":          {chain: leaf(gone), host: "127.0.0.1", want: Revoked},
		"its signer is":    {chain: leaf(under), host: "127.0.0.1", want: Revoked},
	} {
		p := NewVerifier(c.names)
		if err := p.Update(now(), a.CertificatePEM(), crl); err != nil {
			t.Fatal(err)
		}
		_, err := p.Verify(now(), c.chain, c.side, c.host)
		if c.well != (err == nil) || err != nil && reason(t, err) != c.want {
			t.Errorf("%s: %v, want %v (well: %v)", name, err, c.want, c.well)
		}
	}
	if _, err := NewVerifier(nil).Verify(now(), issue(a, authority.Request{}), Server, "127.0.0.1"); reason(t, err) != NoAuthorities {
		t.Error(err)
	}
}

// What was believed is believed no longer once it has ended, or its authority is trusted no more, and still is where another
// way leads to one that is.
func TestStandingEnds(t *testing.T) {
	a, b := authority.New("a"), authority.New("b")
	until := time.Now().Add(time.Minute).Truncate(time.Second)
	x := leaf(a.Issue(authority.Request{Names: []string{"127.0.0.1"}, NotAfter: until}))
	p := NewVerifier(nil)
	p.Update(now(), a.CertificatePEM(), nil)
	s, err := p.Verify(now(), x, Server, "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	p.Update(now(), append(a.CertificatePEM(), b.CertificatePEM()...), nil)
	if err := p.Reverify(at(until)-1, &s); err != nil {
		t.Error(err)
	}
	if err := p.Reverify(at(until), &s); reason(t, err) != Expired {
		t.Error(err)
	}
	p.Update(now(), b.CertificatePEM(), nil)
	if err := p.Reverify(now(), &s); reason(t, err) != UnknownAuthority {
		t.Error(err)
	}
}
