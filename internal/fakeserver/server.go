package fakeserver

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"hollymast/internal/invariant"
	"hollymast/internal/modelserver"
)

// Server is one model server on a loopback socket; Stop and Start make it crash and come back empty.
type Server struct {
	config Config
	log    *invariant.Log

	mu        sync.Mutex
	model     *modelserver.Server
	listener  net.Listener
	address   string
	end       context.CancelFunc // of the context that each incarnation's goroutines run under
	conns     map[net.Conn]bool
	startedAt time.Time
	wg        sync.WaitGroup // the goroutines that accept and serve connections
}

// New returns a server that is not started. Its first start chooses its address, later ones keep it.
func New(config Config, store *Store, log *invariant.Log) *Server {
	s := &Server{config: config, log: log}
	clock := lockedClock{time.Now(), &s.mu}
	s.model = modelserver.New(config.ModelConfig(), clock, source{store, clock}, log.Add)
	return s
}

// Start listens. Its error is that of the listener.
func (s *Server) Start(mode StartMode) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := net.Listen("tcp", cmp.Or(s.address, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	s.listener, s.address = listener, listener.Addr().String()
	incarnation, end := context.WithCancel(context.Background())
	s.end = end
	s.conns, s.startedAt = map[net.Conn]bool{}, time.Now()
	s.model.Start(mode)
	s.wg.Go(func() { s.acceptAll(incarnation, listener) })
	return nil
}

// acceptAll accepts connections until the listener is closed or the incarnation ends.
func (s *Server) acceptAll(incarnation context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !s.track(incarnation, conn) {
			conn.Close()
			return
		}
		s.wg.Go(func() { s.serveConn(incarnation, conn) })
	}
}

// track notes a connection to break when the server is killed; false where it has been already.
func (s *Server) track(incarnation context.Context, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation.Err() != nil {
		return false
	}
	s.conns[conn] = true
	return true
}

// Stop kills the server: connections break, replicas and idempotency keys are gone. It waits for all of its goroutines.
func (s *Server) Stop() {
	s.kill()
	s.wg.Wait()
}

func (s *Server) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end == nil {
		return
	}
	s.end()
	s.model.Kill()
	s.listener.Close()
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0) // as a process that crashed: a reset, not an orderly end
		}
		conn.Close()
	}
}

// Address is where it listens, or did.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// StartedAt returns when it last started, and how.
func (s *Server) StartedAt() (at time.Time, mode StartMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, mode = s.model.StartedAt()
	return s.startedAt, mode
}

// SetFaults has it fail in these ways from now on, until they are set again or it restarts.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.SetFaults(f)
}
