package tlspolicy

import (
	"crypto/x509"
	"fmt"
	"net"
	"net/url"
	"strings"
)

// checkName checks that a certificate has one of the accepted names or, without those, is for the host that was dialled.
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

// matchesDNSName matches a certificate's name. A pattern's first label may be *, which stands for exactly one label; a * in the
// certificate's name stands for nothing, so that a wildcard certificate is not taken for any of its names.
func matchesDNSName(pattern, name string) bool {
	if parent, wildcard := strings.CutPrefix(pattern, "*."); wildcard {
		label, rest, found := strings.Cut(name, ".")
		return found && label != "" && label != "*" && rest == parent
	}
	return pattern == name
}

// matchesURI matches a certificate's URI. A pattern may end in /*, which stands for any path below.
func matchesURI(pattern string, uri *url.URL) bool {
	name := uri.String()
	prefix, wildcard := strings.CutSuffix(pattern, "/*")
	return pattern == name || wildcard && strings.HasPrefix(name, prefix+"/")
}

// maxNames bounds the names of a certificate in a log line.
const maxNames = 4

// subjectNames returns the names that a certificate is for, or its subject if it has none.
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
