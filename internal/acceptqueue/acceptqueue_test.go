package acceptqueue

import (
	"net"
	"testing"
)

// listen listens on a free port until the test ends.
func listen(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.(*net.TCPListener)
}

// dial opens a connection that stays open until the test ends.
func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func TestLength(t *testing.T) {
	l := listen(t)
	for want := range 4 {
		if n, ok := Length(l); n != want || !ok {
			t.Errorf("got %d, %t, want %d", n, ok, want)
		}
		dial(t, l)
	}
	l.Close()
	if _, ok := Length(l); ok {
		t.Error("a closed listener has a length")
	}
}
