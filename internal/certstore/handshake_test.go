package certstore

import (
	"context"
	"crypto/tls"
	"errors"
	"strings"
	"testing"

	"hollymast/internal/fakeserver/authority"
	"hollymast/internal/rest"
	"hollymast/internal/tlspolicy"
)

// A rejected client always gets the TLS alert, although it has already sent its whole request. Without the alert it could not tell that the
// server did not read the request.
func TestRejectedClientGetsAlert(t *testing.T) {
	a, b := authority.New("a"), authority.New("b")
	server, _ := newStore(t, a.Issue(loopback), a.CertificatePEM(), nil)
	client, _ := newStore(t, b.Issue(loopback), a.CertificatePEM(), nil)
	address := serve(t, server)
	for range 50 {
		c, err := dial(client, address)
		if err != nil {
			t.Fatal(err) // in TLS 1.3 the client's handshake ends before the server verifies the client
		}
		if p, err := send(c); !errors.Is(err, rest.ErrCertificateRejected) {
			t.Fatalf("%v, %v", p, err)
		}
		c.Close()
	}
	if n := server.Stats().RejectedPeers[tlspolicy.UnknownAuthority]; n != 50 {
		t.Errorf("%d rejected", n)
	}
}

// TLS 1.2 is rejected unless it is allowed, and a peer without TLS gets no answer.
func TestTLS12AndPlainText(t *testing.T) {
	a := authority.New("a")
	server, _ := newStore(t, a.Issue(loopback), a.CertificatePEM(), nil)
	address := serve(t, server)
	own := a.Issue(loopback)
	pair, err := tlspolicy.ParseKeyPair(own.Chain, own.Key)
	if err != nil {
		t.Fatal(err)
	}
	dialTLS12 := func(address string) error {
		c, err := tls.Dial("tcp", address, &tls.Config{MaxVersion: tls.VersionTLS12, InsecureSkipVerify: true, Certificates: []tls.Certificate{*pair}})
		if err == nil {
			c.Close()
		}
		return err
	}
	if err := dialTLS12(address); err == nil || !strings.Contains(err.Error(), "version") {
		t.Errorf("TLS 1.2: %v", err)
	}
	allowsTLS12, _ := newStore(t, a.Issue(loopback), a.CertificatePEM(), nil)
	allowsTLS12.config.AllowTLS12 = true
	if err := dialTLS12(serve(t, allowsTLS12)); err != nil {
		t.Errorf("TLS 1.2, allowed: %v", err)
	}
	c, err := rest.Dial(context.Background(), address, &rest.DefaultLimits)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := send(c); err == nil {
		t.Error("a plain-text request was answered")
	}
	waitFor(t, "two failed handshakes", func() bool { return server.Stats().FailedHandshakes == 2 })
}
