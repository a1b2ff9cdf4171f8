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

// Progress is how far an exchange had got when it ended.
type Progress uint8

// The stages of an exchange. Up to PartlyWritten the server never had the whole request; only NothingWritten proves that
// it had none of it.
const (
	NothingWritten Progress = iota
	PartlyWritten
	FullyWritten    // the whole request was written, and no byte of a response came
	ResponseStarted // the response is incomplete
	ResponseRead
)

// Client is the client's side of a connection. One goroutine owns it; only Abort may be called from others.
type Client struct {
	conn        net.Conn
	reader      *bufio.Reader
	limits      *Limits
	writeBuffer []byte
	answered    bool // a response has begun on this connection
	aborted     atomic.Bool
}

// Handshake makes the TLS handshake on a connection that was dialled to an address, and authenticates the server.
type Handshake func(ctx context.Context, conn net.Conn, address string) (net.Conn, error)

// Dial connects in plain text.
func Dial(ctx context.Context, address string, limits *Limits) (*Client, error) {
	return DialWithHandshake(ctx, address, limits, nil)
}

// DialWithHandshake connects and makes a TLS handshake; with a nil handshake the connection is in plain text.
func DialWithHandshake(ctx context.Context, address string, limits *Limits, handshake Handshake) (*Client, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if handshake != nil {
		plain := conn
		if conn, err = handshake(ctx, plain, address); err != nil {
			plain.Close()
			return nil, err
		}
	}
	return &Client{conn: conn, reader: bufio.NewReaderSize(conn, readBuffer), limits: limits}, nil
}

const (
	// pendingRecordTimeout is how long a TLS record that has already arrived may take to be read.
	pendingRecordTimeout = time.Millisecond
	// alertTimeout is how long a read waits for an alert after a failed write: it has arrived by then, or is lost.
	alertTimeout = 20 * time.Millisecond
)

// Close closes the connection.
func (c *Client) Close() error { return socketOf(c.conn).Close() }

// Abort breaks off the exchange in progress, if any, and all later ones: they end with ErrAborted.
func (c *Client) Abort() {
	c.aborted.Store(true)
	c.Close()
}

// Errors of an exchange.
var (
	ErrAborted = errors.New("aborted")   // by Abort
	ErrTimeout = errors.New("timed out") // its deadline has passed
	// ErrCertificateRejected: the server did not accept the client's certificate, and so never read a request on this
	// connection.
	ErrCertificateRejected = errors.New("the server refused our certificate")
)

// Stale reports whether an idle connection can't be used again: the server has closed or reset it, has sent something
// without a request, or its certificate is not valid any more. It does not block; with TLS it reads pending records that
// carry no data.
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
	c.conn.SetReadDeadline(time.Now().Add(pendingRecordTimeout))
	_, err := c.reader.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// Do writes a request and reads the response, both by the deadline. Progress is valid with every error. After an error,
// and after a response with Close, the connection must be closed. Errors are ErrAborted, ErrTimeout, or wrap
// ErrCertificateRejected, a *MessageError or the connection's own error.
func (c *Client) Do(req *Request, deadline time.Time) (*Response, Progress, error) {
	if c.aborted.Load() {
		return nil, NothingWritten, ErrAborted
	}
	c.conn.SetDeadline(deadline)
	c.writeBuffer = appendRequest(c.writeBuffer[:0], req)
	body := req.Body
	if req.ChunkSize > 0 {
		body = nil // appendRequest has written it
	}
	if n, err := writeMessage(c.conn, &c.writeBuffer, body); err != nil {
		return nil, c.writeProgress(n), c.exchangeError(c.writeError(err))
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, FullyWritten, c.exchangeError(err)
	}
	c.answered = true
	resp, err := readResponse(c.reader, req.Method, c.limits)
	if err != nil {
		return nil, ResponseStarted, c.exchangeError(err)
	}
	return resp, ResponseRead, nil
}

// writeProgress returns the progress of a write that failed after n bytes. With TLS, n counts only whole records.
func (c *Client) writeProgress(n int64) Progress {
	if n == 0 && !isTLS(c.conn) {
		return NothingWritten
	}
	return PartlyWritten
}

// writeError returns why a write failed: before the first response, the server's alert may tell more than the write.
func (c *Client) writeError(err error) error {
	if isTLS(c.conn) && !c.answered {
		c.conn.SetReadDeadline(time.Now().Add(alertTimeout))
		if _, alert := c.reader.Peek(1); isCertificateRejection(alert) {
			return alert
		}
	}
	return err
}

// exchangeError returns the error that Do reports for one of the connection.
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
