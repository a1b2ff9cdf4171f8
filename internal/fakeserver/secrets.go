package fakeserver

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	tls "github.com/envoyproxy/go-control-plane/envoy/extensions/transport_sockets/tls/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	secret "github.com/envoyproxy/go-control-plane/envoy/service/secret/v3"
	"google.golang.org/grpc"
)

// Secrets is a pretend secret discovery service (SDS), state of the world.
type SecretService struct {
	secret.UnimplementedSecretDiscoveryServiceServer
	server  *grpc.Server
	address string

	mu      sync.Mutex
	secrets map[string]*tls.Secret
	version int
	wake    chan struct{}
	acks    int
	nacks   []string
}

// NewSecrets starts one on loopback.
func NewSecretService() (*SecretService, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &SecretService{server: grpc.NewServer(), address: l.Addr().String(), secrets: map[string]*tls.Secret{}, wake: make(chan struct{})}
	secret.RegisterSecretDiscoveryServiceServer(s.server, s)
	go s.server.Serve(l)
	return s, nil
}

// Address is where it listens.
func (s *SecretService) Address() string { return s.address }

// Stop ends it.
func (s *SecretService) Stop() { s.server.Stop() }

// SetPair tells a certificate and its key under a name.
func (s *SecretService) SetCertificate(name string, chain, key []byte) {
	s.set(&tls.Secret{Name: name, Type: &tls.Secret_TlsCertificate{TlsCertificate: &tls.TlsCertificate{CertificateChain: bytesOf(chain), PrivateKey: bytesOf(key)}}})
}

// SetPeers tells authorities and their lists of revoked certificates under a name.
func (s *SecretService) SetValidation(name string, authorities, revoked []byte) {
	c := &tls.CertificateValidationContext{TrustedCa: bytesOf(authorities)}
	if revoked != nil {
		c.Crl = bytesOf(revoked)
	}
	s.set(&tls.Secret{Name: name, Type: &tls.Secret_ValidationContext{ValidationContext: c}})
}

func bytesOf(b []byte) *core.DataSource {
	return &core.DataSource{Specifier: &core.DataSource_InlineBytes{InlineBytes: b}}
}

func (s *SecretService) set(x *tls.Secret) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.secrets[x.Name] = x
	s.version++
	close(s.wake)
	s.wake = make(chan struct{})
}

// Counts tells how many ACKs there were, and the NACKs' reasons.
func (s *SecretService) Counts() (acks int, nacks []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acks, slices.Clone(s.nacks)
}

// StreamSecrets serves the state of the world.
func (s *SecretService) StreamSecrets(st secret.SecretDiscoveryService_StreamSecretsServer) error {
	requests := pump(st.Context(), st.Recv)
	var names []string
	sent := -1
	for {
		s.mu.Lock()
		wake, version := s.wake, s.version
		r := &discovery.DiscoveryResponse{TypeUrl: "type.googleapis.com/envoy.extensions.transport_sockets.tls.v3.Secret", VersionInfo: strconv.Itoa(version), Nonce: fmt.Sprint("n", version)}
		for _, n := range names {
			if x := s.secrets[n]; x != nil {
				r.Resources = append(r.Resources, PackAny(x))
			}
		}
		s.mu.Unlock()
		if version != sent && len(r.Resources) > 0 {
			sent = version
			if err := st.Send(r); err != nil {
				return err
			}
		}
		select {
		case q, open := <-requests:
			if !open {
				return nil
			}
			names = q.ResourceNames
			s.mu.Lock()
			if q.ErrorDetail != nil {
				s.nacks = append(s.nacks, q.ErrorDetail.Message)
			} else if q.ResponseNonce != "" {
				s.acks++
			}
			s.mu.Unlock()
		case <-wake:
		}
	}
}
