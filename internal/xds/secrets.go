package xds

import (
	"errors"
	"fmt"
	"slices"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	secrets "github.com/envoyproxy/go-control-plane/envoy/extensions/transport_sockets/tls/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	status "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	"hollymast/control"
)

// SecretType is the type of secrets, by its URL.
const SecretType = "type.googleapis.com/envoy.extensions.transport_sockets.tls.v3.Secret"

// Keys is who takes in secrets. Errors say why one is not taken, and go back to the service.
type CertificateStore interface {
	UpdateKeyPair(chain, key []byte) error
	UpdateAuthorities(authorities, revoked []byte) error
}

// Secrets is the client's side of the secret discovery protocol (SDS), state of the world, for one certificate and one set of
// authorities.
type SecretClient struct {
	node          *core.Node
	store         CertificateStore
	names         []string // asked for, ascending
	version       string   // last accepted
	notes         []string
	lastRejection string
}

// NewSecrets gives a follower that asks for secrets by name; an empty name is not asked for.
func NewSecretClient(keys CertificateStore, id, zone string, names ...string) *SecretClient {
	names = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == "" })
	slices.Sort(names)
	return &SecretClient{store: keys, names: slices.Compact(names), node: &core.Node{Id: id, Cluster: "hollymast", UserAgentName: "hollymast", Locality: &core.Locality{Zone: zone}}}
}

// Connected begins a stream.
func (s *SecretClient) Connected(control.Micros) []proto.Message {
	return []proto.Message{&discovery.DiscoveryRequest{Node: s.node, TypeUrl: SecretType, ResourceNames: s.names, VersionInfo: s.version}}
}

// Broken ends a stream; what was told stands.
func (s *SecretClient) Disconnected(control.Micros) {}

// Tick has nothing that waits.
func (s *SecretClient) Tick(control.Micros) control.Micros { return 0 }

// Notes gives what is to be told operators since the last call.
func (s *SecretClient) TakeLogLines() []string {
	notes := s.notes
	s.notes = nil
	return notes
}

// Heard takes in a response and gives its ACK, or its NACK with the reasons. Secrets that can be taken are, whatever is wrong with
// others beside them: a bad set of authorities must not keep a certificate from being renewed.
func (s *SecretClient) HandleResponse(_ control.Micros, m proto.Message) []proto.Message {
	r, ok := m.(*discovery.DiscoveryResponse)
	if !ok || r.TypeUrl != SecretType {
		return nil
	}
	var errs []error
	for _, any := range r.Resources {
		x := &secrets.Secret{}
		if err := any.UnmarshalTo(x); err != nil {
			errs = append(errs, fmt.Errorf("a secret can't be read: %w", err))
			continue
		}
		if !slices.Contains(s.names, x.Name) {
			continue // never asked for
		}
		if err := s.offer(x); err != nil {
			errs = append(errs, fmt.Errorf("secret %s: %w", x.Name, err))
		}
	}
	ack := &discovery.DiscoveryRequest{TypeUrl: SecretType, ResponseNonce: r.Nonce, ResourceNames: s.names}
	if err := errors.Join(errs...); err != nil {
		ack.ErrorDetail = &status.Status{Code: int32(codes.InvalidArgument), Message: err.Error()}
		if s.lastRejection != err.Error() {
			s.lastRejection = err.Error()
			s.notes = append(s.notes, "secrets are refused: "+err.Error())
		}
	} else {
		s.version, s.lastRejection = r.VersionInfo, ""
	}
	ack.VersionInfo = s.version
	return []proto.Message{ack}
}

func (s *SecretClient) offer(x *secrets.Secret) error {
	switch {
	case x.GetTlsCertificate() != nil:
		c := x.GetTlsCertificate()
		chain, err := inlineBytes(c.GetCertificateChain())
		if err != nil {
			return err
		}
		key, err := inlineBytes(c.GetPrivateKey())
		if err != nil {
			return err
		}
		return s.store.UpdateKeyPair(chain, key)
	case x.GetValidationContext() != nil:
		c := x.GetValidationContext()
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

// inline gives a source's own bytes. Files that it names may be another machine's.
func inlineBytes(d *core.DataSource) ([]byte, error) {
	switch x := d.GetSpecifier().(type) {
	case *core.DataSource_InlineBytes:
		return x.InlineBytes, nil
	case *core.DataSource_InlineString:
		return []byte(x.InlineString), nil
	}
	return nil, errors.New("it is not given with the secret itself")
}
