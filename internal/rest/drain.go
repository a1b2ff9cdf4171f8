package rest

import (
	"io"
	"net"
	"time"
)

// After its last response, a connection is read until the client closes it too, within these bounds: the time is several
// round trips, and the bytes are several times what a typical client has in transit.
const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// lingeringClose closes a connection after reading the client's remaining bytes: closing with unread bytes would reset the
// connection, and the response just written could be lost. At most maxLingerBytes are read, so that a client that floods
// the connection costs nothing more; the close still waits until lingerTimeout has passed.
func (c *Conn) lingeringClose() {
	if s, ok := c.conn.(interface{ CloseWrite() error }); ok && isTLS(c.conn) {
		s.CloseWrite()
	}
	conn := socketOf(c.conn)
	if t, ok := conn.(*net.TCPConn); ok && t.CloseWrite() == nil {
		until := time.Now().Add(lingerTimeout)
		conn.SetReadDeadline(until)
		if _, err := io.CopyN(io.Discard, conn, maxLingerBytes); err == nil {
			time.Sleep(time.Until(until))
		}
	}
	conn.Close()
}
