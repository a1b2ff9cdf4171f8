package platformtest

import (
	"bufio"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// ReceivedFrame is one frame received by a model server.
type ReceivedFrame struct {
	Code   byte
	At     time.Time // when its first byte arrived
	Fields string
}

// ModelServer is a fake model server: it behaves as if every function were loaded and answers each attempt with the
// attempt's body.
type ModelServer struct {
	listener net.Listener
	mu       sync.Mutex
	received []ReceivedFrame
	accepted int
	held     []func()                        // functions that write the held answers
	hold     func(frame []byte) (now []byte) // returns the part of an answer that is written immediately; nil: the whole answer is
}

// NewModelServer starts a model server that stops when the test ends.
func NewModelServer(t testing.TB) *ModelServer { return NewModelServerAt(t, "127.0.0.1:0") }

// NewModelServerAt starts a model server at an address. At 0.0.0.0 it serves all addresses 127.x.y.z and so stands
// for many servers.
func NewModelServerAt(t testing.TB, address string) *ModelServer {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s := &ModelServer{listener: l}
	acceptEach(t, l, s.serve)
	return s
}

// Address returns the address that the server listens on.
func (s *ModelServer) Address() string { return s.listener.Addr().String() }

// AcceptedConnections returns the number of connections accepted so far.
func (s *ModelServer) AcceptedConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Received returns the frames received so far.
func (s *ModelServer) Received() []ReceivedFrame {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// LoadCommandCount returns the number of load commands received so far.
func (s *ModelServer) LoadCommandCount() int {
	n := 0
	for _, frame := range s.Received() {
		if frame.Code == LoadCode {
			n++
		}
	}
	return n
}

// HoldAnswers holds answers back until ReleaseAnswers.
func (s *ModelServer) HoldAnswers() { s.holdBack(func([]byte) []byte { return nil }) }

// HoldSecondHalves writes the first half of each answer and holds back the second until ReleaseAnswers.
func (s *ModelServer) HoldSecondHalves() {
	s.holdBack(func(frame []byte) []byte { return frame[:len(frame)/2] })
}

// holdBack makes hold decide which part of each further answer is written immediately; the rest is held back.
func (s *ModelServer) holdBack(hold func(frame []byte) (now []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = hold
}

// ReleaseAnswers writes everything held back, and stops holding answers.
func (s *ModelServer) ReleaseAnswers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = nil
	for _, answer := range s.held {
		answer()
	}
	s.held = nil
}

// answer writes an answer, or holds back what is to be held back.
func (s *ModelServer) answer(c net.Conn, frame []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hold != nil {
		now := s.hold(frame)
		c.Write(now)
		s.held = append(s.held, func() { c.Write(frame[len(now):]) })
		return
	}
	c.Write(frame)
}

// serve records the frames of a connection and answers attempts and load commands until the connection closes.
func (s *ModelServer) serve(c net.Conn) {
	s.mu.Lock()
	s.accepted++
	s.mu.Unlock()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := time.Now()
		f, err := ReadFrame(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.received = append(s.received, ReceivedFrame{f.Code, at, f.Fields})
		s.mu.Unlock()
		switch f.Code {
		case AttemptCode:
			s.answer(c, AnswerFrame(codeOK, f.ID, "remark=resident", f.Body))
		case LoadCode:
			replicas := "1"
			for field := range strings.SplitSeq(f.Fields, ",") {
				if value, ok := strings.CutPrefix(field, "pods="); ok {
					replicas = value
				}
			}
			s.answer(c, AnswerFrame(codeOK, f.ID, "pods="+replicas, nil))
		}
	}
}
