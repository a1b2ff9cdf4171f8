package rest

import (
	"io"
	"net"
	"time"
)

// A connection is read on after its last answer until the client closes too, within these bounds: the time is several round
// trips, the bytes are several times what a usual client has on its way.
const (
	drainTime     = 500 * time.Millisecond
	maxDrainBytes = 256 << 10
)

// linger closes a connection so that an answer just written is not lost to a reset for bytes that nobody read. Beyond the bound
// on bytes nothing is read, so that a flood costs nothing, and the close waits all the same.
func (c *Conn) drain() {
	if s, ok := c.conn.(interface{ CloseWrite() error }); ok && isTLS(c.conn) {
		s.CloseWrite()
	}
	conn := socketOf(c.conn)
	if t, ok := conn.(*net.TCPConn); ok && t.CloseWrite() == nil {
		until := time.Now().Add(drainTime)
		conn.SetReadDeadline(until)
		if _, err := io.CopyN(io.Discard, conn, maxDrainBytes); err == nil {
			time.Sleep(time.Until(until))
		}
	}
	conn.Close()
}
