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

// Server is a model server on a loopback socket. Stop makes it crash; Start brings it back with no functions loaded.
type Server struct {
	config Config
	log    *invariant.Log

	mu         sync.Mutex
	model      *modelserver.Server
	listener   net.Listener
	address    string
	cancel     context.CancelFunc // ends the current incarnation: cancels the context of its goroutines
	conns      map[net.Conn]bool
	startedAt  time.Time
	goroutines sync.WaitGroup // those that accept and serve connections
}

// New returns a server that is not started. The first start chooses a free port; later ones reuse the address.
func New(config Config, store *Store, log *invariant.Log) *Server {
	s := &Server{config: config, log: log}
	clock := lockedClock{time.Now(), &s.mu}
	s.model = modelserver.New(config.ModelConfig(), clock, source{store, clock}, log.Add)
	return s
}

// Start starts an incarnation of the server. It returns an error if the server cannot listen.
func (s *Server) Start(mode StartMode) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := net.Listen("tcp", cmp.Or(s.address, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	s.listener, s.address = listener, listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.conns, s.startedAt = map[net.Conn]bool{}, time.Now()
	s.model.Start(mode)
	s.goroutines.Go(func() { s.acceptAll(ctx, listener) })
	return nil
}

// acceptAll accepts connections until the listener is closed, or until ctx ends with the incarnation.
func (s *Server) acceptAll(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !s.track(ctx, conn) {
			conn.Close()
			return
		}
		s.goroutines.Go(func() { s.serveConn(ctx, conn) })
	}
}

// track registers a connection to be reset when the server is killed. It returns false if ctx, and with it the incarnation, has
// ended already.
func (s *Server) track(ctx context.Context, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	s.conns[conn] = true
	return true
}

// Stop kills the server: its connections are reset, replicas and idempotency keys are lost. It waits for the server's goroutines.
func (s *Server) Stop() {
	s.kill()
	s.goroutines.Wait()
}

func (s *Server) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel == nil {
		return
	}
	s.cancel()
	s.model.Kill()
	s.listener.Close()
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0) // reset the connection, as the crash of a process does, instead of closing it normally
		}
		conn.Close()
	}
}

// Address returns the address that the server listens on, or listened on before it was stopped.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// StartedAt returns when and how the server last started.
func (s *Server) StartedAt() (at time.Time, mode StartMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, mode = s.model.StartedAt()
	return s.startedAt, mode
}

// SetFaults replaces the injected faults. A restart clears them.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.SetFaults(f)
}
