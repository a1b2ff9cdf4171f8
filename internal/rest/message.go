package rest

import (
	"fmt"
	"net/textproto"
	"time"
)

// Limits bound what a peer can make a connection store or wait for. Sizes are in bytes; a zero timeout means no timeout.
type Limits struct {
	MaxLine        int // of the first line and of each header line
	MaxHeaders     int // number of header lines in a message
	MaxHeaderBytes int // all header lines of a message together
	MaxBody        int
	HeaderTimeout  time.Duration // from a message's first byte to the end of its header block
	BodyTimeout    time.Duration // for the whole body
	IdleTimeout    time.Duration // between messages
	WriteTimeout   time.Duration // for one message
}

// DefaultLimits suit a gateway for small requests: the header limits are those of common servers, bodies may be much
// larger than the tensors of a forecast model, and timeouts allow a few round trips on a bad network.
var DefaultLimits = Limits{
	MaxLine: 8 << 10, MaxHeaders: 64, MaxHeaderBytes: 32 << 10, MaxBody: 4 << 20,
	HeaderTimeout: 5 * time.Second, BodyTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, WriteTimeout: 5 * time.Second,
}

// MessageError is the error of a message that is invalid or too large. A server responds with its status and closes the
// connection.
type MessageError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *MessageError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

// messageError returns a *MessageError with a formatted reason.
func messageError(status int, reason string, args ...any) error {
	return &MessageError{status, fmt.Sprintf(reason, args...)}
}

// Header holds a message's header fields by canonical name.
type Header = textproto.MIMEHeader

// Request is a complete request.
type Request struct {
	Method     string
	Target     string
	Header     Header
	Body       []byte
	Close      bool      // the client asks to close the connection after the response
	ChunkSize  int       // write the body in chunks of this size; 0: with a Content-Length
	ReceivedAt time.Time // when its first byte arrived
}

// Response is a complete response.
type Response struct {
	Status    int
	Header    Header
	Body      []byte
	Close     bool // the connection closes after this response
	ChunkSize int  // as in Request
}
