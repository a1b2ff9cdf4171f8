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

const day = 24 * time.Hour

func now() control.Micros { return microsOf(time.Now()) }

// parse returns the certificates of an issued chain.
func parse(t *testing.T, c authority.Certificate) []*x509.Certificate {
	t.Helper()
	var chain []*x509.Certificate
	for block, rest := pem.Decode(c.Chain); block != nil; block, rest = pem.Decode(rest) {
		parsed, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			t.Fatal(err)
		}
		chain = append(chain, parsed)
	}
	return chain
}

// reasonOf returns the reason of a verifier's error, and checks that its text is a single line.
func reasonOf(t *testing.T, err error) Reason {
	t.Helper()
	var peerError *PeerError
	if !errors.As(err, &peerError) {
		t.Fatalf("%v is not a PeerError", err)
	}
	if strings.ContainsAny(peerError.Text, "\n") || peerError.Text == "" {
		t.Errorf("%q is not a single line", peerError.Text)
	}
	return peerError.Reason
}

// Valid peers are trusted, and each kind of invalid peer is rejected with its own reason.
func TestVerify(t *testing.T) {
	ours, others := authority.New("ours"), authority.New("theirs")
	intermediate := ours.NewIntermediate("middle")
	issue := func(by *authority.Authority, request authority.Request) []*x509.Certificate {
		if request.Names == nil {
			request.Names = []string{"127.0.0.1", "w1.workers.example", "spiffe://example/worker/1"}
		}
		return parse(t, by.Issue(request))
	}
	revoked, revokedIntermediate := ours.Issue(authority.Request{Names: []string{"127.0.0.1"}}), ours.NewIntermediate("gone")
	ours.Revoke(revoked.Serial)
	underRevoked := revokedIntermediate.Issue(authority.Request{Names: []string{"127.0.0.1"}})
	ours.Revoke(parse(t, underRevoked)[1].SerialNumber)
	crl := ours.RevocationList(time.Now().Add(day))
	for name, c := range map[string]struct {
		chain   []*x509.Certificate
		names   []string
		role    Role
		host    string
		want    Reason // if not trusted
		trusted bool
	}{
		"server":               {chain: issue(ours, authority.Request{}), host: "127.0.0.1", trusted: true},
		"intermediate":         {chain: issue(intermediate, authority.Request{}), host: "127.0.0.1", trusted: true},
		"client":               {chain: issue(ours, authority.Request{}), role: Client, trusted: true},
		"accepted name":        {chain: issue(ours, authority.Request{}), names: []string{"*.workers.example"}, host: "10.0.0.1", trusted: true},
		"accepted URI":         {chain: issue(ours, authority.Request{}), names: []string{"spiffe://example/worker/*"}, trusted: true},
		"none":                 {role: Client, want: NoCertificate},
		"another host":         {chain: issue(ours, authority.Request{}), host: "127.0.0.2", want: WrongName},
		"another name":         {chain: issue(ours, authority.Request{}), names: []string{"*.example", "w1.workers"}, host: "127.0.0.1", want: WrongName},
		"a longer URI":         {chain: issue(ours, authority.Request{}), names: []string{"spiffe://example/work/*"}, want: WrongName},
		"another authority":    {chain: issue(others, authority.Request{}), host: "127.0.0.1", want: UnknownAuthority},
		"not yet valid":        {chain: issue(ours, authority.Request{NotBefore: time.Now().Add(day), NotAfter: time.Now().Add(2 * day)}), host: "127.0.0.1", want: NotYetValid},
		"expired":              {chain: issue(ours, authority.Request{NotBefore: time.Now().Add(-2 * day), NotAfter: time.Now().Add(-day)}), host: "127.0.0.1", want: Expired},
		"for clients alone":    {chain: issue(ours, authority.Request{ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}), host: "127.0.0.1", want: WrongKeyUsage},
		"revoked":              {chain: parse(t, revoked), host: "127.0.0.1", want: Revoked},
		"revoked intermediate": {chain: parse(t, underRevoked), host: "127.0.0.1", want: Revoked},
	} {
		v := NewVerifier(c.names)
		if err := v.Update(ours.CertificatePEM(), crl); err != nil {
			t.Fatal(err)
		}
		_, err := v.Verify(now(), c.chain, c.role, c.host)
		if c.trusted != (err == nil) || err != nil && reasonOf(t, err) != c.want {
			t.Errorf("%s: %v, want %v (trusted: %v)", name, err, c.want, c.trusted)
		}
	}
	if _, err := NewVerifier(nil).Verify(now(), issue(ours, authority.Request{}), Server, "127.0.0.1"); reasonOf(t, err) != NoAuthorities {
		t.Error(err)
	}
}

// A peer is no longer trusted once its certificate has expired or its authority is no longer trusted. Adding another authority changes
// nothing.
func TestReverify(t *testing.T) {
	a, b := authority.New("a"), authority.New("b")
	expiry := time.Now().Add(time.Minute).Truncate(time.Second)
	chain := parse(t, a.Issue(authority.Request{Names: []string{"127.0.0.1"}, NotAfter: expiry}))
	v := NewVerifier(nil)
	if err := v.Update(a.CertificatePEM(), nil); err != nil {
		t.Fatal(err)
	}
	peer, err := v.Verify(now(), chain, Server, "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	if err := v.Update(append(a.CertificatePEM(), b.CertificatePEM()...), nil); err != nil {
		t.Fatal(err)
	}
	if err := v.Reverify(microsOf(expiry)-1, &peer); err != nil {
		t.Error(err)
	}
	if err := v.Reverify(microsOf(expiry), &peer); reasonOf(t, err) != Expired {
		t.Error(err)
	}
	if err := v.Update(b.CertificatePEM(), nil); err != nil {
		t.Fatal(err)
	}
	if err := v.Reverify(now(), &peer); reasonOf(t, err) != UnknownAuthority {
		t.Error(err)
	}
}
