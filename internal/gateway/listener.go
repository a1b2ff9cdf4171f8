package gateway

import (
	"context"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// listenerRole says which calls a listener serves.
type listenerRole uint8

const (
	clientListener listenerRole = iota // requests from clients
	adminListener                      // metrics, health and admin calls
)

// listenTCP listens on an address without Multipath TCP: drainListener attaches a socket filter, which Linux does not
// support for Multipath TCP.
func listenTCP(address string) (net.Listener, error) {
	var listenConfig net.ListenConfig
	listenConfig.SetMultipathTCP(false)
	return listenConfig.Listen(context.Background(), "tcp", address)
}

// closeListeners closes all listeners.
func (g *Gateway) closeListeners() {
	for _, l := range g.listeners {
		l.Close()
	}
}

// maxQueuedConns is the maximum number of connections accepted from a closing listener: a full accept queue, including
// connections that have ended already.
const maxQueuedConns = 1 << 13

// drainListener closes a listener and returns the connections in its accept queue. Closing it without accepting them
// would reset them, although their clients may have sent requests already. A socket filter that drops SYN packets keeps
// new connections out while the queue is emptied; a client whose SYN was dropped is refused when it retransmits.
func drainListener(l net.Listener) (conns []net.Conn) {
	defer l.Close()
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	raw.Control(func(fd uintptr) {
		filter := unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
		unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter)
		for range maxQueuedConns {
			connFD, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err == unix.EINTR || err == unix.ECONNABORTED {
				continue
			}
			if err != nil {
				return
			}
			file := os.NewFile(uintptr(connFD), "client")
			if conn, err := net.FileConn(file); err == nil {
				conns = append(conns, conn)
			}
			file.Close()
		}
	})
	return conns
}

// dropSYN is a socket filter that drops SYN packets: it loads the flags byte of the TCP header and tests the SYN bit.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: 0x02, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 30}, // accept the whole packet
}
