package certstore

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hollymast/control"
	"hollymast/internal/fakeserver/authority"
	"hollymast/internal/rest"
)

// Package rest checks the peer of a connection that implements this interface. If Conn stopped implementing it, the checks would be
// skipped silently.
var _ rest.PeerChecker = (*Conn)(nil)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func now() control.Micros { return control.Micros(time.Now().UnixMicro()) }

// loopback is the request for a certificate of the address that the tests connect to.
var loopback = authority.Request{Names: []string{"127.0.0.1"}}

// newStore returns a store and the directory of its files. Revoked is the contents of the CRL file; nil: no such file.
func newStore(t *testing.T, own authority.Certificate, authorities, revoked []byte) (*Store, string) {
	t.Helper()
	dir := t.TempDir()
	writeFiles(t, dir, map[string][]byte{"cert": own.Chain, "key": own.Key, "authorities": authorities})
	config := &Config{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authorities: filepath.Join(dir, "authorities")}
	if revoked != nil {
		writeFiles(t, dir, map[string][]byte{"revoked": revoked})
		config.RevocationLists = filepath.Join(dir, "revoked")
	}
	s, err := Open(config, now, func(text string) { t.Log(text) })
	if err != nil {
		t.Fatal(err)
	}
	return s, dir
}

func writeFiles(t *testing.T, dir string, files map[string][]byte) {
	t.Helper()
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// serve starts a TLS server that answers every request until the test ends, and returns its address.
func serve(t *testing.T, store *Store) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	t.Cleanup(func() { l.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { serveConn(store, nc) })
		}
	})
	return l.Addr().String()
}

func serveConn(store *Store, nc net.Conn) {
	defer nc.Close()
	conn, err := store.ServerHandshake(context.Background(), nc)
	if err != nil {
		return
	}
	limits := rest.DefaultLimits
	limits.IdleTimeout = 5 * time.Second
	c := rest.NewConn(conn, &limits, nil)
	for {
		if _, err := c.ReadRequest(); err != nil {
			return
		}
		c.WriteResponse(&rest.Response{Status: 200, Header: rest.Header{}, Body: []byte("yes")})
	}
}

// send sends a request that is too large to be buffered at once by a connection.
func send(c *rest.Client) (rest.Progress, error) {
	_, p, err := c.Do(&rest.Request{Method: "POST", Target: "/", Header: rest.Header{"Host": {"x"}}, Body: make([]byte, 40_000)}, time.Now().Add(5*time.Second))
	return p, err
}

func dial(store *Store, address string) (*rest.Client, error) {
	return rest.DialWithHandshake(context.Background(), address, &rest.DefaultLimits, store.ClientHandshake)
}

// waitFor waits for a condition.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within five seconds: %s", what)
		}
	}
}

// Files are replaced while a connection is open: the connection stays usable, new connections present the new certificate, and after a pair
// that does not match the old one stays in service. A peer whose certificate is revoked gets no answer on its open connection.
func TestFilesAreReplaced(t *testing.T) {
	a := authority.New("a")
	before, after, peer := a.Issue(loopback), a.Issue(loopback), a.Issue(loopback)
	server, dir := newStore(t, before, a.CertificatePEM(), a.RevocationList(time.Now().Add(time.Hour)))
	client, _ := newStore(t, peer, a.CertificatePEM(), nil)
	address := serve(t, server)
	presentedSerial := func() string {
		t.Helper()
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		conn, err := client.ClientHandshake(context.Background(), nc, address)
		if err != nil {
			t.Fatal(err)
		}
		return conn.(*Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	c, err := dial(client, address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	expectAnswer := func() {
		t.Helper()
		if c.Stale() {
			t.Fatal("an idle connection is reported as closed")
		}
		if _, err := send(c); err != nil {
			t.Fatal(err)
		}
	}
	expectAnswer()
	writeFiles(t, dir, map[string][]byte{"cert": after.Chain})
	if err := server.reload(); err == nil || presentedSerial() != before.Serial.String() {
		t.Errorf("only the certificate is replaced: %v", err)
	}
	writeFiles(t, dir, map[string][]byte{"key": after.Key})
	if err := server.reload(); err != nil || presentedSerial() != after.Serial.String() {
		t.Errorf("%v: %s is presented", err, presentedSerial())
	}
	expectAnswer()
	os.Remove(filepath.Join(dir, "key"))
	if err := server.reload(); err == nil || presentedSerial() != after.Serial.String() {
		t.Errorf("the key file is missing: %v", err)
	}
	writeFiles(t, dir, map[string][]byte{"key": after.Key})
	a.Revoke(peer.Serial)
	writeFiles(t, dir, map[string][]byte{"revoked": a.RevocationList(time.Now().Add(time.Hour))})
	if err := server.reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := send(c); err == nil {
		t.Error("a revoked peer's request was answered")
	}
}

// An unreadable file is logged only once until it can be read again, and the previous contents stay in use.
func TestUnreadableFile(t *testing.T) {
	a := authority.New("a")
	own := a.Issue(loopback)
	s, dir := newStore(t, own, a.CertificatePEM(), nil)
	var lines []string
	s.log = func(text string) { lines = append(lines, text) }
	if err := os.Remove(filepath.Join(dir, "key")); err != nil {
		t.Fatal(err)
	}
	last := ""
	for range 3 {
		last = s.poll(last)
	}
	if len(lines) != 1 || !strings.Contains(lines[0], "key") || s.identity.Current() == nil {
		t.Errorf("log lines %q", lines)
	}
	writeFiles(t, dir, map[string][]byte{"key": own.Key})
	if last = s.poll(last); last != "" || len(lines) != 1 {
		t.Errorf("readable again: %q, log lines %q", last, lines)
	}
}
