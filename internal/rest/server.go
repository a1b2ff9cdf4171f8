package rest

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// readBuffer is small, since most connections are idle most of the time; longer lines are assembled from parts.
const readBuffer = 2 << 10

// Conn is the server's side of a connection. One goroutine owns it; the methods that others may call say so.
type Conn struct {
	conn        net.Conn
	deadlines   *deadlineReader
	reader      *bufio.Reader
	limits      *Limits
	reserve     Reserve
	writeBuffer []byte
	method      string // of the request that is to be answered

	mu              sync.Mutex
	awaitingRequest bool      // a read waits for the first byte of a request
	idleDeadline    time.Time // zero: none
}

// NewConn returns the server's side of a connection; reserve may be nil.
func NewConn(conn net.Conn, limits *Limits, reserve Reserve) *Conn {
	deadlines := &deadlineReader{conn: conn}
	return &Conn{
		conn: conn, deadlines: deadlines, reader: bufio.NewReaderSize(deadlines, readBuffer), limits: limits, reserve: reserve,
	}
}

// Close closes the connection. It may be called from any goroutine.
func (c *Conn) Close() error { return socketOf(c.conn).Close() }

// SetIdleDeadline sets the time after which no new request is awaited: ReadRequest returns those that had arrived by then,
// and after that ErrIdle. It may be called from any goroutine, at any time.
func (c *Conn) SetIdleDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleDeadline = at
	if c.awaitingRequest {
		c.deadlines.setDeadline(at)
	}
}

// awaitRequest waits for the first byte of a request, and starts the header timeout.
func (c *Conn) awaitRequest() error {
	c.mu.Lock()
	at := deadlineAfter(c.limits.IdleTimeout)
	if !c.idleDeadline.IsZero() && (at.IsZero() || c.idleDeadline.Before(at)) {
		at = c.idleDeadline
	}
	c.awaitingRequest = true
	c.deadlines.setDeadline(at)
	c.mu.Unlock()
	_, err := c.reader.Peek(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = false
	c.deadlines.setDeadline(deadlineAfter(c.limits.HeaderTimeout))
	return err
}

// HasPendingInput reports whether a part of a further request has arrived already.
func (c *Conn) HasPendingInput() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	e, ok := peekSocket(socketOf(c.conn))
	return ok && e == 0
}

// ErrIdle is the error of ReadRequest when no request began within the idle timeout.
var ErrIdle = errors.New("idle for too long")

// PeerUntrustedError is the error of ReadRequest for a client whose certificate was valid when it connected and is not any
// more. Nothing of the request was read. It is to be answered, since the client may hold another certificate by now and
// should connect again.
type PeerUntrustedError struct{ Err error }

// Error is part of error.
func (e *PeerUntrustedError) Error() string { return e.Err.Error() + "; connect again" }

// Unwrap returns why the certificate is not valid.
func (e *PeerUntrustedError) Unwrap() error { return e.Err }

// ReadRequest waits for the next request and reads it whole. The error is io.EOF when the client has closed its side, and
// ErrIdle when it was idle for too long; a *MessageError or a *PeerUntrustedError is to be answered before the connection
// is closed; any other error is the connection's.
func (c *Conn) ReadRequest() (*Request, error) {
	if err := c.awaitRequest(); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = ErrIdle
		}
		return nil, err
	}
	if err := checkPeer(c.conn); err != nil {
		return nil, &PeerUntrustedError{err}
	}
	c.method = ""
	arrivedAt := c.deadlines.receivedAt
	req, length, err := readRequestHead(c.reader, c.limits)
	if err != nil {
		return nil, timeoutError(err, "header")
	}
	c.method, req.ReceivedAt = req.Method, arrivedAt
	if length == noLength || length == 0 {
		return req, nil
	}
	if err := c.sendContinue(req, length); err != nil {
		return nil, err
	}
	c.deadlines.setDeadline(deadlineAfter(c.limits.BodyTimeout))
	if req.Body, err = readBody(c.reader, length, c.limits, c.reserve); err != nil {
		return nil, timeoutError(err, "body")
	}
	return req, nil
}

// sendContinue has a client send its body, if it waits to be asked for it. A body that is too large is rejected before.
func (c *Conn) sendContinue(req *Request, length int) error {
	expect := req.Header.Get("Expect")
	switch {
	case expect == "":
		return nil
	case !strings.EqualFold(expect, "100-continue"):
		return messageError(417, "an expectation other than 100-continue")
	case length > c.limits.MaxBody:
		return messageError(413, "a body of more than %d bytes", c.limits.MaxBody)
	}
	c.conn.SetWriteDeadline(deadlineAfter(c.limits.WriteTimeout))
	_, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// timeoutError returns the *MessageError of a message whose part came too slowly, or another error unchanged.
func timeoutError(err error, part string) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return messageError(408, "the %s came too slowly", part)
	}
	return err
}

// deadlineAfter returns the deadline of a timeout that begins now; zero for none.
func deadlineAfter(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// closePollInterval is how often WatchClose looks for a close behind pipelined requests, where no read can see it.
const closePollInterval = 20 * time.Millisecond

// WatchClose reports on the channel if the client closes or resets the connection before stop is called. Requests that
// arrive meanwhile stay buffered. Stop must be called, and returns once the watching goroutine has ended.
func (c *Conn) WatchClose() (closed <-chan error, stop func()) {
	report, ended, stopped := make(chan error, 1), make(chan struct{}), make(chan struct{})
	c.deadlines.setDeadline(time.Time{})
	go func() {
		defer close(ended)
		if _, err := c.reader.Peek(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				report <- err
			}
			return
		}
		ticker := time.NewTicker(closePollInterval)
		defer ticker.Stop()
		for !c.PeerClosed() {
			select {
			case <-ticker.C:
			case <-stopped:
				return
			}
		}
		report <- io.EOF
	}()
	return report, func() {
		close(stopped)
		c.deadlines.interrupt()
		<-ended
	}
}

// PeerClosed reports whether the client has closed or reset the connection. It does not block, and may be called from any
// goroutine.
func (c *Conn) PeerClosed() bool { return peerClosed(socketOf(c.conn)) }

// WriteResponse writes the response to the request that ReadRequest has returned last. One with Close closes the
// connection, once the client has had time to read it.
func (c *Conn) WriteResponse(resp *Response) error {
	c.writeBuffer = appendResponse(c.writeBuffer[:0], c.method, resp)
	body := resp.Body
	if c.method == "HEAD" || resp.ChunkSize > 0 {
		body = nil // there is none, or appendResponse has written it
	}
	c.conn.SetWriteDeadline(deadlineAfter(c.limits.WriteTimeout))
	_, err := writeMessage(c.conn, &c.writeBuffer, body)
	if err == nil && resp.Close {
		c.drain()
	}
	return err
}
