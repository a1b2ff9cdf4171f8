package rest

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// What the kernel knows of a connection and a read does not tell. Each look is one system call that takes nothing and never waits,
// and may be made from any goroutine.

// unread is how long ago the last bytes came, to a millisecond; 0 where it can't be told.
func sinceLastData(conn net.Conn) time.Duration {
	ago := time.Duration(0)
	control(conn, func(fd int) {
		if i, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago = time.Duration(i.Last_data_recv) * time.Millisecond
		}
	})
	return ago
}

// left tells whether the other end has closed its side of a connection, or broken it, also behind bytes that nobody has read yet.
func peerClosed(conn net.Conn) bool {
	state := 0
	ok := control(conn, func(fd int) {
		if v, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = v & 0xff // the first field
		}
	})
	const established = 1 // the same in all Linux versions
	return ok && state != 0 && state != established
}

// look has a connection's descriptor looked at; no tells that it has none, or is closed.
func control(conn net.Conn, at func(fd int)) (ok bool) {
	sc, is := conn.(syscall.Conn)
	if !is {
		return false
	}
	raw, err := sc.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { at(int(fd)) }) == nil
}
