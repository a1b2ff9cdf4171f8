package certstore

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"google.golang.org/grpc/credentials"

	"hollymast/internal/tlspolicy"
)

// http2Protocol is the ALPN protocol of gRPC (RFC 7540, section 3.3).
const http2Protocol = "h2"

// serverHandshakeTimeout limits a handshake with a client, for which gRPC passes no context. It allows a few of the slowest round trips.
const serverHandshakeTimeout = 5 * time.Second

// Credentials returns the store's credentials for gRPC clients and servers. Connections made with them are closed once the peer is no
// longer trusted.
func (s *Store) Credentials() credentials.TransportCredentials {
	return &transportCredentials{store: s}
}

type transportCredentials struct{ store *Store }

// ClientHandshake implements credentials.TransportCredentials.
func (c *transportCredentials) ClientHandshake(ctx context.Context, authority string, nc net.Conn) (net.Conn, credentials.AuthInfo, error) {
	host, _, err := net.SplitHostPort(authority)
	if err != nil {
		host = authority
	}
	return c.handshake(ctx, nc, tlspolicy.Server, host)
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *transportCredentials) ServerHandshake(nc net.Conn) (net.Conn, credentials.AuthInfo, error) {
	ctx, cancel := context.WithTimeout(context.Background(), serverHandshakeTimeout)
	defer cancel()
	return c.handshake(ctx, nc, tlspolicy.Client, "")
}

// handshake makes a tracked TLS connection with a peer of the given role.
func (c *transportCredentials) handshake(ctx context.Context, nc net.Conn, peerRole tlspolicy.Role, host string) (net.Conn, credentials.AuthInfo, error) {
	tracked := &trackedConn{raw: nc, store: c.store}
	config := c.store.tlsConfig(peerRole, host, &tracked.peer)
	config.NextProtos = []string{http2Protocol}
	conn := tls.Client(nc, config)
	if peerRole == tlspolicy.Client {
		conn = tls.Server(nc, config)
	}
	if err := c.store.handshake(ctx, conn); err != nil {
		nc.Close()
		return nil, nil, err
	}
	tracked.Conn = conn
	if c.store.config.verifiesPeer() {
		c.store.track(tracked)
	}
	info := credentials.TLSInfo{State: conn.ConnectionState()}
	info.SecurityLevel = credentials.PrivacyAndIntegrity
	return tracked, info, nil
}

// Info implements credentials.TransportCredentials.
func (c *transportCredentials) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone implements credentials.TransportCredentials.
func (c *transportCredentials) Clone() credentials.TransportCredentials {
	return &transportCredentials{store: c.store}
}

// OverrideServerName implements credentials.TransportCredentials. It does nothing: the host that was dialed is
// verified instead.
func (c *transportCredentials) OverrideServerName(string) error { return nil }
