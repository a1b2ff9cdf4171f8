package rest

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"
)

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
