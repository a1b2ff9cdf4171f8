package gateway

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc/credentials"

	"hollymast/control"
	"hollymast/internal/certstore"
	"hollymast/internal/rest"
	"hollymast/internal/xds"
)

// rest checks the peer's certificate again after the handshake if a connection implements PeerChecker.
var _ rest.PeerChecker = (*certstore.Conn)(nil)

// wallClock returns the time against which the validity of certificates is checked.
func wallClock() control.Micros { return control.Micros(time.Now().UnixMicro()) }

// openCertStores loads the certificates for each kind of connection that uses TLS.
func (g *Gateway) openCertStores() error {
	g.certStores = map[string]*certstore.Store{}
	for _, kind := range connectionKinds {
		config := g.config.TLS[kind]
		if config == nil {
			continue
		}
		store, err := certstore.Open(config, wallClock, func(text string) {
			g.log.Info().Str("connections", kind).Msg("tls: " + text)
		})
		if err != nil {
			return fmt.Errorf("[tls %s]: %w", kind, err)
		}
		g.certStores[kind] = store
	}
	g.metrics.registry.MustRegister(certMetrics(g.certStores))
	return nil
}

// watchCertStores starts goroutines that reload changed certificates until ctx ends.
func (g *Gateway) watchCertStores(ctx context.Context) {
	for kind, store := range g.certStores {
		g.background.Go(func() { store.Run(ctx) })
		if config := g.config.TLS[kind]; config.SecretsAddress != "" {
			g.background.Go(func() { g.followSecrets(ctx, kind, store, config) })
		}
	}
}

// followSecrets updates a store's certificates from a secret discovery service until ctx ends.
func (g *Gateway) followSecrets(ctx context.Context, kind string, store *certstore.Store, config *certstore.Config) {
	log := func(text string) { g.log.Info().Str("connections", kind).Msg("sds: " + text) }
	transport := xds.Transport{
		Address: config.SecretsAddress, Service: xds.SecretDiscovery, Seed: uint64(g.loop.Epoch), Now: g.loop.Now,
		OnUpdate: func(control.Micros) {}, Log: log,
	}
	client := xds.NewSecretClient(store, g.nodeID(), g.config.Zone, config.CertificateSecret, config.AuthoritiesSecret)
	if err := transport.Run(ctx, client); err != nil {
		log(err.Error())
	}
}

// credentials returns the credentials for a kind of gRPC connection; nil for plain text.
func (g *Gateway) credentials(kind string) credentials.TransportCredentials {
	if store := g.certStores[kind]; store != nil {
		return store.Credentials()
	}
	return nil
}

// serverHandshake returns the TLS handshake for connections to servers; nil for plain text. It logs a server's error
// only if it differs from the previous one.
func (g *Gateway) serverHandshake() rest.Handshake {
	store := g.certStores[serverConnections]
	if store == nil {
		return nil
	}
	return func(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
		secured, err := store.ClientHandshake(ctx, conn, address)
		if err == nil {
			g.lastTLSErrors.Delete(address)
		} else if previous, _ := g.lastTLSErrors.Swap(address, err.Error()); previous != err.Error() {
			g.log.Warn().Str("server", address).Str("fault", err.Error()).Msg("TLS handshake with a server failed")
		}
		return secured, err
	}
}

// clientHandshake performs the TLS handshake of a client connection within the header timeout, if clients use TLS. It
// closes the connection if the handshake fails.
func (g *Gateway) clientHandshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	store := g.certStores[clientConnections]
	if store == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, g.config.HeaderTimeout)
	defer cancel()
	secured, err := store.ServerHandshake(ctx, conn)
	if err != nil {
		g.log.Info().Str("client", conn.RemoteAddr().String()).Str("fault", err.Error()).Msg("TLS handshake with a client failed")
		conn.Close()
	}
	return secured, err
}
