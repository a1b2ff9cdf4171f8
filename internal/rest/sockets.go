package rest

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The functions of this file return what the kernel knows of a connection and a read does not tell. Each makes one system
// call that consumes nothing and does not block, and may be called from any goroutine.

// sinceLastData returns how long ago the last bytes arrived, to a millisecond; 0 if that is not known.
func sinceLastData(conn net.Conn) time.Duration {
	elapsed := time.Duration(0)
	withDescriptor(conn, func(fd int) {
		if i, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			elapsed = time.Duration(i.Last_data_recv) * time.Millisecond
		}
	})
	return elapsed
}

// peerClosed reports whether the peer has closed its side of a connection, or reset it, also behind unread bytes.
func peerClosed(conn net.Conn) bool {
	state := 0
	ok := withDescriptor(conn, func(fd int) {
		if v, err := unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = v & 0xff // the first field
		}
	})
	const established = 1 // the same in all Linux versions
	return ok && state != 0 && state != established
}

// withDescriptor calls f with a connection's descriptor; ok is false if it has none, or is closed.
func withDescriptor(conn net.Conn, f func(fd int)) (ok bool) {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := socket.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// socketOf returns the connection beneath a TLS connection. It is what is closed: the TLS close may block on a peer that
// does not read, and the messages' lengths already tell where they end.
func socketOf(conn net.Conn) net.Conn {
	if s, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return s.NetConn()
	}
	return conn
}

// isTLS reports whether a connection uses TLS.
func isTLS(conn net.Conn) bool { return socketOf(conn) != conn }

// checkPeer returns why the peer's certificate, which was valid at the handshake, is not valid any more.
func checkPeer(conn net.Conn) error {
	if checker, ok := conn.(PeerChecker); ok {
		return checker.CheckPeer()
	}
	return nil
}

// PeerChecker is a TLS connection whose peer's certificate can be checked again after the handshake.
type PeerChecker interface {
	// CheckPeer returns why the certificate is not valid any more, or nil.
	CheckPeer() error
}

// isIdle reports whether a connection is open on both sides and has nothing to read.
func isIdle(conn net.Conn) bool {
	e, ok := peekSocket(conn)
	return ok && (e == syscall.EAGAIN || e == syscall.EWOULDBLOCK)
}

// maxInterruptedCalls is how often a system call that a signal interrupts is made: signals come a few per second at most.
const maxInterruptedCalls = 8

var recvfrom = syscall.Recvfrom // tests replace it

// peekSocket peeks at a connection's next byte without blocking. errno is 0 if there is one, EAGAIN if there is none yet;
// ok is false at the end of the connection.
func peekSocket(conn net.Conn) (errno syscall.Errno, ok bool) {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return syscall.EAGAIN, true // no socket: nothing can be seen
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		for range maxInterruptedCalls {
			var callErr error
			n, _, callErr = recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if errno, _ = callErr.(syscall.Errno); errno != syscall.EINTR {
				break
			}
		}
	})
	return errno, err == nil && (errno != 0 || n > 0)
}
