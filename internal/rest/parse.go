// Package rest is HTTP/1.1 (RFC 9112) for short exchanges with whole bodies, on net, bufio and net/textproto. It is
// strict where two readers could frame a message differently, bounded in all that a peer can make it keep, and it
// tells how far a failed exchange had got, since whether a job may be sent again depends on that.
package rest

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Limits bound what a peer can make a connection keep or wait for. Sizes are bytes; a zero time means no limit.
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

// Usual are limits that fit a gateway of small jobs: header bounds as common servers have them, a body bound well
// over the tensors of a forecast, times of a few round trips on a bad network.
var DefaultLimits = Limits{MaxLine: 8 << 10, MaxHeaders: 64, MaxHeaderBytes: 32 << 10, MaxBody: 4 << 20, HeaderTimeout: 5 * time.Second,
	BodyTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, WriteTimeout: 5 * time.Second}

// Refused is a message that is not taken; a server answers it with the status and closes the connection.
type MessageError struct {
	Status int
	Reason string
}

func (e *MessageError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

func messageError(status int, reason string, args ...any) error {
	return &MessageError{status, fmt.Sprintf(reason, args...)}
}

// Header is a message's header fields by canonical name.
type Header = textproto.MIMEHeader

// Request is a whole request.
type Request struct {
	Method    string
	Target    string
	Header    Header
	Body      []byte
	Close     bool      // the client wants the connection closed after the answer
	ChunkSize int       // write the body in chunks of this size; 0: with its length
	ArrivedAt time.Time // when its first byte was here
}

// Response is a whole response.
type Response struct {
	Status    int
	Header    Header
	Body      []byte
	Close     bool // the connection ends with this answer
	ChunkSize int
}

// line reads one line that ends in CRLF, without it. The bytes hold until the next read.
func readLine(r *bufio.Reader, most int, status int) ([]byte, error) {
	b, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		whole := append([]byte(nil), b...)
		for errors.Is(err, bufio.ErrBufferFull) && len(whole) <= most {
			b, err = r.ReadSlice('\n')
			whole = append(whole, b...)
		}
		b = whole
	}
	if len(b) > most {
		return nil, messageError(status, "a line of more than %d bytes", most)
	}
	if err != nil {
		if err == io.EOF && len(b) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if len(b) < 2 || b[len(b)-2] != '\r' {
		return nil, messageError(400, "a line that does not end in CRLF")
	}
	b = b[:len(b)-2]
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, messageError(400, "a control character in a line")
		}
	}
	return b, nil
}

var tokenChar = func() (t [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		t[c] = true
	}
	return t
}()

func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenChar[c] {
			return false
		}
	}
	return len(b) > 0
}

// block reads header lines up to the empty one.
func readHeader(r *bufio.Reader, l *Limits) (Header, error) {
	h := make(Header, 8)
	total := 0
	for n := 0; ; n++ {
		b, err := readLine(r, l.MaxLine, 431)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(b) == 0 {
			return h, nil
		}
		if total += len(b) + 2; total > l.MaxHeaderBytes || n >= l.MaxHeaders {
			return nil, messageError(431, "more than %d header lines or %d bytes of them", l.MaxHeaders, l.MaxHeaderBytes)
		}
		if b[0] == ' ' || b[0] == '\t' {
			return nil, messageError(400, "a folded header line")
		}
		name, value, ok := bytes.Cut(b, []byte{':'})
		if !ok || !isToken(name) {
			return nil, messageError(400, "a header name that is no token")
		}
		key := textproto.CanonicalMIMEHeaderKey(string(name))
		h[key] = append(h[key], string(textproto.TrimBytes(value)))
	}
}

// framing tells how a message's body is delimited: its length, or -1 for chunks, or -2 for neither.
func bodyLength(h Header, http10 bool) (int, error) {
	lengths, codings := h["Content-Length"], h["Transfer-Encoding"]
	switch {
	case len(lengths) > 0 && len(codings) > 0:
		return 0, messageError(400, "both Content-Length and Transfer-Encoding")
	case len(codings) > 0 && http10:
		return 0, messageError(400, "Transfer-Encoding in HTTP/1.0")
	case len(codings) > 1 || len(codings) == 1 && !strings.EqualFold(codings[0], "chunked"):
		return 0, messageError(501, "a transfer coding other than chunked")
	case len(codings) == 1:
		return -1, nil
	case len(lengths) > 1:
		return 0, messageError(400, "more than one Content-Length")
	case len(lengths) == 1:
		return parseNumber(lengths[0], 10, 18)
	}
	return -2, nil
}

// number reads digits alone: no sign, no space, not so many that it could overflow.
func parseNumber(s string, base, most int) (int, error) {
	if len(s) == 0 || len(s) > most {
		return 0, messageError(400, "a length of %d digits", len(s))
	}
	for _, c := range []byte(s) {
		if !(c >= '0' && c <= '9' || base == 16 && (c|0x20 >= 'a' && c|0x20 <= 'f')) {
			return 0, messageError(400, "a length that is no number")
		}
	}
	n, err := strconv.ParseInt(s, base, 64)
	if err != nil {
		return 0, messageError(400, "a length out of range")
	}
	return int(n), nil
}

// Reserve is asked before body bytes are taken into memory; a false answer refuses the message with 503.
type Reserve func(bytes int) bool

// body reads a body of a length (-1: chunks, -2: none, or to the end of the connection).
func readBody(r *bufio.Reader, length int, l *Limits, toEnd bool, room Reserve) ([]byte, error) {
	switch {
	case length == -1:
		return readChunks(r, l, room)
	case length == -2 && toEnd:
		b, err := io.ReadAll(io.LimitReader(r, int64(l.MaxBody)+1))
		if err == nil && len(b) > l.MaxBody {
			err = messageError(413, "a body of more than %d bytes", l.MaxBody)
		}
		return b, err
	case length <= 0:
		return nil, nil
	case length > l.MaxBody:
		return nil, messageError(413, "a body of more than %d bytes", l.MaxBody)
	case room != nil && !room(length):
		return nil, messageError(503, "no room for a body of %d bytes now", length)
	}
	b := make([]byte, length)
	_, err := io.ReadFull(r, b)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

func readChunks(r *bufio.Reader, l *Limits, room Reserve) ([]byte, error) {
	var whole []byte
	for {
		b, err := readLine(r, l.MaxLine, 400)
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		size, _, _ := bytes.Cut(b, []byte{';'}) // extensions mean nothing here
		n, err := parseNumber(string(size), 16, 15)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			break
		}
		if n > l.MaxBody-len(whole) {
			return nil, messageError(413, "a body of more than %d bytes", l.MaxBody)
		}
		if room != nil && !room(n) {
			return nil, messageError(503, "no room for %d bytes more now", n)
		}
		at := len(whole)
		whole = append(whole, make([]byte, n)...)
		var end [2]byte
		if _, err = io.ReadFull(r, whole[at:]); err == nil {
			_, err = io.ReadFull(r, end[:])
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if end != [2]byte{'\r', '\n'} {
			return nil, messageError(400, "a chunk that does not end in CRLF")
		}
	}
	trailer, err := readHeader(r, l)
	if err != nil {
		return nil, err
	}
	if trailer["Content-Length"] != nil || trailer["Transfer-Encoding"] != nil {
		return nil, messageError(400, "framing in a trailer")
	}
	return whole, nil
}

// requestHead reads a request up to its body.
func readRequestHead(r *bufio.Reader, l *Limits) (req *Request, length int, err error) {
	b, err := readLine(r, l.MaxLine, 414)
	if err == nil && len(b) == 0 { // RFC 9112, 2.2: one empty line before a request is passed over
		b, err = readLine(r, l.MaxLine, 414)
	}
	if err != nil {
		return nil, 0, err
	}
	method, rest, _ := bytes.Cut(b, []byte{' '})
	target, version, _ := bytes.Cut(rest, []byte{' '})
	http10 := string(version) == "HTTP/1.0"
	switch {
	case !isToken(method) || len(target) == 0 || bytes.IndexByte(target, '\t') >= 0:
		return nil, 0, messageError(400, "a malformed request line")
	case !http10 && string(version) != "HTTP/1.1":
		if bytes.HasPrefix(version, []byte("HTTP/")) {
			return nil, 0, messageError(505, "a version other than HTTP/1.0 and HTTP/1.1")
		}
		return nil, 0, messageError(400, "a malformed request line")
	}
	req = &Request{Method: string(method), Target: string(target)}
	if req.Header, err = readHeader(r, l); err != nil {
		return nil, 0, err
	}
	if hosts := len(req.Header["Host"]); hosts > 1 || hosts == 0 && !http10 {
		return nil, 0, messageError(400, "%d Host headers", hosts)
	}
	if length, err = bodyLength(req.Header, http10); err != nil {
		return nil, 0, err
	}
	req.Close = wantsClose(req.Header, http10)
	return req, length, nil
}

func wantsClose(h Header, http10 bool) bool {
	for _, v := range h["Connection"] {
		for part := range strings.SplitSeq(v, ",") {
			switch strings.ToLower(strings.TrimSpace(part)) {
			case "close":
				return true
			case "keep-alive":
				http10 = false
			}
		}
	}
	return http10
}

// readResponse reads the response to a request of a method. Interim responses are passed over.
func readResponse(r *bufio.Reader, method string, l *Limits) (*Response, error) {
	const interim = 8 // far more than any server sends
	for range interim {
		b, err := readLine(r, l.MaxLine, 400)
		if err != nil {
			return nil, err
		}
		version, rest, _ := bytes.Cut(b, []byte{' '})
		code, _, _ := bytes.Cut(rest, []byte{' '})
		http10 := string(version) == "HTTP/1.0"
		if !http10 && string(version) != "HTTP/1.1" || len(code) != 3 {
			return nil, messageError(400, "a malformed status line")
		}
		status, err := parseNumber(string(code), 10, 3)
		if err != nil {
			return nil, err
		}
		resp := &Response{Status: status}
		if resp.Header, err = readHeader(r, l); err != nil {
			return nil, err
		}
		if status >= 100 && status < 200 {
			if status == 101 {
				return nil, messageError(400, "a switch of protocols that nobody asked for")
			}
			continue
		}
		length, err := bodyLength(resp.Header, http10)
		if err != nil {
			return nil, err
		}
		resp.Close = wantsClose(resp.Header, http10)
		if method == "HEAD" || status == 204 || status == 304 {
			return resp, nil
		}
		resp.Close = resp.Close || length == -2
		resp.Body, err = readBody(r, length, l, true, nil)
		return resp, err
	}
	return nil, messageError(400, "more than %d interim responses", interim)
}

// AppendRequest appends the request's header block, its body left out unless it goes in chunks.
func appendRequest(b []byte, req *Request) []byte {
	b = append(append(append(append(b, req.Method...), ' '), req.Target...), " HTTP/1.1\r\n"...)
	b = appendHeader(b, req.Header)
	if req.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	return appendFraming(b, req.Body, req.ChunkSize, req.Method == "GET" || req.Method == "HEAD")
}

func appendResponse(b []byte, method string, resp *Response) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(resp.Status), 10)
	b = append(append(append(b, ' '), reasonPhrases[resp.Status]...), "\r\n"...)
	b = appendHeader(b, resp.Header)
	if resp.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	if method == "HEAD" {
		b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(resp.Body)), 10)
		return append(b, "\r\n\r\n"...)
	}
	return appendFraming(b, resp.Body, resp.ChunkSize, resp.Status == 204)
}

// appendHeader writes the fields in no set order; those that frame the message are ours to write.
func appendHeader(b []byte, h Header) []byte {
	for key, values := range h {
		if key == "Content-Length" || key == "Transfer-Encoding" || key == "Connection" {
			continue
		}
		for _, v := range values {
			b = append(append(append(b, key...), ": "...), v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

func appendFraming(b, body []byte, chunk int, bare bool) []byte {
	switch {
	case len(body) == 0 && bare:
		return append(b, "\r\n"...)
	case chunk <= 0:
		b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
		return append(b, "\r\n\r\n"...)
	}
	b = append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
	for len(body) > 0 {
		n := min(chunk, len(body))
		b = append(strconv.AppendInt(b, int64(n), 16), "\r\n"...)
		b = append(append(b, body[:n]...), "\r\n"...)
		body = body[n:]
	}
	return append(b, "0\r\n\r\n"...)
}

var reasonPhrases = map[int]string{200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 414: "URI Too Long", 417: "Expectation Failed",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 499: "Client Closed Request",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported"}
