package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"hollymast/control"
	"hollymast/internal/rest"
)

// acceptRetryPause is the pause after a failed accept: it guards against a busy loop while the process is out of
// descriptors, until connections end.
const acceptRetryPause = 10 * time.Millisecond

// rejectWriteTimeout bounds the write of a response to a connection beyond the limit.
const rejectWriteTimeout = time.Second

// accept serves a listener until it closes, or its deadline passes: then it serves the connections that wait, and closes
// it. No other error ends it.
func (g *Gateway) accept(ctx context.Context, l net.Listener, role listenerRole) {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // this router stops
			for _, conn := range drainListener(l) {
				g.serveClient(ctx, conn, role)
			}
			return
		case err != nil:
			g.log.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptRetryPause)
		default:
			g.serveClient(ctx, conn, role)
		}
	}
}

// serveClient starts to read a client connection; beyond the limit it rejects it. ctx bounds its TLS handshake.
func (g *Gateway) serveClient(ctx context.Context, conn net.Conn, role listenerRole) {
	if role == clientListener && g.clientCount.Load() >= int64(g.config.MaxClientConns) {
		g.metrics.connsRejected.Inc()
		if g.certStores[clientConnections] != nil {
			conn.Close() // nothing was accepted; a handshake would cost more than the limit allows
			return
		}
		go rejectConn(conn, g.config.Deployment.MaxRetryAfter)
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

// rejectConn answers a connection beyond the limit before it has sent anything: nothing was accepted, so its client may
// retry.
func rejectConn(conn net.Conn, retryAfter control.Micros) {
	limits := rest.Limits{WriteTimeout: rejectWriteTimeout}
	client := rest.NewConn(conn, &limits, nil)
	defer client.Close()
	resp := rejection("too many connections", retryAfter)
	resp.Close = true
	client.WriteResponse(resp)
}
