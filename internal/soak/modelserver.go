package soak

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"hollymast/internal/platformtest"
)

// Codes of responses, and of the frames that platformtest has no names for.
const (
	cancelCode  = 66
	unloadCode  = 71
	okCode      = 97
	fullCode    = 100
	expiredCode = 102
)

// modelServer is a fake model server. It executes requests on a few cores, loads functions on demand, has reduced capacity in slow
// start, and collapses if it gets too many requests then. Each restart begins a new incarnation at the same address.
type modelServer struct {
	run     *run
	uid     string
	zone    string
	cell    int
	speed   float64
	address string

	mu             sync.Mutex
	startedAt      time.Time // of this incarnation; zero: started before the run, thus not in slow start
	up             bool
	listener       net.Listener
	conns          map[net.Conn]*serverLink
	functions      map[uint64]*loadedFunction
	running        int
	queue          []*execution
	recentArrivals []arrival // during slow start: arrivals within the overload window
	announcedAt    time.Time // when this incarnation was announced as ready; zero: not yet
	drainDeadline  time.Time // of an announced drain: nothing new may arrive later, grace period included; zero: not draining
	hung           bool
	withheld       []func()
}

// serverLink is a connection to a model server.
type serverLink struct {
	conn       net.Conn
	write      sync.Mutex
	executions map[uint64]*execution // guarded by modelServer.mu
}

// arrival is an attempt that arrived during slow start.
type arrival struct {
	at     time.Time
	work   time.Duration
	router int
}

// listen starts an incarnation at the server's address. A zero startedAt means that it is not in slow start.
func (s *modelServer) listen(startedAt time.Time) error {
	var l net.Listener
	var err error
	for range 50 { // connections of the previous incarnation may still block the address
		if l, err = net.Listen("tcp", s.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address, s.listener, s.up, s.startedAt, s.announcedAt = l.Addr().String(), l, true, startedAt, time.Time{}
	s.conns, s.functions = map[net.Conn]*serverLink{}, map[uint64]*loadedFunction{}
	s.queue, s.recentArrivals, s.running, s.hung, s.withheld, s.drainDeadline = nil, nil, 0, false, nil, time.Time{}
	s.mu.Unlock()
	s.run.goroutines.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.run.goroutines.Go(func() { s.serve(conn) })
		}
	})
	return nil
}

// stop ends the incarnation abruptly: its connections are reset.
func (s *modelServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopLocked()
}

// stopLocked is stop for callers that hold mu.
func (s *modelServer) stopLocked() {
	if !s.up {
		return
	}
	s.up = false
	s.listener.Close()
	s.resetLocked()
	for _, exec := range s.queue {
		exec.cancelled = true
	}
}

// resetConns resets all connections and cancels the executions that arrived on them.
func (s *modelServer) resetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetLocked()
}

// resetLocked is resetConns for callers that hold mu.
func (s *modelServer) resetLocked() {
	for conn, link := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
		for _, exec := range link.executions {
			exec.cancelled = true
		}
	}
}

// serve handles the frames of a connection until it closes.
func (s *modelServer) serve(conn net.Conn) {
	link := &serverLink{conn: conn, executions: map[uint64]*execution{}}
	defer conn.Close()
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.conns[conn] = link
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
		for _, exec := range link.executions {
			exec.cancelled = true
		}
	}()
	in := bufio.NewReader(conn)
	for {
		if !s.waitForFrame(link, in) {
			return
		}
		at := time.Now()
		frame, err := platformtest.ReadFrame(in)
		if err != nil {
			return
		}
		s.handle(link, frame, at)
	}
}

// waitForFrame waits for the first byte of a frame. It returns false if the connection has closed or reached the idle timeout.
func (s *modelServer) waitForFrame(link *serverLink, in *bufio.Reader) bool {
	for {
		link.conn.SetReadDeadline(time.Now().Add(s.run.scenario.ServerIdleTimeout))
		_, err := in.Peek(1)
		if err == nil {
			link.conn.SetReadDeadline(time.Time{})
			return true
		}
		s.mu.Lock()
		open := len(link.executions)
		s.mu.Unlock()
		if !errors.Is(err, os.ErrDeadlineExceeded) || open == 0 {
			return false
		}
	}
}

// handle handles a frame; at is when its first byte arrived.
func (s *modelServer) handle(link *serverLink, frame platformtest.Frame, at time.Time) {
	switch frame.Code {
	case platformtest.AttemptCode:
		s.checkDrain(at, "a request")
		request, attempt := s.run.ledger.recordAttempt(frame.ID, at, s.uid)
		if request == nil {
			return
		}
		s.checkSlowStart(at, request)
		s.accept(&execution{link: link, id: frame.ID, body: frame.Body, request: request, attempt: attempt})
	case platformtest.LoadCode:
		s.checkDrain(at, "a load command")
		s.loadOnCommand(link, frame)
	case cancelCode:
		s.mu.Lock()
		defer s.mu.Unlock()
		if exec := link.executions[frame.ID]; exec != nil && !exec.started {
			exec.cancelled = true
			delete(link.executions, frame.ID)
		}
	case unloadCode:
		s.mu.Lock()
		defer s.mu.Unlock()
		if f := s.functions[frame.ID]; f != nil && !f.loading && f.active == 0 {
			delete(s.functions, frame.ID)
		}
	}
}

// hang starts withholding responses, or stops and sends those withheld.
func (s *modelServer) hang(hung bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hung = hung
	if !hung {
		for _, send := range s.withheld {
			s.run.goroutines.Go(send)
		}
		s.withheld = nil
	}
}

// loadOnCommand executes a load command.
func (s *modelServer) loadOnCommand(link *serverLink, frame platformtest.Frame) {
	var function uint64
	replicas := 1
	for field := range strings.SplitSeq(frame.Fields, ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "thing":
			function, _ = strconv.ParseUint(value, 16, 64)
		case "pods":
			replicas, _ = strconv.Atoi(value)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.run.recordLoadCommand()
	if s.functions[function] == nil && replicas > 0 {
		s.startLoad(function, nil)
	}
	response := platformtest.AnswerFrame(okCode, frame.ID, fmt.Sprintf("pods=%d", replicas), nil)
	time.AfterFunc(s.run.loadTime(function), func() { s.run.deliverResponse(link, response, false) })
}

// send writes a frame and ignores errors.
func (link *serverLink) send(frame []byte) {
	link.write.Lock()
	defer link.write.Unlock()
	link.conn.SetWriteDeadline(time.Now().Add(time.Second))
	link.conn.Write(frame)
}
