package tlspolicy

import (
	"crypto/x509"
	"fmt"
	"net"
	"strings"
)

// named tells whether a certificate is for one of the names that are told, or without those for the host that was dialled.
func (p *Verifier) checkName(leaf *x509.Certificate, side Role, host string) error {
	if len(p.names) == 0 {
		if side == Client || leaf.VerifyHostname(host) == nil {
			return nil
		}
		return reject(WrongName, "the certificate is of %s, not of %s", subjectNames(leaf), host)
	}
	for _, name := range p.names {
		for _, d := range leaf.DNSNames {
			if matchesDNSName(strings.ToLower(name), strings.ToLower(d)) {
				return nil
			}
		}
		for _, u := range leaf.URIs {
			if under, all := strings.CutSuffix(name, "/*"); name == u.String() || all && strings.HasPrefix(u.String(), under+"/") {
				return nil
			}
		}
	}
	return reject(WrongName, "the certificate is of %s, not of %s", subjectNames(leaf), strings.Join(p.names, " or "))
}

// matches compares a told DNS name with a certificate's; * stands for the whole first label, in the told one alone.
func matchesDNSName(told, name string) bool {
	if rest, any := strings.CutPrefix(told, "*."); any {
		label, after, found := strings.Cut(name, ".")
		return found && label != "" && label != "*" && after == rest
	}
	return told == name
}

// names tells whose certificate it is.
func subjectNames(c *x509.Certificate) string {
	var all []string
	all = append(all, c.DNSNames...)
	for _, u := range c.URIs {
		all = append(all, u.String())
	}
	for _, ip := range c.IPAddresses {
		all = append(all, net.IP(ip).String())
	}
	if len(all) == 0 {
		return fmt.Sprintf("%q", c.Subject.String())
	}
	const most = 4 // one line
	if len(all) > most {
		all = append(all[:most], "others")
	}
	return strings.Join(all, ", ")
}
