package certstore

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"google.golang.org/grpc/credentials"

	"hollymast/internal/tlspolicy"
)

// watched is a connection that stands for long, on which nobody asks whether its peer is still believed.
type watched struct {
	net.Conn
	raw      net.Conn
	ring     *Store
	standing tlspolicy.VerifiedPeer
}

func (w *watched) Close() error {
	w.ring.mu.Lock()
	delete(w.ring.long, w)
	w.ring.mu.Unlock()
	return w.Conn.Close()
}

// Credentials are a ring's for gRPC, on either side. Connections of peers that are not believed any more are cut.
func (r *Store) Credentials() credentials.TransportCredentials { return &creds{ring: r} }

type creds struct{ ring *Store }

// protocol is what gRPC must agree on (RFC 7540, 3.3).
const protocol = "h2"

func (c *creds) hand(ctx context.Context, nc net.Conn, side tlspolicy.Role, host string) (net.Conn, credentials.AuthInfo, error) {
	w := &watched{raw: nc, ring: c.ring}
	config := c.ring.config(side, host, &w.standing)
	config.NextProtos = []string{protocol}
	t := tls.Client(nc, config)
	if side == tlspolicy.Client {
		t = tls.Server(nc, config)
	}
	if err := c.ring.shake(ctx, t); err != nil {
		nc.Close()
		return nil, nil, err
	}
	w.Conn = t
	if c.ring.told.checks() {
		c.ring.mu.Lock()
		c.ring.long[w] = struct{}{}
		c.ring.cut() // what is believed may have changed since the handshake
		c.ring.mu.Unlock()
	}
	info := credentials.TLSInfo{State: t.ConnectionState()}
	info.SecurityLevel = credentials.PrivacyAndIntegrity
	return w, info, nil
}

func (c *creds) ClientHandshake(ctx context.Context, authority string, nc net.Conn) (net.Conn, credentials.AuthInfo, error) {
	host, _, err := net.SplitHostPort(authority)
	if err != nil {
		host = authority
	}
	return c.hand(ctx, nc, tlspolicy.Server, host)
}

// serverHandshake bounds a handshake, for which gRPC gives no context on this side: a few of the slowest round trips.
const serverHandshake = 5 * time.Second

func (c *creds) ServerHandshake(nc net.Conn) (net.Conn, credentials.AuthInfo, error) {
	ctx, cancel := context.WithTimeout(context.Background(), serverHandshake)
	defer cancel()
	return c.hand(ctx, nc, tlspolicy.Client, "")
}

func (c *creds) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

func (c *creds) Clone() credentials.TransportCredentials { return &creds{ring: c.ring} }

func (c *creds) OverrideServerName(string) error { return nil }
