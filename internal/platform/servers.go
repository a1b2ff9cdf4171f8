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
	"hollymast/internal/terms"
)

// pool is the connections to one life of one server. The turn owns it.
type pool struct {
	id      control.ServerID
	address string
	born    control.Micros
	links   []*link
	// firstByte is when the latest first byte of an execution or order was written, the router's time.
	firstByte maximum
}

// link is one connection to a server. The turn owns all but the outbox; a goroutine dials and reads.
type link struct {
	p       *Platform
	pool    *pool
	box     outbox
	out     map[binframe.ID]*sending
	up      bool // the turn has heard that it stands
	retired bool // takes nothing new: an answer is owed that nobody waits for, or its server is gone
	since   control.Micros
	place   *list.Element // in the router's order by since
	partial atomic.Bool   // a write ended within a frame
	dialing context.Context
	undial  context.CancelFunc
}

// close ends a connection at once, one that is still dialled too: its descriptor is another's then.
func (l *link) close() {
	l.box.close()
	l.undial()
}

// sending is one execution or order on its way.
type sending struct {
	p        *Platform
	job      *job // nil of an order
	no       control.ExecutionID
	order    control.Order
	id       binframe.ID
	to       control.ServerID
	request  *binframe.Execution // nil of an order
	link     *link               // nil: none was had
	chosen   control.Micros
	listAsOf control.Micros // as of when the list was complete that it was chosen from
	until    control.Micros // it is not written later
	deadline control.Micros // it is not waited for longer
	ends     control.Micros // its client's time is up: the server is told no more
	unread   control.Micros // since when the first byte waits for its client's reader; 0: it does not
	writing  sync.Mutex     // held from the last check to the first byte
	stage    atomic.Int32   // an attempt.Stage
	whole    atomic.Bool    // its last byte was written
	state    attempt.Sending
	timer    *time.Timer
}

func (s *sending) withdraw() bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	return attempt.Step(&s.stage, attempt.Stage.Withdraw)
}

// address is where it goes; empty where no connection was to be had.
func (s *sending) address() string {
	if s.link == nil {
		return ""
	}
	return s.link.pool.address
}

// reached is how far it has got.
func (s *sending) reached() attempt.Stage {
	s.writing.Lock()
	defer s.writing.Unlock()
	return attempt.Stage(s.stage.Load())
}

// readerMost is how long a first byte waits for its client's reader to take in what lies in the socket: some turns of a shared core.
// Guards against a client that sends without a pause, and holds up what others sent on the same connection to a server.
const readerMost = 100 * time.Millisecond

// begin is the last check before the first byte, and writes it. That its client has left is seen here without waiting for a
// turn, and so is a list that has grown too old since the choice. What the client has sent and nobody has read yet may be that it
// leaves: its reader comes first.
func (s *sending) begin(write func() bool) (withdrawn bool) {
	s.writing.Lock()
	defer s.writing.Unlock()
	unread := s.job != nil && !s.job.client.seen.level(time.Now())
	wanted := s.job == nil || !s.job.gone.Load()
	now := s.p.now()
	if !unread {
		s.unread = 0
	} else {
		s.unread = cmp.Or(s.unread, now)
		wanted = wanted && now-s.unread < control.Micros(readerMost.Microseconds())
	}
	next, ok := attempt.Stage(s.stage.Load()).Write(wanted, now, s.until)
	if !ok {
		s.p.box.Tell(func(now control.Micros) {
			s.withdraw()
			s.p.ended(now, s, control.NeverSent, nil)
		})
		return true
	}
	if unread {
		return false
	}
	if write() {
		s.stage.Store(int32(next))
		s.p.oldestList.note(int64(now - s.listAsOf))
		if s.link != nil {
			s.link.pool.firstByte.note(int64(now))
		}
	}
	return false
}

// frame gives a request's frame as of now: it tells what is left of its time.
func (s *sending) frame() []byte {
	s.request.Allow = s.ends - s.p.now()
	return s.request.Frame()
}

func (s *sending) wrote(whole bool) {
	s.whole.Store(whole)
	if !whole {
		s.link.partial.Store(true)
	}
}

// dispatch hands a sending to a connection. The frame is an order's; a request's is encoded at its first byte.
func (p *Platform) dispatch(now control.Micros, s *sending, frame []byte) {
	var l *link
	if server := p.fleet.Get(s.to); server != nil && server.State == control.Ready {
		l = p.link(now, s)
	}
	s.timer = time.AfterFunc(span(max(0, s.deadline-now)), func() {
		p.box.Tell(func(now control.Micros) { p.late(now, s) })
	})
	if l != nil {
		s.link = l
		l.out[s.id] = s
		if l.box.post(s.parcel(frame)) {
			return
		}
		delete(l.out, s.id)
	}
	// Never sent; told in the next turn, since this one is still asking.
	p.box.Tell(func(now control.Micros) { p.ended(now, s, control.NeverSent, nil) })
}

func (s *sending) parcel(frame []byte) parcel {
	p := parcel{data: frame, begin: s.begin, wrote: s.wrote}
	if s.request != nil {
		p.encode, p.size = s.frame, s.request.Size()
	}
	return p
}

// poolOf gives the connections to a server that is listed.
func (p *Platform) poolOf(id control.ServerID) *pool {
	pl := p.pools[id]
	if pl == nil {
		server := p.fleet.Get(id)
		pl = &pool{id: id, address: server.Address, born: control.Micros(server.Told.Born)}
		p.pools[id] = pl
	}
	return pl
}

// link finds a connection: one with nothing open, else a new one, else the one with the least open; of equal ones one that
// stands. One execution a connection as long as descriptors last: a spoilt answer costs all that is open on its
// connection. A job's further execution goes on another, where no second answer to the earlier one can be taken for its own.
func (p *Platform) link(now control.Micros, s *sending) *link {
	pl := p.poolOf(s.to)
	var best *link
	for _, l := range pl.links {
		if l.retired || l.out[s.id] != nil || len(l.out) >= p.told.streams || s.wentOn(l) {
			continue
		}
		if best == nil || l.before(best) {
			best = l
		}
	}
	if best != nil && len(best.out) == 0 || p.linked >= p.mostLinks && !p.freeLink() {
		return best
	}
	l := p.newLink(now, pl)
	go l.serve()
	return l
}

func (p *Platform) newLink(now control.Micros, pl *pool) *link {
	l := &link{p: p, pool: pl, out: map[binframe.ID]*sending{}, since: now}
	l.dialing, l.undial = context.WithTimeout(context.Background(), span(p.told.connecting))
	l.box.most, l.box.firstWrite = linkUnread, p.calls.write
	pl.links = append(pl.links, l)
	l.place = p.bySince.PushBack(l)
	p.linked++
	return l
}

// before tells which of two connections takes a sending.
func (l *link) before(other *link) bool {
	switch {
	case len(l.out) != len(other.out):
		return len(l.out) < len(other.out)
	case l.up != other.up:
		return l.up
	}
	return l.since > other.since
}

// wentOn tells whether an earlier execution of the same job was written to a connection.
func (s *sending) wentOn(l *link) bool {
	return s.job != nil && slices.ContainsFunc(s.job.executions, func(earlier *sending) bool {
		return earlier.link == l && earlier.reached() == attempt.Writing
	})
}

// linkUnread is how much may wait for a server to read: with the longest bodies, as many as share a connection.
const linkUnread = 2 << 20

// freeLink closes the connection that has been idle for longest, of any server.
func (p *Platform) freeLink() bool {
	for e := p.bySince.Front(); e != nil; e = e.Next() {
		if l := e.Value.(*link); len(l.out) == 0 && l.up {
			p.drop(l)
			return true
		}
	}
	return false
}

// drop forgets a connection and closes it after what waits to be written.
func (p *Platform) drop(l *link) {
	l.retired = true
	for i, other := range l.pool.links {
		if other == l {
			l.pool.links = append(l.pool.links[:i], l.pool.links[i+1:]...)
			p.bySince.Remove(l.place)
			p.linked--
			break
		}
	}
	if l.box.end(); !l.up && len(l.out) == 0 { // a dial that nothing waits for
		l.undial()
	}
}

// retire has a connection take nothing new; it ends with the last that is open on it.
func (p *Platform) retire(l *link) {
	if l.retired = true; len(l.out) == 0 {
		p.drop(l)
	}
}

// stallMost is how long an answer that has begun may take: it is written in one piece.
const stallMost = time.Second

func (l *link) serve() {
	p := l.p
	broke := func(result control.Result) {
		l.close()
		p.box.Tell(func(now control.Micros) { p.broke(now, l, result) })
	}
	end := control.Errored // should a fault of our own end this: what was written may have run
	defer p.caught("reading a server")
	defer func() { broke(end) }()
	conn, err := l.dial()
	if err != nil {
		end = control.NoConnection
		if ours(err) || errors.Is(err, context.Canceled) {
			end = control.NeverSent // says nothing of the server
		} else {
			p.count("no connection to a server")
		}
		return
	}
	l.box.up(conn)
	p.box.Tell(func(control.Micros) { l.up = true })
	reader := &looking{conn: conn}
	in := bufio.NewReaderSize(reader, 2<<10)
	for {
		reader.until(time.Time{})
		a, err := binframe.Read(in, func() { reader.until(time.Now().Add(stallMost)) })
		if err != nil {
			end = control.Reset
			if why := spoilt(err); why != "" {
				end = control.Errored // the server answers; what it said can't be read
				p.count("spoilt answer: " + why)
			} else if ours(err) {
				end = control.Errored // may have run; says nothing of the server
			}
			return
		}
		p.box.Tell(func(now control.Micros) { p.heard(now, l, a) })
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
func (l *link) dial() (net.Conn, error) {
	var before error // why the try before failed, through no fault of the server's
	for pause := dialPause; ; pause = min(2*pause, closing) {
		conn, err := l.p.calls.dial(l.dialing, l.pool.address)
		switch {
		case err == nil:
			return conn, nil
		case ours(err), momentary(err):
		case ours(before) && os.IsTimeout(err):
			return nil, before // the server had but the rest of the time
		default:
			return nil, err
		}
		before = err
		if errors.Is(err, syscall.EMFILE) {
			l.p.count("out of descriptors for a server")
			if l.p.makeRoom(1) {
				continue
			}
		} else {
			l.p.count("a dial failed for a moment")
		}
		select {
		case <-l.dialing.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

// ours tells of a fault that is this machine's, and no sign about a server.
func ours(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC,
		syscall.EADDRNOTAVAIL, syscall.EINTR, syscall.EAGAIN}, func(one error) bool { return errors.Is(err, one) })
}

// momentary tells of a fault of the way that may be over in a moment. One that lasts is a sign about the server.
func momentary(err error) bool {
	return errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETDOWN) ||
		errors.Is(err, syscall.ECONNABORTED)
}

// spoilt tells what was wrong with an answer; empty where the connection itself ended.
func spoilt(err error) string {
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

// heard takes in an answer. One that nobody waits for, or a second one, is dropped: it harms nothing else.
func (p *Platform) heard(now control.Micros, l *link, a *binframe.Answer) {
	s := l.out[a.ID]
	if s == nil || a.Probe {
		return
	}
	if s.reached() != attempt.Writing {
		return // an answer to what was not asked yet
	}
	p.ended(now, s, a.Result, a)
}

// broke takes in the end of a connection: what it means to each sending follows from how far that had got.
func (p *Platform) broke(now control.Micros, l *link, result control.Result) {
	open := l.out
	p.drop(l)
	for _, s := range inOrder(open) {
		r := result
		switch {
		case s.withdraw():
			if r != control.NoConnection {
				r = control.NeverSent
			}
		case s.reached() == attempt.Withdrawn:
			r = control.NeverSent
		case l.partial.Load() && !s.whole.Load():
			r = control.NeverSent // its frame did not come whole
		}
		p.ended(now, s, r, nil)
	}
}

// late takes in that a sending's time is up.
func (p *Platform) late(now control.Micros, s *sending) {
	if s.state.Over {
		return
	}
	if s.withdraw() {
		p.ended(now, s, control.NeverSent, nil)
		return
	}
	p.giveUp(s)
	p.ended(now, s, control.TimedOut, nil)
}

// giveUp tells the server that nobody waits. The answer may be on its way, or never come: its connection takes nothing
// new.
func (p *Platform) giveUp(s *sending) {
	if s.link == nil || s.state.Over {
		return
	}
	if s.job != nil && p.told.Deployment.Cancels {
		s.link.box.post(parcel{data: binframe.GiveUp(s.id)})
	}
	s.link.retired = true
}

// ended takes in the end of a sending, once.
func (p *Platform) ended(now control.Micros, s *sending, result control.Result, a *binframe.Answer) {
	if !s.state.End() {
		return
	}
	s.timer.Stop()
	if l := s.link; l != nil && l.out[s.id] == s {
		delete(l.out, s.id)
		p.bySince.MoveToBack(l.place)
		if l.since = now; l.retired && len(l.out) == 0 {
			p.drop(l)
		}
	}
	if s.state.Off && result != control.Finished && !result.ProvesUnrun() {
		result = control.Cancelled
	}
	p.trace(now, s, result, a)
	took := now - s.chosen
	if s.job == nil {
		copies := 0
		if a != nil && result == control.Finished {
			if copies = a.Copies; copies < 0 {
				copies = s.order.Copies // an answer that tells no number has done what was asked
			}
		}
		p.core.Loaded(now, s.to, s.order.Function, result, took, copies)
		return
	}
	o := control.Outcome{Execution: s.no, Server: s.to, Result: result, Took: took}
	if a != nil {
		o.Found, o.Report = a.Found, p.report(a)
	}
	p.executed(now, s, o, a)
}

// report puts what an answer reports in the order that the settings name.
func (p *Platform) report(a *binframe.Answer) *control.Report {
	if a.Reports == nil {
		return nil
	}
	values := make([]float32, len(p.told.reports))
	for i, name := range p.told.reports {
		v, told := a.Reports[reported[name]]
		if !told {
			v = -1
		}
		values[i] = float32(v)
	}
	return terms.Report(p.told.reports, values)
}

// reported maps what the settings name to the simulator's names, which the answers use.
var reported = map[string]string{"cpu_share": "util", "x0": "x0", "x1": "x1"}

// orderID is an id for an order that is none of a job's on any connection.
func (p *Platform) orderID() binframe.ID {
	for {
		id := binframe.ID(p.chance.Uint64())
		if p.jobs[control.JobID(id)] == nil {
			return id
		}
	}
}

// prune closes connections that are idle for nearly as long as servers allow, and forgets servers that are gone.
func (p *Platform) prune(now control.Micros) {
	const every = 500_000 // idle times are many seconds
	if now < p.pruned+every {
		return
	}
	p.pruned = now
	for e := p.bySince.Front(); e != nil; {
		l := e.Value.(*link)
		if now-l.since <= p.told.idle*3/4 {
			break
		}
		if e = e.Next(); len(l.out) == 0 && l.up {
			p.drop(l)
		}
	}
	for id, pl := range p.leaving {
		if s := p.fleet.Get(id); s != nil && s.State != control.Gone || p.pools[id] != pl {
			delete(p.leaving, id) // it has returned
		} else if len(pl.links) == 0 {
			delete(p.leaving, id)
			delete(p.pools, id)
		}
	}
	p.fleet.Forget(now, func(id control.ServerID) bool { return p.pools[id] != nil })
}

// unlist takes back all that is not being written to a server that takes nothing new, and its connections with the rest.
func (p *Platform) unlist(now control.Micros, pl *pool) {
	for _, l := range append([]*link(nil), pl.links...) {
		for _, s := range inOrder(l.out) {
			if s.withdraw() {
				p.ended(now, s, control.NeverSent, nil)
			}
		}
		p.retire(l)
	}
}
