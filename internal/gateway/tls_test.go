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

// testCertStore returns a certificate store that reads its own files, and its configuration; authorities may be nil.
func testCertStore(t *testing.T, own authority.Certificate, authorities []byte) (*certstore.Config, *certstore.Store) {
	t.Helper()
	dir := t.TempDir()
	config := &certstore.Config{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authorities: filepath.Join(dir, "authorities")}
	for name, b := range map[string][]byte{config.Certificate: own.Chain, config.Key: own.Key, config.Authorities: authorities} {
		if err := os.WriteFile(name, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	store, err := certstore.Open(config, wallClock, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	return config, store
}

// serverHandshakeWith returns the handshake of a server that uses a store.
func serverHandshakeWith(store *certstore.Store) func(conn net.Conn) (net.Conn, error) {
	return func(conn net.Conn) (net.Conn, error) { return store.ServerHandshake(context.Background(), conn) }
}

// Servers with an untrusted certificate, and servers that do not trust the gateway's certificate, count as unreachable:
// nothing runs there, and even non-idempotent requests succeed on other servers. Clients without a valid certificate
// are rejected.
func TestUntrustedPeers(t *testing.T) {
	ours, theirs := authority.New("ours"), authority.New("theirs")
	_, trusted := testCertStore(t, ours.Issue(localhostNames), ours.CertificatePEM())
	_, untrusted := testCertStore(t, theirs.Issue(localhostNames), ours.CertificatePEM())
	_, distrusting := testCertStore(t, ours.Issue(localhostNames), theirs.CertificatePEM())
	servers := []fakeserver.Config{serverConfig(0), serverConfig(1), serverConfig(2)}
	for i, store := range []*certstore.Store{untrusted, distrusting, trusted} {
		servers[i].Handshake = serverHandshakeWith(store)
	}
	serverTLS, _ := testCertStore(t, ours.Issue(localhostNames), ours.CertificatePEM())
	clientTLS, _ := testCertStore(t, ours.Issue(localhostNames), ours.CertificatePEM())
	tg := newTestGatewayConfigured(t, "", func(c *Config) {
		c.TLS = map[string]*certstore.Config{serverConnections: serverTLS, clientConnections: clientTLS}
	}, servers...)
	_, client := testCertStore(t, ours.Issue(localhostNames), ours.CertificatePEM())
	_, untrustedClient := testCertStore(t, theirs.Issue(localhostNames), ours.CertificatePEM())
	infer := func(store *certstore.Store, id string) string {
		t.Helper()
		conn, err := rest.DialWithHandshake(context.Background(), tg.gateway.Address(), &rest.DefaultLimits, store.ClientHandshake)
		if err != nil {
			return err.Error()
		}
		defer conn.Close()
		resp, _, err := conn.Do(inferRequest(id, "ticket-"+id, 2*time.Second), time.Now().Add(5*time.Second))
		if err != nil {
			return err.Error()
		}
		if resp.Status == 200 {
			return invariant.Succeeded
		}
		return string(resp.Body)
	}
	for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} { // the functions rank the servers differently
		if answer := infer(client, id); answer != invariant.Succeeded {
			t.Errorf("request %s: %s", id, answer)
		}
	}
	for _, r := range tg.log.Records() {
		if r.Kind == invariant.AttemptReceived && r.Server != 2 {
			t.Errorf("server %d received request %s", r.Server, r.Request)
		}
	}
	if answer := infer(untrustedClient, "9"); !strings.Contains(answer, rest.ErrCertificateRejected.Error()) {
		t.Errorf("client with a certificate of another authority: %s", answer)
	}
	text := string(tg.gateway.metrics.response().Body)
	for _, want := range []string{`executions_total{result="no connection"}`, `tls_refused_total{connections="clients",reason="unknown authority"} 1`,
		`tls_refused_total{connections="workers",reason="unknown authority"}`, `tls_certificate_ends_seconds{connections="workers"}`} {
		if !strings.Contains(text, want) {
			t.Errorf("the metrics do not contain %s", want)
		}
	}
}
