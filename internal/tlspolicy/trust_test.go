package tlspolicy

import (
	"crypto/x509"
	"encoding/pem"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/fakeserver/authority"
)

func at(t time.Time) control.Micros { return microsOf(t) }

func now() control.Micros { return at(time.Now()) }

func leaf(i authority.Issued) []*x509.Certificate {
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
	middle := a.Below("middle")
	day := 24 * time.Hour
	issue := func(a *authority.Authority, q authority.Asked) []*x509.Certificate {
		if q.Names == nil {
			q.Names = []string{"127.0.0.1", "w1.workers.example", "spiffe://example/worker/1"}
		}
		return leaf(a.Issue(q))
	}
	gone, goneMiddle := a.Issue(authority.Asked{Names: []string{"127.0.0.1"}}), a.Below("gone")
	a.Revoke(gone.Serial)
	under := goneMiddle.Issue(authority.Asked{Names: []string{"127.0.0.1"}})
	a.Revoke(leaf(under)[1].SerialNumber)
	crl := a.List(time.Now().Add(day))
	for name, c := range map[string]struct {
		chain []*x509.Certificate
		names []string
		side  Role
		host  string
		want  Reason
		well  bool
	}{
		"good server":      {chain: issue(a, authority.Asked{}), host: "127.0.0.1", well: true},
		"by a middle one":  {chain: issue(middle, authority.Asked{}), host: "127.0.0.1", well: true},
		"good client":      {chain: issue(a, authority.Asked{}), side: Client, well: true},
		"told name":        {chain: issue(a, authority.Asked{}), names: []string{"*.workers.example"}, host: "10.0.0.1", well: true},
		"told URI":         {chain: issue(a, authority.Asked{}), names: []string{"spiffe://example/worker/*"}, well: true},
		"none":             {side: Client, want: NoCertificate},
		"another host":     {chain: issue(a, authority.Asked{}), host: "127.0.0.2", want: WrongName},
		"another name":     {chain: issue(a, authority.Asked{}), names: []string{"*.example", "w1.workers"}, host: "127.0.0.1", want: WrongName},
		"a longer URI":     {chain: issue(a, authority.Asked{}), names: []string{"spiffe://example/work/*"}, want: WrongName},
		"stranger":         {chain: issue(stranger, authority.Asked{}), host: "127.0.0.1", want: UnknownAuthority},
		"early":            {chain: issue(a, authority.Asked{From: time.Now().Add(day), Until: time.Now().Add(2 * day)}), host: "127.0.0.1", want: NotYetValid},
		"ended":            {chain: issue(a, authority.Asked{From: time.Now().Add(-2 * day), Until: time.Now().Add(-day)}), host: "127.0.0.1", want: Expired},
		"a client's alone": {chain: issue(a, authority.Asked{Uses: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}), host: "127.0.0.1", want: WrongKeyUsage},
		"revoked":          {chain: leaf(gone), host: "127.0.0.1", want: Revoked},
		"its signer is":    {chain: leaf(under), host: "127.0.0.1", want: Revoked},
	} {
		p := NewVerifier(c.names)
		if err := p.Update(now(), a.Cert(), crl); err != nil {
			t.Fatal(err)
		}
		_, err := p.Verify(now(), c.chain, c.side, c.host)
		if c.well != (err == nil) || err != nil && reason(t, err) != c.want {
			t.Errorf("%s: %v, want %v (well: %v)", name, err, c.want, c.well)
		}
	}
	if _, err := NewVerifier(nil).Verify(now(), issue(a, authority.Asked{}), Server, "127.0.0.1"); reason(t, err) != NoAuthorities {
		t.Error(err)
	}
}

// A list of revoked certificates that is missing, older, a stranger's or unreadable changes nothing; one out of date counts on.
func TestRevokedStaysRevoked(t *testing.T) {
	a, b := authority.New("a"), authority.New("b")
	x := a.Issue(authority.Asked{Names: []string{"127.0.0.1"}})
	p := NewVerifier(nil)
	old := a.List(time.Now().Add(time.Hour))
	offer := func(roots, lists []byte, well bool) {
		t.Helper()
		if err := p.Update(now(), roots, lists); well != (err == nil) {
			t.Errorf("%v", err)
		}
	}
	offer(a.Cert(), old, true)
	s, err := p.Verify(now(), leaf(x), Server, "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	a.Revoke(x.Serial)
	next := a.List(time.Now().Add(time.Hour))
	offer(a.Cert(), next, true)
	if reason(t, p.Reverify(now(), &s)) != Revoked {
		t.Error("a connection outlives its peer's revocation")
	}
	version := p.Version()
	offer(a.Cert(), nil, false)
	offer(a.Cert(), old, false)
	offer(a.Cert(), b.List(time.Now().Add(time.Hour)), false)
	offer(a.Cert(), append(slices.Clone(next), "-----BEGIN X509 CRL-----\nAAAA\n-----END X509 CRL-----\n"...), false)
	offer(x.Chain, next, false) // no authority
	offer(nil, next, false)
	if notes := p.LogLines(); p.Version() != version || len(notes) != 8 {
		t.Errorf("version %d after %d, notes %q", p.Version(), version, notes)
	}
	offer(nil, next, true) // the same again: not said twice
	if notes := p.LogLines(); len(notes) != 0 {
		t.Errorf("notes %q", notes)
	}
	offer(b.Cert(), nil, true) // an authority that is trusted no more needs no list
	p = NewVerifier(nil)
	soon := time.Now().Add(time.Minute)
	offer(a.Cert(), a.List(soon), true)
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

// What was believed is believed no longer once it has ended, or its authority is trusted no more, and still is where another
// way leads to one that is.
func TestStandingEnds(t *testing.T) {
	a, b := authority.New("a"), authority.New("b")
	until := time.Now().Add(time.Minute).Truncate(time.Second)
	x := leaf(a.Issue(authority.Asked{Names: []string{"127.0.0.1"}, Until: until}))
	p := NewVerifier(nil)
	p.Update(now(), a.Cert(), nil)
	s, err := p.Verify(now(), x, Server, "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	p.Update(now(), append(a.Cert(), b.Cert()...), nil)
	if err := p.Reverify(at(until)-1, &s); err != nil {
		t.Error(err)
	}
	if err := p.Reverify(at(until), &s); reason(t, err) != Expired {
		t.Error(err)
	}
	p.Update(now(), b.Cert(), nil)
	if err := p.Reverify(now(), &s); reason(t, err) != UnknownAuthority {
		t.Error(err)
	}
}

// Of two files that are written one after the other neither half comes into service, and only one that stays so is told.
func TestMismatchedPairStays(t *testing.T) {
	a := authority.New("a")
	x, y := a.Issue(authority.Asked{Names: []string{"x"}}), a.Issue(authority.Asked{Names: []string{"y"}})
	var i Identity
	if err := i.Update(now(), x.Chain, y.Key); err == nil || i.Current() != nil {
		t.Fatal("a mismatched pair serves")
	}
	if err := i.Update(now(), x.Chain, x.Key); err != nil {
		t.Fatal(err)
	}
	i.LogLines()
	if err := i.Update(now(), y.Chain, x.Key); err == nil || len(i.LogLines()) != 0 {
		t.Errorf("between two writings: %v", err)
	}
	if err := i.Update(now(), y.Chain, y.Key); err != nil || i.Current().Leaf.DNSNames[0] != "y" || i.Version() != 2 {
		t.Errorf("%v, version %d", err, i.Version())
	}
	i.LogLines()
	for range 3 {
		i.Update(now(), x.Chain, y.Key)
	}
	i.Update(now(), []byte("torn"), y.Key)
	if notes := i.LogLines(); len(notes) != 2 || i.Current().Leaf.DNSNames[0] != "y" {
		t.Errorf("notes %q", notes)
	}
}

// A certificate that is not valid yet waits until it is; one that ended does not come into service; the end of one that serves
// is announced before and at it.
func TestCertificatesTimes(t *testing.T) {
	a := authority.New("a")
	begin := time.Now().Truncate(time.Second)
	x := a.Issue(authority.Asked{Names: []string{"x"}, From: begin.Add(-80 * time.Second), Until: begin.Add(20 * time.Second)})
	y := a.Issue(authority.Asked{Names: []string{"y"}, From: begin.Add(10 * time.Second), Until: begin.Add(time.Hour)})
	ended := a.Issue(authority.Asked{Names: []string{"z"}, From: begin.Add(-time.Hour), Until: begin.Add(-time.Second)})
	var i Identity
	i.Update(at(begin), x.Chain, x.Key)
	if next := i.Maintain(at(begin)); next != at(begin.Add(20*time.Second)) || len(i.LogLines()) != 2 { // in service; ends soon
		t.Errorf("the alarm is at %d", next)
	}
	if err := i.Update(at(begin), ended.Chain, ended.Key); err == nil || i.Current().Leaf.DNSNames[0] != "x" {
		t.Error("an ended certificate serves")
	}
	if err := i.Update(at(begin), y.Chain, y.Key); err != nil || i.Current().Leaf.DNSNames[0] != "x" {
		t.Errorf("%v, %v serves", err, i.Current().Leaf.DNSNames)
	}
	if next := i.Maintain(at(begin)); next != at(begin.Add(10*time.Second)) {
		t.Errorf("the alarm is at %d", next)
	}
	i.Maintain(at(begin.Add(10 * time.Second)))
	if i.Current().Leaf.DNSNames[0] != "y" {
		t.Error("what has waited does not serve")
	}
	i.LogLines()
	i.Maintain(at(begin.Add(time.Hour)))
	i.Maintain(at(begin.Add(2 * time.Hour)))
	if notes := i.LogLines(); len(notes) != 1 || !strings.Contains(notes[0], "ended") {
		t.Errorf("%q", notes)
	}
}

// Connections that show an earlier certificate are replaced one after another, all within the turnover.
func TestConnectionsTurnOver(t *testing.T) {
	a := authority.New("a")
	x, y := a.Issue(authority.Asked{Names: []string{"x"}}), a.Issue(authority.Asked{Names: []string{"y"}})
	var i Identity
	i.Update(now(), x.Chain, x.Key)
	version, begin := i.Version(), now()
	if i.ReplaceNow(begin+replacementPeriod, version, 0) {
		t.Error("nothing changed")
	}
	i.Update(begin, y.Chain, y.Key)
	if i.ReplaceNow(begin+replacementPeriod/2-1, version, 0.5) || !i.ReplaceNow(begin+replacementPeriod/2, version, 0.5) || i.ReplaceNow(begin+replacementPeriod, i.Version(), 0.5) {
		t.Error("not at its own place")
	}
}
