package rest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
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
