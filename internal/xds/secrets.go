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

// CertificateStore receives secrets. Its errors say why one is rejected, and go back to the service.
type CertificateStore interface {
	UpdateKeyPair(chain, key []byte) error
	UpdateAuthorities(authorities, revoked []byte) error
}

// SecretClient is the client's side of secret discovery (SDS), state of the world, for one certificate and one set of
// authorities; it implements Protocol.
type SecretClient struct {
	node          *core.Node
	store         CertificateStore
	names         []string // subscribed to, ascending
	version       string   // the last accepted
	lastRejection string   // logged once
	logLines      []string
}

// NewSecretClient returns a client that subscribes to secrets by name; empty names are left out.
func NewSecretClient(store CertificateStore, id, zone string, names ...string) *SecretClient {
	names = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == "" })
	slices.Sort(names)
	return &SecretClient{store: store, names: slices.Compact(names), node: newNode(id, zone)}
}

// Connected starts a stream.
func (s *SecretClient) Connected(control.Micros) []proto.Message {
	return []proto.Message{&discovery.DiscoveryRequest{Node: s.node, TypeUrl: SecretType, ResourceNames: s.names, VersionInfo: s.version}}
}

// Disconnected ends a stream. The secrets stay in use.
func (s *SecretClient) Disconnected(control.Micros) {}

// Tick has nothing to do: secrets have no timer.
func (s *SecretClient) Tick(control.Micros) control.Micros { return 0 }

// TakeLogLines returns the lines to log since the last call.
func (s *SecretClient) TakeLogLines() []string {
	lines := s.logLines
	s.logLines = nil
	return lines
}

// HandleResponse applies a response and returns its ACK, or its NACK with the reasons. A valid secret is applied whatever is
// wrong with others beside it: a bad set of authorities must not keep a certificate from being renewed.
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
			continue // never subscribed to
		}
		if err := s.offer(secret); err != nil {
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

// offer hands a secret to the store.
func (s *SecretClient) offer(secret *secrets.Secret) error {
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

// inlineBytes returns a source's own bytes. A file that it names is rejected: its path may be on another machine.
func inlineBytes(d *core.DataSource) ([]byte, error) {
	switch x := d.GetSpecifier().(type) {
	case *core.DataSource_InlineBytes:
		return x.InlineBytes, nil
	case *core.DataSource_InlineString:
		return []byte(x.InlineString), nil
	}
	return nil, errors.New("it is not given with the secret itself")
}
