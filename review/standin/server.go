package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// modelServer is a model server: it runs so many requests at a time, keeps a queue, and loads a function that it lacks
// while the requests for it wait.
type modelServer struct {
	name     string
	listener net.Listener
	kind     string
	slots    int                  // requests that run at the same time
	queueMax int                  // requests that wait for a slot at most
	work     time.Duration        // of one request
	workNow  func() time.Duration // if it changes
	load     time.Duration        // of a load
	knows    func(function string) bool
	onFrame  func(f frame, at time.Time) // called for each frame that came whole

	mu      sync.Mutex
	loaded  map[string]chan struct{} // closed once loaded
	running chan struct{}
	conns   map[net.Conn]struct{}
	down    bool
	queued  atomic.Int32
	ran     map[uint64]int // how often each id ran
}

func newModelServer(name string, slots int, work, load time.Duration) *modelServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	s := &modelServer{name: name, listener: l, kind: "gen2", slots: slots, queueMax: 16 * slots, work: work, load: load,
		loaded: map[string]chan struct{}{}, running: make(chan struct{}, slots), ran: map[uint64]int{},
		conns: map[net.Conn]struct{}{}, knows: func(string) bool { return true }, onFrame: func(frame, time.Time) {}}
	atEnd(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// target is the server's entry in an event of the notice board.
func (s *modelServer) target(state string, bootMS int64) object {
	return object{"uid": s.name, "endpoint": s.listener.Addr().String(), "az": "kent", "model": s.kind, "pod_group": 1, "state": state,
		"capacity_hint": 4, "boot_ms": bootMS}
}

// isLoaded returns a channel that is closed once the function is loaded, and the note for this request.
func (s *modelServer) isLoaded(function string) (loaded chan struct{}, note string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ch := s.loaded[function]; ch != nil {
		select {
		case <-ch:
			return ch, "resident"
		default:
			return ch, "rode"
		}
	}
	ch := make(chan struct{})
	s.loaded[function] = ch
	time.AfterFunc(s.load, func() { close(ch) })
	return ch, "booted"
}

// crash ends the server: its connections are reset, and no new one is accepted. Only the play of f93d6eb needs it, see the
// report.
func (s *modelServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	s.listener.Close()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (s *modelServer) serve(c net.Conn) {
	defer c.Close()
	s.mu.Lock()
	s.conns[c] = struct{}{}
	down := s.down
	s.mu.Unlock()
	if down {
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	var writeMu sync.Mutex
	answer := func(b []byte) {
		writeMu.Lock()
		defer writeMu.Unlock()
		c.Write(b)
	}
	var mu sync.Mutex
	given := map[uint64]chan struct{}{} // closed when the request is given up
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, ch := range given {
			close(ch)
		}
	}()
	in := bufio.NewReader(c)
	for {
		f, err := readFrame(in)
		if err != nil {
			return
		}
		at := time.Now()
		s.onFrame(f, at)
		switch f.code {
		case 65:
			if !s.knows(f.fields["thing"]) {
				answer(answerFrame(101, f.id, "", nil))
				continue
			}
			if int(s.queued.Add(1)) > s.queueMax+s.slots {
				s.queued.Add(-1)
				answer(answerFrame(100, f.id, "", nil))
				continue
			}
			giveUp := make(chan struct{})
			mu.Lock()
			given[f.id] = giveUp
			mu.Unlock()
			go func() {
				defer s.queued.Add(-1)
				done := func() bool {
					mu.Lock()
					defer mu.Unlock()
					open := given[f.id] == giveUp
					if open {
						delete(given, f.id)
					}
					return open
				}
				loaded, note := s.isLoaded(f.fields["thing"])
				select {
				case <-loaded:
				case <-giveUp:
					return
				}
				select {
				case s.running <- struct{}{}:
				case <-giveUp:
					return
				}
				s.mu.Lock()
				s.ran[f.id]++
				s.mu.Unlock()
				if s.workNow != nil {
					time.Sleep(s.workNow())
				} else {
					time.Sleep(s.work)
				}
				<-s.running
				if done() {
					answer(answerFrame(97, f.id, "remark="+note, f.body))
				}
			}()
		case 66:
			mu.Lock()
			if ch := given[f.id]; ch != nil {
				close(ch)
				delete(given, f.id)
			}
			mu.Unlock()
		case 69:
			go func() {
				loaded, _ := s.isLoaded(f.fields["thing"])
				<-loaded
				answer(answerFrame(97, f.id, fmt.Sprintf("pods=%s", f.fields["pods"]), nil))
			}()
		case 67:
			answer(answerFrame(103, f.id, "", nil))
		case 68:
			answer(answerFrame(104, f.id, "report=util:0.5;x1:0", nil))
		}
	}
}
