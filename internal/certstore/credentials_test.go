package certstore

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"

	"hollymast/internal/fakeserver/authority"
	"hollymast/internal/tlspolicy"
)

// A gRPC connection is closed once its peer's certificate is revoked, even without a new request on it.
func TestTrackedConnectionsAreClosed(t *testing.T) {
	a := authority.New("a")
	peer := a.Issue(loopback)
	server, dir := newStore(t, a.Issue(loopback), a.CertificatePEM(), a.RevocationList(time.Now().Add(time.Hour)))
	client, _ := newStore(t, peer, a.CertificatePEM(), nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.Creds(server.Credentials()))
	grpc_health_v1.RegisterHealthServer(s, health.NewServer())
	go s.Serve(l)
	defer s.Stop()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(client.Credentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	watch, err := grpc_health_v1.NewHealthClient(conn).Watch(ctx, &grpc_health_v1.HealthCheckRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := watch.Recv(); err != nil {
		t.Fatal(err)
	}
	a.Revoke(peer.Serial)
	writeFiles(t, dir, map[string][]byte{"revoked": a.RevocationList(time.Now().Add(time.Hour))})
	if err := server.reload(); err != nil {
		t.Fatal(err)
	}
	if _, err := watch.Recv(); err == nil || ctx.Err() != nil {
		t.Errorf("the stream is still open: %v", err)
	}
	if n := server.Stats().RejectedPeers[tlspolicy.Revoked]; n == 0 {
		t.Error("the rejection is not counted")
	}
}
