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

// Codes of answers, and of the frames that platformtest doesn't name.
const (
	cancelCode = 66
	unloadCode = 71
	okCode     = 97
	fullCode   = 100
	overCode   = 102
)

// modelServer is a model server: it executes requests on a few cores, loads functions on demand, is slow at first, and falls if
// it is sent too much then. It has several incarnations, one after the other, at one address.
type modelServer struct {
	run     *run
	uid     string
	zone    string
	cell    int
	speed   float64
	address string

	mu        sync.Mutex
	startedAt time.Time // of this incarnation; zero: long ago
	up        bool
	listener  net.Listener
	conns     map[net.Conn]*serverLink
	functions map[uint64]*loadedFunction
	running   int
	queue     []*job
	recent    []arrival // within the overload window, in slow start
	told      time.Time // when this incarnation was announced; zero: it was not
	closedFor time.Time // from when on nothing new may come: the announced drain and the grace; zero: it doesn't drain
	hung      bool
	withheld  []func()
}

// serverLink is a connection to a model server.
type serverLink struct {
	conn  net.Conn
	write sync.Mutex
	jobs  map[uint64]*job // guarded by modelServer.mu
}

// arrival is an attempt that came in slow start.
type arrival struct {
	at     time.Time
	work   time.Duration
	router int
}

// listen starts an incarnation at the server's address; startedAt is zero for one that has long run.
func (s *modelServer) listen(startedAt time.Time) error {
	var l net.Listener
	var err error
	for range 50 { // the predecessor's connections may still hold the address
		if l, err = net.Listen("tcp", s.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address, s.listener, s.up, s.startedAt, s.told = l.Addr().String(), l, true, startedAt, time.Time{}
	s.conns, s.functions = map[net.Conn]*serverLink{}, map[uint64]*loadedFunction{}
	s.queue, s.recent, s.running, s.hung, s.withheld, s.closedFor = nil, nil, 0, false, nil, time.Time{}
	s.mu.Unlock()
	s.run.goes.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.run.goes.Go(func() { s.serve(conn) })
		}
	})
	return nil
}

// stop ends an incarnation without a word: connections are reset.
func (s *modelServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopLocked()
}

func (s *modelServer) stopLocked() {
	if !s.up {
		return
	}
	s.up = false
	s.listener.Close()
	s.resetLocked()
	for _, j := range s.queue {
		j.over = true
	}
}

// resetConns resets all connections.
func (s *modelServer) resetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetLocked()
}

func (s *modelServer) resetLocked() {
	for conn, link := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
		for _, j := range link.jobs {
			j.over = true
		}
	}
}

// serve reads the frames of a connection.
func (s *modelServer) serve(conn net.Conn) {
	link := &serverLink{conn: conn, jobs: map[uint64]*job{}}
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
		for _, j := range link.jobs {
			j.over = true
		}
	}()
	in := bufio.NewReader(conn)
	for {
		if !s.awaitFrame(link, in) {
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

// awaitFrame waits for the first byte of a frame; false: the connection has ended, or was idle for too long.
func (s *modelServer) awaitFrame(link *serverLink, in *bufio.Reader) bool {
	for {
		link.conn.SetReadDeadline(time.Now().Add(s.run.scenario.ServerIdleTimeout))
		_, err := in.Peek(1)
		if err == nil {
			link.conn.SetReadDeadline(time.Time{})
			return true
		}
		s.mu.Lock()
		open := len(link.jobs)
		s.mu.Unlock()
		if !errors.Is(err, os.ErrDeadlineExceeded) || open == 0 {
			return false
		}
	}
}

// handle handles a frame whose first byte came at a time.
func (s *modelServer) handle(link *serverLink, frame platformtest.Frame, at time.Time) {
	switch frame.Code {
	case platformtest.AttemptCode:
		s.judgeDrain(at, "a request")
		request, attempt := s.run.ledger.noteAttempt(frame.ID, at, s.uid)
		if request == nil {
			return
		}
		s.judgeSlowStart(at, request)
		s.begin(&job{link: link, id: frame.ID, body: frame.Body, request: request, attempt: attempt})
	case platformtest.LoadCode:
		s.judgeDrain(at, "a load command")
		s.loadOnCommand(link, frame)
	case cancelCode:
		s.mu.Lock()
		defer s.mu.Unlock()
		if j := link.jobs[frame.ID]; j != nil && !j.started {
			j.over = true
			delete(link.jobs, frame.ID)
		}
	case unloadCode:
		s.mu.Lock()
		defer s.mu.Unlock()
		if f := s.functions[frame.ID]; f != nil && !f.loading && f.open == 0 {
			delete(s.functions, frame.ID)
		}
	}
}

// hang keeps answers back, or writes those that were kept.
func (s *modelServer) hang(hung bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hung = hung
	if !hung {
		for _, send := range s.withheld {
			s.run.goes.Go(send)
		}
		s.withheld = nil
	}
}

// loadOnCommand carries out a load command.
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
	s.run.noteLoadCommand()
	if s.functions[function] == nil && replicas > 0 {
		s.startLoad(function, nil)
	}
	answer := platformtest.AnswerFrame(okCode, frame.ID, fmt.Sprintf("pods=%d", replicas), nil)
	time.AfterFunc(s.run.loadTime(function), func() { s.run.deliver(link, answer, false) })
}

// send writes a frame to the connection.
func (link *serverLink) send(frame []byte) {
	link.write.Lock()
	defer link.write.Unlock()
	link.conn.SetWriteDeadline(time.Now().Add(time.Second))
	link.conn.Write(frame)
}
