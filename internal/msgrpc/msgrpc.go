// Package msgrpc implements the clients' protocol: MessagePack-RPC messages, read and written with limits on all
// lengths, which are checked before anything is allocated. Only this package knows the names on the wire.
package msgrpc

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"hollymast/control"
)

// MaxBody is the largest request body, in bytes.
const MaxBody = 16 << 10

// Limits on everything but the body: several times what the fields of a request need.
const (
	maxFields = 32
	maxName   = 64
	maxValue  = 1 << 10
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of message.
const (
	Call        Kind = iota // a request
	Cancel                  // the client no longer waits for the response to Number
	HealthCheck             // asks whether this router accepts requests
)

// Message is one complete message of a client.
type Message struct {
	Kind    Kind
	Number  uint32
	Size    int     // in bytes
	Request Request // of a Call
}

// Request is a request as the client sent it. Names are not checked: the caller decides whether they are known.
type Request struct {
	ID             control.RequestID
	Class          string
	Tenant         string
	Function       string // 16 hex digits
	Timeout        control.Micros
	IsRetry        bool
	IdempotencyKey string // 32 hex digits; empty if there is none
	Lanes          int    // 0 if not specified
	MemoryMB       float64
	LoadTimeHint   control.Micros
	ExecTimeHint   control.Micros
	Body           []byte
}

// FunctionID returns the function's ID in the balancer's terms.
func (r *Request) FunctionID() control.FunctionID {
	id, _ := strconv.ParseUint(r.Function, 16, 64)
	return control.FunctionID(id)
}

// MessageError is the error of a message that cannot be accepted.
type MessageError struct {
	Number     uint32
	Size       int  // bytes of the message that were read
	Answerable bool // Number is known, so that the error can be answered
	Unreadable bool // nothing that follows on the connection can be read
	Text       string
}

// Error returns the text that is sent to the client.
func (e *MessageError) Error() string { return e.Text }

// Reader reads a client's messages. It is not safe for concurrent use.
type Reader struct {
	in       io.Reader
	buffered *bufio.Reader // in, if it is a stream; nil in Decode
	received *countingReader
	dec      *msgpack.Decoder
}

// countingReader counts the bytes that are read from a stream.
type countingReader struct {
	in    io.Reader
	bytes int
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.in.Read(b)
	c.bytes += n
	return n, err
}

// NewReader returns a reader of a stream.
func NewReader(in io.Reader) *Reader {
	received := &countingReader{in: in}
	br := bufio.NewReaderSize(received, 2<<10) // fits a message with a small body; no more, since many connections are idle
	return &Reader{in: br, buffered: br, received: received, dec: msgpack.NewDecoder(br)}
}

// consumed returns the number of bytes of all messages read so far.
func (r *Reader) consumed() int {
	if r.buffered == nil {
		return 0
	}
	return r.received.bytes - r.buffered.Buffered()
}

// ErrIncomplete is the error of Decode for the beginning of a message.
var ErrIncomplete = errors.New("message is incomplete")

// Decode decodes the message at the beginning of data and returns its size. Its error is ErrIncomplete or a
// *MessageError; after one that is Unreadable, the size is not known.
func Decode(data []byte) (m *Message, size int, err error) {
	source := bytes.NewReader(data)
	r := Reader{in: source, dec: msgpack.NewDecoder(source)}
	m, err = r.Read()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = ErrIncomplete
	}
	return m, len(data) - source.Len(), err
}

// Await blocks until the first byte of the next message has arrived.
func (r *Reader) Await() error {
	_, err := r.buffered.Peek(1)
	return err
}

// Buffered reports whether part of the next message has arrived already.
func (r *Reader) Buffered() bool { return r.buffered.Buffered() > 0 }

// Read reads one message. Its error is a *MessageError or that of the stream.
func (r *Reader) Read() (*Message, error) {
	m := &Message{}
	start := r.consumed()
	msgErr, err := r.readMessage(m)
	m.Size = r.consumed() - start
	if msgErr != nil {
		var stream *streamError
		if errors.As(err, &stream) {
			return nil, stream.err
		}
		msgErr.Number, msgErr.Size = m.Number, m.Size
		return nil, msgErr
	}
	return m, nil
}

// readMessage reads one message into m. If the message cannot be accepted, it returns a MessageError and the error that
// caused it, if there is one.
func (r *Reader) readMessage(m *Message) (*MessageError, error) {
	n, err := r.readArrayLength()
	if err != nil || n != 3 && n != 4 {
		return unreadable("not a message"), err
	}
	kind, err := r.readNumber(math.MaxUint32)
	if err != nil {
		return unreadable("no kind of message"), err
	}
	switch {
	case kind == 0 && n == 4:
		if m.Number, err = r.readNumber(math.MaxUint32); err != nil {
			return unreadable("no number"), err
		}
		msgErr, err := r.readCall(m)
		if msgErr != nil {
			msgErr.Answerable = true
		}
		return msgErr, err
	case kind == 2 && n == 3:
		return r.readNotification(m)
	}
	return unreadable("unknown kind of message"), nil
}

// unreadable returns an error after which nothing on the connection can be read.
func unreadable(text string) *MessageError { return &MessageError{Unreadable: true, Text: text} }

// readCall reads the method and parameters of a call.
func (r *Reader) readCall(m *Message) (*MessageError, error) {
	method, err := r.readString(maxName)
	if err != nil {
		return unreadable("no method"), err
	}
	params, err := r.readArrayLength()
	if err != nil || params < 1 || params > 2 {
		return unreadable("no parameters"), err
	}
	fields, err := r.readFields()
	if err != nil {
		return unreadable(err.Error()), err
	}
	if method == "isWell" && params == 1 {
		m.Kind = HealthCheck
		return nil, nil
	}
	if params != 2 {
		return unreadable("no body"), nil
	}
	body, err := r.readBytes(MaxBody)
	if err != nil {
		return unreadable("body: " + err.Error()), err
	}
	if text := m.Request.setFields(method, fields); text != "" {
		return &MessageError{Text: text}, nil // the whole message was read, so the next one can be read
	}
	m.Request.Body = body
	return nil, nil
}

// readNotification reads the method and parameter of a notification. The only known one cancels a request.
func (r *Reader) readNotification(m *Message) (*MessageError, error) {
	method, err := r.readString(maxName)
	if err != nil || method != "forget" {
		return unreadable("unknown notice"), err
	}
	if params, err := r.readArrayLength(); err != nil || params != 1 {
		return unreadable("notice without its number"), err
	}
	if m.Number, err = r.readNumber(math.MaxUint32); err != nil {
		return unreadable("notice without its number"), err
	}
	m.Kind = Cancel
	return nil, nil
}

// streamError marks an error of the stream itself.
type streamError struct{ err error }

func (e *streamError) Error() string { return e.err.Error() }

// peekCode returns the code of the next value without consuming it.
func (r *Reader) peekCode() (byte, error) {
	c, err := r.dec.PeekCode()
	if err != nil {
		return 0, &streamError{err}
	}
	return c, nil
}

// readLength reads a length if the code of the next value fits; what names the expected type in the error.
func (r *Reader) readLength(fits func(byte) bool, read func() (int, error), what string) (int, error) {
	c, err := r.peekCode()
	if err != nil {
		return 0, err
	}
	if !fits(c) {
		return 0, fmt.Errorf("%s expected", what)
	}
	n, err := read()
	if err != nil {
		return 0, &streamError{err}
	}
	return n, nil
}

func (r *Reader) readArrayLength() (int, error) {
	return r.readLength(func(c byte) bool {
		return msgpcode.IsFixedArray(c) || c == msgpcode.Array16 || c == msgpcode.Array32
	}, r.dec.DecodeArrayLen, "array")
}

// readNumber reads an unsigned number up to limit.
func (r *Reader) readNumber(limit int64) (uint32, error) {
	c, err := r.peekCode()
	if err != nil {
		return 0, err
	}
	if !msgpcode.IsFixedNum(c) && (c < msgpcode.Uint8 || c > msgpcode.Int64) {
		return 0, errors.New("number expected")
	}
	n, err := r.dec.DecodeInt64()
	if err != nil {
		return 0, &streamError{err}
	}
	if n < 0 || n > limit { // a number beyond int64 is decoded as negative
		return 0, errors.New("number out of range")
	}
	return uint32(n), nil
}

// readBytes reads a string or binary value of at most limit bytes.
func (r *Reader) readBytes(limit int) ([]byte, error) {
	n, err := r.readLength(func(c byte) bool { return msgpcode.IsString(c) || msgpcode.IsBin(c) }, r.dec.DecodeBytesLen, "bytes")
	if err != nil {
		return nil, err
	}
	if n < 0 || n > limit {
		return nil, fmt.Errorf("longer than %d bytes", limit)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r.in, b); err != nil {
		return nil, &streamError{err}
	}
	return b, nil
}

func (r *Reader) readString(limit int) (string, error) {
	b, err := r.readBytes(limit)
	return string(b), err
}

// readFields reads a map of strings.
func (r *Reader) readFields() (map[string]string, error) {
	n, err := r.readLength(func(c byte) bool {
		return msgpcode.IsFixedMap(c) || c == msgpcode.Map16 || c == msgpcode.Map32
	}, r.dec.DecodeMapLen, "map")
	if err != nil {
		return nil, err
	}
	if n < 0 || n > maxFields {
		return nil, errors.New("too many fields")
	}
	fields := make(map[string]string, n)
	for range n {
		name, err := r.readString(maxName)
		if err != nil {
			return nil, err
		}
		if fields[name], err = r.readString(maxValue); err != nil {
			return nil, err
		}
	}
	return fields, nil
}

// setFields sets the request from the fields of a call. It returns a description of the first invalid field, or an
// empty string.
func (r *Request) setFields(method string, fields map[string]string) (fault string) {
	r.Class, r.Tenant, r.Function, r.IdempotencyKey = method, fields["project"], fields["lookup"], fields["replay"]
	id, err := strconv.ParseUint(fields["ref"], 16, 64)
	if err != nil || !isHex(fields["ref"], 16) {
		return "ref: 16 hex digits expected"
	}
	r.ID = control.RequestID(id)
	if !isHex(r.Function, 16) {
		return "lookup: 16 hex digits expected"
	}
	if r.IdempotencyKey != "" && !isHex(r.IdempotencyKey, 32) {
		return "replay: 32 hex digits expected"
	}
	timeout, ok := parseDecimal(fields["allow"])
	if !ok || timeout <= 0 {
		return "allow: a time in milliseconds expected"
	}
	r.Timeout = control.Micros(timeout * 1000)
	switch dup, ok := fields["dup"]; {
	case ok && dup != "1":
		return "dup: 1 expected"
	case ok:
		r.IsRetry = true
	}
	for pair := range strings.SplitSeq(fields["spec"], ";") {
		if pair == "" {
			continue
		}
		name, value, _ := strings.Cut(pair, ":")
		v, ok := parseDecimal(value)
		if !ok || v <= 0 {
			return "spec: a positive figure expected"
		}
		switch name {
		case "lanes":
			if v > math.MaxInt16 || v != math.Trunc(v) {
				return "spec: lanes out of range"
			}
			r.Lanes = int(v)
		case "memory_mb":
			r.MemoryMB = v
		case "load_ms":
			r.LoadTimeHint = control.Micros(v * 1000)
		}
	}
	return ""
}

func isHex(s string, n int) bool {
	if len(s) != n {
		return false
	}
	_, err := hex.DecodeString(s)
	return err == nil
}

// parseDecimal parses a plain decimal number without sign, exponent or names such as NaN, of at most 20 characters.
func parseDecimal(s string) (float64, bool) {
	const maxLength = 20
	if s == "" || len(s) > maxLength || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v < 1e12 // an hour in microseconds is 4e9, so no valid value is larger
}

// The error words of responses.
const (
	wordRejected = "TryLater"
	wordFailed   = "Aborted"
	wordInvalid  = "Invalid"
)

// EncodeSuccess returns the encoded response with a server's body.
func EncodeSuccess(number uint32, body []byte) []byte {
	return response(number, len(body), func(e *msgpack.Encoder) {
		e.EncodeNil()
		e.EncodeArrayLen(2)
		e.EncodeBytes(body)
		e.EncodeMapLen(0)
	})
}

// EncodeRejection returns the encoded response to a rejected request: a retry is harmless, after retryAfter
// microseconds if that is positive.
func EncodeRejection(number uint32, retryAfter control.Micros) []byte {
	if retryAfter <= 0 {
		return errorResponse(number, wordRejected)
	}
	return errorResponse(number, wordRejected, "cooldown", strconv.FormatInt((int64(retryAfter)+999)/1000, 10))
}

// EncodeFailure returns the encoded response to a failed request, which may have run.
func EncodeFailure(number uint32) []byte { return errorResponse(number, wordFailed) }

// EncodeInvalid returns the encoded response to an invalid message, with the reason.
func EncodeInvalid(number uint32, reason string) []byte {
	return errorResponse(number, wordInvalid, "why", reason)
}

// EncodeHealth returns the encoded response to a health check.
func EncodeHealth(number uint32, healthy bool) []byte {
	return response(number, 0, func(e *msgpack.Encoder) {
		e.EncodeNil()
		e.EncodeArrayLen(2)
		e.EncodeBool(healthy)
		e.EncodeMapLen(0)
	})
}

// errorResponse returns an encoded response with an error: a word, and alternating names and values.
func errorResponse(number uint32, word string, fields ...string) []byte {
	return response(number, 0, func(e *msgpack.Encoder) {
		e.EncodeArrayLen(2)
		e.EncodeString(word)
		e.EncodeMapLen(len(fields) / 2)
		for _, f := range fields {
			e.EncodeString(f)
		}
		e.EncodeNil()
	})
}

// response encodes a response. It writes to memory, so that no write fails.
func response(number uint32, size int, rest func(*msgpack.Encoder)) []byte {
	var b bytes.Buffer
	b.Grow(size + 64)
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.EncodeArrayLen(4)
	e.EncodeUint(1)
	e.EncodeUint(uint64(number))
	rest(e)
	return b.Bytes()
}
