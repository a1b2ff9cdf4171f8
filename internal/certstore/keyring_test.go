package certstore

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"

	"hollymast/control"
	"hollymast/internal/fakeserver"
	"hollymast/internal/fakeserver/authority"
	"hollymast/internal/rest"
	"hollymast/internal/tlspolicy"
	"hollymast/internal/xds"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func now() control.Micros { return control.Micros(time.Now().UnixMicro()) }

var host = authority.Asked{Names: []string{"127.0.0.1"}}

// ringOf gives a ring whose keys are in files of a folder.
func ringOf(t *testing.T, own authority.Issued, authorities, revoked []byte) (*Store, string) {
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

// A server that does not believe a client tells it so although the client has already sent its whole request, every time: it is
// proved that no request was read.
func TestRefusedClientLearnsIt(t *testing.T) {
	a, b := authority.New("a"), authority.New("b")
	server, _ := ringOf(t, a.Issue(host), a.Cert(), nil)
	client, _ := ringOf(t, b.Issue(host), a.Cert(), nil)
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

// Keys are changed in files while a connection stands: it goes on, new ones show the new certificate, and a pair that does not
// match leaves the old one in service. What a standing connection's peer loses, it loses before the next request.
func TestKeysChangeInService(t *testing.T) {
	a := authority.New("a")
	old, fresh, peer := a.Issue(host), a.Issue(host), a.Issue(host)
	server, dir := ringOf(t, old, a.Cert(), a.List(time.Now().Add(time.Hour)))
	client, _ := ringOf(t, peer, a.Cert(), nil)
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
	put(t, dir, map[string][]byte{"revoked": a.List(time.Now().Add(time.Hour))})
	if err := server.reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := ask(c); err == nil {
		t.Error("a revoked peer's request was answered")
	}
}

// TLS 1.2 is refused unless it was asked for; a peer that speaks no TLS gets no connection.
func TestOldAndPlainPeers(t *testing.T) {
	a := authority.New("a")
	server, _ := ringOf(t, a.Issue(host), a.Cert(), nil)
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
	also, _ := ringOf(t, a.Issue(host), a.Cert(), nil)
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

// Secrets come from a service, change there, and are refused there where they are bad.
func TestSecretsFromAService(t *testing.T) {
	a := authority.New("a")
	service, err := fakeserver.NewSecrets()
	if err != nil {
		t.Fatal(err)
	}
	defer service.Stop()
	r, err := Open(&Config{SecretsAddress: service.Address(), CertificateSecret: "own", AuthoritiesSecret: "peers"}, now, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		source := xds.Source{Address: service.Address(), Kind: xds.SecretDiscovery, Now: now, Changed: func(control.Micros) {}, Note: func(string) {}}
		ended <- source.Follow(ctx, xds.NewSecrets(r, "router-0", "", "own", "peers"))
	}()
	defer func() { stop(); <-ended }()
	await := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not within five seconds: %s", what)
			}
		}
	}
	serial := func() string {
		r.mu.Lock()
		defer r.mu.Unlock()
		if p := r.identity.Current(); p != nil {
			return p.Leaf.SerialNumber.String()
		}
		return ""
	}
	known := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.verifier.HasAuthorities()
	}
	x, y := a.Issue(host), a.Issue(host)
	service.SetPair("own", x.Chain, x.Key)
	service.SetPeers("peers", a.Cert(), a.List(time.Now().Add(time.Hour)))
	await("the first pair", func() bool { return serial() == x.Serial.String() })
	await("the first authorities", known) // they come by a resource of their own
	service.SetPeers("peers", nil, nil)
	await("a NACK", func() bool {
		_, nacks := service.Counts()
		return len(nacks) == 1 && strings.Contains(nacks[0], "peers")
	})
	service.SetPair("own", y.Chain, y.Key) // taken, whatever is wrong with the other
	await("the second pair", func() bool { return serial() == y.Serial.String() })
	if !known() {
		t.Error("bad authorities took the place of good ones")
	}
}

// A gRPC connection whose peer's certificate is revoked is cut, although nobody asks on it.
func TestLongConnectionsAreCut(t *testing.T) {
	a := authority.New("a")
	peer := a.Issue(host)
	server, dir := ringOf(t, a.Issue(host), a.Cert(), a.List(time.Now().Add(time.Hour)))
	client, _ := ringOf(t, peer, a.Cert(), nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.Creds(server.Credentials()))
	grpc_health_v1.RegisterHealthServer(s, health.NewServer())
	go s.Serve(l)
	defer s.Stop()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(client.Credentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	watch, err := grpc_health_v1.NewHealthClient(conn).Watch(ctx, &grpc_health_v1.HealthCheckRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := watch.Recv(); err != nil {
		t.Fatal(err)
	}
	a.Revoke(peer.Serial)
	put(t, dir, map[string][]byte{"revoked": a.List(time.Now().Add(time.Hour))})
	if err := server.reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := watch.Recv(); err == nil || ctx.Err() != nil {
		t.Errorf("the stream goes on: %v", err)
	}
	if n := server.Stats().RejectedPeers["revoked"]; n == 0 {
		t.Error("not counted")
	}
}
