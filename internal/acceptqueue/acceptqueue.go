// Package acceptqueue looks into the accept queue of a listening TCP socket: the connections that the kernel has
// accepted and the process has not. Their clients may have sent requests already.
package acceptqueue

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Length returns the number of connections in the accept queue of a listening socket. ok is false if the system does
// not tell.
func Length(socket syscall.Conn) (n int, ok bool) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	controlErr := raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			n = int(info.Unacked) // of a listening socket, this is the length of its accept queue
		}
	})
	return n, controlErr == nil && err == nil
}
