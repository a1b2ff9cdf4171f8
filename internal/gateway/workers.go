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
type serverPool struct {
	id      control.ServerID
	address string
	conns   attempt.Connections
	idle    []*serverConn // the last used at the end
	open    map[*serverCall]struct{}
}

// link is one connection to a server; a goroutine of its own owns it.
type serverConn struct {
	gateway   *Gateway
	address   string
	calls     chan *serverCall // holds one
	idleSince control.Micros
	client    atomic.Pointer[rest.Client]
}

// sending is one execution or order on its way.
type serverCall struct {
	request      *request // nil of an order
	attempt      control.AttemptID
	load         control.LoadCommand
	to           control.ServerID
	message      *rest.Request
	journalRound *persistence.Round // of the journal, in which it must be before it is written; nil: none
	writeBefore  control.Micros     // it is not written later
	deadline     time.Time
	ctx          context.Context
	cancel       context.CancelFunc
	stage        atomic.Int32 // an attempt.Stage
	conn         *serverConn
	progress     attempt.Progress // the turn's
}

func (g *Gateway) newCall(to control.ServerID, allow control.Micros) *serverCall {
	s := &serverCall{to: to, writeBefore: attempt.WriteUntil(g.endpointsAsOf, micros(g.config.GracePeriod)), deadline: g.startedAt.Add(duration(g.stepTime + allow - g.epoch))}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// withdraw takes back what is not yet being written; what is goes on.
func (s *serverCall) withdraw() bool {
	if !attempt.Transition(&s.stage, attempt.Stage.Withdraw) {
		return false
	}
	s.cancel()
	return true
}

// callOff also breaks off what was written.
func (s *serverCall) abandon() {
	if s.progress.Cancel() && !s.withdraw() && s.conn != nil {
		if c := s.conn.client.Load(); c != nil {
			c.Abort()
		}
	}
}

// dispatch hands a sending to an idle connection, or opens one.
func (g *Gateway) dispatch(s *serverCall) {
	p := g.pools[s.to]
	if p == nil {
		p = &serverPool{id: s.to, address: g.fleet.Get(s.to).Address, open: map[*serverCall]struct{}{}}
		g.pools[s.to] = p
	}
	p.open[s] = struct{}{}
	s.message.Header["Host"] = []string{p.address}
	s.message.Header["Via"] = append(s.message.Header["Via"][:len(s.message.Header["Via"]):len(s.message.Header["Via"])], g.via)
	switch p.conns.Acquire(g.config.MaxConnsPerServer) {
	case attempt.Reuse:
		n := len(p.idle)
		s.conn = p.idle[n-1]
		p.idle = p.idle[:n-1]
	case attempt.OpenNew:
		s.conn = &serverConn{gateway: g, address: p.address, calls: make(chan *serverCall, 1)}
		g.serverConns.Add(1)
		go s.conn.run()
	case attempt.NoneLeft: // never sent; told in the next turn, since this one is still asking
		g.post(func(now control.Micros) { g.callEnded(now, s, callResult{result: control.NotSent}, false) })
		return
	}
	s.conn.calls <- s
}

// exchange is what came of a sending.
type callResult struct {
	result   control.Result
	response *rest.Response
	duration time.Duration
}

func (l *serverConn) run() {
	defer l.gateway.serverConns.Done()
	for s := range l.calls {
		e := l.exchange(s)
		s.cancel()
		open := l.client.Load() != nil
		l.gateway.post(func(now control.Micros) { l.gateway.callEnded(now, s, e, open) })
		if !open {
			return
		}
	}
	if c := l.client.Load(); c != nil {
		c.Close()
	}
}

// carry does one exchange. The connection is kept only where it may be used again.
func (l *serverConn) exchange(s *serverCall) (e callResult) {
	begun := time.Now()
	defer func() { e.duration = time.Since(begun) }()
	c := l.client.Load()
	if c != nil && c.Stale() { // closed while it was idle: nothing of this job was on it
		c.Close()
		c = nil
		l.client.Store(nil)
	}
	if c == nil {
		var err error
		if c, err = l.dial(s); err != nil {
			return callResult{result: attempt.UndialledResult(attempt.Stage(s.stage.Load()), errors.Is(err, errWithdrawn) || rest.LocalFailure(err))}
		}
		l.client.Store(c)
	}
	kept := s.awaitJournal(l.gateway.now()) && l.gateway.clientWaits(s.request) && s.stateTimeLeft()
	if !attempt.Transition(&s.stage, func(st attempt.Stage) (attempt.Stage, bool) {
		return st.Write(kept, l.gateway.now(), s.writeBefore)
	}) {
		return callResult{result: control.NotSent}
	}
	p, progress, err := c.Do(s.message, s.deadline)
	if err == nil && !p.Close {
		return callResult{result: responseResult(p, s.request == nil), response: p}
	}
	c.Close()
	l.client.Store(nil)
	if err == nil {
		return callResult{result: responseResult(p, s.request == nil), response: p}
	}
	return callResult{result: BrokenExchangeResult(progress, err)}
}

// wanted tells whether the client of a job still waits. Guards against an execution that begins while its client's close lies
// unread in the socket, as after a stop of the process.
func (g *Gateway) clientWaits(j *request) bool {
	now := g.now()
	if j == nil || !attempt.MustCheckClient(now-control.Micros(j.clientCheckedAt.Load())) {
		return true
	}
	if j.client.PeerClosed() {
		g.post(func(now control.Micros) { g.handleClientClosed(now, j) })
		return false
	}
	j.clientCheckedAt.Store(int64(now))
	return true
}

// tellsLeft has an execution tell how long it is waited for; no tells that it has no time left. Guards against a figure from when
// it was chosen: a dial, the journal or a stop of the process may have taken much of it.
func (s *serverCall) stateTimeLeft() bool {
	left := time.Until(s.deadline).Milliseconds()
	if s.request != nil {
		s.message.Header[kserve.TimeoutHeader] = []string{strconv.FormatInt(left, 10)}
	}
	return left > 0
}

var errWithdrawn = errors.New("withdrawn")

func (l *serverConn) dial(s *serverCall) (*rest.Client, error) {
	ctx, cancel := context.WithTimeout(s.ctx, min(l.gateway.config.DialTimeout, time.Until(s.deadline)))
	defer cancel()
	select {
	case l.gateway.dialing <- struct{}{}:
		defer func() { <-l.gateway.dialing }()
	case <-ctx.Done():
		return nil, errWithdrawn // waited for its turn to dial: nothing is known of the server
	}
	var before error // why the try before failed, through no fault of the server's
	for pause := dialPause; ; pause = min(2*pause, maxDialPause) {
		c, err := l.gateway.dial(ctx, l.address)
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
	dialPause    = 2 * time.Millisecond
	maxDialPause = 50 * time.Millisecond
)

// workerLimits bound answers: servers are ours, so their headers may be larger and their bodies any size that fits.
var serverLimits = rest.Limits{MaxLine: 16 << 10, MaxHeaders: 128, MaxHeaderBytes: 64 << 10, MaxBody: 64 << 20}

// over takes in the end of a sending, and its link back if it can be used again.
func (g *Gateway) callEnded(now control.Micros, s *serverCall, e callResult, open bool) {
	p := g.pools[s.to]
	delete(p.open, s)
	s.progress.End()
	if s.conn != nil {
		switch keep := p.conns.Release(open, g.isListed(s.to)); {
		case keep:
			s.conn.idleSince = now
			p.idle = append(p.idle, s.conn)
		case open:
			close(s.conn.calls)
		}
	}
	if s.request == nil {
		copies := -1
		if e.response != nil {
			copies = kserve.Copies(e.response.Body)
		}
		if e.result == control.Succeeded && copies < 0 {
			copies = s.load.Replicas // an answer that tells no number has done what was asked
		}
		g.loadCommandEnded(now, s, e.result, micros(e.duration), copies)
		return
	}
	o := control.Outcome{Result: e.result}
	if e.response != nil {
		o = OutcomeOf(e.response, false)
	}
	o.Attempt, o.Server, o.Duration = s.attempt, s.to, micros(e.duration)
	g.attemptEnded(now, s, o, e.response)
}

func (g *Gateway) isListed(id control.ServerID) bool {
	s := g.fleet.Get(id)
	return s != nil && s.State != control.Removed
}

// execution is the request of one execution: the client's own, with what is ours to say.
func (g *Gateway) attemptMessage(j *request, no control.AttemptID) *rest.Request {
	h := forwardedHeader(j.message.Header)
	h[kserve.AttemptHeader] = []string{strconv.Itoa(int(no) + 1)}
	h[kserve.RepeatMark] = []string{j.idempotencyKey}
	return &rest.Request{Method: "POST", Target: j.call.Target(), Header: h, Body: j.message.Body}
}

// forwarded copies the fields that are meant for the other end, without those for one connection (RFC 9110, 7.6.1).
func forwardedHeader(h rest.Header) rest.Header {
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
	for s := range p.open { // their outcomes come in the order of their own goroutines anyway
		s.withdraw()
	}
	g.closeIdle(p, func(*serverConn) bool { return true })
}

func (g *Gateway) closeIdle(p *serverPool, which func(*serverConn) bool) {
	kept := p.idle[:0]
	for _, l := range p.idle {
		if which(l) {
			close(l.calls)
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
	if now < g.prunedAt+every {
		return
	}
	g.prunedAt = now
	for id, p := range g.pools {
		g.closeIdle(p, func(l *serverConn) bool { return now-l.idleSince > micros(g.config.ServerIdleTimeout) })
		if p.conns.All == 0 && len(p.open) == 0 && !g.isListed(id) {
			delete(g.pools, id)
		}
	}
	g.loadTally.Forget(func(address string) bool { return g.isListed(fleet.ID(address)) })
	g.fleet.Prune(now, func(id control.ServerID) bool { return g.pools[id] != nil })
}

func (g *Gateway) closePools() {
	for _, p := range g.pools {
		g.closeIdle(p, func(*serverConn) bool { return true })
	}
}
