package xds

import (
	"errors"
	"fmt"
	"slices"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	secrets "github.com/envoyproxy/go-control-plane/envoy/extensions/transport_sockets/tls/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"hollymast/control"
)

// SecretType is the type URL of secrets.
const SecretType = "type.googleapis.com/envoy.extensions.transport_sockets.tls.v3.Secret"

// CertificateStore receives secrets. Its errors give the reason of a rejection and are returned to the secret service.
type CertificateStore interface {
	UpdateKeyPair(chain, key []byte) error
	UpdateAuthorities(authorities, revoked []byte) error
}

// SecretClient is the client side of secret discovery (SDS), in the state-of-the-world variant, for one certificate and one set of
// authorities. It implements Protocol.
type SecretClient struct {
	node          *core.Node
	store         CertificateStore
	names         []string // subscribed secrets, in ascending order
	version       string   // the last accepted version
	lastRejection string   // the last rejection that was logged, so that a repetition is not
	logLines      []string
}

// NewSecretClient returns a client that subscribes to the named secrets; empty names are ignored.
func NewSecretClient(store CertificateStore, id, zone string, names ...string) *SecretClient {
	names = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == "" })
	slices.Sort(names)
	return &SecretClient{store: store, names: slices.Compact(names), node: newNode(id, zone)}
}

// Connected starts a stream and returns its first request.
func (s *SecretClient) Connected(control.Micros) []proto.Message {
	return []proto.Message{&discovery.DiscoveryRequest{Node: s.node, TypeUrl: SecretType, ResourceNames: s.names, VersionInfo: s.version}}
}

// Disconnected does nothing: the secrets stay in use without a stream.
func (s *SecretClient) Disconnected(control.Micros) {}

// Tick does nothing: the client has no timer.
func (s *SecretClient) Tick(control.Micros) control.Micros { return 0 }

// TakeLogLines returns the lines to log that were added since the last call.
func (s *SecretClient) TakeLogLines() []string {
	lines := s.logLines
	s.logLines = nil
	return lines
}

// HandleResponse applies a response and returns an ACK, or a NACK with the reasons. A valid secret is applied even if others in the
// response are invalid: an invalid set of authorities must not prevent the renewal of a certificate.
func (s *SecretClient) HandleResponse(_ control.Micros, m proto.Message) []proto.Message {
	r, ok := m.(*discovery.DiscoveryResponse)
	if !ok || r.TypeUrl != SecretType {
		return nil
	}
	var errs []error
	for _, resource := range r.Resources {
		secret := &secrets.Secret{}
		if err := resource.UnmarshalTo(secret); err != nil {
			errs = append(errs, fmt.Errorf("a secret can't be read: %w", err))
			continue
		}
		if !slices.Contains(s.names, secret.Name) {
			continue // not subscribed to
		}
		if err := s.storeSecret(secret); err != nil {
			errs = append(errs, fmt.Errorf("secret %s: %w", secret.Name, err))
		}
	}
	ack := &discovery.DiscoveryRequest{TypeUrl: SecretType, ResponseNonce: r.Nonce, ResourceNames: s.names}
	if err := errors.Join(errs...); err != nil {
		ack.ErrorDetail = nack(err)
		if s.lastRejection != err.Error() {
			s.lastRejection = err.Error()
			s.logLines = append(s.logLines, "secrets are rejected: "+err.Error())
		}
	} else {
		s.version, s.lastRejection = r.VersionInfo, ""
	}
	ack.VersionInfo = s.version
	return []proto.Message{ack}
}

// storeSecret passes a secret to the store.
func (s *SecretClient) storeSecret(secret *secrets.Secret) error {
	switch {
	case secret.GetTlsCertificate() != nil:
		c := secret.GetTlsCertificate()
		chain, err := inlineBytes(c.GetCertificateChain())
		if err != nil {
			return err
		}
		key, err := inlineBytes(c.GetPrivateKey())
		if err != nil {
			return err
		}
		return s.store.UpdateKeyPair(chain, key)
	case secret.GetValidationContext() != nil:
		c := secret.GetValidationContext()
		authorities, err := inlineBytes(c.GetTrustedCa())
		if err != nil {
			return err
		}
		var revoked []byte
		if c.GetCrl() != nil {
			if revoked, err = inlineBytes(c.GetCrl()); err != nil {
				return err
			}
		}
		return s.store.UpdateAuthorities(authorities, revoked)
	}
	return errors.New("neither a certificate nor a set of authorities")
}

// inlineBytes returns the data of an inline source. Other sources are rejected; the path of a file, for example, may be one on
// another machine.
func inlineBytes(source *core.DataSource) ([]byte, error) {
	switch x := source.GetSpecifier().(type) {
	case *core.DataSource_InlineBytes:
		return x.InlineBytes, nil
	case *core.DataSource_InlineString:
		return []byte(x.InlineString), nil
	}
	return nil, errors.New("it is not given with the secret itself")
}
