package rest

import (
	"fmt"
	"net/textproto"
	"time"
)

// Limits bound what a peer can make a connection store or wait for. Sizes are bytes; a zero timeout means none.
type Limits struct {
	MaxLine        int // the first line, and each header line
	MaxHeaders     int // header lines of a message
	MaxHeaderBytes int // all header lines of a message together
	MaxBody        int
	HeaderTimeout  time.Duration // from a message's first byte to the end of its header block
	BodyTimeout    time.Duration // for the whole body
	IdleTimeout    time.Duration // between messages
	WriteTimeout   time.Duration // for one message
}

// DefaultLimits fit a gateway of small requests: headers as common servers bound them, bodies well over the tensors of a
// forecast, timeouts of a few round trips on a bad network.
var DefaultLimits = Limits{
	MaxLine: 8 << 10, MaxHeaders: 64, MaxHeaderBytes: 32 << 10, MaxBody: 4 << 20,
	HeaderTimeout: 5 * time.Second, BodyTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, WriteTimeout: 5 * time.Second,
}

// MessageError is the error of a message that is invalid or too large. A server answers it with the status and closes the
// connection.
type MessageError struct {
	Status int
	Reason string
}

// Error is part of error.
func (e *MessageError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

// messageError returns a *MessageError with a formatted reason.
func messageError(status int, reason string, args ...any) error {
	return &MessageError{status, fmt.Sprintf(reason, args...)}
}

// Header holds a message's header fields by canonical name.
type Header = textproto.MIMEHeader

// Request is a whole request.
type Request struct {
	Method     string
	Target     string
	Header     Header
	Body       []byte
	Close      bool      // the client asks to close the connection after the response
	ChunkSize  int       // write the body in chunks of this size; 0: with its length
	ReceivedAt time.Time // when its first byte had arrived
}

// Response is a whole response.
type Response struct {
	Status    int
	Header    Header
	Body      []byte
	Close     bool // the connection closes after this response
	ChunkSize int  // as in Request
}
