package certstore

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hollymast/control"
	"hollymast/internal/fakeserver/authority"
	"hollymast/internal/rest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func now() control.Micros { return control.Micros(time.Now().UnixMicro()) }

var host = authority.Request{Names: []string{"127.0.0.1"}}

// ringOf gives a ring whose keys are in files of a folder.
func ringOf(t *testing.T, own authority.Certificate, authorities, revoked []byte) (*Store, string) {
	t.Helper()
	dir := t.TempDir()
	put(t, dir, map[string][]byte{"cert": own.Chain, "key": own.Key, "authorities": authorities})
	told := &Config{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authorities: filepath.Join(dir, "authorities")}
	if revoked != nil {
		put(t, dir, map[string][]byte{"revoked": revoked})
		told.RevocationLists = filepath.Join(dir, "revoked")
	}
	r, err := Open(told, now, func(text string) { t.Log(text) })
	if err != nil {
		t.Fatal(err)
	}
	return r, dir
}

func put(t *testing.T, dir string, files map[string][]byte) {
	t.Helper()
	for name, b := range files {
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// serve answers every request of secret connections until the test ends.
func serve(t *testing.T, r *Store) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	t.Cleanup(func() { l.Close(); wg.Wait() })
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer nc.Close()
				s, err := r.ServerHandshake(context.Background(), nc)
				if err != nil {
					return
				}
				limits := rest.DefaultLimits
				limits.IdleTimeout = 5 * time.Second
				c := rest.NewConn(s, &limits, nil)
				for {
					if _, err := c.ReadRequest(); err != nil {
						return
					}
					c.WriteResponse(&rest.Response{Status: 200, Header: rest.Header{}, Body: []byte("yes")})
				}
			}()
		}
	}()
	return l.Addr().String()
}

func ask(c *rest.Client) (rest.Progress, error) {
	_, p, err := c.Do(&rest.Request{Method: "POST", Target: "/", Header: rest.Header{"Host": {"x"}}, Body: make([]byte, 40_000)}, time.Now().Add(5*time.Second))
	return p, err
}

func dial(r *Store, address string) (*rest.Client, error) {
	return rest.DialWith(context.Background(), address, &rest.DefaultLimits, r.ClientHandshake)
}

// Keys are changed in files while a connection stands: it goes on, new ones show the new certificate, and a pair that does not
// match leaves the old one in service. What a standing connection's peer loses, it loses before the next request.
func TestKeysChangeInService(t *testing.T) {
	a := authority.New("a")
	old, fresh, peer := a.Issue(host), a.Issue(host), a.Issue(host)
	server, dir := ringOf(t, old, a.CertificatePEM(), a.RevocationList(time.Now().Add(time.Hour)))
	client, _ := ringOf(t, peer, a.CertificatePEM(), nil)
	address := serve(t, server)
	shown := func() string {
		t.Helper()
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		s, err := client.ClientHandshake(context.Background(), nc, address)
		if err != nil {
			t.Fatal(err)
		}
		return s.(*Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	c, err := dial(client, address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	well := func() {
		t.Helper()
		if c.Stale() {
			t.Fatal("a quiet connection looks closed")
		}
		if _, err := ask(c); err != nil {
			t.Fatal(err)
		}
	}
	well()
	put(t, dir, map[string][]byte{"cert": fresh.Chain})
	if err := server.reload(); err == nil || shown() != old.Serial.String() {
		t.Errorf("half a change: %v", err)
	}
	put(t, dir, map[string][]byte{"key": fresh.Key})
	if err := server.reload(); err != nil || shown() != fresh.Serial.String() {
		t.Errorf("%v: %s is shown", err, shown())
	}
	well()
	os.Remove(filepath.Join(dir, "key"))
	if err := server.reload(); err == nil || shown() != fresh.Serial.String() {
		t.Errorf("no key: %v", err)
	}
	put(t, dir, map[string][]byte{"key": fresh.Key})
	a.Revoke(peer.Serial)
	put(t, dir, map[string][]byte{"revoked": a.RevocationList(time.Now().Add(time.Hour))})
	if err := server.reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := ask(c); err == nil {
		t.Error("a revoked peer's request was answered")
	}
}
