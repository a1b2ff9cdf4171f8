package chaostest

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc"

	"hollymast/control"
	"hollymast/internal/certstore"
	"hollymast/internal/fakeserver/authority"
	"hollymast/internal/invariant"
	"hollymast/internal/rest"
)

// keys are the certificates of a play whose connections are all secret, each owner's in a folder of its own.
type certificates struct {
	dir       string
	authority *authority.Authority
	issued    map[string]authority.Certificate
	stores    map[string]*certstore.Store // of the laboratory's own processes
	changes   int                         // of changes
}

// The owners whose keys the router reads; the laboratory's own are "client", "plane" and "worker N".
const (
	routerToWorkers = "router-workers"
	routerToClients = "router-clients"
	routerToPlane   = "router-xds"
)

// openKeys issues a certificate to each owner and opens the laboratory's own rings, which follow their files until the context ends.
func issueCertificates(ctx context.Context, dir string, workers int) (*certificates, error) {
	k := &certificates{dir: dir, authority: authority.New("laboratory"), issued: map[string]authority.Certificate{}, stores: map[string]*certstore.Store{}}
	owners := []string{routerToWorkers, routerToClients, routerToPlane, "client", "plane"}
	for i := range workers {
		owners = append(owners, workerName(i))
	}
	for _, o := range owners {
		if err := os.MkdirAll(filepath.Join(dir, o), 0o700); err != nil {
			return nil, err
		}
		if err := k.renew(o, 0); err != nil {
			return nil, err
		}
		if err := k.writeAuthorities(o, k.authority.CertificatePEM()); err != nil {
			return nil, err
		}
		if strings.HasPrefix(o, "router-") {
			continue
		}
		r, err := certstore.Open(k.storeConfig(o), func() control.Micros { return control.Micros(time.Now().UnixMicro()) }, func(string) {})
		if err != nil {
			return nil, err
		}
		k.stores[o] = r
		go r.Run(ctx)
	}
	return k, nil
}

func workerName(i int) string { return fmt.Sprintf("worker-%d", i) }

func (k *certificates) file(owner, name string) string { return filepath.Join(k.dir, owner, name) }

func (k *certificates) storeConfig(owner string) *certstore.Config {
	return &certstore.Config{Certificate: k.file(owner, "cert"), Key: k.file(owner, "key"), Authorities: k.file(owner, "authorities"), RevocationLists: k.file(owner, "revoked")}
}

// settings is the router's part; of no keys there is none.
func (k *certificates) routerConfig(plane bool) string {
	if k == nil {
		return ""
	}
	var b bytes.Buffer
	for _, x := range [][2]string{{"workers", routerToWorkers}, {"clients", routerToClients}, {"xds", routerToPlane}} {
		kind, t := x[0], k.storeConfig(x[1])
		if kind == "xds" && !plane {
			continue
		}
		fmt.Fprintf(&b, "[tls %s]\ncertificate = %s\nkey = %s\nauthorities = %s\nrevoked = %s\n", kind, t.Certificate, t.Key, t.Authorities, t.RevocationLists)
	}
	return b.String()
}

// planeOptions are those of the pretend control plane.
func (k *certificates) controlPlaneOptions() []grpc.ServerOption {
	if k == nil {
		return nil
	}
	return []grpc.ServerOption{grpc.Creds(k.stores["plane"].Credentials())}
}

// dial makes connections secret that an owner dials; nil: they are in plain text.
func (k *certificates) clientSecurity(owner string) rest.Handshake {
	if k == nil {
		return nil
	}
	return k.stores[owner].ClientHandshake
}

// accept makes connections secret that an owner accepts; nil: they are in plain text.
func (k *certificates) serverSecurity(owner string) func(nc net.Conn) (net.Conn, error) {
	if k == nil {
		return nil
	}
	return func(nc net.Conn) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(context.Background(), rest.DefaultLimits.HeaderTimeout)
		defer cancel()
		return k.stores[owner].ServerHandshake(ctx, nc)
	}
}

// renew writes a new certificate and its key as careless operators do: one file after the other, in place.
func (k *certificates) renew(owner string, between time.Duration) error {
	x := k.authority.Issue(authority.Request{Names: []string{"127.0.0.1", owner + ".laboratory.example"}})
	k.issued[owner] = x
	k.changes++
	if err := os.WriteFile(k.file(owner, "cert"), x.Chain, 0o600); err != nil {
		return err
	}
	time.Sleep(between)
	return os.WriteFile(k.file(owner, "key"), x.Key, 0o600)
}

// trust writes whom an owner believes.
func (k *certificates) writeAuthorities(owner string, authorities []byte) error {
	k.changes++
	if err := os.WriteFile(k.file(owner, "authorities"), authorities, 0o600); err != nil {
		return err
	}
	return os.WriteFile(k.file(owner, "revoked"), k.authority.RevocationList(time.Now().Add(time.Hour)), 0o600)
}

// settle is longer than whoever follows files takes to see them.
const reloadTime = 700 * time.Millisecond

// changeKeys changes keys until the context ends: renewals, halves that stay for a while, a worker that is revoked and comes
// back, and now and again another authority for all. Worker 0 is the one that is revoked, if any is to be.
func (p *harness) rotateCertificates(ctx context.Context, k *certificates, seed uint64, revokes bool) error {
	chance := rand.New(rand.NewPCG(seed, 3))
	var owners []string
	for o := range k.issued {
		owners = append(owners, o)
	}
	slices.Sort(owners)
	each := func(f func(owner string) error) error {
		for _, o := range owners {
			if err := f(o); err != nil {
				return err
			}
		}
		return sleep(ctx, reloadTime)
	}
	for n := 1; ctx.Err() == nil; n++ {
		if sleep(ctx, time.Duration(100+chance.IntN(200))*time.Millisecond) != nil {
			return nil
		}
		var err error
		switch {
		case revokes && n%12 == 6: // a worker is revoked, and gets another certificate later
			k.authority.Revoke(k.issued[workerName(0)].Serial)
			k.changes++
			p.log.Add(invariant.Record{Kind: invariant.EndpointPublished, Server: 0, Detail: "gone"})
			if err = os.WriteFile(k.file(routerToWorkers, "revoked"), k.authority.RevocationList(time.Now().Add(time.Hour)), 0o600); err != nil {
				return err
			}
			if sleep(ctx, 2*reloadTime) != nil {
				return nil
			}
			p.log.Add(invariant.Record{Kind: invariant.EndpointPublished, Server: 0, Detail: "ready"})
			err = k.renew(workerName(0), 0)
		case n%12 == 9: // half a change stays for a while
			o := owners[chance.IntN(len(owners))]
			err = k.renew(o, reloadTime)
		case n%24 == 0: // another authority, by way of both
			old, fresh := k.authority, authority.New("laboratory, later")
			both := append(old.CertificatePEM(), fresh.CertificatePEM()...)
			lists := append(old.RevocationList(time.Now().Add(time.Hour)), fresh.RevocationList(time.Now().Add(time.Hour))...)
			k.authority = fresh
			for _, step := range []func(o string) error{
				func(o string) error {
					if err := os.WriteFile(k.file(o, "authorities"), both, 0o600); err != nil {
						return err
					}
					return os.WriteFile(k.file(o, "revoked"), lists, 0o600)
				},
				func(o string) error { return k.renew(o, 0) },
				func(o string) error { return k.writeAuthorities(o, fresh.CertificatePEM()) },
			} {
				if err = each(step); err != nil {
					break
				}
			}
		default:
			err = k.renew(owners[chance.IntN(len(owners))], time.Duration(chance.IntN(20))*time.Millisecond)
		}
		if err != nil && ctx.Err() == nil {
			return err
		}
	}
	return nil
}
