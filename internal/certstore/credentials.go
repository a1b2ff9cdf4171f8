package certstore

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"google.golang.org/grpc/credentials"

	"hollymast/internal/tlspolicy"
)

// Credentials are a ring's for gRPC, on either side. Connections of peers that are not believed any more are cut.
func (r *Store) Credentials() credentials.TransportCredentials {
	return &transportCredentials{store: r}
}

type transportCredentials struct{ store *Store }

// protocol is what gRPC must agree on (RFC 7540, 3.3).
const http2Protocol = "h2"

func (c *transportCredentials) handshake(ctx context.Context, nc net.Conn, side tlspolicy.Role, host string) (net.Conn, credentials.AuthInfo, error) {
	w := &trackedConn{raw: nc, store: c.store}
	config := c.store.tlsConfig(side, host, &w.peer)
	config.NextProtos = []string{http2Protocol}
	t := tls.Client(nc, config)
	if side == tlspolicy.Client {
		t = tls.Server(nc, config)
	}
	if err := c.store.handshake(ctx, t); err != nil {
		nc.Close()
		return nil, nil, err
	}
	w.Conn = t
	if c.store.config.verifiesPeer() {
		c.store.mu.Lock()
		c.store.tracked[w] = struct{}{}
		c.store.closeUntrusted() // what is believed may have changed since the handshake
		c.store.mu.Unlock()
	}
	info := credentials.TLSInfo{State: t.ConnectionState()}
	info.SecurityLevel = credentials.PrivacyAndIntegrity
	return w, info, nil
}

func (c *transportCredentials) ClientHandshake(ctx context.Context, authority string, nc net.Conn) (net.Conn, credentials.AuthInfo, error) {
	host, _, err := net.SplitHostPort(authority)
	if err != nil {
		host = authority
	}
	return c.handshake(ctx, nc, tlspolicy.Server, host)
}

// serverHandshake bounds a handshake, for which gRPC gives no context on this side: a few of the slowest round trips.
const serverHandshakeTimeout = 5 * time.Second

func (c *transportCredentials) ServerHandshake(nc net.Conn) (net.Conn, credentials.AuthInfo, error) {
	ctx, cancel := context.WithTimeout(context.Background(), serverHandshakeTimeout)
	defer cancel()
	return c.handshake(ctx, nc, tlspolicy.Client, "")
}

func (c *transportCredentials) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

func (c *transportCredentials) Clone() credentials.TransportCredentials {
	return &transportCredentials{store: c.store}
}

func (c *transportCredentials) OverrideServerName(string) error { return nil }
