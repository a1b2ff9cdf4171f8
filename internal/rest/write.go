package rest

import (
	"net"
	"strconv"
)

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

// write sends a header block and a body in one write where that costs little.
func writeMessage(conn net.Conn, head *[]byte, body []byte, whole bool) (int64, error) {
	const small = 16 << 10 // to copy is cheaper than a vectored write
	if whole || len(body) <= small {
		if !whole {
			*head = append(*head, body...)
		}
		n, err := conn.Write(*head)
		if cap(*head) > 4*small {
			*head = nil
		}
		return int64(n), err
	}
	parts := net.Buffers{*head, body}
	return parts.WriteTo(conn)
}
