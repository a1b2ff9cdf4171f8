// Package acceptqueue looks into the accept queue of a listening TCP socket: the connections that the kernel has
// accepted and the process has not. Their clients may have sent requests already.
package acceptqueue

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Listen listens on a TCP address. It does not use Multipath TCP, because Drain attaches a socket filter, which Linux
// does not support for Multipath TCP.
func Listen(address string) (net.Listener, error) {
	var listenConfig net.ListenConfig
	listenConfig.SetMultipathTCP(false)
	return listenConfig.Listen(context.Background(), "tcp", address)
}

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

// Listener is the part of a listening TCP socket that Drain uses; *net.TCPListener implements it.
type Listener interface {
	Accept() (net.Conn, error)
	SetDeadline(at time.Time) error
	syscall.Conn
}

const (
	// acceptTimeout bounds one accept of a connection that is in the queue. It passes only if the process is stalled.
	acceptTimeout = 50 * time.Millisecond
	// acceptRetryPause is the pause after a failed accept: the process may be short of descriptors for a while.
	acceptRetryPause = time.Millisecond
)

// Drain accepts every connection in the accept queue of a listener that is about to close, and passes each to serve.
// Closing the listener without that would reset them, although their clients may have sent requests. New connections are
// kept out meanwhile, if the system can do that. Drain returns false if the queue was not empty at the deadline.
func Drain(l Listener, deadline time.Time, serve func(net.Conn)) (emptied bool) {
	rejectNew(l)
	for attempted := false; ; {
		waiting, known := hasWaiting(l)
		if known && !waiting || !known && attempted {
			return true
		}
		if !time.Now().Before(deadline) {
			return false
		}
		l.SetDeadline(time.Now().Add(acceptTimeout))
		conn, err := l.Accept()
		switch {
		case err == nil:
			serve(conn)
		case errors.Is(err, net.ErrClosed):
			return false
		case errors.Is(err, os.ErrDeadlineExceeded):
			attempted = true // nothing came within acceptTimeout, unless the process was stalled
		default:
			time.Sleep(acceptRetryPause)
		}
	}
}

// hasWaiting reports whether a connection is in the accept queue of a listener. known is false if the system does not
// tell.
func hasWaiting(l Listener) (waiting, known bool) {
	raw, err := l.SyscallConn()
	if err != nil {
		return false, false
	}
	controlErr := raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		var n int
		n, err = unix.Poll(polled, 0)
		waiting = n > 0 && polled[0].Revents&unix.POLLIN != 0
	})
	return waiting, controlErr == nil && err == nil
}

// rejectNew keeps new connections out of the accept queue with a socket filter that drops SYN packets. A client whose
// SYN was dropped is refused when it retransmits after the listener has closed.
func rejectNew(l Listener) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		filter := unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
		unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter)
	})
}

// dropSYN is a socket filter that drops SYN packets: it loads the flags byte of the TCP header and tests the SYN bit.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: 0x02, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 30}, // accept the whole packet
}
