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

// wall is the time that certificates tell theirs by.
func wallClock() control.Micros { return control.Micros(time.Now().UnixMicro()) }

// openRings finds the keys of all kinds of connections that are secret.
func (g *Gateway) openCertStores() error {
	g.certStores = map[string]*certstore.Store{}
	for _, kind := range connectionKinds {
		told := g.config.TLS[kind]
		if told == nil {
			continue
		}
		r, err := certstore.Open(told, wallClock, func(text string) { g.log.Info().Str("connections", kind).Msg("tls: " + text) })
		if err != nil {
			return fmt.Errorf("[tls %s]: %w", kind, err)
		}
		g.certStores[kind] = r
	}
	g.metrics.registry.MustRegister(certMetrics(g.certStores))
	return nil
}

// followRings has the keys change in service until the context ends.
func (g *Gateway) watchCertStores(ctx context.Context) {
	for kind, r := range g.certStores {
		g.background.Add(1)
		go func() {
			defer g.background.Done()
			r.Run(ctx)
		}()
		told := g.config.TLS[kind]
		if told.SecretsAddress == "" {
			continue
		}
		g.background.Add(1)
		go func() {
			defer g.background.Done()
			note := func(text string) { g.log.Info().Str("connections", kind).Msg("sds: " + text) }
			source := xds.Transport{Address: told.SecretsAddress, Service: xds.SecretDiscovery, Seed: uint64(g.epoch), Now: g.now, OnUpdate: func(control.Micros) {}, Log: note}
			err := source.Run(ctx, xds.NewSecretClient(r, fmt.Sprintf("hollymast-%d", g.config.Deployment.Number), g.config.Zone, told.CertificateSecret, told.AuthoritiesSecret))
			if err != nil {
				note(err.Error())
			}
		}()
	}
}

// credentials are those of a kind of gRPC connections; nil: in plain text.
func (g *Gateway) credentials(kind string) credentials.TransportCredentials {
	if r := g.certStores[kind]; r != nil {
		return r.Credentials()
	}
	return nil
}

// secure makes connections to workers secret where that is told; nil: they are in plain text.
func (g *Gateway) serverHandshake() rest.Handshake {
	r := g.certStores[serverConnections]
	if r == nil {
		return nil
	}
	return func(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
		s, err := r.ClientHandshake(ctx, conn, address)
		if err == nil {
			g.lastTLSErrors.Delete(address)
		} else if before, _ := g.lastTLSErrors.Swap(address, err.Error()); before != err.Error() { // said once
			g.log.Warn().Str("server", address).Str("fault", err.Error()).Msg("no connection to this server")
		}
		return s, err
	}
}

// welcome makes a client's connection secret where that is told. A handshake takes no longer than a header may.
func (g *Gateway) clientHandshake(conn net.Conn) (net.Conn, error) {
	r := g.certStores[clientConnections]
	if r == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(g.serveContext, g.config.HeaderTimeout)
	defer cancel()
	s, err := r.ServerHandshake(ctx, conn)
	if err != nil {
		g.log.Info().Str("client", conn.RemoteAddr().String()).Str("fault", err.Error()).Msg("connection refused")
		conn.Close()
	}
	return s, err
}
