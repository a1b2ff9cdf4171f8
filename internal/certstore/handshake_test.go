package certstore

import (
	"context"
	"crypto/tls"
	"errors"
	"hollymast/internal/fakeserver/authority"
	"hollymast/internal/rest"
	"hollymast/internal/tlspolicy"
	"strings"
	"testing"
)

// A server that does not believe a client tells it so although the client has already sent its whole request, every time: it is
// proved that no request was read.
func TestRefusedClientLearnsIt(t *testing.T) {
	a, b := authority.New("a"), authority.New("b")
	server, _ := ringOf(t, a.Issue(host), a.CertificatePEM(), nil)
	client, _ := ringOf(t, b.Issue(host), a.CertificatePEM(), nil)
	address := serve(t, server)
	for range 50 {
		c, err := dial(client, address)
		if err != nil {
			t.Fatal(err) // in TLS 1.3 the client's side is done before it is checked
		}
		if p, err := ask(c); !errors.Is(err, rest.ErrCertificateRejected) {
			t.Fatalf("%v, %v", p, err)
		}
		c.Close()
	}
	if n := server.Stats().RejectedPeers["unknown authority"]; n != 50 {
		t.Errorf("%d refused", n)
	}
}

// TLS 1.2 is refused unless it was asked for; a peer that speaks no TLS gets no connection.
func TestOldAndPlainPeers(t *testing.T) {
	a := authority.New("a")
	server, _ := ringOf(t, a.Issue(host), a.CertificatePEM(), nil)
	address := serve(t, server)
	own := a.Issue(host)
	pair, err := tlspolicy.ParseKeyPair(own.Chain, own.Key)
	if err != nil {
		t.Fatal(err)
	}
	old := func() error {
		c, err := tls.Dial("tcp", address, &tls.Config{MaxVersion: tls.VersionTLS12, InsecureSkipVerify: true, Certificates: []tls.Certificate{*pair}})
		if err == nil {
			c.Close()
		}
		return err
	}
	if err := old(); err == nil || !strings.Contains(err.Error(), "version") {
		t.Errorf("TLS 1.2: %v", err)
	}
	also, _ := ringOf(t, a.Issue(host), a.CertificatePEM(), nil)
	also.config.AllowTLS12 = true
	strict := address
	address = serve(t, also)
	if err := old(); err != nil {
		t.Errorf("TLS 1.2, asked for: %v", err)
	}
	c, err := rest.Dial(context.Background(), strict, &rest.DefaultLimits)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := ask(c); err == nil {
		t.Error("a plain request was answered")
	}
	if n := server.Stats().FailedHandshakes; n != 2 {
		t.Errorf("%d failed", n)
	}
}
