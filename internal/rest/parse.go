// Package rest implements HTTP/1.1 (RFC 9112) for short exchanges with bodies held in memory, on top of net, bufio and
// net/textproto. It rejects messages with ambiguous framing, bounds everything that a peer can make it store, and reports
// how far a failed exchange had got, which decides whether a request may be retried.
package rest

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/textproto"
	"strings"
)

// readLine reads a line and returns it without its CRLF. The bytes are valid until the next read. A line longer than
// maxBytes is a *MessageError with the given status.
func readLine(r *bufio.Reader, maxBytes int, status int) ([]byte, error) {
	b, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line := append([]byte(nil), b...)
		for errors.Is(err, bufio.ErrBufferFull) && len(line) <= maxBytes {
			b, err = r.ReadSlice('\n')
			line = append(line, b...)
		}
		b = line
	}
	if len(b) > maxBytes {
		return nil, messageError(status, "a line of more than %d bytes", maxBytes)
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

// isToken reports whether b is a token of RFC 9110, section 5.6.2.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenChar[c] {
			return false
		}
	}
	return len(b) > 0
}

// readHeader reads header lines up to and including the empty line.
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

// readRequestHead reads a request up to its body, and returns it with the body length as bodyLength returns it.
func readRequestHead(r *bufio.Reader, l *Limits) (req *Request, length int, err error) {
	b, err := readLine(r, l.MaxLine, 414)
	if err == nil && len(b) == 0 { // RFC 9112, 2.2: an empty line before a request is ignored
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

// wantsClose reports whether a message asks to close the connection after the exchange.
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

// maxInterim bounds the interim responses (status 1xx) that are skipped; it is far more than any server sends.
const maxInterim = 8

// readResponse reads the response to a request with the given method, and skips interim responses.
func readResponse(r *bufio.Reader, method string, l *Limits) (*Response, error) {
	for range maxInterim {
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
		if length == noLength {
			resp.Close = true
			resp.Body, err = readToEnd(r, l)
			return resp, err
		}
		resp.Body, err = readBody(r, length, l, nil)
		return resp, err
	}
	return nil, messageError(400, "more than %d interim responses", maxInterim)
}
