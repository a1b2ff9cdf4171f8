package gateway

import (
	"errors"
	"net"
	"os"
	"time"

	"hollymast/control"
	"hollymast/internal/rest"
)

// accept serves a listener until it is closed.
func (g *Gateway) accept(l net.Listener, admin bool) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // this router stops
			for _, conn := range drainListener(l) {
				g.serveClient(conn, admin)
			}
			return
		}
		if err != nil { // out of descriptors, say: connections will end
			g.log.Warn().Err(err).Msg("a connection could not be accepted")
			time.Sleep(10 * time.Millisecond)
			continue
		}
		g.serveClient(conn, admin)
	}
}

// welcomed serves a connection that was accepted.
func (g *Gateway) serveClient(conn net.Conn, admin bool) {
	if !admin && g.clientCount.Load() >= int64(g.config.MaxClientConns) {
		g.metrics.connsRejected.Inc()
		if g.certStores[clientConnections] != nil {
			conn.Close() // a handshake would cost more than it may: no connection stands, and nothing was taken
			return
		}
		go rejectConn(conn, g.config.Deployment.MaxRetryAfter)
		return
	}
	g.clientCount.Add(1)
	g.clientReaders.Add(1)
	if !admin && g.overload != nil {
		g.post(func(now control.Micros) { g.overload.RecordConnection(now) })
	}
	go func() {
		defer g.clientReaders.Done()
		defer g.clientCount.Add(-1)
		if !admin {
			var err error
			if conn, err = g.clientHandshake(conn); err != nil {
				return
			}
		}
		g.readLoop(conn, admin)
	}()
}

// turnAway answers a connection beyond the bound before it has asked for anything: nothing was taken, so trying again
// is harmless.
func rejectConn(conn net.Conn, retryAfter control.Micros) {
	limits := rest.Limits{WriteTimeout: time.Second}
	client := rest.NewConn(conn, &limits, nil)
	resp := rejection("too many connections", retryAfter)
	resp.Close = true
	client.WriteResponse(resp)
	client.Close()
}
