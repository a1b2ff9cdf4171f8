package certstore

// Told is what one side of one kind of connection is told.
type Config struct {
	Certificate, Key string   // files; both empty: this side shows none
	Authorities      string   // file; empty: the other side is not checked
	RevocationLists  string   // file; empty: none are
	Names            []string // that the other side may have; none: the host dialled, or anyone of the authorities
	AllowTLS12       bool     // TLS 1.2 will do

	SecretsAddress    string // address of a secret discovery service on loopback; empty: the files
	CertificateSecret string // names of its secrets
	AuthoritiesSecret string
}

func (t *Config) hasCertificate() bool { return t.Certificate != "" || t.CertificateSecret != "" }

func (t *Config) verifiesPeer() bool { return t.Authorities != "" || t.AuthoritiesSecret != "" }
