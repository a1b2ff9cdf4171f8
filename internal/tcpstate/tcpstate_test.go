package tcpstate

import (
	"net"
	"syscall"
	"testing"

	"hollymast/internal/platformtest"
)

// A close is seen even if the peer has sent something before it that is not read yet.
func TestPeerClosedBehindUnreadInput(t *testing.T) {
	for _, c := range []struct {
		name  string
		close func(conn *net.TCPConn)
		want  bool
	}{
		{"open", func(*net.TCPConn) {}, false},
		{"half closed", func(conn *net.TCPConn) { conn.CloseWrite() }, true},
		{"closed", func(conn *net.TCPConn) { conn.Close() }, true},
		{"reset", func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			dialled, accepted := platformtest.ConnPair(t)
			raw, err := accepted.(syscall.Conn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			dialled.Write([]byte("unread"))
			c.close(dialled.(*net.TCPConn))
			if c.want {
				platformtest.WaitFor(t, "the close is seen", func() bool { return PeerClosed(raw) })
			} else if PeerClosed(raw) {
				t.Error("an open connection counts as closed")
			}
		})
	}
}
