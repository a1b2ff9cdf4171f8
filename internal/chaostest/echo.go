package chaostest

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"

	"hollymast/internal/rest"
	"hollymast/kserve"
)

// unknownPrefix is the prefix of the names of functions that no server has.
const unknownPrefix = "strangers-"

// echoServers answer every request immediately. They do less work than the fake servers, so that a load test measures the router.
type echoServers struct {
	running sync.WaitGroup // their goroutines
}

// start starts a server that runs until ctx is done; see wait. A nil handshake means that the server doesn't use TLS.
func (e *echoServers) start(ctx context.Context, handshake func(net.Conn) (net.Conn, error)) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, func() { l.Close() })
	e.running.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.running.Go(func() { serveEcho(ctx, conn, handshake) })
		}
	})
	return l.Addr().String(), nil
}

// wait returns when all servers have ended, which they do after their context is done.
func (e *echoServers) wait() { e.running.Wait() }

// serveEcho answers the requests of one connection.
func serveEcho(ctx context.Context, conn net.Conn, handshake func(net.Conn) (net.Conn, error)) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if handshake != nil {
		var err error
		if conn, err = handshake(conn); err != nil {
			return
		}
	}
	c := rest.NewConn(conn, &rest.DefaultLimits, nil)
	success := &rest.Response{Status: http.StatusOK, Header: rest.Header{"Content-Type": {"application/json"}},
		Body: []byte(`{"model_name":"m","parameters":{"found":"warm"},"outputs":[]}`)}
	notFound := &rest.Response{Status: http.StatusNotFound, Header: rest.Header{}, Body: kserve.ErrorBody{Error: "no such model"}.JSON()}
	for {
		request, err := c.ReadRequest()
		if err != nil {
			return
		}
		response := success
		if strings.Contains(request.Target, "/"+unknownPrefix) {
			response = notFound
		}
		if c.WriteResponse(response) != nil {
			return
		}
	}
}
