package chaostest

import (
	"context"
	"hollymast/internal/rest"
	"hollymast/kserve"
	"net"
	"strings"
)

// strangers begins the names of functions that no server has.
const unknownPrefix = "/strangers-"

// echo is a server that answers every job at once. It is kept apart from the stand-ins so that only wires are measured.
func startEchoServer(ctx context.Context, secure func(net.Conn) (net.Conn, error)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		<-ctx.Done()
		l.Close()
	}()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				stop := context.AfterFunc(ctx, func() { nc.Close() })
				defer stop()
				if secure != nil {
					if nc, err = secure(nc); err != nil {
						return
					}
				}
				c := rest.NewConn(nc, &rest.DefaultLimits, nil)
				answer := &rest.Response{Status: 200, Header: rest.Header{"Content-Type": {"application/json"}},
					Body: []byte(`{"model_name":"m","parameters":{"found":"warm"},"outputs":[]}`)}
				for {
					q, err := c.ReadRequest()
					if err != nil {
						return
					}
					p := answer
					if strings.Contains(q.Target, unknownPrefix) {
						p = &rest.Response{Status: 404, Header: rest.Header{}, Body: kserve.Fault{Error: "no such model"}.Body()}
					}
					if c.WriteResponse(p) != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), nil
}
