package tlspolicy

import (
	"crypto/x509"
	"fmt"
	"net"
	"net/url"
	"strings"
)

// checkName checks that a certificate has one of the accepted names. Without accepted names, a server's certificate must be for the host
// that was dialed, and a client's may have any name.
func (v *Verifier) checkName(leaf *x509.Certificate, role Role, host string) error {
	if len(v.names) == 0 {
		if role == Client || leaf.VerifyHostname(host) == nil {
			return nil
		}
		return newPeerError(WrongName, "the certificate is of %s, not of %s", subjectNames(leaf), host)
	}
	for _, pattern := range v.names {
		for _, name := range leaf.DNSNames {
			if matchesDNSName(strings.ToLower(pattern), strings.ToLower(name)) {
				return nil
			}
		}
		for _, uri := range leaf.URIs {
			if matchesURI(pattern, uri) {
				return nil
			}
		}
	}
	return newPeerError(WrongName, "the certificate is of %s, not of %s", subjectNames(leaf), strings.Join(v.names, " or "))
}

// matchesDNSName reports whether a certificate's DNS name matches a pattern. The first label of the pattern may be *, which matches exactly
// one label. A * in the certificate's name is not expanded, and the pattern's * does not match it, so a wildcard certificate is not
// accepted for one of the names that it covers.
func matchesDNSName(pattern, name string) bool {
	if parent, wildcard := strings.CutPrefix(pattern, "*."); wildcard {
		label, rest, found := strings.Cut(name, ".")
		return found && label != "" && label != "*" && rest == parent
	}
	return pattern == name
}

// matchesURI reports whether a certificate's URI matches a pattern. The pattern may end in /*, which matches any path below.
func matchesURI(pattern string, uri *url.URL) bool {
	name := uri.String()
	prefix, wildcard := strings.CutSuffix(pattern, "/*")
	return pattern == name || wildcard && strings.HasPrefix(name, prefix+"/")
}

// maxNames limits the names of a certificate in a log line.
const maxNames = 4

// subjectNames returns the names in a certificate, or its subject if it has none.
func subjectNames(c *x509.Certificate) string {
	var names []string
	names = append(names, c.DNSNames...)
	for _, uri := range c.URIs {
		names = append(names, uri.String())
	}
	for _, ip := range c.IPAddresses {
		names = append(names, net.IP(ip).String())
	}
	if len(names) == 0 {
		return fmt.Sprintf("%q", c.Subject.String())
	}
	if len(names) > maxNames {
		names = append(names[:maxNames], "others")
	}
	return strings.Join(names, ", ")
}
