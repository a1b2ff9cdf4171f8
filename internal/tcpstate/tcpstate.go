// Package tcpstate tells what the kernel knows of a TCP connection and a read does not show yet.
package tcpstate

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// established is TCP_ESTABLISHED, the same in all Linux versions.
const established = 1

// PeerClosed reports whether the peer has closed its side of a connection or reset it, even if there are unread bytes before
// the close. It does not block, and returns false if the system does not tell.
func PeerClosed(raw syscall.RawConn) bool {
	state := 0
	err := raw.Control(func(fd uintptr) {
		if value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = value & 0xff // tcpi_state is the first byte of struct tcp_info
		}
	})
	return err == nil && state != 0 && state != established
}
