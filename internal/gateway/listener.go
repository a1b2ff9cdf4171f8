package gateway

import (
	"context"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

func (g *Gateway) closeListeners() {
	for _, l := range g.listeners {
		l.Close()
	}
}

// listen opens a listener of plain TCP: closeAccepting needs a filter, which Linux does not have for Multipath TCP.
func listenTCP(address string) (net.Listener, error) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false)
	return plain.Listen(context.Background(), "tcp", address)
}

// closeAccepting closes a listener and gives the connections that the kernel has accepted by then. Guards against the reset that a
// close makes of each of these: whoever connected may have written a request already. So no connection begins any more before
// the last look; one that would is told by the closed listener, on its next try, that nobody listens.
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
	const most = 1 << 13 // a full queue, with those among them that have gone
	raw.Control(func(fd uintptr) {
		unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]})
		for range most {
			n, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err == unix.EINTR || err == unix.ECONNABORTED {
				continue
			}
			if err != nil {
				return
			}
			file := os.NewFile(uintptr(n), "client")
			if conn, err := net.FileConn(file); err == nil {
				conns = append(conns, conn)
			}
			file.Close()
		}
	})
	return conns
}

// noSYN drops packets that begin a connection: it loads the byte of flags in the TCP header and tests it for SYN.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: 0x02, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 30}, // the whole packet
}
