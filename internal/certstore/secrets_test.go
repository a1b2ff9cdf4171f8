package certstore

import (
	"context"
	"hollymast/control"
	"hollymast/internal/fakeserver"
	"hollymast/internal/fakeserver/authority"
	"hollymast/internal/xds"
	"strings"
	"testing"
	"time"
)

// Secrets come from a service, change there, and are refused there where they are bad.
func TestSecretsFromAService(t *testing.T) {
	a := authority.New("a")
	service, err := fakeserver.NewSecretService()
	if err != nil {
		t.Fatal(err)
	}
	defer service.Stop()
	r, err := Open(&Config{SecretsAddress: service.Address(), CertificateSecret: "own", AuthoritiesSecret: "peers"}, now, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		source := xds.Transport{Address: service.Address(), Service: xds.SecretDiscovery, Now: now, OnUpdate: func(control.Micros) {}, Log: func(string) {}}
		ended <- source.Run(ctx, xds.NewSecretClient(r, "router-0", "", "own", "peers"))
	}()
	defer func() { stop(); <-ended }()
	await := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not within five seconds: %s", what)
			}
		}
	}
	serial := func() string {
		r.mu.Lock()
		defer r.mu.Unlock()
		if p := r.identity.Current(); p != nil {
			return p.Leaf.SerialNumber.String()
		}
		return ""
	}
	known := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.verifier.HasAuthorities()
	}
	x, y := a.Issue(host), a.Issue(host)
	service.SetCertificate("own", x.Chain, x.Key)
	service.SetValidation("peers", a.CertificatePEM(), a.RevocationList(time.Now().Add(time.Hour)))
	await("the first pair", func() bool { return serial() == x.Serial.String() })
	await("the first authorities", known) // they come by a resource of their own
	service.SetValidation("peers", nil, nil)
	await("a NACK", func() bool {
		_, nacks := service.Counts()
		return len(nacks) == 1 && strings.Contains(nacks[0], "peers")
	})
	service.SetCertificate("own", y.Chain, y.Key) // taken, whatever is wrong with the other
	await("the second pair", func() bool { return serial() == y.Serial.String() })
	if !known() {
		t.Error("bad authorities took the place of good ones")
	}
}
