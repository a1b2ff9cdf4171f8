package chaostest

import "net"

// openIdleConnections opens n connections that carry no requests. On an error it returns those that it has opened.
func openIdleConnections(address string, n int) ([]net.Conn, error) {
	idle := make([]net.Conn, 0, n)
	for range n {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return idle, err
		}
		idle = append(idle, conn)
	}
	return idle, nil
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		conn.Close()
	}
}
