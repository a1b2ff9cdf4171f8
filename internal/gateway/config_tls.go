package gateway

import (
	"net"
	"slices"
	"strings"

	"hollymast/internal/certstore"
	"hollymast/internal/inifile"
)

// The kinds of connections that may use TLS, by the names of their sections.
const (
	serverConnections = "workers"
	clientConnections = "clients"
	xdsConnections    = "xds"
	viewConnections   = "view"
)

var connectionKinds = []string{serverConnections, clientConnections, xdsConnections, viewConnections}

// parseTLS reads the sections [tls KIND].
func (c *Config) parseTLS(f *inifile.File) {
	c.TLS = map[string]*certstore.Config{}
	for _, s := range f.Sections("tls ") {
		kind := strings.TrimPrefix(s.Name, "tls ")
		if !slices.Contains(connectionKinds, kind) {
			s.Errorf("", "connections are those of workers, clients, xds and view")
			continue
		}
		c.TLS[kind] = parseCertificates(s, kind)
	}
	if c.TLS[xdsConnections] != nil && c.ControlPlane == "" {
		f.Section("tls "+xdsConnections).Errorf("", "no control plane (xds) is told")
	}
	if c.TLS[viewConnections] != nil && c.ServeView == "" {
		f.Section("tls "+viewConnections).Errorf("", "no view is served (serve_view)")
	}
}

// parseCertificates reads one section [tls KIND].
func parseCertificates(s *inifile.Section, kind string) *certstore.Config {
	t := &certstore.Config{
		Certificate: s.String("certificate", ""), Key: s.String("key", ""), Authorities: s.String("authorities", ""),
		RevocationLists: s.String("revoked", ""), Names: s.Strings("names"),
		AllowTLS12: s.OneOf("oldest", "1.3", "1.2", "1.3") == 0,
	}
	if t.SecretsAddress = s.String("sds", ""); t.SecretsAddress != "" {
		t.SecretsAddress = parseAddress(s, "sds", "")
		t.CertificateSecret, t.AuthoritiesSecret = s.String("certificate_secret", ""), s.String("authorities_secret", "")
		if host, _, _ := net.SplitHostPort(t.SecretsAddress); !isLoopback(host) {
			s.Errorf("sds", "%s is not on loopback, and keys come from it in plain text", host)
		}
		if t.Certificate+t.Key+t.Authorities+t.RevocationLists != "" {
			s.Errorf("sds", "keys come from files or from a service, not from both")
		}
	}
	if (t.Certificate == "") != (t.Key == "") {
		s.Errorf("key", "certificate and key go together")
	}
	if t.RevocationLists != "" && t.Authorities == "" {
		s.Errorf("revoked", "means nothing without authorities")
	}
	shows, checks := t.Certificate+t.CertificateSecret != "", t.Authorities+t.AuthoritiesSecret != ""
	switch dials := kind == serverConnections || kind == xdsConnections; {
	case !dials && !shows:
		s.Errorf("certificate", "whoever is connected to must show one")
	case dials && !checks:
		s.Errorf("authorities", "without them anyone could be the other end")
	}
	if len(t.Names) > 0 && !checks {
		s.Errorf("names", "mean nothing without authorities")
	}
	return t
}
