package chaostest

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"google.golang.org/grpc"

	"hollymast/control"
	"hollymast/internal/certstore"
	"hollymast/internal/fakeserver/authority"
	"hollymast/internal/rest"
)

// certificates are those of a run in which all connections use TLS: files that routers and the harness reload when they change.
// Each owner has a directory of its own. A nil *certificates stands for a run without TLS.
type certificates struct {
	dir       string
	authority *authority.Authority
	issued    map[string]authority.Certificate // the newest, by owner
	stores    map[string]*certstore.Store      // of the harness's own processes, by owner
	following sync.WaitGroup                   // goroutines that reload the stores
	changes   int                              // of certificates and authorities so far
}

// The owners of certificates: the router has one for each kind of peer, and each worker has one (workerName).
const (
	routerToWorkers      = "router-workers"
	routerToClients      = "router-clients"
	routerToControlPlane = "router-xds"
	clientOwner          = "client"
	controlPlaneOwner    = "plane"
)

func workerName(i int) string { return fmt.Sprintf("worker-%d", i) }

// revocationListLifetime is longer than any run.
const revocationListLifetime = time.Hour

// issueCertificates issues a certificate to each owner, and opens the harness's own stores, which are reloaded until the
// context ends; see wait.
func issueCertificates(ctx context.Context, dir string, workers int) (*certificates, error) {
	c := &certificates{dir: dir, authority: authority.New("laboratory"), issued: map[string]authority.Certificate{}, stores: map[string]*certstore.Store{}}
	for _, owner := range []string{routerToWorkers, routerToClients, routerToControlPlane} {
		if err := c.addOwner(owner); err != nil {
			return nil, err
		}
	}
	own := []string{clientOwner, controlPlaneOwner}
	for i := range workers {
		own = append(own, workerName(i))
	}
	for _, owner := range own {
		if err := c.addOwner(owner); err != nil {
			return nil, err
		}
		if err := c.openStore(ctx, owner); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *certificates) addOwner(owner string) error {
	if err := os.MkdirAll(filepath.Join(c.dir, owner), 0o700); err != nil {
		return err
	}
	if err := c.renew(owner, 0); err != nil {
		return err
	}
	return c.writeAuthorities(owner, c.authority.CertificatePEM())
}

func (c *certificates) openStore(ctx context.Context, owner string) error {
	now := func() control.Micros { return control.Micros(time.Now().UnixMicro()) }
	store, err := certstore.Open(c.storeConfig(owner), now, func(string) {})
	if err != nil {
		return err
	}
	c.stores[owner] = store
	c.following.Go(func() { store.Run(ctx) })
	return nil
}

// wait waits until no store is reloaded any more, after the context of issueCertificates has ended.
func (c *certificates) wait() {
	if c != nil {
		c.following.Wait()
	}
}

func (c *certificates) file(owner, name string) string { return filepath.Join(c.dir, owner, name) }

func (c *certificates) storeConfig(owner string) *certstore.Config {
	return &certstore.Config{Certificate: c.file(owner, "cert"), Key: c.file(owner, "key"), Authorities: c.file(owner, "authorities"), RevocationLists: c.file(owner, "revoked")}
}

// routerConfig gives the sections of a router's configuration on TLS towards workers and clients.
func (c *certificates) routerConfig() string {
	if c == nil {
		return ""
	}
	return c.configSection("workers", routerToWorkers) + c.configSection("clients", routerToClients)
}

// controlPlaneConfig gives the section of a router's configuration on TLS towards the control plane.
func (c *certificates) controlPlaneConfig() string {
	if c == nil {
		return ""
	}
	return c.configSection("xds", routerToControlPlane)
}

func (c *certificates) configSection(peer, owner string) string {
	var b bytes.Buffer
	config := c.storeConfig(owner)
	fmt.Fprintf(&b, "[tls %s]\ncertificate = %s\nkey = %s\nauthorities = %s\nrevoked = %s\n", peer, config.Certificate, config.Key, config.Authorities, config.RevocationLists)
	return b.String()
}

// controlPlaneOptions are those of the fake control plane.
func (c *certificates) controlPlaneOptions() []grpc.ServerOption {
	if c == nil {
		return nil
	}
	return []grpc.ServerOption{grpc.Creds(c.stores[controlPlaneOwner].Credentials())}
}

// clientSecurity gives the handshake of connections that an owner dials; nil without TLS.
func (c *certificates) clientSecurity(owner string) rest.Handshake {
	if c == nil {
		return nil
	}
	return c.stores[owner].ClientHandshake
}

// serverSecurity gives the handshake of connections that an owner accepts; nil without TLS.
func (c *certificates) serverSecurity(owner string) func(net.Conn) (net.Conn, error) {
	if c == nil {
		return nil
	}
	return func(conn net.Conn) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), rest.DefaultLimits.HeaderTimeout)
		defer cancel()
		return c.stores[owner].ServerHandshake(ctx, conn)
	}
}

// renew writes a new certificate, and its key after a while: one file after the other and in place, as careless operators do.
func (c *certificates) renew(owner string, between time.Duration) error {
	issued := c.authority.Issue(authority.Request{Names: []string{"127.0.0.1", owner + ".laboratory.example"}})
	c.issued[owner] = issued
	c.changes++
	if err := os.WriteFile(c.file(owner, "cert"), issued.Chain, 0o600); err != nil {
		return err
	}
	time.Sleep(between)
	return os.WriteFile(c.file(owner, "key"), issued.Key, 0o600)
}

// writeAuthorities writes which authorities an owner trusts, and the newest revocation list.
func (c *certificates) writeAuthorities(owner string, authorities []byte) error {
	c.changes++
	if err := os.WriteFile(c.file(owner, "authorities"), authorities, 0o600); err != nil {
		return err
	}
	return c.writeRevocationList(owner, revocationList(c.authority))
}

func (c *certificates) writeRevocationList(owner string, list []byte) error {
	return os.WriteFile(c.file(owner, "revoked"), list, 0o600)
}

func revocationList(a *authority.Authority) []byte {
	return a.RevocationList(time.Now().Add(revocationListLifetime))
}
