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

// socket is the connection beneath a secret one. It is what is closed: a secret connection's own goodbye may wait for a peer
// that reads nothing, and says nothing that lengths don't.
func socketOf(conn net.Conn) net.Conn {
	if s, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return s.NetConn()
	}
	return conn
}

func isTLS(conn net.Conn) bool { return socketOf(conn) != conn }

// still tells whether the other end of a secret connection is still believed.
func checkPeer(conn net.Conn) error {
	if s, ok := conn.(interface{ Still() error }); ok {
		return s.Still()
	}
	return nil
}

// quiet tells whether a connection is open at both ends and has brought nothing that was not read.
func isQuiet(conn net.Conn) bool {
	e, ok := peekSocket(conn)
	return ok && (e == syscall.EAGAIN || e == syscall.EWOULDBLOCK)
}

// interruptedMost is how often a call that a signal interrupts is made again: signals come some a second at most.
const maxInterrupted = 8

var recvfrom = syscall.Recvfrom // tests have it fail

// glance looks at a connection's next byte without taking it or waiting; ok is false at its end.
func peekSocket(conn net.Conn) (e syscall.Errno, ok bool) {
	sc, is := conn.(syscall.Conn)
	if !is {
		return syscall.EAGAIN, true // no socket: nothing can be seen
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		for range maxInterrupted {
			var got error
			n, _, got = recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if e, _ = got.(syscall.Errno); e != syscall.EINTR {
				break
			}
		}
	})
	return e, err == nil && (e != 0 || n > 0)
}
