package rest

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
)

// Values of bodyLength for a body whose length the header does not state.
const (
	chunkedLength = -1 // the body is chunked
	noLength      = -2 // there is no body, or it ends with the connection
)

// bodyLength returns the length of a message's body in bytes, chunkedLength or noLength.
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
		return chunkedLength, nil
	case len(lengths) > 1:
		return 0, messageError(400, "more than one Content-Length")
	case len(lengths) == 1:
		return parseNumber(lengths[0], 10, 18)
	}
	return noLength, nil
}

// parseNumber parses a number of at most maxDigits digits, without sign or spaces.
func parseNumber(s string, base, maxDigits int) (int, error) {
	if len(s) == 0 || len(s) > maxDigits {
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

// Reserve is called before the given number of bytes of a body is read into memory. If it returns false, the message is
// rejected with status 503.
type Reserve func(bytes int) bool

// readBody reads a body with a length returned by bodyLength; noLength means that there is none. reserve may be nil.
func readBody(r *bufio.Reader, length int, l *Limits, reserve Reserve) ([]byte, error) {
	switch {
	case length == chunkedLength:
		return readChunks(r, l, reserve)
	case length <= 0:
		return nil, nil
	case length > l.MaxBody:
		return nil, messageError(413, "a body of more than %d bytes", l.MaxBody)
	case reserve != nil && !reserve(length):
		return nil, messageError(503, "no room for a body of %d bytes now", length)
	}
	b := make([]byte, length)
	_, err := io.ReadFull(r, b)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

// readToEnd reads a body that ends with the connection.
func readToEnd(r *bufio.Reader, l *Limits) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, int64(l.MaxBody)+1))
	if err == nil && len(b) > l.MaxBody {
		err = messageError(413, "a body of more than %d bytes", l.MaxBody)
	}
	return b, err
}

// readChunks reads a chunked body and its trailer.
func readChunks(r *bufio.Reader, l *Limits, reserve Reserve) ([]byte, error) {
	var body []byte
	for {
		size, err := readChunkSize(r, l)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			break
		}
		if size > l.MaxBody-len(body) {
			return nil, messageError(413, "a body of more than %d bytes", l.MaxBody)
		}
		if reserve != nil && !reserve(size) {
			return nil, messageError(503, "no room for %d bytes more now", size)
		}
		start := len(body)
		body = append(body, make([]byte, size)...)
		var end [2]byte
		if _, err = io.ReadFull(r, body[start:]); err == nil {
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
	return body, nil
}

// readChunkSize reads the chunk size line and ignores chunk extensions.
func readChunkSize(r *bufio.Reader, l *Limits) (int, error) {
	b, err := readLine(r, l.MaxLine, 400)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return 0, err
	}
	size, _, _ := bytes.Cut(b, []byte{';'})
	return parseNumber(string(size), 16, 15)
}
