package rest

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

// Progress tells how far an exchange had got when it ended.
type Progress uint8

// The stages. In None and Partial the server never had the whole request; only None proves that it had nothing.
const (
	NothingWritten Progress = iota // no byte was written
	PartlyWritten                  // some were
	WrittenWhole                   // all were, and no byte of an answer came
	ResponseBegun                  // an answer began
	ResponseRead                   // the answer is whole
)

// Client is the client's side of a connection. One goroutine owns it; Abort alone may be called from others.
type Client struct {
	conn        net.Conn
	reader      *bufio.Reader
	limits      *Limits
	writeBuffer []byte
	answered    bool // something came on this connection
	aborted     atomic.Bool
}

// Secure makes a connection that was dialled to an address secret and its other end known, within the context.
type Handshake func(ctx context.Context, conn net.Conn, address string) (net.Conn, error)

// Dial opens a connection in plain text.
func Dial(ctx context.Context, address string, limits *Limits) (*Client, error) {
	return DialWith(ctx, address, limits, nil)
}

// DialSecure opens a connection; with nil it is in plain text.
func DialWith(ctx context.Context, address string, limits *Limits, secure Handshake) (*Client, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if secure != nil {
		plain := conn
		if conn, err = secure(ctx, plain, address); err != nil {
			plain.Close()
			return nil, err
		}
	}
	return &Client{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), limits: limits}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return socketOf(c.conn).Close() }

// socket is the connection beneath a secret one. It is what is closed: a secret connection's own goodbye may wait for a peer
// that reads nothing, and says nothing that lengths don't.
func socketOf(conn net.Conn) net.Conn {
	if s, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return s.NetConn()
	}
	return conn
}

func isTLS(conn net.Conn) bool { return socketOf(conn) != conn }

// still tells whether the other end of a secret connection is still believed.
func checkPeer(conn net.Conn) error {
	if s, ok := conn.(interface{ Still() error }); ok {
		return s.Still()
	}
	return nil
}

// Abort breaks the exchange under way, if any, and all later ones: they end with ErrAborted.
func (c *Client) Abort() {
	c.aborted.Store(true)
	c.Close()
}

// ErrAborted is the end of an exchange that was broken by Abort; ErrTimeout that of one past its time; ErrRefused that of one
// whose server did not believe who we are, and so never read a request on this connection.
var (
	ErrAborted             = errors.New("aborted")
	ErrTimeout             = errors.New("timed out")
	ErrCertificateRejected = errors.New("the server refused our certificate")
)

// Stale tells whether the server has closed or broken an idle connection, or sent something that nobody asked for, or is not
// believed any more. It does not wait; on a secret connection it reads what belongs to secrecy alone.
func (c *Client) Stale() bool {
	if c.reader.Buffered() > 0 || checkPeer(c.conn) != nil {
		return true
	}
	if isQuiet(socketOf(c.conn)) {
		return false
	}
	if !isTLS(c.conn) {
		return true
	}
	const most = time.Millisecond // it is there already
	c.conn.SetReadDeadline(time.Now().Add(most))
	_, err := c.reader.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// quiet tells whether a connection is open at both ends and has brought nothing that was not read.
func isQuiet(conn net.Conn) bool {
	e, ok := peekSocket(conn)
	return ok && (e == syscall.EAGAIN || e == syscall.EWOULDBLOCK)
}

// interruptedMost is how often a call that a signal interrupts is made again: signals come some a second at most.
const maxInterrupted = 8

var recvfrom = syscall.Recvfrom // tests have it fail

// glance looks at a connection's next byte without taking it or waiting; ok is false at its end.
func peekSocket(conn net.Conn) (e syscall.Errno, ok bool) {
	sc, is := conn.(syscall.Conn)
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
		for range maxInterrupted {
			var got error
			n, _, got = recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if e, _ = got.(syscall.Errno); e != syscall.EINTR {
				break
			}
		}
	})
	return e, err == nil && (e != 0 || n > 0)
}

// Do sends a request and reads the response, both by the deadline. Progress is told with every error; after one, and
// after a response with Close, the connection must be closed.
func (c *Client) Do(req *Request, deadline time.Time) (*Response, Progress, error) {
	if c.aborted.Load() {
		return nil, NothingWritten, ErrAborted
	}
	c.conn.SetDeadline(deadline)
	c.writeBuffer = appendRequest(c.writeBuffer[:0], req)
	if n, err := writeMessage(c.conn, &c.writeBuffer, req.Body, req.ChunkSize > 0); err != nil {
		progress := PartlyWritten
		if n == 0 && !isTLS(c.conn) { // of a secret one it tells whole records
			progress = NothingWritten
		}
		if isTLS(c.conn) && !c.answered { // why may have come already
			const most = 20 * time.Millisecond // it is here, or was lost
			c.conn.SetReadDeadline(time.Now().Add(most))
			if _, other := c.reader.Peek(1); isCertificateRejection(other) {
				err = other
			}
		}
		return nil, progress, c.exchangeError(err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, WrittenWhole, c.exchangeError(err)
	}
	c.answered = true
	resp, err := readResponse(c.reader, req.Method, c.limits)
	if err != nil {
		return nil, ResponseBegun, c.exchangeError(err)
	}
	return resp, ResponseRead, nil
}

func (c *Client) exchangeError(err error) error {
	switch {
	case c.aborted.Load():
		return ErrAborted
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrTimeout
	case !c.answered && isCertificateRejection(err):
		return fmt.Errorf("%w: %w", ErrCertificateRejected, err)
	}
	return fmt.Errorf("exchange broken: %w", err)
}

// refusals are the alerts with which a server refuses a client that it does not believe (RFC 8446, section 6.2).
var certificateAlerts = []tls.AlertError{42, 43, 44, 45, 46, 48, 49, 116}

// refused tells whether the other end broke a connection off because it does not believe us. In TLS 1.3 a client learns it only
// with the first answer. The alert proves that no request was read: its server had not finished the handshake.
func isCertificateRejection(err error) bool {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "remote error" || op.Err == nil {
		return false
	}
	return slices.ContainsFunc(certificateAlerts, func(a tls.AlertError) bool { return op.Err.Error() == a.Error() })
}
