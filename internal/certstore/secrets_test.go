package certstore

import (
	"context"
	"strings"
	"testing"
	"time"

	"hollymast/control"
	"hollymast/internal/fakeserver"
	"hollymast/internal/fakeserver/authority"
	"hollymast/internal/xds"
)

// The store gets secrets from a secret service and applies their replacements. An invalid secret is rejected with a NACK and changes
// nothing.
func TestSecretDiscovery(t *testing.T) {
	a := authority.New("a")
	service, err := fakeserver.NewSecretService()
	if err != nil {
		t.Fatal(err)
	}
	defer service.Stop()
	s, err := Open(&Config{SecretsAddress: service.Address(), CertificateSecret: "own", AuthoritiesSecret: "peers"}, now, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		transport := xds.Transport{Address: service.Address(), Service: xds.SecretDiscovery, Now: now, OnUpdate: func(control.Micros) {}, Log: func(string) {}}
		ended <- transport.Run(ctx, xds.NewSecretClient(s, "router-0", "", "own", "peers"))
	}()
	defer func() { stop(); <-ended }()
	serial := func() string {
		s.mu.Lock()
		defer s.mu.Unlock()
		if p := s.identity.Current(); p != nil {
			return p.Leaf.SerialNumber.String()
		}
		return ""
	}
	hasAuthorities := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.verifier.HasAuthorities()
	}
	x, y := a.Issue(loopback), a.Issue(loopback)
	service.SetCertificate("own", x.Chain, x.Key)
	service.SetValidationContext("peers", a.CertificatePEM(), a.RevocationList(time.Now().Add(time.Hour)))
	waitFor(t, "the first pair", func() bool { return serial() == x.Serial.String() })
	waitFor(t, "the first authorities", hasAuthorities) // a separate resource
	service.SetValidationContext("peers", nil, nil)
	waitFor(t, "a NACK", func() bool {
		_, nacks := service.Counts()
		return len(nacks) == 1 && strings.Contains(nacks[0], "peers")
	})
	service.SetCertificate("own", y.Chain, y.Key) // accepted although the authorities are invalid
	waitFor(t, "the second pair", func() bool { return serial() == y.Serial.String() })
	if !hasAuthorities() {
		t.Error("invalid authorities replaced valid ones")
	}
}
