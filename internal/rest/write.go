package rest

import (
	"net"
	"strconv"
)

// appendRequest appends a request's header block, followed by the body only if it is chunked.
func appendRequest(b []byte, req *Request) []byte {
	b = append(append(append(append(b, req.Method...), ' '), req.Target...), " HTTP/1.1\r\n"...)
	b = appendHeader(b, req.Header)
	if req.Close {
		b = append(b, "Connection: close\r\n"...)
	}
	if len(req.Body) == 0 && (req.Method == "GET" || req.Method == "HEAD") {
		return append(b, "\r\n"...)
	}
	return appendFraming(b, req.Body, req.ChunkSize)
}

// appendResponse appends the header block of a response to a request with the given method, followed by the body only if
// it is chunked.
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
	if len(resp.Body) == 0 && resp.Status == 204 {
		return append(b, "\r\n"...)
	}
	return appendFraming(b, resp.Body, resp.ChunkSize)
}

// appendHeader appends the header fields in arbitrary order, except those that frame the message.
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

// appendFraming appends the fields that frame a message and the end of the header block, followed by the body if it is
// chunked.
func appendFraming(b, body []byte, chunkSize int) []byte {
	if chunkSize <= 0 {
		b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
		return append(b, "\r\n\r\n"...)
	}
	b = append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
	for len(body) > 0 {
		n := min(chunkSize, len(body))
		b = append(strconv.AppendInt(b, int64(n), 16), "\r\n"...)
		b = append(append(b, body[:n]...), "\r\n"...)
		body = body[n:]
	}
	return append(b, "0\r\n\r\n"...)
}

// reasonPhrases are the reason phrases of RFC 9110 by status; 499 is nginx's.
var reasonPhrases = map[int]string{200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 413: "Content Too Large", 414: "URI Too Long", 417: "Expectation Failed",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 499: "Client Closed Request",
	500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
	504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

const (
	// maxCopiedBody is the largest body, in bytes, that is appended to its header: one copy is cheaper than a vectored write.
	maxCopiedBody = 16 << 10
	// maxWriteBuffer is the largest buffer, in bytes, that is kept for the next message.
	maxWriteBuffer = 4 * maxCopiedBody
)

// writeMessage writes a header block and a body, and returns the number of bytes written. The header buffer is reused for
// the next message unless it has grown beyond maxWriteBuffer.
func writeMessage(conn net.Conn, head *[]byte, body []byte) (int64, error) {
	if len(body) <= maxCopiedBody {
		*head = append(*head, body...)
		n, err := conn.Write(*head)
		if cap(*head) > maxWriteBuffer {
			*head = nil
		}
		return int64(n), err
	}
	parts := net.Buffers{*head, body}
	return parts.WriteTo(conn)
}
