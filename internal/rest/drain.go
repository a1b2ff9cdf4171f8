package rest

import (
	"io"
	"net"
	"time"
)

// After its last response a connection is read until the client closes it too, within these bounds: the time is several
// round trips, the bytes are several times what a usual client has in transit.
const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// lingeringClose closes a connection. It guards against losing the response just written to the reset that unread bytes cause.
// Beyond maxDrainBytes nothing is read, so that a flood costs nothing, and the close still waits for drainTime.
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
