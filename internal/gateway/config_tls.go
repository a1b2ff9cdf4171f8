package gateway

import (
	"hollymast/internal/certstore"
	"hollymast/internal/inifile"
	"net"
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
