package gateway

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc/credentials"

	"hollymast/control"
	"hollymast/internal/certstore"
	"hollymast/internal/inifile"
	"hollymast/internal/rest"
	"hollymast/internal/xds"
)

// Kinds of connections that may be secret, by the names of their settings.
const (
	serverConnections = "workers"
	clientConnections = "clients"
	xdsConnections    = "xds"
	viewConnections   = "view"
)

var connectionKinds = []string{serverConnections, clientConnections, xdsConnections, viewConnections}

// secrets reads the sections [tls KIND].
func (c *Config) parseTLS(f *inifile.File) {
	c.TLS = map[string]*certstore.Config{}
	for _, s := range f.Sections("tls ") {
		kind := s.Name[len("tls "):]
		known := false
		for _, k := range connectionKinds {
			known = known || k == kind
		}
		if !known {
			s.Errorf("", "connections are those of workers, clients, xds and view")
			continue
		}
		k := &certstore.Config{Certificate: s.String("certificate", ""), Key: s.String("key", ""), Authorities: s.String("authorities", ""),
			RevocationLists: s.String("revoked", ""), Names: s.Strings("names"), AllowTLS12: s.OneOf("oldest", "1.3", "1.2", "1.3") == 0}
		if k.SecretsAddress = s.String("sds", ""); k.SecretsAddress != "" {
			k.SecretsAddress = parseAddress(s, "sds", "")
			k.CertificateSecret, k.AuthoritiesSecret = s.String("certificate_secret", ""), s.String("authorities_secret", "")
			if host, _, _ := net.SplitHostPort(k.SecretsAddress); !isLoopback(host) {
				s.Errorf("sds", "%s is not on loopback, and keys come from it in plain text", host)
			}
			if k.Certificate+k.Key+k.Authorities+k.RevocationLists != "" {
				s.Errorf("sds", "keys come from files or from a service, not from both")
			}
		}
		if (k.Certificate == "") != (k.Key == "") {
			s.Errorf("key", "certificate and key go together")
		}
		if k.RevocationLists != "" && k.Authorities == "" {
			s.Errorf("revoked", "means nothing without authorities")
		}
		shows, checks := k.Certificate+k.CertificateSecret != "", k.Authorities+k.AuthoritiesSecret != ""
		switch ours := kind == serverConnections || kind == xdsConnections; {
		case !ours && !shows:
			s.Errorf("certificate", "whoever is connected to must show one")
		case ours && !checks:
			s.Errorf("authorities", "without them anyone could be the other end")
		}
		if len(k.Names) > 0 && !checks {
			s.Errorf("names", "mean nothing without authorities")
		}
		c.TLS[kind] = k
	}
	if c.TLS[xdsConnections] != nil && c.ControlPlane == "" {
		f.Section("tls "+xdsConnections).Errorf("", "no control plane (xds) is told")
	}
	if c.TLS[viewConnections] != nil && c.ServeView == "" {
		f.Section("tls "+viewConnections).Errorf("", "no view is served (serve_view)")
	}
}

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

// ringMetrics tells what rings have met, by kind of connections.
type certMetrics map[string]*certstore.Store

var (
	handshakesDesc = prometheus.NewDesc("hollymast_tls_handshakes_total", "Secret connections begun.", []string{"connections"}, nil)
	rejectedDesc   = prometheus.NewDesc("hollymast_tls_refused_total", "Peers that were not believed, and handshakes that failed otherwise.",
		[]string{"connections", "reason"}, nil)
	expiryDesc = prometheus.NewDesc("hollymast_tls_certificate_ends_seconds", "When the certificate in service ends, in Unix time.",
		[]string{"connections"}, nil)
)

func (m certMetrics) Describe(out chan<- *prometheus.Desc) {
	out <- handshakesDesc
	out <- rejectedDesc
	out <- expiryDesc
}

func (m certMetrics) Collect(out chan<- prometheus.Metric) {
	for kind, r := range m {
		c := r.Stats()
		out <- prometheus.MustNewConstMetric(handshakesDesc, prometheus.CounterValue, float64(c.Handshakes), kind)
		out <- prometheus.MustNewConstMetric(rejectedDesc, prometheus.CounterValue, float64(c.FailedHandshakes), kind, "other")
		for reason, n := range c.RejectedPeers {
			out <- prometheus.MustNewConstMetric(rejectedDesc, prometheus.CounterValue, float64(n), kind, reason)
		}
		if c.ExpiresAt > 0 {
			out <- prometheus.MustNewConstMetric(expiryDesc, prometheus.GaugeValue, float64(c.ExpiresAt)/1e6, kind)
		}
	}
}
