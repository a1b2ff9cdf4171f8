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
	missCode   = 99
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

// job is an attempt at a model server.
type job struct {
	link    *serverLink
	id      uint64
	body    []byte
	request *requestRecord
	attempt int
	remark  string
	depth   int
	started bool
	over    bool // cancelled, or its server has ended
}

// loadedFunction is a function that is loaded or being loaded.
type loadedFunction struct {
	loading bool
	waiting []*job
	open    int
	usedAt  time.Time
}

// arrival is an attempt that came in slow start.
type arrival struct {
	at     time.Time
	work   time.Duration
	router int
}

// serverQueue is how many requests a server queues for each core.
const serverQueue = 8

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
		link.conn.SetReadDeadline(time.Now().Add(s.run.scenario.ServerIdle))
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

// judgeDrain judges whether anything new may come.
func (s *modelServer) judgeDrain(at time.Time, what string) {
	s.mu.Lock()
	closedFor := s.closedFor
	s.mu.Unlock()
	if tolerance := slack + s.run.ledger.lag.before(at); !closedFor.IsZero() && at.After(closedFor.Add(tolerance)) {
		s.run.ledger.report(at, RuleDrain, "%s got %s %v after the grace", s.uid, what, at.Sub(closedFor))
	}
}

// judgeSlowStart adds an attempt to the window of a server in slow start. If it is more than the server bears, the server
// falls; that breaks the rule if over two thirds of the window came from routers that had been told of the start.
func (s *modelServer) judgeSlowStart(at time.Time, request *requestRecord) {
	scenario := s.run.scenario
	s.mu.Lock()
	defer s.mu.Unlock()
	age := at.Sub(s.startedAt)
	if !s.up || s.startedAt.IsZero() || age >= scenario.SlowStart {
		return
	}
	for len(s.recent) > 0 && s.recent[0].at.Before(at.Add(-scenario.OverloadWindow)) {
		s.recent = s.recent[1:]
	}
	s.recent = append(s.recent, arrival{at, request.work, request.router})
	work, told, byRouter := 0.0, 0.0, map[int]int{}
	for _, a := range s.recent {
		units := float64(a.work) / float64(scenario.Mean)
		work += units
		byRouter[a.router]++
		if !s.told.IsZero() && a.at.After(s.told) {
			told += units
		}
	}
	budget := scenario.startBudget(s.speed, age)
	if work <= bearable(budget) {
		return
	}
	s.run.falls.Add(1)
	if told > work*2/3 {
		s.run.ledger.report(at, RuleSlowStart,
			"%s fell at an age of %.2f s, %.3f s after its announcement: %d requests, %.1f of mean work, in %v; N is %.1f, it bears %.1f; by router %v",
			s.uid, age.Seconds(), at.Sub(s.told).Seconds(), len(s.recent), work, scenario.OverloadWindow, budget, bearable(budget), byRouter)
	}
	s.stopLocked()
	s.run.goes.Go(func() { s.run.returnFallen(s) })
}

// begin takes an attempt: its function is loaded first if need be.
func (s *modelServer) begin(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	if !time.Now().Before(j.request.deadline) {
		if !s.run.scenario.DropsExpired {
			s.answerLocked(j, overCode, "")
		}
		return
	}
	f := s.functions[j.request.function]
	if f != nil {
		j.depth = f.open
		f.usedAt = time.Now()
	}
	j.link.jobs[j.id] = j
	switch {
	case f == nil:
		j.remark = "booted"
		s.startLoad(j.request.function, j)
	case f.loading:
		j.remark = "rode"
		f.open++
		f.waiting = append(f.waiting, j)
	default:
		j.remark = "resident"
		f.open++
		s.enqueue(j)
	}
}

// startLoad loads a function, for an attempt unless that is nil. The lock is held.
func (s *modelServer) startLoad(function uint64, j *job) {
	f := &loadedFunction{loading: true, usedAt: time.Now()}
	if j != nil {
		f.open, f.waiting = 1, []*job{j}
	}
	s.evict()
	s.functions[function] = f
	listener := s.listener
	takes := s.run.loadTime(function)
	time.AfterFunc(takes, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.listener != listener || !s.up { // another incarnation
			return
		}
		f.loading = false
		for _, waiting := range f.waiting {
			s.enqueue(waiting)
		}
		f.waiting = nil
	})
}

// evict makes room for one more function. The lock is held.
func (s *modelServer) evict() {
	if len(s.functions) < s.run.scenario.Capacity {
		return
	}
	var oldest uint64
	var found *loadedFunction
	for id, f := range s.functions {
		if !f.loading && f.open == 0 && (found == nil || f.usedAt.Before(found.usedAt)) {
			oldest, found = id, f
		}
	}
	if found != nil {
		delete(s.functions, oldest)
	}
}

// enqueue queues an attempt whose function is loaded. The lock is held.
func (s *modelServer) enqueue(j *job) {
	if j.over {
		s.release(j)
		return
	}
	if len(s.queue) >= serverQueue*s.run.scenario.Cores {
		s.release(j)
		s.answerLocked(j, fullCode, "")
		return
	}
	s.queue = append(s.queue, j)
	s.startNext()
}

// release ends an attempt's use of its function. The lock is held.
func (s *modelServer) release(j *job) {
	if f := s.functions[j.request.function]; f != nil {
		f.open = max(0, f.open-1)
	}
}

// startNext starts queued attempts while cores are free. The lock is held.
func (s *modelServer) startNext() {
	scenario := s.run.scenario
	for s.running < scenario.Cores && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.over {
			s.release(j)
			continue
		}
		j.started = true
		s.running++
		capacity := 1.0
		if !s.startedAt.IsZero() {
			capacity = min(1, scenario.SlowStartFrom+(1-scenario.SlowStartFrom)*float64(time.Since(s.startedAt))/float64(scenario.SlowStart))
		}
		takes := time.Duration(float64(j.request.work) / s.speed / capacity)
		listener := s.listener
		time.AfterFunc(takes, func() { s.finish(j, listener) })
	}
}

// finish answers an attempt that was executed by an incarnation.
func (s *modelServer) finish(j *job, listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != listener || !s.up {
		return
	}
	s.running--
	s.release(j)
	s.answerLocked(j, okCode, j.remark)
	s.startNext()
}

// answerLocked answers an attempt. The lock is held.
func (s *modelServer) answerLocked(j *job, code byte, remark string) {
	delete(j.link.jobs, j.id)
	if j.over {
		return
	}
	if code == missCode || code == fullCode || code == overCode {
		s.run.ledger.noteNotRun(j.request, j.attempt)
	}
	var fields []string
	if remark != "" {
		fields = append(fields, "remark="+remark)
	}
	if j.depth > 0 {
		fields = append(fields, "depth="+strconv.Itoa(j.depth))
	}
	frame := platformtest.AnswerFrame(code, j.id, strings.Join(fields, ","), j.body)
	send := func() { s.run.deliver(j.link, frame, code == okCode) }
	if s.hung {
		s.withheld = append(s.withheld, send)
		return
	}
	s.run.goes.Go(send)
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
	s.run.noteLoadCommand(function)
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

// answerFault is what happens to an answer while answers are lost.
type answerFault uint8

const (
	answerLost answerFault = iota
	answerSpoilt
	answerTwice
	answerLate
	answerReset
	answerFaults // their number
)

// deliver writes an answer, or what a fault makes of it.
func (r *run) deliver(link *serverLink, frame []byte, mayFail bool) {
	const faultyShare = 0.05
	if !mayFail || !r.losingAnswers.Load() || r.chance() >= faultyShare {
		link.send(frame)
		return
	}
	switch answerFault(r.chance() * float64(answerFaults)) {
	case answerSpoilt:
		frame[len(frame)-1] ^= 0xff
		link.send(frame)
	case answerTwice:
		link.send(frame)
		const apart = 20 * time.Millisecond // at most
		time.Sleep(time.Duration(r.chance() * float64(apart)))
		link.send(frame)
	case answerLate:
		const late = 3 * time.Second
		time.AfterFunc(late, func() { link.send(frame) })
	case answerReset:
		if tcp, ok := link.conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		link.conn.Close()
	}
}
