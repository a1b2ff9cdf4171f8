package rest

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hollymast/internal/tcpstate"
)

// This file queries the kernel for connection state that a read does not show. A query is one system call that neither
// consumes input nor blocks, and may be made from any goroutine.

// sinceLastData returns how long ago the last bytes arrived, with millisecond precision, or 0 if that is not known.
func sinceLastData(conn net.Conn) time.Duration {
	elapsed := time.Duration(0)
	withDescriptor(conn, func(fd int) {
		if i, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			elapsed = time.Duration(i.Last_data_recv) * time.Millisecond
		}
	})
	return elapsed
}

// peerClosed reports whether the peer has closed its side of a connection or reset it, even if there are unread bytes.
func peerClosed(conn net.Conn) bool {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := socket.SyscallConn()
	return err == nil && tcpstate.PeerClosed(raw)
}

// withDescriptor calls f with a connection's file descriptor; ok is false if it has none or is closed.
func withDescriptor(conn net.Conn, f func(fd int)) (ok bool) {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := socket.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// socketOf returns the connection below a TLS connection, or conn itself if it is not TLS. Connections are closed at this
// level: a TLS close may block if the peer does not read, and a TLS close notification is not needed since messages have
// explicit lengths.
func socketOf(conn net.Conn) net.Conn {
	if s, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return s.NetConn()
	}
	return conn
}

// isTLS reports whether a connection uses TLS.
func isTLS(conn net.Conn) bool { return socketOf(conn) != conn }

// checkPeer returns why the peer's certificate, which was valid at the handshake, is no longer valid, or nil.
func checkPeer(conn net.Conn) error {
	if checker, ok := conn.(PeerChecker); ok {
		return checker.CheckPeer()
	}
	return nil
}

// PeerChecker is a TLS connection whose peer's certificate can be checked again after the handshake.
type PeerChecker interface {
	// CheckPeer returns why the certificate is no longer valid, or nil.
	CheckPeer() error
}

// isIdle reports whether a connection is open in both directions and has no input.
func isIdle(conn net.Conn) bool {
	e, ok := peekSocket(conn)
	return ok && (e == syscall.EAGAIN || e == syscall.EWOULDBLOCK)
}

// maxInterruptedCalls bounds how often a system call is made if each time a signal interrupts it (EINTR). At most a few
// signals arrive per second.
const maxInterruptedCalls = 8

var recvfrom = syscall.Recvfrom // replaced in tests

// peekSocket checks without blocking whether a connection has a byte to read. errno is 0 if it has one and EAGAIN if there
// is none yet; ok is false at the end of the connection.
func peekSocket(conn net.Conn) (errno syscall.Errno, ok bool) {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return syscall.EAGAIN, true // not a socket: its state is unknown
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
