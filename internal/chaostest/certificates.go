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

// certificates holds the certificates, keys and revocation lists of a run in which all connections use TLS. They are files that
// routers and the harness reload when they change; each owner has its own directory. A nil *certificates means that the run
// doesn't use TLS.
type certificates struct {
	dir         string
	authority   *authority.Authority
	issued      map[string]authority.Certificate // newest certificate by owner
	stores      map[string]*certstore.Store      // by owner; of clients, fake servers and the control plane
	reloaders   sync.WaitGroup                   // goroutines that reload the stores
	changeCount int                              // renewals, revocations and updates of authorities so far
}

// Owners of certificates. Routers have one certificate for each kind of peer, and each worker has one (workerName).
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

// issueCertificates issues a certificate to each owner and opens the certificate stores of clients, fake servers and the control
// plane. The stores are reloaded until ctx is done; see wait.
func issueCertificates(ctx context.Context, dir string, workers int) (*certificates, error) {
	c := &certificates{dir: dir, authority: authority.New("laboratory"), issued: map[string]authority.Certificate{}, stores: map[string]*certstore.Store{}}
	for _, owner := range []string{routerToWorkers, routerToClients, routerToControlPlane} {
		if err := c.addOwner(owner); err != nil {
			return nil, err
		}
	}
	harnessOwners := []string{clientOwner, controlPlaneOwner}
	for i := range workers {
		harnessOwners = append(harnessOwners, workerName(i))
	}
	for _, owner := range harnessOwners {
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
	c.reloaders.Go(func() { store.Run(ctx) })
	return nil
}

// wait returns when the goroutines that reload the stores have ended, which they do after the context of issueCertificates is
// done.
func (c *certificates) wait() {
	if c != nil {
		c.reloaders.Wait()
	}
}

func (c *certificates) file(owner, name string) string { return filepath.Join(c.dir, owner, name) }

func (c *certificates) storeConfig(owner string) *certstore.Config {
	return &certstore.Config{Certificate: c.file(owner, "cert"), Key: c.file(owner, "key"), Authorities: c.file(owner, "authorities"), RevocationLists: c.file(owner, "revoked")}
}

// routerConfig returns the sections of a router's configuration for TLS connections to workers and from clients.
func (c *certificates) routerConfig() string {
	if c == nil {
		return ""
	}
	return c.configSection("workers", routerToWorkers) + c.configSection("clients", routerToClients)
}

// controlPlaneConfig returns the section of a router's configuration for TLS connections to the control plane.
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

// controlPlaneOptions returns the gRPC options of the fake control plane.
func (c *certificates) controlPlaneOptions() []grpc.ServerOption {
	if c == nil {
		return nil
	}
	return []grpc.ServerOption{grpc.Creds(c.stores[controlPlaneOwner].Credentials())}
}

// clientHandshake returns the TLS handshake for connections that an owner dials, or nil without TLS.
func (c *certificates) clientHandshake(owner string) rest.Handshake {
	if c == nil {
		return nil
	}
	return c.stores[owner].ClientHandshake
}

// serverHandshake returns the TLS handshake for connections that an owner accepts, or nil without TLS.
func (c *certificates) serverHandshake(owner string) func(net.Conn) (net.Conn, error) {
	if c == nil {
		return nil
	}
	return func(conn net.Conn) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), rest.DefaultLimits.HeaderTimeout)
		defer cancel()
		return c.stores[owner].ServerHandshake(ctx, conn)
	}
}

// renew issues a new certificate. It overwrites the two files in place, the key keyDelay after the certificate, as happens when an
// operator doesn't replace both atomically.
func (c *certificates) renew(owner string, keyDelay time.Duration) error {
	issued := c.authority.Issue(authority.Request{Names: []string{"127.0.0.1", owner + ".laboratory.example"}})
	c.issued[owner] = issued
	c.changeCount++
	if err := os.WriteFile(c.file(owner, "cert"), issued.Chain, 0o600); err != nil {
		return err
	}
	time.Sleep(keyDelay)
	return os.WriteFile(c.file(owner, "key"), issued.Key, 0o600)
}

// writeAuthorities writes the authorities that an owner trusts, and the newest revocation list.
func (c *certificates) writeAuthorities(owner string, authorities []byte) error {
	c.changeCount++
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
