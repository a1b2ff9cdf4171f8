package platform

import (
	"bufio"
	"cmp"
	"container/list"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/binframe"
	"hollymast/internal/config"
)

// serverPool is the connections to one life of one server. The turn owns it.
type serverPool struct {
	id        control.ServerID
	address   string
	startedAt control.Micros
	conns     []*serverConn
	// firstByte is when the latest first byte of an execution or order was written, the router's time.
	firstByte peak
}

// serverConn is one connection to a server. The turn owns all but the outbox; a goroutine dials and reads.
type serverConn struct {
	p            *Router
	pool         *serverPool
	writes       writeQueue
	open         map[binframe.ID]*serverCall
	up           bool // the turn has heard that it stands
	retired      bool // takes nothing new: an answer is owed that nobody waits for, or its server is gone
	idleSince    control.Micros
	idlePlace    *list.Element // in the router's order by since
	partialWrite atomic.Bool   // a write ended within a frame
	dialing      context.Context
	cancelDial   context.CancelFunc
}

// close ends a connection at once, one that is still dialled too: its descriptor is another's then.
func (l *serverConn) close() {
	l.writes.close()
	l.cancelDial()
}

// serverCall is one execution or order on its way.
type serverCall struct {
	p              *Router
	request        *request // nil of an order
	attempt        control.AttemptID
	load           control.LoadCommand
	id             binframe.ID
	to             control.ServerID
	message        *binframe.Attempt // nil of an order
	conn           *serverConn       // nil: none was had
	chosenAt       control.Micros
	endpointsAsOf  control.Micros // as of when the list was complete that it was chosen from
	writeBefore    control.Micros // it is not written later
	deadline       control.Micros // it is not waited for longer
	clientDeadline control.Micros // its client's time is up: the server is told no more
	unread         control.Micros // since when the first byte waits for its client's reader; 0: it does not
	writing        sync.Mutex     // held from the last check to the first byte
	stage          atomic.Int32   // an attempt.Stage
	writtenWhole   atomic.Bool    // its last byte was written
	progress       attempt.Progress
	timer          *time.Timer
}

func (s *serverCall) withdraw() bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	return attempt.Step(&s.stage, attempt.Stage.Withdraw)
}

// address is where it goes; empty where no connection was to be had.
func (s *serverCall) address() string {
	if s.conn == nil {
		return ""
	}
	return s.conn.pool.address
}

// currentStage is how far it has got.
func (s *serverCall) currentStage() attempt.Stage {
	s.writing.Lock()
	defer s.writing.Unlock()
	return attempt.Stage(s.stage.Load())
}

// readerWait is how long a first byte waits for its client's reader to take in what lies in the socket: some turns of a shared core.
// Guards against a client that sends without a pause, and holds up what others sent on the same connection to a server.
const readerWait = 100 * time.Millisecond

// begin is the last check before the first byte, and writes it. That its client has left is seen here without waiting for a
// turn, and so is a list that has grown too old since the choice. What the client has sent and nobody has read yet may be that it
// leaves: its reader comes first.
func (s *serverCall) begin(write func() bool) (withdrawn bool) {
	s.writing.Lock()
	defer s.writing.Unlock()
	unread := s.request != nil && !s.request.client.tracked.upToDate(time.Now())
	wanted := s.request == nil || !s.request.abandoned.Load()
	now := s.p.now()
	if !unread {
		s.unread = 0
	} else {
		s.unread = cmp.Or(s.unread, now)
		wanted = wanted && now-s.unread < control.Micros(readerWait.Microseconds())
	}
	next, ok := attempt.Stage(s.stage.Load()).Write(wanted, now, s.writeBefore)
	if !ok {
		s.p.queue.Post(func(now control.Micros) {
			s.withdraw()
			s.p.callEnded(now, s, control.NotSent, nil)
		})
		return true
	}
	if unread {
		return false
	}
	if write() {
		s.stage.Store(int32(next))
		s.p.oldestEndpoints.record(int64(now - s.endpointsAsOf))
		if s.conn != nil {
			s.conn.pool.firstByte.record(int64(now))
		}
	}
	return false
}

// frame gives a request's frame as of now: it tells what is left of its time.
func (s *serverCall) frame() []byte {
	s.message.Timeout = s.clientDeadline - s.p.now()
	return s.message.Frame()
}

func (s *serverCall) wrote(whole bool) {
	s.writtenWhole.Store(whole)
	if !whole {
		s.conn.partialWrite.Store(true)
	}
}

// dispatch hands a sending to a connection. The frame is an order's; a request's is encoded at its first byte.
func (p *Router) dispatch(now control.Micros, s *serverCall, frame []byte) {
	var l *serverConn
	if server := p.fleet.Get(s.to); server != nil && server.State == control.Ready {
		l = p.connFor(now, s)
	}
	s.timer = time.AfterFunc(duration(max(0, s.deadline-now)), func() {
		p.queue.Post(func(now control.Micros) { p.deadlinePassed(now, s) })
	})
	if l != nil {
		s.conn = l
		l.open[s.id] = s
		if l.writes.post(s.queued(frame)) {
			return
		}
		delete(l.open, s.id)
	}
	// Never sent; told in the next turn, since this one is still asking.
	p.queue.Post(func(now control.Micros) { p.callEnded(now, s, control.NotSent, nil) })
}

func (s *serverCall) queued(frame []byte) queuedFrame {
	p := queuedFrame{data: frame, begin: s.begin, wrote: s.wrote}
	if s.message != nil {
		p.encode, p.size = s.frame, s.message.Size()
	}
	return p
}

// poolOf gives the connections to a server that is listed.
func (p *Router) poolOf(id control.ServerID) *serverPool {
	pl := p.pools[id]
	if pl == nil {
		server := p.fleet.Get(id)
		pl = &serverPool{id: id, address: server.Address, startedAt: control.Micros(server.Endpoint.StartedAt)}
		p.pools[id] = pl
	}
	return pl
}

// connFor finds a connection: one with nothing open, else a new one, else the one with the least open; of equal ones one that
// stands. One execution a connection as long as descriptors last: a spoilt answer costs all that is open on its
// connection. A job's further execution goes on another, where no second answer to the earlier one can be taken for its own.
func (p *Router) connFor(now control.Micros, s *serverCall) *serverConn {
	pl := p.poolOf(s.to)
	var best *serverConn
	for _, l := range pl.conns {
		if l.retired || l.open[s.id] != nil || len(l.open) >= p.config.maxStreams || s.alreadyUsed(l) {
			continue
		}
		if best == nil || l.preferredOver(best) {
			best = l
		}
	}
	if best != nil && len(best.open) == 0 || p.serverConnCount >= p.maxServerConns && !p.closeIdleServerConn() {
		return best
	}
	l := p.newServerConn(now, pl)
	go l.run()
	return l
}

func (p *Router) newServerConn(now control.Micros, pl *serverPool) *serverConn {
	l := &serverConn{p: p, pool: pl, open: map[binframe.ID]*serverCall{}, idleSince: now}
	l.dialing, l.cancelDial = context.WithTimeout(context.Background(), duration(p.config.connectTimeout))
	l.writes.maxQueuedBytes, l.writes.firstWrite = maxUnreadByServer, p.calls.write
	pl.conns = append(pl.conns, l)
	l.idlePlace = p.connsByIdle.PushBack(l)
	p.serverConnCount++
	return l
}

// preferredOver tells which of two connections takes a sending.
func (l *serverConn) preferredOver(other *serverConn) bool {
	switch {
	case len(l.open) != len(other.open):
		return len(l.open) < len(other.open)
	case l.up != other.up:
		return l.up
	}
	return l.idleSince > other.idleSince
}

// alreadyUsed tells whether an earlier execution of the same job was written to a connection.
func (s *serverCall) alreadyUsed(l *serverConn) bool {
	return s.request != nil && slices.ContainsFunc(s.request.attempts, func(earlier *serverCall) bool {
		return earlier.conn == l && earlier.currentStage() == attempt.Writing
	})
}

// maxUnreadByServer is how much may wait for a server to read: with the longest bodies, as many as share a connection.
const maxUnreadByServer = 2 << 20

// closeIdleServerConn closes the connection that has been idle for longest, of any server.
func (p *Router) closeIdleServerConn() bool {
	for e := p.connsByIdle.Front(); e != nil; e = e.Next() {
		if l := e.Value.(*serverConn); len(l.open) == 0 && l.up {
			p.removeConn(l)
			return true
		}
	}
	return false
}

// removeConn forgets a connection and closes it after what waits to be written.
func (p *Router) removeConn(l *serverConn) {
	l.retired = true
	for i, other := range l.pool.conns {
		if other == l {
			l.pool.conns = append(l.pool.conns[:i], l.pool.conns[i+1:]...)
			p.connsByIdle.Remove(l.idlePlace)
			p.serverConnCount--
			break
		}
	}
	if l.writes.closeWhenWritten(); !l.up && len(l.open) == 0 { // a dial that nothing waits for
		l.cancelDial()
	}
}

// retire has a connection take nothing new; it ends with the last that is open on it.
func (p *Router) retire(l *serverConn) {
	if l.retired = true; len(l.open) == 0 {
		p.removeConn(l)
	}
}

// answerTimeout is how long an answer that has begun may take: it is written in one piece.
const answerTimeout = time.Second

func (l *serverConn) run() {
	p := l.p
	broke := func(result control.Result) {
		l.close()
		p.queue.Post(func(now control.Micros) { p.connectionBroke(now, l, result) })
	}
	end := control.Failed // should a fault of our own end this: what was written may have run
	defer p.recoverPanic("reading a server")
	defer func() { broke(end) }()
	conn, err := l.dial()
	if err != nil {
		end = control.ConnectFailed
		if localFailure(err) || errors.Is(err, context.Canceled) {
			end = control.NotSent // says nothing of the server
		} else {
			p.countAnomaly("no connection to a server")
		}
		return
	}
	l.writes.connected(conn)
	p.queue.Post(func(control.Micros) { l.up = true })
	reader := &deadlineReader{conn: conn}
	in := bufio.NewReaderSize(reader, 2<<10)
	for {
		reader.setDeadline(time.Time{})
		a, err := binframe.Read(in, func() { reader.setDeadline(time.Now().Add(answerTimeout)) })
		if err != nil {
			end = control.ConnectionReset
			if why := corruptionOf(err); why != "" {
				end = control.Failed // the server answers; what it said can't be read
				p.countAnomaly("spoilt answer: " + why)
			} else if localFailure(err) {
				end = control.Failed // may have run; says nothing of the server
			}
			return
		}
		p.queue.Post(func(now control.Micros) { p.handleAnswer(now, l, a) })
	}
}

// calls are the system's calls that a connection to a server begins with; tests put others in their place.
type calls struct {
	dial  func(ctx context.Context, address string) (net.Conn, error)
	write func(fd int, b []byte) (int, error) // does not wait
}

var systemCalls = calls{
	dial: func(ctx context.Context, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	},
	write: syscall.Write,
}

// dialPause is how soon a dial is tried again that failed for a moment, doubled up to closing: such a moment may be a packet's.
const dialPause = 2 * time.Millisecond

// dial connects. What may be over in a moment is tried again for as long as a connection may take to come up; where descriptors
// are short, idle clients make room meanwhile.
func (l *serverConn) dial() (net.Conn, error) {
	var before error // why the try before failed, through no fault of the server's
	for pause := dialPause; ; pause = min(2*pause, descriptorWait) {
		conn, err := l.p.calls.dial(l.dialing, l.pool.address)
		switch {
		case err == nil:
			return conn, nil
		case localFailure(err), transient(err):
		case localFailure(before) && os.IsTimeout(err):
			return nil, before // the server had but the rest of the time
		default:
			return nil, err
		}
		before = err
		if errors.Is(err, syscall.EMFILE) {
			l.p.countAnomaly("out of descriptors for a server")
			if l.p.makeRoom(1) {
				continue
			}
		} else {
			l.p.countAnomaly("a dial failed for a moment")
		}
		select {
		case <-l.dialing.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

// localFailure tells of a fault that is this machine's, and no sign about a server.
func localFailure(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
		syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.EAGAIN}, func(one error) bool { return errors.Is(err, one) })
}

// transient tells of a fault of the way that may be over in a moment. One that lasts is a sign about the server.
func transient(err error) bool {
	return errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETDOWN) ||
		errors.Is(err, syscall.ECONNABORTED)
}

// corruptionOf tells what was wrong with an answer; empty where the connection itself ended.
func corruptionOf(err error) string {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "stopped short"
	}
	for _, known := range []error{binframe.ErrMark, binframe.ErrCode, binframe.ErrLength, binframe.ErrCheck} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return ""
}

// handleAnswer takes in an answer. One that nobody waits for, or a second one, is dropped: it harms nothing else.
func (p *Router) handleAnswer(now control.Micros, l *serverConn, a *binframe.Answer) {
	s := l.open[a.ID]
	if s == nil || a.Probe {
		return
	}
	if s.currentStage() != attempt.Writing {
		return // an answer to what was not asked yet
	}
	p.callEnded(now, s, a.Result, a)
}

// connectionBroke takes in the end of a connection: what it means to each sending follows from how far that had got.
func (p *Router) connectionBroke(now control.Micros, l *serverConn, result control.Result) {
	open := l.open
	p.removeConn(l)
	for _, s := range sortedByID(open) {
		r := result
		switch {
		case s.withdraw():
			if r != control.ConnectFailed {
				r = control.NotSent
			}
		case s.currentStage() == attempt.Withdrawn:
			r = control.NotSent
		case l.partialWrite.Load() && !s.writtenWhole.Load():
			r = control.NotSent // its frame did not come whole
		}
		p.callEnded(now, s, r, nil)
	}
}

// deadlinePassed takes in that a sending's time is up.
func (p *Router) deadlinePassed(now control.Micros, s *serverCall) {
	if s.progress.Ended {
		return
	}
	if s.withdraw() {
		p.callEnded(now, s, control.NotSent, nil)
		return
	}
	p.abandon(s)
	p.callEnded(now, s, control.TimedOut, nil)
}

// abandon tells the server that nobody waits. The answer may be on its way, or never come: its connection takes nothing
// new.
func (p *Router) abandon(s *serverCall) {
	if s.conn == nil || s.progress.Ended {
		return
	}
	if s.request != nil && p.config.Deployment.SupportsCancel {
		s.conn.writes.post(queuedFrame{data: binframe.CancelFrame(s.id)})
	}
	s.conn.retired = true
}

// callEnded takes in the end of a sending, once.
func (p *Router) callEnded(now control.Micros, s *serverCall, result control.Result, a *binframe.Answer) {
	if !s.progress.End() {
		return
	}
	s.timer.Stop()
	if l := s.conn; l != nil && l.open[s.id] == s {
		delete(l.open, s.id)
		p.connsByIdle.MoveToBack(l.idlePlace)
		if l.idleSince = now; l.retired && len(l.open) == 0 {
			p.removeConn(l)
		}
	}
	if s.progress.Cancelled && result != control.Succeeded && !result.ProvesNotRun() {
		result = control.Cancelled
	}
	p.logAttempt(now, s, result, a)
	took := now - s.chosenAt
	if s.request == nil {
		copies := 0
		if a != nil && result == control.Succeeded {
			if copies = a.Replicas; copies < 0 {
				copies = s.load.Replicas // an answer that tells no number has done what was asked
			}
		}
		p.core.HandleLoadResult(now, s.to, s.load.Function, result, took, copies)
		return
	}
	o := control.Outcome{Attempt: s.attempt, Server: s.to, Result: result, Duration: took}
	if a != nil {
		o.CacheStatus, o.Report = a.CacheStatus, p.report(a)
	}
	p.attemptEnded(now, s, o, a)
}

// report puts what an answer reports in the order that the settings name.
func (p *Router) report(a *binframe.Answer) *control.LoadReport {
	if a.Reports == nil {
		return nil
	}
	values := make([]float32, len(p.config.reportFields))
	for i, name := range p.config.reportFields {
		v, told := a.Reports[reportNames[name]]
		if !told {
			v = -1
		}
		values[i] = float32(v)
	}
	return config.Report(p.config.reportFields, values)
}

// reportNames maps what the settings name to the simulator's names, which the answers use.
var reportNames = map[string]string{"cpu_share": "util", "x0": "x0", "x1": "x1"}

// loadCommandID is an id for an order that is none of a job's on any connection.
func (p *Router) loadCommandID() binframe.ID {
	for {
		id := binframe.ID(p.random.Uint64())
		if p.requests[control.RequestID(id)] == nil {
			return id
		}
	}
}

// prune closes connections that are idle for nearly as long as servers allow, and forgets servers that are gone.
func (p *Router) prune(now control.Micros) {
	const every = 500_000 // idle times are many seconds
	if now < p.prunedAt+every {
		return
	}
	p.prunedAt = now
	for e := p.connsByIdle.Front(); e != nil; {
		l := e.Value.(*serverConn)
		if now-l.idleSince <= p.config.serverIdleTimeout*3/4 {
			break
		}
		if e = e.Next(); len(l.open) == 0 && l.up {
			p.removeConn(l)
		}
	}
	for id, pl := range p.removedPools {
		if s := p.fleet.Get(id); s != nil && s.State != control.Removed || p.pools[id] != pl {
			delete(p.removedPools, id) // it has returned
		} else if len(pl.conns) == 0 {
			delete(p.removedPools, id)
			delete(p.pools, id)
		}
	}
	p.fleet.Prune(now, func(id control.ServerID) bool { return p.pools[id] != nil })
}

// withdrawFrom takes back all that is not being written to a server that takes nothing new, and its connections with the rest.
func (p *Router) withdrawFrom(now control.Micros, pl *serverPool) {
	for _, l := range append([]*serverConn(nil), pl.conns...) {
		for _, s := range sortedByID(l.open) {
			if s.withdraw() {
				p.callEnded(now, s, control.NotSent, nil)
			}
		}
		p.retire(l)
	}
}
