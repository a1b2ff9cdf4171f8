// Package msgrpc is the clients' protocol: MessagePack-RPC messages, read and written within bounds. Names on the wire end
// here. Every length is held against its bound before anything is made room for.
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

// MaxBody is the largest body that a job may bring.
const MaxBody = 16 << 10

// Bounds on what is no body: several times what the fields of a request need.
const (
	maxFields = 32
	maxName   = 64
	maxValue  = 1 << 10
)

// Kind is what a message asks.
type Kind uint8

// The kinds.
const (
	Call        Kind = iota // a job
	Cancel                  // its client stopped waiting for the answer to Number
	HealthCheck             // does this router take jobs?
)

// Message is one whole message of a client.
type Message struct {
	Kind    Kind
	Number  uint32
	Request Request // of a Call
}

// Request is what a client tells of a job. Names are as sent: whether they are known is for the caller to say.
type Request struct {
	ID             control.RequestID
	Class          string
	Tenant         string
	Function       string // 16 hex digits
	Timeout        control.Micros
	IsRetry        bool
	IdempotencyKey string // of a fingerprinted job; empty: none
	Lanes          int    // 0: not told
	MemoryMB       float64
	LoadTime       control.Micros
	Work           control.Micros
	Body           []byte
}

// FunctionID gives the function as the module knows it.
func (a *Request) FunctionID() control.FunctionID {
	id, _ := strconv.ParseUint(a.Function, 16, 64)
	return control.FunctionID(id)
}

// Fault is a message that can't be taken. After a broken one nothing that follows on its connection can be read.
type Fault struct {
	Number     uint32
	Answerable bool // Number is known: the fault can be answered
	Unreadable bool
	Text       string
}

func (f *Fault) Error() string { return f.Text }

// Reader reads a client's messages.
type Reader struct {
	in  *bufio.Reader
	dec *msgpack.Decoder
}

// NewReader reads from a stream.
func NewReader(in io.Reader) *Reader {
	br := bufio.NewReaderSize(in, 2<<10) // a message with a small body; many connections are idle
	return &Reader{in: br, dec: msgpack.NewDecoder(br)}
}

// Await waits for the first byte of the next message.
func (r *Reader) Await() error {
	_, err := r.in.Peek(1)
	return err
}

// Buffered tells whether some of the next message is here already.
func (r *Reader) Buffered() bool { return r.in.Buffered() > 0 }

// Read reads one message. Errors are a *Fault or those of the stream.
func (r *Reader) Read() (*Message, error) {
	m := &Message{}
	f := &Fault{Unreadable: true}
	fault := func(text string, err error) (*Message, error) {
		var stream *broken
		if errors.As(err, &stream) {
			return nil, stream.err
		}
		f.Number, f.Text = m.Number, text
		return nil, f
	}
	n, err := r.array()
	if err != nil || n != 3 && n != 4 {
		return fault("not a message", err)
	}
	kind, err := r.number(math.MaxUint32)
	if err != nil {
		return fault("no kind of message", err)
	}
	switch {
	case kind == 0 && n == 4:
		if m.Number, err = r.number(math.MaxUint32); err != nil {
			return fault("no number", err)
		}
		f.Answerable = true
		method, err := r.text(maxName)
		if err != nil {
			return fault("no method", err)
		}
		params, err := r.array()
		if err != nil || params < 1 || params > 2 {
			return fault("no parameters", err)
		}
		fields, err := r.fields()
		if err != nil {
			return fault(err.Error(), err)
		}
		if method == "isWell" && params == 1 {
			m.Kind = HealthCheck
			return m, nil
		}
		if params != 2 {
			return fault("no body", nil)
		}
		body, err := r.bytes(MaxBody)
		if err != nil {
			return fault("body: "+err.Error(), err)
		}
		if text := m.Request.read(method, fields); text != "" {
			f.Unreadable = false // read whole: what follows can be read
			return fault(text, nil)
		}
		m.Request.Body = body
		return m, nil
	case kind == 2 && n == 3:
		method, err := r.text(maxName)
		if err != nil || method != "forget" {
			return fault("unknown notice", err)
		}
		if params, err := r.array(); err != nil || params != 1 {
			return fault("notice without its number", err)
		}
		if m.Number, err = r.number(math.MaxUint32); err != nil {
			return fault("notice without its number", err)
		}
		m.Kind = Cancel
		return m, nil
	}
	return fault("unknown kind of message", nil)
}

// broken marks an error of the stream itself.
type broken struct{ err error }

func (b *broken) Error() string { return b.err.Error() }

// code looks at what comes next.
func (r *Reader) code() (byte, error) {
	c, err := r.dec.PeekCode()
	if err != nil {
		return 0, &broken{err}
	}
	return c, nil
}

// length reads a length where the code says that one of this form comes.
func (r *Reader) length(fits func(byte) bool, read func() (int, error), what string) (int, error) {
	c, err := r.code()
	if err != nil {
		return 0, err
	}
	if !fits(c) {
		return 0, fmt.Errorf("%s expected", what)
	}
	n, err := read()
	if err != nil {
		return 0, &broken{err}
	}
	return n, nil
}

func (r *Reader) array() (int, error) {
	return r.length(func(c byte) bool {
		return msgpcode.IsFixedArray(c) || c == msgpcode.Array16 || c == msgpcode.Array32
	}, r.dec.DecodeArrayLen, "array")
}

func (r *Reader) number(most int64) (uint32, error) {
	c, err := r.code()
	if err != nil {
		return 0, err
	}
	if !msgpcode.IsFixedNum(c) && (c < msgpcode.Uint8 || c > msgpcode.Int64) {
		return 0, errors.New("number expected")
	}
	n, err := r.dec.DecodeInt64()
	if err != nil {
		return 0, &broken{err}
	}
	if n < 0 || n > most { // beyond int64 it comes out negative
		return 0, errors.New("number out of range")
	}
	return uint32(n), nil
}

func (r *Reader) bytes(most int) ([]byte, error) {
	n, err := r.length(func(c byte) bool { return msgpcode.IsString(c) || msgpcode.IsBin(c) }, r.dec.DecodeBytesLen, "bytes")
	if err != nil {
		return nil, err
	}
	if n < 0 || n > most {
		return nil, fmt.Errorf("longer than %d bytes", most)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r.in, b); err != nil {
		return nil, &broken{err}
	}
	return b, nil
}

func (r *Reader) text(most int) (string, error) {
	b, err := r.bytes(most)
	return string(b), err
}

func (r *Reader) fields() (map[string]string, error) {
	n, err := r.length(func(c byte) bool {
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
		name, err := r.text(maxName)
		if err != nil {
			return nil, err
		}
		if fields[name], err = r.text(maxValue); err != nil {
			return nil, err
		}
	}
	return fields, nil
}

// read checks the fields of a call; the text tells what is wrong with them.
func (a *Request) read(method string, fields map[string]string) (fault string) {
	a.Class, a.Tenant, a.Function, a.IdempotencyKey = method, fields["project"], fields["lookup"], fields["replay"]
	id, err := strconv.ParseUint(fields["ref"], 16, 64)
	if err != nil || !isHex(fields["ref"], 16) {
		return "ref: 16 hex digits expected"
	}
	a.ID = control.RequestID(id)
	if !isHex(a.Function, 16) {
		return "lookup: 16 hex digits expected"
	}
	if a.IdempotencyKey != "" && !isHex(a.IdempotencyKey, 32) {
		return "replay: 32 hex digits expected"
	}
	allow, ok := figure(fields["allow"])
	if !ok || allow <= 0 {
		return "allow: a time in milliseconds expected"
	}
	a.Timeout = control.Micros(allow * 1000)
	switch dup, told := fields["dup"]; {
	case told && dup != "1":
		return "dup: 1 expected"
	case told:
		a.IsRetry = true
	}
	for pair := range strings.SplitSeq(fields["spec"], ";") {
		if pair == "" {
			continue
		}
		name, value, _ := strings.Cut(pair, ":")
		v, ok := figure(value)
		if !ok || v <= 0 {
			return "spec: a positive figure expected"
		}
		switch name {
		case "lanes":
			if v > math.MaxInt16 || v != math.Trunc(v) {
				return "spec: lanes out of range"
			}
			a.Lanes = int(v)
		case "memory_mb":
			a.MemoryMB = v
		case "load_ms":
			a.LoadTime = control.Micros(v * 1000)
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

// figure reads a plain decimal number: no sign, no exponent, no name such as NaN, and none so long that it is no figure.
func figure(s string) (float64, bool) {
	const long = 20
	if s == "" || len(s) > long || strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v < 1e12 // an hour in microseconds is 4e9; more means nothing here
}

// The words of an answer that is no result.
const (
	wireRejected = "TryLater"
	wireFailed   = "Aborted"
	wireInvalid  = "Invalid"
)

// Success is the answer with a server's body.
func Success(number uint32, body []byte) []byte {
	return answer(number, len(body), func(e *msgpack.Encoder) {
		e.EncodeNil()
		e.EncodeArrayLen(2)
		e.EncodeBytes(body)
		e.EncodeMapLen(0)
	})
}

// Rejection tells that trying again is harmless, and after how long.
func Rejection(number uint32, stayAway control.Micros) []byte {
	if stayAway <= 0 {
		return refusal(number, wireRejected)
	}
	return refusal(number, wireRejected, "cooldown", strconv.FormatInt((int64(stayAway)+999)/1000, 10))
}

// Failure promises nothing.
func Failure(number uint32) []byte { return refusal(number, wireFailed) }

// Invalid tells what is wrong with a message.
func Invalid(number uint32, why string) []byte { return refusal(number, wireInvalid, "why", why) }

// Health answers whether jobs are taken.
func Health(number uint32, well bool) []byte {
	return answer(number, 0, func(e *msgpack.Encoder) {
		e.EncodeNil()
		e.EncodeArrayLen(2)
		e.EncodeBool(well)
		e.EncodeMapLen(0)
	})
}

func refusal(number uint32, word string, fields ...string) []byte {
	return answer(number, 0, func(e *msgpack.Encoder) {
		e.EncodeArrayLen(2)
		e.EncodeString(word)
		e.EncodeMapLen(len(fields) / 2)
		for _, f := range fields {
			e.EncodeString(f)
		}
		e.EncodeNil()
	})
}

// answer writes to memory, so that no write fails.
func answer(number uint32, size int, rest func(*msgpack.Encoder)) []byte {
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
