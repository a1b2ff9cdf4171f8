// Package platform is one real router on the operators' platform: client connections, server connections and the notice
// board round one core. One goroutine owns the core, takes its turns and carries out what it asks; connections have
// goroutines of their own. Nothing that may wait happens within a turn, and nothing is decided here.
package platform

import (
	"cmp"
	"container/list"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/binframe"
	"hollymast/internal/core"
	"hollymast/internal/discovery"
	"hollymast/internal/eventqueue"
	"hollymast/internal/fleet"
	"hollymast/internal/msgrpc"
)

// Router is one router.
type Router struct {
	config  *Config
	log     zerolog.Logger
	started time.Time
	epoch   control.Micros // the router's time at its start: the Unix clock's, from then on monotonic

	// The turn's own; touched by no other goroutine.
	core            *core.Core
	fleet           *fleet.Fleet
	requests        map[control.RequestID]*request
	pools           map[control.ServerID]*serverPool
	serverConnCount int                              // connections to servers
	connsByIdle     *list.List                       // of *link: all that are not dropped, by when something last began or ended on them
	removedPools    map[control.ServerID]*serverPool // to servers that are gone, until prune finds their connections ended
	timer           *time.Timer
	timerAt         control.Micros // when the timer fires
	prunedAt        control.Micros
	stepTime        control.Micros // this turn's, or the last one's
	endpointsAsOf   control.Micros // as of when the list that this turn chooses from was complete
	// endpointsAsOfBefore is listAsOf of the turn before: a change that this turn takes in was told after that.
	endpointsAsOfBefore   control.Micros
	endpointsCompleteAsOf control.Micros // the last time of which it is known that the list was complete; 0: none is
	stopRequestedAt       control.Micros // to stop; 0: not
	random                *rand.PCG      // for the ids of orders; decides nothing

	// Shared.
	queue         *eventqueue.Queue
	calls         calls
	stalls        stallDetector
	discovery     *discovery.Client
	ready         atomic.Bool
	listener      *net.TCPListener
	acceptEnded   chan struct{} // closed when no connection is accepted any more
	rejecting     chan struct{} // holds one for each connection that is read to be turned away
	mu            sync.Mutex
	clients       map[*clientConn]struct{}
	rejectedConns int            // of them, for which there is no room
	anomalies     map[string]int // what was out of order since the last line about it
	// What the log tells of the rule for drains, since the last line, in microseconds.
	oldestEndpoints peak // of the lists that first bytes rested on: their age
	afterDrain      peak // the latest first byte to a server that drained or went: how much later than that, at most

	maxClients, maxServerConns int
}

// request is a job as its client's connection and its executions see it.
type request struct {
	id        control.RequestID
	number    uint32
	client    *clientConn
	ask       msgrpc.Request
	readAt    control.Micros // when its last byte was
	cameAt    control.Micros // when it may have come: before, where the process stood still
	abandoned atomic.Bool    // its client has cancelled or closed: no execution begins
	class     control.ClassID
	tenant    control.TenantID
	answer    attempt.FinalAnswer
	attempts  []*serverCall
}

const (
	// minSockets is what a router needs to serve at all.
	minSockets = 128
	// reservedSockets descriptors: standard streams, the poller, the listener, the board's two, the configuration, and as many
	// accepts and dials as may be ahead of what is counted.
	reservedSockets = 40
)

// New opens the router's listener.
func New(told *Config, log zerolog.Logger) (*Router, error) {
	p := &Router{config: told, log: log, started: time.Now(), epoch: control.Micros(told.wall().UnixMicro()), requests: map[control.RequestID]*request{},
		pools: map[control.ServerID]*serverPool{}, queue: eventqueue.New(), clients: map[*clientConn]struct{}{}, anomalies: map[string]int{},
		fleet: fleet.New(0), calls: systemCalls, acceptEnded: make(chan struct{}), rejecting: make(chan struct{}, maxRejecting), random: rand.NewPCG(told.Seed, 0)}
	p.fleet.UseSourceClock()
	p.fleet.SlowStart(told.Deployment.SlowStartDuration)
	// Usual clients hold up to a third; the rest of a half is for those that say nothing.
	p.maxClients = told.Sockets / 2
	p.maxServerConns = told.Sockets - p.maxClients - reservedSockets
	deployment := told.Deployment
	deployment.Zone = p.fleet.Zone(told.zone)
	p.core = core.New(control.New(p.epoch, told.Seed, deployment), p)
	if err := p.traceRejections(); err != nil {
		return nil, err
	}
	var state discovery.State
	if err := state.Restore(told.History); err != nil {
		return nil, err
	}
	p.timer = time.NewTimer(time.Hour)
	p.connsByIdle, p.removedPools = list.New(), map[control.ServerID]*serverPool{}
	p.handleEndpoints(p.epoch, state.Endpoints())
	p.discovery = discovery.NewClient(state, told.DiscoveryAddress, duration(told.grace), told.Seed, func(news fleet.Update) {
		p.queue.PostEndpoints(func(now control.Micros) { p.handleUpdate(now, news) })
	}, func(text string, err error) { p.log.Info().AnErr("why", err).Msg(text) })
	l, err := listenAt(told.Listen)
	if err != nil {
		return nil, err
	}
	p.listener = l.(*net.TCPListener)
	return p, nil
}

// listenFor is for how long a start tries to listen: a predecessor's process may not be gone yet, or the machine be short of
// something. A restart has several times as long to be ready.
const listenFor = 3 * time.Second

// listenAt listens, and tries again while what hinders it may pass.
func listenAt(address string) (net.Listener, error) {
	for begin := time.Now(); ; time.Sleep(firstReread) {
		l, err := net.Listen("tcp", address)
		passes := slices.ContainsFunc([]error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
			syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR}, func(known error) bool { return errors.Is(err, known) })
		if !passes || time.Since(begin) > listenFor {
			return l, err
		}
	}
}

// Address is where clients are listened to.
func (p *Router) Address() string { return p.listener.Addr().String() }

// duration is a time of the module's as the standard library has it.
func duration(t control.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

func (p *Router) now() control.Micros { return p.micros(time.Now()) }

// micros is a time of the standard library as the module has it.
func (p *Router) micros(t time.Time) control.Micros {
	return p.epoch + control.Micros(t.Sub(p.started)/time.Microsecond)
}

// Reload takes in a new configuration: where the notice board is. The rest needs a restart.
func (p *Router) Reload(told *Config) { p.discovery.SetAddress(told.DiscoveryAddress) }

// Between two tries to read a configuration: first about as long as a file takes to be written, then less often, for one that
// stays broken.
const firstReread, longestReread = 20 * time.Millisecond, time.Second

// ReloadOn reads the configuration again at each signal. Until it can be read, as when it is half written, the old one stands
// and it is tried again.
func (p *Router) ReloadOn(ctx context.Context, signals <-chan os.Signal, env Environment) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		for pause, failed := firstReread, ""; ; pause = min(2*pause, longestReread) {
			fresh, err := LoadConfig(env)
			if err == nil {
				p.Reload(fresh)
				p.log.Info().Str("board", fresh.DiscoveryAddress).Msg("reloaded")
				break
			}
			if err.Error() != failed { // once for each fault
				failed = err.Error()
				p.log.Error().Err(err).Msg("configuration refused: the old one stands, and it is read again")
			}
			select {
			case <-ctx.Done():
				return
			case <-signals:
				pause = firstReread / 2
			case <-time.After(pause):
			}
		}
	}
}

// A stopping router takes jobs for takesOn: they keep coming for 0.6 s. What comes after 0.7 s must have its answer before it is
// killed, however long the job would take, so that it is pushed back at once; connections are taken for servesOn, longer, for
// that answer, where the kill doesn't come sooner.
const (
	acceptRequestsFor    = 650_000
	acceptConnectionsFor = 800 * time.Millisecond
)

// A stopping router is killed no sooner than killAfter and the longest deadline of its settings, of which killCounts counts at most,
// after it was told to stop. The times before that: connections end from endsBefore on, since on a quarter of a core some hundred
// take tens of milliseconds, and not before endsFrom, up to when requests come; what is still in hand gets its answer at answersBefore, by which a job taken at takesOn has had its own
// time; and nothing is read any more from readsBefore on, so that clients which never pause keep no connection open.
// A job that is only held, and whose client waits beyond the kill, is pushed back holdsBefore it: there is time to be served elsewhere.
const (
	killAfter, maxCountedDeadline = 700_000, 3_000_000
	closeBeforeKill               = 130_000
	closeNotBefore                = 600_000
	answerBeforeKill              = 80_000
	stopReadingBeforeKill         = 60_000
	rejectHeldBeforeKill          = 550_000
)

// earliestKill is how long after the order to stop the kill may come.
func earliestKill(d control.Deployment) control.Micros {
	var longest control.Micros
	for _, w := range d.Classes {
		longest = max(longest, w.MaxDeadline)
	}
	return killAfter + min(longest, maxCountedDeadline)
}

// stopAction is what a stopping router does at its time after the order.
type stopAction struct {
	at control.Micros
	do func()
}

// stopActions gives them in their order.
func (p *Router) stopActions() []stopAction {
	kill := earliestKill(p.config.Deployment)
	return []stopAction{
		{min(control.Micros(acceptConnectionsFor/time.Microsecond), max(closeNotBefore, kill-closeBeforeKill)), p.close},
		{kill - rejectHeldBeforeKill, p.rejectHeld},
		{kill - answerBeforeKill, p.answerOpen},
		{kill - stopReadingBeforeKill, p.stopReading},
	}
}

// Serve routes until the context ends, serves on for a little, gives each job in hand its answer, and returns once every
// client's connection has ended: each is read until nothing is left on it.
func (p *Router) Serve(ctx context.Context) {
	following, stop := context.WithCancel(context.Background())
	var others sync.WaitGroup
	defer others.Wait()
	defer stop()
	others.Go(func() { p.discovery.Run(following) })
	others.Go(func() { p.detectStalls(following) })
	others.Go(func() {
		defer close(p.acceptEnded)
		p.accept(p.listener)
	})
	defer p.listener.Close()
	// What the configuration knows may be older than the grace: nothing is chosen from it before the board was asked.
	select {
	case <-p.discovery.Started():
	case <-ctx.Done():
	}
	p.ready.Store(true)
	done, accepted, ending := ctx.Done(), p.acceptEnded, false
	var next <-chan time.Time
	var steps []stopAction
	var batch []func(control.Micros)
	told := time.NewTicker(10 * time.Second)
	defer told.Stop()
	for {
		select {
		case <-p.queue.Ready():
		case <-p.timer.C:
		case <-told.C:
			p.logState()
			continue
		case <-done:
			done = nil
			p.stopRequestedAt = p.now()
			p.ready.Store(false)
			p.log.Info().Int("jobs", len(p.requests)).Msg("stopping: serving on a little, then answering what is in hand")
			steps = p.stopActions()
			next = time.After(duration(steps[0].at))
		case <-next:
			ending = true
			steps[0].do()
			if steps = steps[1:]; len(steps) > 0 {
				next = time.After(duration(p.stopRequestedAt + steps[0].at - p.now()))
			}
		case <-accepted:
			accepted = nil
			p.closeClients()
		}
		p.awaitStep()
		p.readEndpoints()
		batch = p.queue.Drain(batch)
		p.step(p.now(), batch)
		if accepted == nil && p.allClientsClosed() {
			break
		}
		if ending { // connections are ending
			p.timer.Reset(min(5*time.Millisecond, duration(max(0, p.timerAt-p.now()))))
		}
	}
	p.logState()
	p.log.Info().Msg("no job is left in hand")
	p.closeAll()
}

// minStepInterval is how far apart turns are at least, where the settings' tick is shorter: each asks again for every held job, and
// a thousand a second with 150 held took a quarter of a core. It is a hundredth of the shortest start target.
const minStepInterval = 3_000

// readersCatchUp is for how long the readers of connections run after this process was stopped before the turn that may find the
// time of executions up: their answers may have come meanwhile. Reading what waits on some hundred connections takes less.
const readersCatchUp = 10 * time.Millisecond

// awaitStep keeps turns apart, so that what comes close together costs one.
func (p *Router) awaitStep() {
	now := p.now()
	if p.timerAt > 0 && attempt.Stalled(now-p.timerAt, p.config.grace) {
		p.countAnomaly("the router stood still")
		time.Sleep(readersCatchUp)
		return
	}
	least := max(minStepInterval, p.config.Deployment.Tick)
	if wait := p.stepTime + least - now; wait > 0 {
		time.Sleep(duration(min(wait, least)))
	}
}

// readEndpoints has all that the notice board told taken in by the turn that comes next. It comes after the last wait before the
// turn's batch is taken: whenever this process was stopped, the turn's choices are no younger than their list.
func (p *Router) readEndpoints() {
	p.endpointsAsOfBefore = p.endpointsAsOf
	if attempt.MustReadEndpoints(p.now()-p.endpointsAsOf, p.config.grace) {
		p.endpointsAsOf = p.micros(p.discovery.CatchUp())
		if complete := p.discovery.CompleteAsOf(); !complete.IsZero() { // before the batch is taken: it holds all told by then
			p.endpointsCompleteAsOf = p.micros(complete)
		}
	}
}

func (p *Router) step(now control.Micros, heard []func(control.Micros)) {
	p.stepTime = now
	for _, f := range heard {
		f(now)
	}
	p.fleet.CompleteAsOf(p.endpointsCompleteAsOf)
	p.core.Step(now)
	p.prune(now)
}

// close ends the clients' connections, and the listener after those that wait there: they are ended in their turn.
func (p *Router) close() {
	p.stopListening()
	p.closeClients()
}

// stopListening has connections accepted that wait already, and no others.
func (p *Router) stopListening() { p.listener.SetDeadline(time.Now().Add(lastReadTime)) }

// closeClients ends the clients' connections, each once nothing is open on it and nothing left to read.
func (p *Router) closeClients() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.clients {
		c.closeWhenIdle(drainAfterIdle)
	}
}

// stopReading ends those that are still read, after a last look.
func (p *Router) stopReading() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.clients {
		c.closeBy(finalReadTime)
	}
}

// rejectHeld pushes back what was never sent and whose client waits longer than this router can.
func (p *Router) rejectHeld() {
	kill := p.stopRequestedAt + earliestKill(p.config.Deployment)
	p.endRequests(func(j *request) bool { return len(j.attempts) == 0 && j.readAt+j.ask.Timeout > kill-answerBeforeKill })
}

// answerOpen gives all that is in hand its answer: whatever is not answered now meets the kill.
func (p *Router) answerOpen() { p.endRequests(func(*request) bool { return true }) }

// endRequests ends those jobs in hand that are meant. Nobody is harmed by trying one again that was never written, or whose repeats
// do no harm: that has time left with another router.
func (p *Router) endRequests(meant func(j *request) bool) {
	now := p.now()
	for _, j := range slices.SortedFunc(maps.Values(p.requests), func(a, b *request) int { return cmp.Compare(a.id, b.id) }) {
		if j.answer.Given || !meant(j) {
			continue
		}
		p.countAnomaly("ended by the stop")
		p.core.Cancel(now, j.id)
		mayHaveRun := slices.ContainsFunc(j.attempts, func(s *serverCall) bool { return !s.withdraw() && s.currentStage() == attempt.Writing })
		if mayHaveRun && !p.config.Deployment.Classes[j.class].SafeToRetryAnywhere() {
			p.finish(j, msgrpc.Failure(j.number))
		} else {
			p.finish(j, msgrpc.Rejection(j.number, p.config.Deployment.MaxRetryAfter))
		}
	}
}

// allClientsClosed tells whether every client's connection has ended, and with them all that was owed.
func (p *Router) allClientsClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.clients) == 0
}

// recoverPanic keeps a fault of our own on one connection from ending the others. It is told, since it needs mending.
func (p *Router) recoverPanic(at string) {
	if fault := recover(); fault != nil {
		p.countAnomaly("fault of our own " + at)
		p.log.Error().Str("at", at).Interface("fault", fault).Bytes("stack", debug.Stack()).Msg("fault of our own")
	}
}

func (p *Router) closeAll() {
	for _, pl := range p.pools {
		for _, l := range pl.conns {
			l.close()
		}
	}
}

// handleUpdate takes in what the notice board told.
func (p *Router) handleUpdate(now control.Micros, news fleet.Update) {
	if news.Full {
		p.handleEndpoints(now, news.Endpoints)
		return
	}
	changed := p.fleet.IncrementalUpdate(now, news.Endpoints)
	p.core.UpdateEndpoints(now, control.IncrementalUpdate, changed)
	for _, l := range changed {
		if pl := p.pools[l.Server]; pl != nil {
			p.refreshPool(now, pl)
		}
	}
}

// handleEndpoints takes in the complete list of servers.
func (p *Router) handleEndpoints(now control.Micros, all []fleet.Endpoint) {
	p.core.UpdateEndpoints(now, control.FullUpdate, p.fleet.FullUpdate(now, all))
	for _, pl := range p.pools {
		p.refreshPool(now, pl)
	}
}

// refreshPool ends the connections to a server that takes nothing new, or lives another life.
func (p *Router) refreshPool(now control.Micros, pl *serverPool) {
	s := p.fleet.Get(pl.id)
	if s == nil || s.State != control.Ready || s.Address != pl.address || control.Micros(s.Endpoint.StartedAt) != pl.startedAt {
		p.afterDrain.record(pl.firstByte.Load() - int64(p.endpointsAsOfBefore))
		p.withdrawFrom(now, pl)
		if s != nil && s.State == control.Ready { // another life: other connections
			delete(p.pools, pl.id)
		}
	}
	if s == nil || s.State == control.Removed {
		p.removedPools[pl.id] = pl
	}
}

// networkDelay is what of a client's patience goes by before its job is here, and before its answer is there: a millisecond or
// two each, and several where the core is shared.
const networkDelay = 10_000

// handleRequest takes a job in hand.
func (p *Router) handleRequest(now control.Micros, j *request) {
	if j.client.hasLeft(j) {
		return // before this turn
	}
	if p.stopRequestedAt > 0 && now >= p.stopRequestedAt+acceptRequestsFor {
		p.finish(j, msgrpc.Rejection(j.number, p.config.Deployment.MaxRetryAfter))
		return
	}
	if p.requests[j.id] != nil {
		p.countBadMessage(&msgrpc.Fault{Number: j.number, Text: "ref: open already"})
		if other := p.requests[j.id]; other.client == j.client && !other.answer.Given { // which of the two was meant?
			p.core.Cancel(now, other.id)
			p.finish(other, msgrpc.Invalid(other.number, "ref: sent twice"))
		}
		p.finish(j, msgrpc.Invalid(j.number, "ref: open already"))
		return
	}
	p.requests[j.id] = j
	err := p.core.Add(now, control.Request{ID: j.id, Class: j.class, Tenant: j.tenant, Function: j.ask.FunctionID(),
		Lanes: j.ask.Lanes, Work: j.ask.Work, LoadTime: j.ask.LoadTime, ArrivedAt: now,
		Deadline: max(now, j.readAt+j.ask.Timeout-networkDelay), IsRetry: j.ask.IsRetry})
	if err != nil {
		p.log.Error().Err(err).Msg("job not taken")
		delete(p.requests, j.id)
		p.finish(j, msgrpc.Rejection(j.number, p.config.Deployment.MaxRetryAfter))
	}
}

// hasLeft tells whether the client has no use for an answer any more.
func (c *clientConn) hasLeft(j *request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[j.number] != j
}

// finish gives a job its one final answer.
func (p *Router) finish(j *request, data []byte) {
	if !j.answer.Give() {
		return
	}
	for _, s := range j.attempts { // nothing is sent for a job that has its answer
		s.withdraw()
	}
	j.client.respond(j, data)
	p.release(j)
}

// release forgets a job that has its answer and no execution out.
func (p *Router) release(j *request) {
	if j.answer.Done() && p.requests[j.id] == j {
		delete(p.requests, j.id)
	}
}

// handleCancel takes in that a job's client no longer waits.
func (p *Router) handleCancel(now control.Micros, j *request) {
	j.client.mu.Lock()
	if j.client.open[j.number] == j {
		delete(j.client.open, j.number)
	}
	j.client.mu.Unlock()
	if j.answer.Given || p.requests[j.id] != j {
		return
	}
	p.core.Cancel(now, j.id)
	p.finish(j, nil)
}

// Forward starts an execution.
func (p *Router) Forward(cj *control.Request, no control.AttemptID, to control.ServerID, allow control.Micros) {
	j := p.requests[cj.ID]
	s := p.newCall(to, allow)
	s.request, s.attempt, s.id = j, no, binframe.ID(j.id)
	if w := p.config.Deployment.Classes[j.class]; w.Effect == control.IdempotentByKey {
		for _, e := range cj.Attempts[:no] {
			if e.MayHaveRun { // the group must still remember it when this one comes
				s.writeBefore = min(s.writeBefore, e.SentAt+w.Window-networkDelay)
			}
		}
	}
	j.attempts = append(j.attempts, s)
	j.answer.AttemptBegan()
	s.clientDeadline = min(s.deadline, j.cameAt+j.ask.Timeout-networkDelay)
	s.writeBefore = min(s.writeBefore, s.clientDeadline)
	s.message = &binframe.Attempt{ID: s.id, Class: j.ask.Class, Function: j.ask.Function, IdempotencyKey: j.ask.IdempotencyKey, Body: j.ask.Body}
	p.dispatch(p.stepTime, s, nil)
}

func (p *Router) newCall(to control.ServerID, allow control.Micros) *serverCall {
	return &serverCall{p: p, to: to, chosenAt: p.stepTime, deadline: p.stepTime + allow, clientDeadline: p.stepTime + allow, endpointsAsOf: p.endpointsAsOf,
		writeBefore: min(p.stepTime+allow, attempt.WriteUntil(p.endpointsAsOf, p.config.grace))}
}

// Reject and Kill end a job.
func (p *Router) Reject(id control.RequestID, stayAway control.Micros) {
	j := p.requests[id]
	p.finish(j, msgrpc.Rejection(j.number, stayAway))
}

// Fail ends a job of which nothing may be promised.
func (p *Router) Fail(id control.RequestID) {
	j := p.requests[id]
	p.finish(j, msgrpc.Failure(j.number))
}

// CancelAttempt stops waiting for an execution.
func (p *Router) CancelAttempt(id control.RequestID, no control.AttemptID) {
	j := p.requests[id]
	if j == nil || int(no) >= len(j.attempts) {
		return
	}
	s := j.attempts[no]
	if !s.progress.Cancel() {
		return
	}
	result := control.Cancelled
	if s.withdraw() {
		result = control.NotSent
	} else {
		p.abandon(s)
	}
	p.queue.Post(func(now control.Micros) { p.callEnded(now, s, result, nil) })
}

// Load orders copies of a job's function.
func (p *Router) Load(_ *control.Request, o control.LoadCommand) {
	s := p.newCall(o.Server, p.config.loadTimeout)
	s.load, s.id = o, p.loadCommandID()
	p.dispatch(p.stepTime, s, binframe.LoadFrame(s.id, o.Function, o.Replicas))
}

// SubscribeEndpoints has nothing to do: the board is followed in any case.
func (p *Router) SubscribeEndpoints() {}

// Log writes a line in the log.
func (p *Router) Log(text string) { p.log.Info().Msg(text) }

// SetTimer sets the one timer.
func (p *Router) SetTimer(at control.Micros) {
	p.timerAt = at
	p.timer.Reset(duration(max(0, at-p.now())))
}

// attemptEnded takes in the end of an execution.
func (p *Router) attemptEnded(now control.Micros, s *serverCall, o control.Outcome, a *binframe.Answer) {
	j := s.request
	if j.answer.AttemptEnded(o.Result) == attempt.Deliver {
		o.RequestDone = true
		p.core.HandleOutcome(now, j.id, o)
		p.finish(j, msgrpc.Success(j.number, a.Body))
		return
	}
	p.core.HandleOutcome(now, j.id, o)
	p.release(j)
}

// sortedByID gives what is open on a connection in an order of its own: never that of a map.
func sortedByID(open map[binframe.ID]*serverCall) []*serverCall {
	return slices.SortedFunc(maps.Values(open), func(a, b *serverCall) int { return cmp.Compare(a.id, b.id) })
}

// countAnomaly notes what is out of order; one line tells of all in some seconds, so that a flood costs no log.
func (p *Router) countAnomaly(what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.anomalies[what]++
}

func (p *Router) countBadMessage(f *msgrpc.Fault) { p.countAnomaly("bad message: " + f.Text) }

// logState writes that line.
func (p *Router) logState() {
	p.mu.Lock()
	var parts []string
	for what, n := range p.anomalies {
		parts = append(parts, fmt.Sprintf("%s: %d", what, n))
	}
	clear(p.anomalies)
	clients := len(p.clients)
	p.mu.Unlock()
	slices.Sort(parts)
	p.log.Info().Int("clients", clients).Int("server_connections", p.serverConnCount).Int("jobs", len(p.requests)).Int("held", p.core.Held()).
		Uint64("list", p.discovery.Revision()).Int64("oldest_list_us", p.oldestEndpoints.take()).Int64("after_drain_us", p.afterDrain.take()).
		Str("out_of_order", strings.Join(parts, "; ")).Msg("state")
}

// peak is the largest of some numbers that several goroutines note; none: 0.
type peak struct{ atomic.Int64 }

func (m *peak) record(n int64) {
	for {
		old := m.Load()
		if n <= old || m.CompareAndSwap(old, n) {
			return
		}
	}
}

// take gives it and begins anew.
func (m *peak) take() int64 { return m.Swap(0) }

// traceRejections tells why jobs are turned away, where the log is told to.
func (p *Router) traceRejections() error {
	if p.log.Trace() == nil {
		return nil
	}
	return p.core.SetTrace(&control.Trace{OnDecision: func(w control.Explanation) {
		if w.Decision.Action != control.Reject && w.Decision.Action != control.Fail {
			return
		}
		var warm, coming, waiting, shunned, suspect int
		for _, b := range w.Servers {
			waiting += b.PendingLoads
			warm, coming = warm+countOf(b.Loaded), coming+countOf(b.LoadingNow)
			shunned, suspect = shunned+countOf(b.Overloaded), suspect+countOf(b.Ejected)
		}
		p.log.Trace().Str("why", w.Reason).Str("function", fmt.Sprintf("%016x", uint64(w.Function))).Int64("exec", int64(w.ExecTime)).
			Int64("slack", int64(w.Slack)).Int64("load", int64(w.LoadTime)).Int("held", w.Held).Float64("B", w.B).Int("warm", warm).
			Int("coming", coming).Int("waiting", waiting).Int("shunned", shunned).Int("suspect", suspect).
			Int("servers", len(w.Servers)).Msg("turned away")
	}})
}

func countOf(is bool) int {
	if is {
		return 1
	}
	return 0
}

// logAttempt tells of one execution or order, where the log is told to.
func (p *Router) logAttempt(now control.Micros, s *serverCall, result control.Result, a *binframe.Answer) {
	e := p.log.Debug()
	if e == nil {
		return
	}
	function := uint64(s.load.Function)
	if s.request != nil {
		function = uint64(s.request.ask.FunctionID())
	}
	if a != nil {
		e = e.Uint8("found", uint8(a.CacheStatus))
	}
	e.Str("id", fmt.Sprintf("%016x", uint64(s.id))).Bool("order", s.request == nil).Str("function", fmt.Sprintf("%016x", function)).
		Str("server", s.address()).Int64("chosen", int64(s.chosenAt)).Bool("whole", s.writtenWhole.Load()).
		Int64("answered", int64(now)).Uint8("result", uint8(result)).Msg("execution")
}
