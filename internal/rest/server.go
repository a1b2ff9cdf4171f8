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

// readBuffer is small because most connections are idle most of the time. Lines that exceed it are assembled from parts.
const readBuffer = 2 << 10

// Conn is the server side of a connection. It is owned by one goroutine; the methods that others may call say so.
type Conn struct {
	conn        net.Conn
	deadlines   *deadlineReader
	reader      *bufio.Reader
	limits      *Limits
	reserve     Reserve
	writeBuffer []byte
	method      string // of the request to be answered

	mu              sync.Mutex
	awaitingRequest bool      // a read waits for the first byte of a request
	idleDeadline    time.Time // zero: none
}

// NewConn returns the server side of a connection; reserve may be nil.
func NewConn(conn net.Conn, limits *Limits, reserve Reserve) *Conn {
	deadlines := &deadlineReader{conn: conn}
	return &Conn{
		conn: conn, deadlines: deadlines, reader: bufio.NewReaderSize(deadlines, readBuffer), limits: limits, reserve: reserve,
	}
}

// Close closes the connection. It may be called from any goroutine.
func (c *Conn) Close() error { return socketOf(c.conn).Close() }

// SetIdleDeadline sets the time after which the connection stops waiting for requests: ReadRequest still returns those
// that had arrived by then, and after that ErrIdle. It may be called from any goroutine at any time.
func (c *Conn) SetIdleDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleDeadline = at
	if c.awaitingRequest {
		c.deadlines.setDeadline(at)
	}
}

// awaitRequest waits for the first byte of a request and starts the header timeout.
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

// HasPendingInput reports whether at least a part of another request has already arrived.
func (c *Conn) HasPendingInput() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	e, ok := peekSocket(socketOf(c.conn))
	return ok && e == 0
}

// ErrIdle is returned by ReadRequest if no request begins within the idle timeout.
var ErrIdle = errors.New("idle for too long")

// PeerUntrustedError is returned by ReadRequest for a client whose certificate was valid when it connected but no longer
// is. Nothing of the request was read. The server should respond, so that the client connects again; it may have a new
// certificate by now.
type PeerUntrustedError struct{ Err error }

// Error implements error.
func (e *PeerUntrustedError) Error() string { return e.Err.Error() + "; connect again" }

// Unwrap returns why the certificate is no longer valid.
func (e *PeerUntrustedError) Unwrap() error { return e.Err }

// ReadRequest waits for the next request and reads it completely. The error is io.EOF if the client has closed its side,
// and ErrIdle if it was idle for too long. The caller must respond to a *MessageError or a *PeerUntrustedError before it
// closes the connection. Any other error is the connection's own.
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

// sendContinue sends an interim response 100 if the client waits for one before it sends the body. A body that is too
// large is rejected instead.
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

// timeoutError converts a timeout error while a part of a message was read into a *MessageError; other errors are returned
// unchanged.
func timeoutError(err error, part string) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return messageError(408, "the %s came too slowly", part)
	}
	return err
}

// deadlineAfter returns the deadline of a timeout that starts now; zero if there is no timeout.
func deadlineAfter(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// closePollInterval is how often WatchClose checks for a close that follows pipelined requests. A read does not show it
// while these requests are buffered.
const closePollInterval = 20 * time.Millisecond

// WatchClose reports on the channel if the client closes or resets the connection before stop is called. Requests that
// arrive meanwhile stay buffered. stop must be called; it returns once the watching goroutine has ended.
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

// WriteResponse writes the response to the last request that ReadRequest has returned. If the response has Close set, it
// then closes the connection, after the client has had time to read the response.
func (c *Conn) WriteResponse(resp *Response) error {
	c.writeBuffer = appendResponse(c.writeBuffer[:0], c.method, resp)
	body := resp.Body
	if c.method == "HEAD" || resp.ChunkSize > 0 {
		body = nil // there is none, or appendResponse has appended it
	}
	c.conn.SetWriteDeadline(deadlineAfter(c.limits.WriteTimeout))
	_, err := writeMessage(c.conn, &c.writeBuffer, body)
	if err == nil && resp.Close {
		c.lingeringClose()
	}
	return err
}
