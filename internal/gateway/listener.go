package gateway

import (
	"context"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// listenerRole is whom a listener serves.
type listenerRole uint8

const (
	clientListener listenerRole = iota // clients' requests
	adminListener                      // metrics, health and the operators' calls
)

// listenTCP listens on an address, without Multipath TCP: drainListener needs a socket filter, which Linux does not
// have for that.
func listenTCP(address string) (net.Listener, error) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false)
	return plain.Listen(context.Background(), "tcp", address)
}

// closeListeners closes all listeners.
func (g *Gateway) closeListeners() {
	for _, l := range g.listeners {
		l.Close()
	}
}

// maxQueuedConns is how many connections are taken from a listener that closes: a full accept queue, with those in it
// that have ended.
const maxQueuedConns = 1 << 13

// drainListener closes a listener and returns the connections that the kernel has accepted by then. It guards against
// the reset that closing makes of each of these: their clients may have sent requests already. A filter keeps further
// connections from beginning before the queue is empty; a client whose SYN it drops finds the port closed with its next
// one.
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
			accepted, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err == unix.EINTR || err == unix.ECONNABORTED {
				continue
			}
			if err != nil {
				return
			}
			file := os.NewFile(uintptr(accepted), "client")
			if conn, err := net.FileConn(file); err == nil {
				conns = append(conns, conn)
			}
			file.Close()
		}
	})
	return conns
}

// dropSYN drops packets that begin a connection: it loads the byte of flags in the TCP header and tests it for SYN.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: 0x02, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 30}, // the whole packet
}
