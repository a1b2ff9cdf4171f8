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
	c.TLS = map[string]*certstore.Told{}
	for _, s := range f.Sections("tls ") {
		kind := s.Name[len("tls "):]
		known := false
		for _, k := range connectionKinds {
			known = known || k == kind
		}
		if !known {
			s.Fault("", "connections are those of workers, clients, xds and view")
			continue
		}
		settings := &certstore.Told{Certificate: s.Text("certificate", ""), Key: s.Text("key", ""), Authorities: s.Text("authorities", ""),
			Revoked: s.Text("revoked", ""), Names: s.Words("names"), Twelve: s.OneOf("oldest", "1.3", "1.2", "1.3") == 0}
		if settings.Secrets = s.Text("sds", ""); settings.Secrets != "" {
			settings.Secrets = parseAddress(s, "sds", "")
			settings.CertificateSecret, settings.AuthoritiesSecret = s.Text("certificate_secret", ""), s.Text("authorities_secret", "")
			if host, _, _ := net.SplitHostPort(settings.Secrets); !isLoopback(host) {
				s.Fault("sds", "%s is not on loopback, and keys come from it in plain text", host)
			}
			if settings.Certificate+settings.Key+settings.Authorities+settings.Revoked != "" {
				s.Fault("sds", "keys come from files or from a service, not from both")
			}
		}
		if (settings.Certificate == "") != (settings.Key == "") {
			s.Fault("key", "certificate and key go together")
		}
		if settings.Revoked != "" && settings.Authorities == "" {
			s.Fault("revoked", "means nothing without authorities")
		}
		shows, checks := settings.Certificate+settings.CertificateSecret != "", settings.Authorities+settings.AuthoritiesSecret != ""
		switch ours := kind == serverConnections || kind == xdsConnections; {
		case !ours && !shows:
			s.Fault("certificate", "whoever is connected to must show one")
		case ours && !checks:
			s.Fault("authorities", "without them anyone could be the other end")
		}
		if len(settings.Names) > 0 && !checks {
			s.Fault("names", "mean nothing without authorities")
		}
		c.TLS[kind] = settings
	}
	if c.TLS[xdsConnections] != nil && c.ControlPlane == "" {
		f.Section("tls "+xdsConnections).Fault("", "no control plane (xds) is told")
	}
	if c.TLS[viewConnections] != nil && c.ServeView == "" {
		f.Section("tls "+viewConnections).Fault("", "no view is served (serve_view)")
	}
}

// wall is the time that certificates tell theirs by.
func wallClock() control.Micros { return control.Micros(time.Now().UnixMicro()) }

// openRings finds the keys of all kinds of connections that are secret.
func (g *Gateway) openCertStores() error {
	g.certStores = map[string]*certstore.Ring{}
	for _, kind := range connectionKinds {
		settings := g.config.TLS[kind]
		if settings == nil {
			continue
		}
		store, err := certstore.Open(settings, wallClock, func(text string) { g.log.Info().Str("connections", kind).Msg("tls: " + text) })
		if err != nil {
			return fmt.Errorf("[tls %s]: %w", kind, err)
		}
		g.certStores[kind] = store
	}
	g.metrics.registry.MustRegister(certMetrics(g.certStores))
	return nil
}

// followRings has the keys change in service until the context ends.
func (g *Gateway) watchCertStores(ctx context.Context) {
	for kind, store := range g.certStores {
		g.background.Add(1)
		go func() {
			defer g.background.Done()
			store.Follow(ctx)
		}()
		settings := g.config.TLS[kind]
		if settings.Secrets == "" {
			continue
		}
		g.background.Add(1)
		go func() {
			defer g.background.Done()
			note := func(text string) { g.log.Info().Str("connections", kind).Msg("sds: " + text) }
			source := xds.Source{Address: settings.Secrets, Kind: xds.SecretDiscovery, Seed: uint64(g.epoch), Now: g.now, Changed: func(control.Micros) {}, Note: note}
			err := source.Follow(ctx, xds.NewSecrets(store, fmt.Sprintf("hollymast-%d", g.config.Deployment.Number), g.config.Zone, settings.CertificateSecret, settings.AuthoritiesSecret))
			if err != nil {
				note(err.Error())
			}
		}()
	}
}

// credentials are those of a kind of gRPC connections; nil: in plain text.
func (g *Gateway) credentials(kind string) credentials.TransportCredentials {
	if store := g.certStores[kind]; store != nil {
		return store.Credentials()
	}
	return nil
}

// secure makes connections to workers secret where that is told; nil: they are in plain text.
func (g *Gateway) serverHandshake() rest.Handshake {
	store := g.certStores[serverConnections]
	if store == nil {
		return nil
	}
	return func(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
		s, err := store.Dialled(ctx, conn, address)
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
	store := g.certStores[clientConnections]
	if store == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(g.serveContext, g.config.HeaderTimeout)
	defer cancel()
	s, err := store.Accepted(ctx, conn)
	if err != nil {
		g.log.Info().Str("client", conn.RemoteAddr().String()).Str("fault", err.Error()).Msg("connection refused")
		conn.Close()
	}
	return s, err
}

// ringMetrics tells what rings have met, by kind of connections.
type certMetrics map[string]*certstore.Ring

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
	for kind, store := range m {
		c := store.Counts()
		out <- prometheus.MustNewConstMetric(handshakesDesc, prometheus.CounterValue, float64(c.Handshakes), kind)
		out <- prometheus.MustNewConstMetric(rejectedDesc, prometheus.CounterValue, float64(c.Failed), kind, "other")
		for reason, n := range c.Refused {
			out <- prometheus.MustNewConstMetric(rejectedDesc, prometheus.CounterValue, float64(n), kind, reason)
		}
		if c.Ends > 0 {
			out <- prometheus.MustNewConstMetric(expiryDesc, prometheus.GaugeValue, float64(c.Ends)/1e6, kind)
		}
	}
}
