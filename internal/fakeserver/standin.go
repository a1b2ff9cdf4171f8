// Package fakeserver is a pretend model server: it speaks KServe v2 over loopback sockets and fails in scripted ways. What it does
// between sockets is package serving's.
package fakeserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"hollymast/control"
	"hollymast/internal/invariant"
	"hollymast/internal/modelserver"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// Make is what a server is made like; see serving.Make.
type Config struct {
	Number            int
	MaxReplicas       int
	Lanes             int
	Cores             int
	ExecutionTime     time.Duration
	QueueLimit        int
	LoadTime          time.Duration
	MaxLoads          int
	LoadCommandsOnly  bool
	DedupWindow       time.Duration
	NoDedupPrefix     string
	KeepAlive         time.Duration
	SlowStartDuration time.Duration
	SlowStartInitial  float64
	OverloadWindow    time.Duration
	OverloadRate      float64
	Seed              uint64
	Handshake         func(nc net.Conn) (net.Conn, error) // makes connections secret; nil: in plain text
}

// Model is the same in the words of the model that runs it.
func (m Config) ModelConfig() modelserver.Config {
	return modelserver.Config{Number: m.Number, MaxReplicas: m.MaxReplicas, Lanes: m.Lanes, Cores: m.Cores, ExecutionTime: micros(m.ExecutionTime), QueueLimit: m.QueueLimit, LoadTime: micros(m.LoadTime),
		MaxLoads: m.MaxLoads, LoadCommandsOnly: m.LoadCommandsOnly, DedupWindow: micros(m.DedupWindow), NoDedupPrefix: m.NoDedupPrefix, KeepAlive: micros(m.KeepAlive), SlowStartDuration: micros(m.SlowStartDuration),
		SlowStartInitial: m.SlowStartInitial, OverloadWindow: micros(m.OverloadWindow), OverloadRate: m.OverloadRate, Seed: m.Seed}
}

func micros(d time.Duration) control.Micros { return control.Micros(d.Microseconds()) }

// clock is the real one; what falls due runs under a lock.
type clock struct {
	base time.Time
	mu   *sync.Mutex
}

// Now is the time since the clock was made.
func (c clock) Now() control.Micros { return micros(time.Since(c.base)) }

// After has f called after a span, under the lock.
func (c clock) After(d control.Micros, f func()) {
	time.AfterFunc(time.Duration(d)*time.Microsecond, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		f()
	})
}

// Store is the one source of all functions. Fetches share it.
type Store struct {
	mu sync.Mutex
	m  *modelserver.Store
}

// NewStore gives a store that serves some fetches at once.
func NewStore(fetch time.Duration, atOnce int) *Store {
	s := &Store{}
	s.m = modelserver.NewStore(clock{time.Now(), &s.mu}, micros(fetch), atOnce)
	return s
}

// Set changes its speed.
func (s *Store) Degrade(slow float64, closed bool) {
	s.mu.Lock()
	s.m.Degrade(slow, closed)
	s.mu.Unlock()
}

// source is a store as one server sees it.
type source struct {
	store *Store
	clock clock // the server's
}

// Fetch is called under the server's lock; the store's is always taken after that one.
func (s source) Fetch(done func()) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	s.store.m.Fetch(func() { s.clock.After(0, done) })
}

// Pause waits, or less where the context ends.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Faults are the ways in which a server fails just now.
type Faults = modelserver.Faults

// Server is one pretend server; Stop and Start make it die and come back empty.
type Server struct {
	m   Config
	log *invariant.Log

	mu       sync.Mutex
	model    *modelserver.Server
	listener net.Listener
	address  string
	life     context.Context
	die      context.CancelFunc
	conns    map[net.Conn]bool
	born     time.Time
	wg       sync.WaitGroup
}

// New gives a server that is not started. It keeps its address over restarts.
func New(m Config, store *Store, log *invariant.Log) *Server {
	s := &Server{m: m, log: log}
	c := clock{time.Now(), &s.mu}
	s.model = modelserver.New(m.ModelConfig(), c, source{store, c}, log.Add)
	return s
}

// Start listens; a cold server begins with the told share of its capacity.
func (s *Server) Start(mode modelserver.StartMode) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := net.Listen("tcp", cmpOr(s.address, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	s.listener, s.address = l, l.Addr().String()
	s.life, s.die = context.WithCancel(context.Background())
	s.conns, s.born = map[net.Conn]bool{}, time.Now()
	s.model.Start(mode)
	s.wg.Add(1)
	life := s.life
	go func() {
		defer s.wg.Done()
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			alive := life.Err() == nil
			if alive {
				s.conns[nc] = true
				s.wg.Add(1)
			}
			s.mu.Unlock()
			if !alive {
				nc.Close()
				return
			}
			go func() {
				defer s.wg.Done()
				s.converse(life, nc)
			}()
		}
	}()
	return nil
}

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// Stop kills the server: connections break, copies and marks are gone. It waits for all that ran.
func (s *Server) Stop() {
	s.kill()
	s.wg.Wait()
}

func (s *Server) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.die == nil {
		return
	}
	s.die()
	s.model.Kill()
	s.listener.Close()
	for nc := range s.conns {
		if t, ok := nc.(*net.TCPConn); ok {
			t.SetLinger(0) // as a dead process: a reset, not an orderly end
		}
		nc.Close()
	}
}

// Address is where it listens, or did.
func (s *Server) Address() string { return s.address }

// Born is when it last started, and whether that was cold.
func (s *Server) StartedAt() (at time.Time, cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, mode := s.model.StartedAt()
	return s.born, mode == modelserver.SlowStart
}

// Fail sets its ways of failing.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.model.SetFaults(f)
	s.mu.Unlock()
}

func (s *Server) converse(life context.Context, nc net.Conn) {
	plain := nc
	defer func() {
		s.mu.Lock()
		delete(s.conns, plain)
		s.mu.Unlock()
		plain.Close()
	}()
	if s.m.Handshake != nil {
		var err error
		if nc, err = s.m.Handshake(nc); err != nil {
			return
		}
	}
	c := rest.NewConn(nc, &rest.DefaultLimits, nil)
	for {
		q, err := c.ReadRequest()
		var distrusted *rest.PeerUntrustedError
		if errors.As(err, &distrusted) && life.Err() == nil {
			p := s.answer(503, kserve.Fault{Error: distrusted.Error()}.Body())
			p.Close = true
			c.WriteResponse(p)
		}
		if err != nil || life.Err() != nil {
			return
		}
		p := s.respond(life, q)
		if p == nil {
			return
		}
		if c.WriteResponse(p) != nil {
			return
		}
	}
}

// respond answers one request; nil breaks the connection.
func (s *Server) respond(life context.Context, q *rest.Request) *rest.Response {
	call, err := kserve.ReadTarget(q.Method, q.Target)
	if err != nil {
		return s.answer(404, kserve.Fault{Error: err.Error()}.Body())
	}
	switch call.Kind {
	case kserve.Infer:
		head := gjson.GetManyBytes(q.Body, "id", "parameters.effect")
		ask := modelserver.Request{ID: head[0].Str, Effect: head[1].Str, Router: router(q), Function: call.Model, IdempotencyKey: q.Header.Get(kserve.RepeatMark)}
		r, ok := s.await(life, func(reply func(modelserver.Response)) { s.model.Infer(ask, reply) })
		if !ok || r.Result != modelserver.Succeeded {
			return s.refused(r, ok)
		}
		return answer(200, fmt.Appendf(nil, `{"model_name":"m","id":%q,"parameters":{"found":%q},"outputs":[]}`, ask.ID, founds[r.CacheStatus]), r.LoadReport)
	case kserve.RepositoryLoad:
		n := int(gjson.GetBytes(q.Body, "parameters.copies").Int())
		r, ok := s.await(life, func(reply func(modelserver.Response)) { s.model.Load(call.Model, n, router(q), reply) })
		if !ok || r.Result != modelserver.Succeeded {
			return s.refused(r, ok)
		}
		return answer(200, kserve.LoadBody(r.Replicas), r.LoadReport)
	case kserve.RepositoryIndex:
		return s.answer(200, s.index())
	}
	return s.answer(200, []byte(`{"live":true,"ready":true}`))
}

// founds are the words for what a job met.
var founds = map[control.CacheStatus]string{control.CacheHit: "warm", control.CacheMiss: "began", control.CacheLoading: "joined"}

// await begins an exchange and waits for its end; not ok: this life is over.
func (s *Server) await(life context.Context, begin func(reply func(modelserver.Response))) (r modelserver.Response, ok bool) {
	ended := make(chan modelserver.Response, 1)
	s.mu.Lock()
	if life.Err() != nil {
		s.mu.Unlock()
		return r, false
	}
	begin(func(r modelserver.Response) { ended <- r })
	fell := !s.model.Alive()
	s.mu.Unlock()
	if fell {
		s.kill()
	}
	select {
	case r = <-ended:
		return r, true
	case <-life.Done():
		return r, false
	}
}

// refused answers an exchange that came to nothing; nil breaks the connection.
func (s *Server) refused(r modelserver.Response, ok bool) *rest.Response {
	status := 503
	switch {
	case !ok || r.Result == modelserver.ConnectionReset:
		return nil
	case r.Result == modelserver.NotLoaded:
		status = 404
	}
	return answer(status, kserve.Fault{Error: r.Reason}.Body(), r.LoadReport)
}

// index lists what stands loaded, as the model repository extension has it.
func (s *Server) index() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []kserve.Standing{}
	for _, f := range s.model.Functions() {
		state := "LOADING"
		if f.Loaded {
			state = "READY"
		}
		list = append(list, kserve.Standing{Name: f.Name, State: state})
	}
	b, _ := json.Marshal(list) // plain strings: can't fail
	return b
}

func router(q *rest.Request) int {
	via := q.Header.Get("Via")
	n, _ := strconv.Atoi(via[strings.LastIndexByte(via, '-')+1:])
	return n
}

// answer builds a response with the load report as it is now.
func (s *Server) answer(status int, body []byte) *rest.Response {
	s.mu.Lock()
	report := s.model.LoadReport()
	s.mu.Unlock()
	return answer(status, body, report)
}

func answer(status int, body []byte, r control.LoadReport) *rest.Response {
	return &rest.Response{Status: status, Header: rest.Header{"Content-Type": {"application/json"},
		kserve.LoadMetrics: {kserve.Load{Util: r.Utilization, Loads: r.PendingLoads, Pinned: r.PinnedMemory}.String()}}, Body: body}
}
