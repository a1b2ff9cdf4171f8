package gateway

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hollymast/internal/certstore"
	"hollymast/internal/fakeserver"
	"hollymast/internal/fakeserver/authority"
	"hollymast/internal/invariant"
	"hollymast/internal/rest"
)

var localhostNames = authority.Request{Names: []string{"127.0.0.1"}}

// testCertStore returns a certificate store with files of its own; authorities may be nil.
func testCertStore(t *testing.T, own authority.Certificate, authorities []byte) (*certstore.Config, *certstore.Store) {
	t.Helper()
	dir := t.TempDir()
	told := &certstore.Config{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authorities: filepath.Join(dir, "authorities")}
	for name, b := range map[string][]byte{told.Certificate: own.Chain, told.Key: own.Key, told.Authorities: authorities} {
		if err := os.WriteFile(name, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	r, err := certstore.Open(told, wallClock, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	return told, r
}

// serverSide returns the handshake of a server with a store.
func serverSide(r *certstore.Store) func(conn net.Conn) (net.Conn, error) {
	return func(conn net.Conn) (net.Conn, error) { return r.ServerHandshake(context.Background(), conn) }
}

// Servers with an untrusted certificate, and those that do not trust the gateway's, count as unreachable: even requests that
// must not be repeated succeed elsewhere, and nothing runs at them. Clients without a valid certificate are rejected.
func TestUntrustedPeers(t *testing.T) {
	ours, theirs := authority.New("ours"), authority.New("theirs")
	_, good := testCertStore(t, ours.Issue(localhostNames), ours.CertificatePEM())
	_, stranger := testCertStore(t, theirs.Issue(localhostNames), ours.CertificatePEM())
	_, aloof := testCertStore(t, ours.Issue(localhostNames), theirs.CertificatePEM())
	makes := []fakeserver.Config{serverOptions(0), serverOptions(1), serverOptions(2)}
	for i, r := range []*certstore.Store{stranger, aloof, good} {
		makes[i].Handshake = serverSide(r)
	}
	toldWorkers, _ := testCertStore(t, ours.Issue(localhostNames), ours.CertificatePEM())
	toldClients, _ := testCertStore(t, ours.Issue(localhostNames), ours.CertificatePEM())
	tg := newTestGatewayConfigured(t, "", func(c *Config) {
		c.TLS = map[string]*certstore.Config{serverConnections: toldWorkers, clientConnections: toldClients}
	}, makes...)
	_, client := testCertStore(t, ours.Issue(localhostNames), ours.CertificatePEM())
	_, unknown := testCertStore(t, theirs.Issue(localhostNames), ours.CertificatePEM())
	ask := func(r *certstore.Store, job string) string {
		t.Helper()
		c, err := rest.DialWithHandshake(context.Background(), tg.gateway.Address(), &rest.DefaultLimits, r.ClientHandshake)
		if err != nil {
			return err.Error()
		}
		defer c.Close()
		resp, _, err := c.Do(inferRequest(job, "ticket-"+job, 2*time.Second), time.Now().Add(5*time.Second))
		if err != nil {
			return err.Error()
		}
		if resp.Status == 200 {
			return invariant.Succeeded
		}
		return string(resp.Body)
	}
	for _, job := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} { // the functions' orders of servers differ
		if answer := ask(client, job); answer != invariant.Succeeded {
			t.Errorf("request %s: %s", job, answer)
		}
	}
	for _, r := range tg.log.Records() {
		if r.Kind == invariant.AttemptReceived && r.Server != 2 {
			t.Errorf("server %d got request %s", r.Server, r.Request)
		}
	}
	if answer := ask(unknown, "9"); !strings.Contains(answer, rest.ErrCertificateRejected.Error()) {
		t.Errorf("a client of another authority: %s", answer)
	}
	text := string(tg.gateway.metrics.response().Body)
	for _, want := range []string{`executions_total{result="no connection"}`, `tls_refused_total{connections="clients",reason="unknown authority"} 1`,
		`tls_refused_total{connections="workers",reason="unknown authority"}`, `tls_certificate_ends_seconds{connections="workers"}`} {
		if !strings.Contains(text, want) {
			t.Errorf("the metrics lack %s", want)
		}
	}
}
