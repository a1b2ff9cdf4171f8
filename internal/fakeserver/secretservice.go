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

// SecretService is a secret discovery service (SDS) for tests, state of the world.
type SecretService struct {
	secret.UnimplementedSecretDiscoveryServiceServer
	server  *grpc.Server
	address string
	serving sync.WaitGroup

	mu      sync.Mutex
	secrets map[string]*tls.Secret
	version int
	wake    chan struct{}
	acks    int
	nacks   []string
}

// NewSecretService starts one on loopback.
func NewSecretService() (*SecretService, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &SecretService{server: grpc.NewServer(), address: listener.Addr().String(), secrets: map[string]*tls.Secret{},
		wake: make(chan struct{})}
	secret.RegisterSecretDiscoveryServiceServer(s.server, s)
	s.serving.Go(func() { s.server.Serve(listener) })
	return s, nil
}

// Address is where it listens.
func (s *SecretService) Address() string { return s.address }

// Stop ends it and waits for its goroutines.
func (s *SecretService) Stop() {
	s.server.Stop()
	s.serving.Wait()
}

// SetCertificate sends a certificate and its key, PEM, under a name.
func (s *SecretService) SetCertificate(name string, chain, key []byte) {
	certificate := &tls.TlsCertificate{CertificateChain: inlineBytes(chain), PrivateKey: inlineBytes(key)}
	s.set(&tls.Secret{Name: name, Type: &tls.Secret_TlsCertificate{TlsCertificate: certificate}})
}

// SetValidationContext sends certificate authorities and their lists of revoked certificates (nil: none), PEM, under a name.
func (s *SecretService) SetValidationContext(name string, authorities, revoked []byte) {
	c := &tls.CertificateValidationContext{TrustedCa: inlineBytes(authorities)}
	if revoked != nil {
		c.Crl = inlineBytes(revoked)
	}
	s.set(&tls.Secret{Name: name, Type: &tls.Secret_ValidationContext{ValidationContext: c}})
}

func inlineBytes(b []byte) *core.DataSource {
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

// Counts returns how many acknowledgements there were, and the reasons of negative acknowledgements.
func (s *SecretService) Counts() (acks int, nacks []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acks, slices.Clone(s.nacks)
}

// StreamSecrets serves the state of the world.
func (s *SecretService) StreamSecrets(stream secret.SecretDiscoveryService_StreamSecretsServer) error {
	requests := receiveAll(stream.Context(), stream.Recv)
	var names []string
	const none = -1
	sent := none
	for {
		response, version, wake := s.response(names)
		if version != sent && len(response.Resources) > 0 {
			sent = version
			if err := stream.Send(response); err != nil {
				return err
			}
		}
		select {
		case request, open := <-requests:
			if !open {
				return nil
			}
			names = request.ResourceNames
			s.countAnswer(request)
		case <-wake:
		}
	}
}

// response returns the secrets of these names as they are now, their version, and what is closed at the next change.
func (s *SecretService) response(names []string) (response *discovery.DiscoveryResponse, version int, wake <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response = &discovery.DiscoveryResponse{TypeUrl: secretURL, VersionInfo: strconv.Itoa(s.version), Nonce: fmt.Sprint("n", s.version)}
	for _, name := range names {
		if x := s.secrets[name]; x != nil {
			response.Resources = append(response.Resources, PackAny(x))
		}
	}
	return response, s.version, s.wake
}

func (s *SecretService) countAnswer(request *discovery.DiscoveryRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.ErrorDetail != nil {
		s.nacks = append(s.nacks, request.ErrorDetail.Message)
	} else if request.ResponseNonce != "" {
		s.acks++
	}
}
