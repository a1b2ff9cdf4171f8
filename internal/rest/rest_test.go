package rest

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// testConn returns a server's connection and the client's raw end of it.
func testConn(t testing.TB, l Limits) (*Conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	sc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); sc.Close() })
	return NewConn(sc, &l, nil), conn
}

// waitUntil polls a condition until it holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

const requestHead = "POST /x HTTP/1.1\r\nHost: a\r\n"

func TestReadRequestBodies(t *testing.T) {
	for name, c := range map[string]struct{ in, body string }{
		"length":     {requestHead + "Content-Length: 5\r\n\r\nhello", "hello"},
		"chunks":     {requestHead + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nT: 1\r\n\r\n", "hello"},
		"none":       {"GET /x HTTP/1.1\r\nHost: a\r\n\r\n", ""},
		"empty line": {"\r\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n", ""},
		"long line":  {"GET /x HTTP/1.1\r\nHost: a\r\nLong: " + strings.Repeat("v", 5000) + "\r\n\r\n", ""},
	} {
		s, conn := testConn(t, DefaultLimits)
		io.WriteString(conn, c.in)
		req, err := s.ReadRequest()
		if err != nil || string(req.Body) != c.body {
			t.Errorf("%s: got %+v, %v", name, req, err)
		}
	}
}

// What two readers could frame differently, and what is too large, is rejected.
func TestReadRequestRejects(t *testing.T) {
	small := DefaultLimits
	small.MaxHeaders, small.MaxBody, small.MaxLine = 4, 100, 200
	for name, c := range map[string]struct {
		in     string
		status int
	}{
		"length and coding":  {requestHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"two lengths":        {requestHead + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 400},
		"list of lengths":    {requestHead + "Content-Length: 5, 5\r\n\r\nhello", 400},
		"fold":               {requestHead + "A: b\r\n c\r\n\r\n", 400},
		"bare LF":            {requestHead + "A: b\n\r\n", 400},
		"bare CR":            {requestHead + "A: b\rc\r\n\r\n", 400},
		"CR in a name":       {requestHead + "A\r: b\r\n\r\n", 400},
		"NUL":                {requestHead + "A: b\x00\r\n\r\n", 400},
		"space before colon": {requestHead + "A : b\r\n\r\n", 400},
		"plus sign":          {requestHead + "Content-Length: +5\r\n\r\nhello", 400},
		"minus sign":         {requestHead + "Content-Length: -5\r\n\r\nhello", 400},
		"hex length":         {requestHead + "Content-Length: 0x5\r\n\r\nhello", 400},
		"empty length":       {requestHead + "Content-Length:\r\n\r\n", 400},
		"huge length":        {requestHead + "Content-Length: 99999999999999999999\r\n\r\n", 400},
		"chunk overflow":     {requestHead + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", 400},
		"chunk sign":         {requestHead + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", 400},
		"chunk without end":  {requestHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcX\r\n", 400},
		"framing in trailer": {requestHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 3\r\n\r\n", 400},
		"other coding":       {requestHead + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
		"coding in 1.0":      {"POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"no host":            {"GET /x HTTP/1.1\r\n\r\n", 400},
		"two hosts":          {requestHead + "Host: b\r\n\r\n", 400},
		"version":            {"GET /x HTTP/2.0\r\nHost: a\r\n\r\n", 505},
		"two spaces":         {"GET  /x HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		"many headers":       {requestHead + strings.Repeat("A: b\r\n", 9) + "\r\n", 431},
		"long header":        {requestHead + "A: " + strings.Repeat("b", 300) + "\r\n\r\n", 431},
		"long target":        {"GET /" + strings.Repeat("b", 300) + " HTTP/1.1\r\nHost: a\r\n\r\n", 414},
		"large body":         {requestHead + "Content-Length: 101\r\n\r\n", 413},
		"large chunks":       {requestHead + "Transfer-Encoding: chunked\r\n\r\n65\r\n", 413},
		"expectation":        {requestHead + "Content-Length: 1\r\nExpect: wonders\r\n\r\n", 417},
	} {
		s, conn := testConn(t, small)
		io.WriteString(conn, c.in)
		_, err := s.ReadRequest()
		var r *MessageError
		if !errors.As(err, &r) || r.Status != c.status {
			t.Errorf("%s: got %v, want %d", name, err, c.status)
		}
	}
}

func TestReadRequestTimeouts(t *testing.T) {
	l := DefaultLimits
	l.HeaderTimeout, l.BodyTimeout, l.IdleTimeout = 50*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond
	for name, in := range map[string]string{"header": "POST /x HT", "body": requestHead + "Content-Length: 5\r\n\r\nhe"} {
		s, conn := testConn(t, l)
		io.WriteString(conn, in)
		_, err := s.ReadRequest()
		var r *MessageError
		if !errors.As(err, &r) || r.Status != 408 {
			t.Errorf("slow %s: got %v", name, err)
		}
	}
	s, _ := testConn(t, l)
	if _, err := s.ReadRequest(); !errors.Is(err, ErrIdle) {
		t.Errorf("idle: got %v", err)
	}
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	s, conn := testConn(t, DefaultLimits)
	io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\nHEAD /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	r := bufio.NewReader(conn)
	for _, want := range []string{"/1", "/2", "/3"} {
		req, err := s.ReadRequest()
		if err != nil || req.Target != want {
			t.Fatalf("got %+v, %v", req, err)
		}
		_, stop := s.WatchClose()
		stop()
		if err := s.WriteResponse(&Response{Status: 200, Body: []byte(want), ChunkSize: len(want) % 2}); err != nil {
			t.Fatal(err)
		}
		resp, err := readResponse(r, req.Method, &DefaultLimits)
		if err != nil || req.Method != "HEAD" && string(resp.Body) != want || req.Method == "HEAD" && resp.Header.Get("Content-Length") != "2" {
			t.Errorf("%s: got %+v, %v", want, resp, err)
		}
	}
}

func TestContinueIsSentBeforeBody(t *testing.T) {
	s, conn := testConn(t, DefaultLimits)
	io.WriteString(conn, requestHead+"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	got := make(chan string, 1)
	go func() {
		b := make([]byte, 25)
		io.ReadFull(conn, b)
		got <- string(b)
		io.WriteString(conn, "ok")
	}()
	req, err := s.ReadRequest()
	if text := <-got; err != nil || text != "HTTP/1.1 100 Continue\r\n\r\n" || string(req.Body) != "ok" {
		t.Errorf("got %q, %+v, %v", text, req, err)
	}
}

func TestWatchClose(t *testing.T) {
	s, conn := testConn(t, DefaultLimits)
	io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := s.ReadRequest(); err != nil {
		t.Fatal(err)
	}
	if s.PeerClosed() {
		t.Error("closed before the client has closed it")
	}
	closed, stop := s.WatchClose()
	defer stop()
	conn.Close()
	select {
	case err := <-closed:
		if err != io.EOF || !s.PeerClosed() {
			t.Errorf("got %v, closed %t", err, s.PeerClosed())
		}
	case <-time.After(5 * time.Second):
		t.Error("not seen")
	}
}

func TestReserveBoundsBodies(t *testing.T) {
	s, conn := testConn(t, DefaultLimits)
	s.reserve = func(n int) bool { return n < 3 }
	io.WriteString(conn, requestHead+"Content-Length: 5\r\n\r\nhello")
	_, err := s.ReadRequest()
	var r *MessageError
	if !errors.As(err, &r) || r.Status != 503 {
		t.Errorf("got %v", err)
	}
}

// testClient returns a client and the server's raw end of its connection.
func testClient(t *testing.T) (*Client, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := Dial(context.Background(), ln.Addr().String(), &DefaultLimits)
	if err != nil {
		t.Fatal(err)
	}
	sc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); sc.Close() })
	return c, sc.(*net.TCPConn)
}

func testRequest() *Request {
	return &Request{Method: "POST", Target: "/x", Header: Header{"Host": {"a"}}, Body: []byte("hello")}
}

func testDeadline() time.Time { return time.Now().Add(5 * time.Second) }

// Whether a request may be repeated depends on how far its exchange had got.
func TestDoReportsProgress(t *testing.T) {
	c, s := testClient(t)
	s.SetLinger(0)
	s.Close()
	waitUntil(t, "the close is seen", c.Stale)
	if _, progress, err := c.Do(testRequest(), testDeadline()); err == nil || progress != NothingWritten {
		t.Errorf("broken before: got %d, %v", progress, err)
	}

	c, s = testClient(t)
	req := testRequest()
	req.Body = bytes.Repeat([]byte("x"), 16<<20) // more than the sockets hold
	go func(s *net.TCPConn) {
		io.ReadFull(s, make([]byte, 1000))
		s.SetLinger(0)
		s.Close()
	}(s)
	if _, progress, err := c.Do(req, testDeadline()); err == nil || progress != PartlyWritten {
		t.Errorf("broken while writing: got %d, %v", progress, err)
	}

	c, s = testClient(t)
	go func(s *net.TCPConn) {
		s.Read(make([]byte, 4096))
		s.Close()
	}(s)
	if _, progress, err := c.Do(testRequest(), testDeadline()); err == nil || progress != FullyWritten {
		t.Errorf("broken after: got %d, %v", progress, err)
	}

	c, s = testClient(t)
	go func(s *net.TCPConn) {
		s.Read(make([]byte, 4096))
		io.WriteString(s, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
		s.Close()
	}(s)
	if _, progress, err := c.Do(testRequest(), testDeadline()); err == nil || progress != ResponseStarted {
		t.Errorf("broken in the answer: got %d, %v", progress, err)
	}
}

func TestDoTimeoutAndAbort(t *testing.T) {
	c, _ := testClient(t)
	if _, progress, err := c.Do(testRequest(), time.Now().Add(30*time.Millisecond)); !errors.Is(err, ErrTimeout) || progress != FullyWritten {
		t.Errorf("got %d, %v", progress, err)
	}
	c, _ = testClient(t)
	time.AfterFunc(30*time.Millisecond, c.Abort)
	if _, _, err := c.Do(testRequest(), testDeadline()); !errors.Is(err, ErrAborted) {
		t.Errorf("got %v", err)
	}
	if _, progress, err := c.Do(testRequest(), testDeadline()); !errors.Is(err, ErrAborted) || progress != NothingWritten {
		t.Errorf("after it: got %d, %v", progress, err)
	}
}

func TestStale(t *testing.T) {
	c, s := testClient(t)
	if c.Stale() {
		t.Error("a quiet connection is called stale")
	}
	io.WriteString(s, "x")
	waitUntil(t, "bytes without a request are seen", c.Stale)
}

func FuzzRequest(f *testing.F) {
	for _, s := range []string{requestHead + "Content-Length: 5\r\n\r\nhello", requestHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n0\r\n\r\n",
		"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", requestHead + "A : b\r\n\r\n"} {
		f.Add([]byte(s))
	}
	l := DefaultLimits
	l.MaxBody, l.MaxHeaders = 1000, 10
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(in), 64)
		req, length, err := readRequestHead(r, &l)
		if err != nil {
			return
		}
		if req.Body, err = readBody(r, length, &l, nil); err != nil {
			return
		}
		// A message that was read must be the same when it is written and read again, or someone could frame it differently.
		b := appendRequest(nil, req)
		if !bytes.Contains(b, []byte("chunked")) {
			b = append(b, req.Body...)
		}
		r = bufio.NewReader(bytes.NewReader(b))
		again, length, err := readRequestHead(r, &DefaultLimits)
		if err != nil {
			if _, ok := req.Header["Host"]; !ok {
				return // HTTP/1.0 needs none, and is written as 1.1
			}
			t.Fatalf("%q: written as %q: %v", in, b, err)
		}
		if again.Body, err = readBody(r, length, &DefaultLimits, nil); err != nil || !bytes.Equal(req.Body, again.Body) || req.Target != again.Target {
			t.Fatalf("%q: written as %q: %v", in, b, err)
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nto the end"))
	l := DefaultLimits
	l.MaxBody = 1000
	f.Fuzz(func(t *testing.T, in []byte) {
		if resp, err := readResponse(bufio.NewReader(bytes.NewReader(in)), "POST", &l); err == nil && len(resp.Body) > l.MaxBody {
			t.Fatalf("%q: a body of %d bytes", in, len(resp.Body))
		}
	})
}
