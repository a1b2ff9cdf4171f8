package gateway

import (
	"context"
	"errors"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/fleet"
	"hollymast/internal/persistence"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// pool is the connections to one server. The turn owns it.
type pool struct {
	id      control.ServerID
	address string
	conns   attempt.Connections
	idle    []*link // the last used at the end
	out     map[*sending]struct{}
}

// link is one connection to a server; a goroutine of its own owns it.
type link struct {
	g       *Gateway
	address string
	work    chan *sending // holds one
	since   control.Micros
	client  atomic.Pointer[rest.Client]
}

// sending is one execution or order on its way.
type sending struct {
	job      *job // nil of an order
	no       control.AttemptID
	order    control.LoadCommand
	to       control.ServerID
	request  *rest.Request
	round    *persistence.Batch // of the journal, in which it must be before it is written; nil: none
	until    control.Micros     // it is not written later
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	stage    atomic.Int32 // an attempt.Stage
	link     *link
	state    attempt.Progress // the turn's
}

func (g *Gateway) sending(to control.ServerID, allow control.Micros) *sending {
	s := &sending{to: to, until: attempt.WriteUntil(g.listAsOf, micros(g.told.GracePeriod)), deadline: g.started.Add(span(g.clock + allow - g.epoch))}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// withdraw takes back what is not yet being written; what is goes on.
func (s *sending) withdraw() bool {
	if !attempt.Transition(&s.stage, attempt.Stage.Withdraw) {
		return false
	}
	s.cancel()
	return true
}

// callOff also breaks off what was written.
func (s *sending) callOff() {
	if s.state.Cancel() && !s.withdraw() && s.link != nil {
		if c := s.link.client.Load(); c != nil {
			c.Abort()
		}
	}
}

// dispatch hands a sending to an idle connection, or opens one.
func (g *Gateway) dispatch(s *sending) {
	p := g.pools[s.to]
	if p == nil {
		p = &pool{id: s.to, address: g.fleet.Get(s.to).Address, out: map[*sending]struct{}{}}
		g.pools[s.to] = p
	}
	p.out[s] = struct{}{}
	s.request.Header["Host"] = []string{p.address}
	s.request.Header["Via"] = append(s.request.Header["Via"][:len(s.request.Header["Via"]):len(s.request.Header["Via"])], g.via)
	switch p.conns.Acquire(g.told.MaxConnsPerServer) {
	case attempt.Reuse:
		n := len(p.idle)
		s.link = p.idle[n-1]
		p.idle = p.idle[:n-1]
	case attempt.OpenNew:
		s.link = &link{g: g, address: p.address, work: make(chan *sending, 1)}
		g.links.Add(1)
		go s.link.serve()
	case attempt.NoneLeft: // never sent; told in the next turn, since this one is still asking
		g.tell(func(now control.Micros) { g.over(now, s, exchange{result: control.NotSent}, false) })
		return
	}
	s.link.work <- s
}

// exchange is what came of a sending.
type exchange struct {
	result   control.Result
	response *rest.Response
	took     time.Duration
}

func (l *link) serve() {
	defer l.g.links.Done()
	for s := range l.work {
		e := l.carry(s)
		s.cancel()
		open := l.client.Load() != nil
		l.g.tell(func(now control.Micros) { l.g.over(now, s, e, open) })
		if !open {
			return
		}
	}
	if c := l.client.Load(); c != nil {
		c.Close()
	}
}

// carry does one exchange. The connection is kept only where it may be used again.
func (l *link) carry(s *sending) (e exchange) {
	begun := time.Now()
	defer func() { e.took = time.Since(begun) }()
	c := l.client.Load()
	if c != nil && c.Stale() { // closed while it was idle: nothing of this job was on it
		c.Close()
		c = nil
		l.client.Store(nil)
	}
	if c == nil {
		var err error
		if c, err = l.dial(s); err != nil {
			return exchange{result: attempt.UndialledResult(attempt.Stage(s.stage.Load()), errors.Is(err, errWithdrawn) || rest.LocalFailure(err))}
		}
		l.client.Store(c)
	}
	kept := s.kept(l.g.now()) && l.g.wanted(s.job) && s.tellsLeft()
	if !attempt.Transition(&s.stage, func(st attempt.Stage) (attempt.Stage, bool) {
		return st.Write(kept, l.g.now(), s.until)
	}) {
		return exchange{result: control.NotSent}
	}
	p, progress, err := c.Do(s.request, s.deadline)
	if err == nil && !p.Close {
		return exchange{result: resultOf(p, s.job == nil), response: p}
	}
	c.Close()
	l.client.Store(nil)
	if err == nil {
		return exchange{result: resultOf(p, s.job == nil), response: p}
	}
	return exchange{result: BrokenExchangeResult(progress, err)}
}

// wanted tells whether the client of a job still waits. Guards against an execution that begins while its client's close lies
// unread in the socket, as after a stop of the process.
func (g *Gateway) wanted(j *job) bool {
	now := g.now()
	if j == nil || !attempt.MustCheckClient(now-control.Micros(j.seen.Load())) {
		return true
	}
	if j.client.PeerClosed() {
		g.tell(func(now control.Micros) { g.left(now, j) })
		return false
	}
	j.seen.Store(int64(now))
	return true
}

// tellsLeft has an execution tell how long it is waited for; no tells that it has no time left. Guards against a figure from when
// it was chosen: a dial, the journal or a stop of the process may have taken much of it.
func (s *sending) tellsLeft() bool {
	left := time.Until(s.deadline).Milliseconds()
	if s.job != nil {
		s.request.Header[kserve.TimeoutHeader] = []string{strconv.FormatInt(left, 10)}
	}
	return left > 0
}

var errWithdrawn = errors.New("withdrawn")

func (l *link) dial(s *sending) (*rest.Client, error) {
	ctx, cancel := context.WithTimeout(s.ctx, min(l.g.told.DialTimeout, time.Until(s.deadline)))
	defer cancel()
	select {
	case l.g.dials <- struct{}{}:
		defer func() { <-l.g.dials }()
	case <-ctx.Done():
		return nil, errWithdrawn // waited for its turn to dial: nothing is known of the server
	}
	var before error // why the try before failed, through no fault of the server's
	for pause := dialPause; ; pause = min(2*pause, dialPauseMost) {
		c, err := l.g.connect(ctx, l.address)
		switch {
		case err == nil:
			return c, nil
		case rest.LocalFailure(err), rest.TransientFailure(err):
		case rest.LocalFailure(before) && os.IsTimeout(err):
			return nil, before // the server had but the rest of the time
		default:
			return nil, err
		}
		before = err
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(pause):
		}
	}
}

// A dial that failed for a moment is tried again after dialPause, doubled up to dialPauseMost: such a moment may be a packet's.
const (
	dialPause     = 2 * time.Millisecond
	dialPauseMost = 50 * time.Millisecond
)

// workerLimits bound answers: servers are ours, so their headers may be larger and their bodies any size that fits.
var workerLimits = rest.Limits{MaxLine: 16 << 10, MaxHeaders: 128, MaxHeaderBytes: 64 << 10, MaxBody: 64 << 20}

// over takes in the end of a sending, and its link back if it can be used again.
func (g *Gateway) over(now control.Micros, s *sending, e exchange, open bool) {
	p := g.pools[s.to]
	delete(p.out, s)
	s.state.End()
	if s.link != nil {
		switch keep := p.conns.Release(open, g.listedThere(s.to)); {
		case keep:
			s.link.since = now
			p.idle = append(p.idle, s.link)
		case open:
			close(s.link.work)
		}
	}
	if s.job == nil {
		copies := -1
		if e.response != nil {
			copies = kserve.Copies(e.response.Body)
		}
		if e.result == control.Succeeded && copies < 0 {
			copies = s.order.Replicas // an answer that tells no number has done what was asked
		}
		g.ordered(now, s, e.result, micros(e.took), copies)
		return
	}
	o := control.Outcome{Result: e.result}
	if e.response != nil {
		o = OutcomeOf(e.response, false)
	}
	o.Attempt, o.Server, o.Duration = s.no, s.to, micros(e.took)
	g.executed(now, s, o, e.response)
}

func (g *Gateway) listedThere(id control.ServerID) bool {
	s := g.fleet.Get(id)
	return s != nil && s.State != control.Removed
}

// execution is the request of one execution: the client's own, with what is ours to say.
func (g *Gateway) execution(j *job, no control.AttemptID) *rest.Request {
	h := forwarded(j.request.Header)
	h[kserve.AttemptHeader] = []string{strconv.Itoa(int(no) + 1)}
	h[kserve.RepeatMark] = []string{j.mark}
	return &rest.Request{Method: "POST", Target: j.call.Target(), Header: h, Body: j.request.Body}
}

// forwarded copies the fields that are meant for the other end, without those for one connection (RFC 9110, 7.6.1).
func forwarded(h rest.Header) rest.Header {
	to := make(rest.Header, len(h)+3)
	for k, v := range h {
		switch k {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
			"Content-Length", "Expect":
			continue
		}
		to[k] = v
	}
	for _, fields := range h["Connection"] {
		for name := range strings.SplitSeq(fields, ",") {
			delete(to, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	return to
}

// withdrawFrom takes back all that is not yet being written to a server that takes nothing new.
func (g *Gateway) withdrawFrom(id control.ServerID) {
	p := g.pools[id]
	if p == nil {
		return
	}
	for s := range p.out { // their outcomes come in the order of their own goroutines anyway
		s.withdraw()
	}
	g.closeIdle(p, func(*link) bool { return true })
}

func (g *Gateway) closeIdle(p *pool, which func(*link) bool) {
	kept := p.idle[:0]
	for _, l := range p.idle {
		if which(l) {
			close(l.work)
			p.conns.CloseIdle()
		} else {
			kept = append(kept, l)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// prune closes connections that were idle for long, and forgets pools and servers that are gone.
func (g *Gateway) prune(now control.Micros) {
	const every = 1_000_000 // idle times are many seconds
	if now < g.pruned+every {
		return
	}
	g.pruned = now
	for id, p := range g.pools {
		g.closeIdle(p, func(l *link) bool { return now-l.since > micros(g.told.ServerIdleTimeout) })
		if p.conns.All == 0 && len(p.out) == 0 && !g.listedThere(id) {
			delete(g.pools, id)
		}
	}
	g.tally.Prune(func(address string) bool { return g.listedThere(fleet.ID(address)) })
	g.fleet.Prune(now, func(id control.ServerID) bool { return g.pools[id] != nil })
}

func (g *Gateway) closePools() {
	for _, p := range g.pools {
		g.closeIdle(p, func(*link) bool { return true })
	}
}
