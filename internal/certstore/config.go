package certstore

import "os"

// Config configures TLS for one side of one kind of connection.
type Config struct {
	Certificate, Key string   // files (PEM); both empty: this side presents no certificate
	Authorities      string   // file (PEM); empty: the peer is not verified
	RevocationLists  string   // file of CRLs (PEM); empty: there are none
	Names            []string // accepted names of the peer (patterns); see tlspolicy.NewVerifier
	AllowTLS12       bool     // otherwise TLS 1.3 is required

	SecretsAddress    string // of a secret discovery service (SDS); empty: the files are used
	CertificateSecret string // name of the secret with certificate and key; empty: this side presents no certificate
	AuthoritiesSecret string // name of the secret with authorities and CRLs; empty: the peer is not verified
}

func (c *Config) hasCertificate() bool { return c.Certificate != "" || c.CertificateSecret != "" }

func (c *Config) verifiesPeer() bool { return c.Authorities != "" || c.AuthoritiesSecret != "" }

// files holds the contents of the configured files; nil: no file is configured.
type files struct {
	certificate, key, authorities, revocationLists []byte
}

// readFiles reads all configured files. Its error is an *fs.PathError.
func (c *Config) readFiles() (f files, err error) {
	for _, file := range []struct {
		name    string
		content *[]byte
	}{
		{c.Certificate, &f.certificate},
		{c.Key, &f.key},
		{c.Authorities, &f.authorities},
		{c.RevocationLists, &f.revocationLists},
	} {
		if file.name == "" {
			continue
		}
		if *file.content, err = os.ReadFile(file.name); err != nil {
			return files{}, err
		}
	}
	return f, nil
}
