package rest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// Progress tells how far an exchange had got when it ended.
type Progress uint8

// The stages. In None and Partial the server never had the whole request; only None proves that it had nothing.
const (
	None    Progress = iota // no byte was written
	Partial                 // some were
	Whole                   // all were, and no byte of an answer came
	Begun                   // an answer began
	Done                    // the answer is whole
)

// Client is the client's side of a connection. One goroutine owns it; Abort alone may be called from others.
type Client struct {
	nc      net.Conn
	r       *bufio.Reader
	limits  *Limits
	out     []byte
	aborted atomic.Bool
}

// Dial opens a connection.
func Dial(ctx context.Context, address string, limits *Limits) (*Client, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &Client{nc: nc, r: bufio.NewReaderSize(nc, readBuffer), limits: limits}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.nc.Close() }

// Abort breaks the exchange under way, if any, and all later ones: they end with ErrAborted.
func (c *Client) Abort() {
	c.aborted.Store(true)
	c.nc.Close()
}

// ErrAborted is the end of an exchange that was broken by Abort; ErrTimeout that of one past its time.
var (
	ErrAborted = errors.New("aborted")
	ErrTimeout = errors.New("timed out")
)

// Stale tells whether the server has closed or broken an idle connection, or sent something that nobody asked for.
// It reads nothing and does not wait.
func (c *Client) Stale() bool {
	if c.r.Buffered() > 0 {
		return true
	}
	return !quiet(c.nc)
}

// quiet tells whether a connection is open at both ends and has brought nothing that was not read.
func quiet(nc net.Conn) bool {
	e, ok := glance(nc)
	return ok && (e == syscall.EAGAIN || e == syscall.EWOULDBLOCK)
}

// glance looks at a connection's next byte without taking it or waiting; ok is false at its end.
func glance(nc net.Conn) (e syscall.Errno, ok bool) {
	sc, is := nc.(syscall.Conn)
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
		var got error
		n, _, got = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		e, _ = got.(syscall.Errno)
	})
	return e, err == nil && (e != 0 || n > 0)
}

// Do sends a request and reads the response, both by the deadline. Progress is told with every error; after one, and
// after a response with Close, the connection must be closed.
func (c *Client) Do(q *Request, deadline time.Time) (*Response, Progress, error) {
	if c.aborted.Load() {
		return nil, None, ErrAborted
	}
	c.nc.SetDeadline(deadline)
	c.out = appendRequest(c.out[:0], q)
	if n, err := write(c.nc, &c.out, q.Body, q.Chunk > 0); err != nil {
		progress := Partial
		if n == 0 {
			progress = None
		}
		return nil, progress, c.why(err)
	}
	if _, err := c.r.Peek(1); err != nil {
		return nil, Whole, c.why(err)
	}
	p, err := readResponse(c.r, q.Method, c.limits)
	if err != nil {
		return nil, Begun, c.why(err)
	}
	return p, Done, nil
}

func (c *Client) why(err error) error {
	switch {
	case c.aborted.Load():
		return ErrAborted
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrTimeout
	}
	return fmt.Errorf("exchange broken: %w", err)
}
