package gateway

import (
	"net"
	"slices"
	"strings"

	"hollymast/internal/certstore"
	"hollymast/internal/inifile"
)

// The kinds of connections that may use TLS: the NAME of their sections [tls NAME].
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
			s.Errorf("", "unknown kind of connection: must be workers, clients, xds or view")
			continue
		}
		c.TLS[kind] = parseCertificates(s, kind)
	}
	if c.TLS[xdsConnections] != nil && c.ControlPlane == "" {
		f.Section("tls "+xdsConnections).Errorf("", "no control plane (xds) is configured")
	}
	if c.TLS[viewConnections] != nil && c.ServeView == "" {
		f.Section("tls "+viewConnections).Errorf("", "serve_view is not set")
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
			s.Errorf("sds", "%s is not on loopback, but keys would be sent in plain text", host)
		}
		if t.Certificate+t.Key+t.Authorities+t.RevocationLists != "" {
			s.Errorf("sds", "keys come from files or from a secret discovery service, not from both")
		}
	}
	if (t.Certificate == "") != (t.Key == "") {
		s.Errorf("key", "certificate and key must be set together")
	}
	if t.RevocationLists != "" && t.Authorities == "" {
		s.Errorf("revoked", "requires authorities")
	}
	hasCertificate, verifiesPeer := t.Certificate+t.CertificateSecret != "", t.Authorities+t.AuthoritiesSecret != ""
	switch initiates := kind == serverConnections || kind == xdsConnections; {
	case !initiates && !hasCertificate:
		s.Errorf("certificate", "required: these connections are accepted, and the accepting end must present a certificate")
	case initiates && !verifiesPeer:
		s.Errorf("authorities", "required: without them the peer can't be verified")
	}
	if len(t.Names) > 0 && !verifiesPeer {
		s.Errorf("names", "require authorities")
	}
	return t
}
