package rest

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// readBuffer is small, since most connections are idle most of the time; longer lines are put together.
const readBuffer = 2 << 10

// Conn is the server's side of a connection. One goroutine owns it.
type Conn struct {
	conn        net.Conn
	deadlines   *deadlineReader
	reader      *bufio.Reader
	limits      *Limits
	reserve     Reserve
	writeBuffer []byte
	method      string // of the request in hand

	mu              sync.Mutex
	awaitingRequest bool      // the first byte of a request is
	idleDeadline    time.Time // zero: no end was told
}

// NewConn serves a connection; room may be nil.
func NewConn(conn net.Conn, limits *Limits, room Reserve) *Conn {
	in := &deadlineReader{conn: conn}
	return &Conn{conn: conn, deadlines: in, reader: bufio.NewReaderSize(in, readBuffer), limits: limits, reserve: room}
}

// Close closes the connection; it may be called from any goroutine.
func (c *Conn) Close() error { return socketOf(c.conn).Close() }

// EndBy has the connection end once no request has begun on it by a time: Next gives what had come by then, and after that
// ErrIdle. It may be called from any goroutine, whatever the connection does.
func (c *Conn) SetIdleDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleDeadline = at
	if c.awaitingRequest {
		c.deadlines.setDeadline(at)
	}
}

// await waits for the first byte of a request.
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

// More tells whether something of a further request is here already.
func (c *Conn) HasPending() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	e, ok := peekSocket(socketOf(c.conn))
	return ok && e == 0
}

// ErrIdle is what Next gives for a connection on which no request began in time.
var ErrIdle = errors.New("idle for too long")

// Distrusted is what Next gives where a request has begun to come from a client that was believed when it connected and is not
// any more, or not as whom it showed itself to be. Nothing of the request was read; it is to be answered so that the client, who
// may hold another certificate by now, can tell that.
type PeerUntrustedError struct{ Err error }

func (d *PeerUntrustedError) Error() string { return d.Err.Error() + "; connect again" }

// Next waits for the next request and reads it whole. io.EOF tells that the client is done, ErrIdle that it was idle;
// a *Refused is to be answered with its status, a *Distrusted as it says, and both close the connection. Other errors are the
// connection's.
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
	began := c.deadlines.receivedAt
	req, length, err := readRequestHead(c.reader, c.limits)
	if err != nil {
		return nil, timeoutError(err, "header")
	}
	c.method, req.ArrivedAt = req.Method, began
	if length == -2 || length == 0 {
		return req, nil
	}
	if expect := req.Header.Get("Expect"); expect != "" {
		if !equalFold(expect, "100-continue") {
			return nil, messageError(417, "an expectation other than 100-continue")
		}
		if length > c.limits.MaxBody { // said before the client sends it
			return nil, messageError(413, "a body of more than %d bytes", c.limits.MaxBody)
		}
		c.conn.SetWriteDeadline(deadlineAfter(c.limits.WriteTimeout))
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	c.deadlines.setDeadline(deadlineAfter(c.limits.BodyTimeout))
	if req.Body, err = readBody(c.reader, length, c.limits, false, c.reserve); err != nil {
		return nil, timeoutError(err, "body")
	}
	return req, nil
}

func equalFold(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range len(a) {
		if a[i]|0x20 != b[i]|0x20 {
			return false
		}
	}
	return true
}

func timeoutError(err error, part string) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return messageError(408, "the %s came too slowly", part)
	}
	return err
}

func deadlineAfter(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// lookEvery is how often a close is looked for behind requests that were sent ahead, where no read can see it.
const closePollInterval = 20 * time.Millisecond

// Watch reports on the channel if the client closes or breaks the connection before stop is called. Requests that
// come meanwhile are kept. Stop must be called, and returns once the watcher is gone.
func (c *Conn) WatchClose() (gone <-chan error, stop func()) {
	left, ended, stopped := make(chan error, 1), make(chan struct{}), make(chan struct{})
	c.deadlines.setDeadline(time.Time{})
	go func() {
		defer close(ended)
		if _, err := c.reader.Peek(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				left <- err
			}
			return
		}
		again := time.NewTicker(closePollInterval)
		defer again.Stop()
		for !c.PeerClosed() {
			select {
			case <-again.C:
			case <-stopped:
				return
			}
		}
		left <- io.EOF
	}()
	return left, func() {
		close(stopped)
		c.deadlines.interrupt()
		<-ended
	}
}

// Gone tells whether the client has already closed or broken the connection, without waiting. It may be called from any goroutine.
func (c *Conn) PeerClosed() bool { return peerClosed(socketOf(c.conn)) }

// Answer writes the response to the request in hand.
func (c *Conn) WriteResponse(resp *Response) error {
	c.writeBuffer = appendResponse(c.writeBuffer[:0], c.method, resp)
	whole := c.method == "HEAD" || resp.ChunkSize > 0
	c.conn.SetWriteDeadline(deadlineAfter(c.limits.WriteTimeout))
	_, err := writeMessage(c.conn, &c.writeBuffer, resp.Body, whole)
	if err == nil && resp.Close {
		c.drain()
	}
	return err
}
