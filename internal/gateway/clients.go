package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"hollymast/control"
	"hollymast/internal/acceptqueue"
	"hollymast/internal/rest"
)

// acceptRetryPause is the pause after a failed accept. It prevents a busy loop while the process is out of file
// descriptors.
const acceptRetryPause = 10 * time.Millisecond

// rejectWriteTimeout limits the time to write the response to a connection beyond the limit.
const rejectWriteTimeout = time.Second

// accept serves a listener until the listener is closed or its deadline passes. After the deadline it serves the
// connections in the accept queue and closes the listener. No other error ends it.
func (g *Gateway) accept(ctx context.Context, l net.Listener, role listenerRole) {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // set by beginStop
			if queued, ok := l.(acceptqueue.Listener); ok {
				until := time.Now().Add(g.config.shutdownTimes().readUntil)
				acceptqueue.Drain(queued, until, func(conn net.Conn) { g.serveClient(ctx, conn, role) })
			}
			l.Close()
			return
		case err != nil:
			g.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptRetryPause)
		default:
			g.serveClient(ctx, conn, role)
		}
	}
}

// serveClient starts reading a client connection, or rejects it if there are too many. ctx limits the TLS handshake.
func (g *Gateway) serveClient(ctx context.Context, conn net.Conn, role listenerRole) {
	if role == clientListener && g.clientCount.Load() >= int64(g.config.MaxClientConns) {
		g.metrics.connsRejected.Inc()
		if g.certStores[clientConnections] != nil {
			conn.Close() // no request was accepted, and a handshake for the response would cost too much
			return
		}
		g.clientReaders.Go(func() { g.rejectConn(conn) })
		return
	}
	g.clientCount.Add(1)
	if role == clientListener && g.overload != nil {
		g.loop.Post(func(now control.Micros) { g.overload.RecordConnection(now) })
	}
	g.clientReaders.Go(func() {
		defer g.clientCount.Add(-1)
		if role == clientListener {
			var err error
			if conn, err = g.clientHandshake(ctx, conn); err != nil {
				return
			}
		}
		g.newClientConn(conn, role).readLoop()
	})
}

// rejectConn answers a connection beyond the limit without reading its request, and closes it. Nothing was accepted, so
// its client may retry.
func (g *Gateway) rejectConn(conn net.Conn) {
	limits := rest.Limits{WriteTimeout: rejectWriteTimeout}
	client := rest.NewConn(conn, &limits, nil)
	g.clientConns.Store(client, nil)
	defer g.clientConns.Delete(client)
	defer client.Close()
	resp := rejection("too many connections", g.config.Deployment.MaxRetryAfter)
	resp.Close = true
	client.WriteResponse(resp)
}
