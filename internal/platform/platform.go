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
	"hollymast/internal/board"
	"hollymast/internal/core"
	"hollymast/internal/fleet"
	"hollymast/internal/mailbox"
	"hollymast/internal/msgrpc"
)

// Platform is one router.
type Platform struct {
	told    *Told
	log     zerolog.Logger
	started time.Time
	epoch   control.Micros // the router's time at its start: the Unix clock's, from then on monotonic

	// The turn's own; touched by no other goroutine.
	core     *core.Core
	fleet    *fleet.Fleet
	jobs     map[control.JobID]*job
	pools    map[control.ServerID]*pool
	linked   int                        // connections to servers
	bySince  *list.List                 // of *link: all that are not dropped, by when something last began or ended on them
	leaving  map[control.ServerID]*pool // to servers that are gone, until prune finds their connections ended
	timer    *time.Timer
	due      control.Micros // when the timer fires
	pruned   control.Micros
	clock    control.Micros // this turn's, or the last one's
	listAsOf control.Micros // as of when the list that this turn chooses from was complete
	// listBefore is listAsOf of the turn before: a change that this turn takes in was told after that.
	listBefore control.Micros
	listWhole  control.Micros // the last time of which it is known that the list was complete; 0: none is
	stopTold   control.Micros // to stop; 0: not
	chance     *rand.PCG      // for the ids of orders; decides nothing

	// Shared.
	box      *mailbox.Box
	calls    calls
	pulse    pulse
	follower *board.Follower
	ready    atomic.Bool
	listener *net.TCPListener
	accepted chan struct{} // closed when no connection is accepted any more
	away     chan struct{} // holds one for each connection that is read to be turned away
	mu       sync.Mutex
	clients  map[*client]struct{}
	turned   int            // of them, for which there is no room
	counts   map[string]int // what was out of order since the last line about it
	// What the log tells of the rule for drains, since the last line, in microseconds.
	oldestList maximum // of the lists that first bytes rested on: their age
	afterDrain maximum // the latest first byte to a server that drained or went: how much later than that, at most

	mostClients, mostLinks int
}

// job is a job as its client's connection and its executions see it.
type job struct {
	id         control.JobID
	number     uint32
	client     *client
	ask        msgrpc.Ask
	read       control.Micros // when its last byte was
	came       control.Micros // when it may have come: before, where the process stood still
	gone       atomic.Bool    // its client has cancelled or closed: no execution begins
	workload   control.WorkloadID
	tenant     control.TenantID
	state      attempt.Answer
	executions []*sending
}

const (
	// fewestSockets is what a router needs to serve at all.
	fewestSockets = 128
	// spare descriptors: standard streams, the poller, the listener, the board's two, the configuration, and as many
	// accepts and dials as may be ahead of what is counted.
	spare = 40
)

// New opens the router's listener.
func New(told *Told, log zerolog.Logger) (*Platform, error) {
	p := &Platform{told: told, log: log, started: time.Now(), epoch: control.Micros(told.wall().UnixMicro()), jobs: map[control.JobID]*job{},
		pools: map[control.ServerID]*pool{}, bySince: list.New(), leaving: map[control.ServerID]*pool{}, box: mailbox.New(), clients: map[*client]struct{}{}, counts: map[string]int{},
		fleet: fleet.New(0), calls: systemCalls, accepted: make(chan struct{}), away: make(chan struct{}, awayMost), chance: rand.NewPCG(told.Seed, 0)}
	p.fleet.OneClock()
	p.fleet.SlowStart(told.Deployment.Cold)
	// Usual clients hold up to a third; the rest of a half is for those that say nothing.
	p.mostClients = told.Sockets / 2
	p.mostLinks = told.Sockets - p.mostClients - spare
	deployment := told.Deployment
	deployment.Zone = p.fleet.Zone(told.zone)
	p.core = core.New(control.Start(p.epoch, told.Seed, deployment), p)
	if err := p.traceChoices(); err != nil {
		return nil, err
	}
	var state board.State
	if err := state.Known(told.Known); err != nil {
		return nil, err
	}
	p.timer = time.NewTimer(time.Hour)
	p.bySince, p.leaving = list.New(), map[control.ServerID]*pool{}
	p.listed(p.epoch, state.List())
	p.follower = board.NewFollower(state, told.Board, span(told.grace), told.Seed, func(news fleet.Update) {
		p.box.TellList(func(now control.Micros) { p.hearBoard(now, news) })
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
	for begin := time.Now(); ; time.Sleep(rereadFirst) {
		l, err := net.Listen("tcp", address)
		passes := slices.ContainsFunc([]error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
			syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR}, func(known error) bool { return errors.Is(err, known) })
		if !passes || time.Since(begin) > listenFor {
			return l, err
		}
	}
}

// Address is where clients are listened to.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// span is a time of the module's as the standard library has it.
func span(t control.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

func (p *Platform) now() control.Micros { return p.at(time.Now()) }

// at is a time of the standard library as the module has it.
func (p *Platform) at(t time.Time) control.Micros {
	return p.epoch + control.Micros(t.Sub(p.started)/time.Microsecond)
}

// Reload takes in a new configuration: where the notice board is. The rest needs a restart.
func (p *Platform) Reload(told *Told) { p.follower.Turn(told.Board) }

// Between two tries to read a configuration: first about as long as a file takes to be written, then less often, for one that
// stays broken.
const rereadFirst, rereadMost = 20 * time.Millisecond, time.Second

// ReloadOn reads the configuration again at each signal. Until it can be read, as when it is half written, the old one stands
// and it is tried again.
func (p *Platform) ReloadOn(ctx context.Context, signals <-chan os.Signal, env Environment) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		for pause, failed := rereadFirst, ""; ; pause = min(2*pause, rereadMost) {
			fresh, err := ReadTold(env)
			if err == nil {
				p.Reload(fresh)
				p.log.Info().Str("board", fresh.Board).Msg("reloaded")
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
				pause = rereadFirst / 2
			case <-time.After(pause):
			}
		}
	}
}

// A stopping router takes jobs for takesOn: they keep coming for 0.6 s. What comes after 0.7 s must have its answer before it is
// killed, however long the job would take, so that it is pushed back at once; connections are taken for servesOn, longer, for
// that answer, where the kill doesn't come sooner.
const (
	takesOn  = 650_000
	servesOn = 800 * time.Millisecond
)

// A stopping router is killed no sooner than killAfter and the longest deadline of its settings, of which killCounts counts at most,
// after it was told to stop. The times before that: connections end from endsBefore on, since on a quarter of a core some hundred
// take tens of milliseconds, and not before endsFrom, up to when requests come; what is still in hand gets its answer at answersBefore, by which a job taken at takesOn has had its own
// time; and nothing is read any more from readsBefore on, so that clients which never pause keep no connection open.
// A job that is only held, and whose client waits beyond the kill, is pushed back holdsBefore it: there is time to be served elsewhere.
const (
	killAfter, killCounts = 700_000, 3_000_000
	endsBefore            = 130_000
	endsFrom              = 600_000
	answersBefore         = 80_000
	readsBefore           = 60_000
	holdsBefore           = 550_000
)

// killedFrom is how long after the order to stop the kill may come.
func killedFrom(d control.Deployment) control.Micros {
	var longest control.Micros
	for _, w := range d.Workloads {
		longest = max(longest, w.TimeLimit)
	}
	return killAfter + min(longest, killCounts)
}

// stopStep is what a stopping router does at its time after the order.
type stopStep struct {
	at control.Micros
	do func()
}

// stopSteps gives them in their order.
func (p *Platform) stopSteps() []stopStep {
	kill := killedFrom(p.told.Deployment)
	return []stopStep{
		{min(control.Micros(servesOn/time.Microsecond), max(endsFrom, kill-endsBefore)), p.close},
		{kill - holdsBefore, p.pushBackHeld},
		{kill - answersBefore, p.answerAll},
		{kill - readsBefore, p.readNoMore},
	}
}

// Serve routes until the context ends, serves on for a little, gives each job in hand its answer, and returns once every
// client's connection has ended: each is read until nothing is left on it.
func (p *Platform) Serve(ctx context.Context) {
	following, stop := context.WithCancel(context.Background())
	var others sync.WaitGroup
	defer others.Wait()
	defer stop()
	others.Go(func() { p.follower.Follow(following) })
	others.Go(func() { p.beat(following) })
	others.Go(func() {
		defer close(p.accepted)
		p.accept(p.listener)
	})
	defer p.listener.Close()
	// What the configuration knows may be older than the grace: nothing is chosen from it before the board was asked.
	select {
	case <-p.follower.Started():
	case <-ctx.Done():
	}
	p.ready.Store(true)
	done, accepted, ending := ctx.Done(), p.accepted, false
	var next <-chan time.Time
	var steps []stopStep
	var batch []func(control.Micros)
	told := time.NewTicker(10 * time.Second)
	defer told.Stop()
	for {
		select {
		case <-p.box.Wake():
		case <-p.timer.C:
		case <-told.C:
			p.tell()
			continue
		case <-done:
			done = nil
			p.stopTold = p.now()
			p.ready.Store(false)
			p.log.Info().Int("jobs", len(p.jobs)).Msg("stopping: serving on a little, then answering what is in hand")
			steps = p.stopSteps()
			next = time.After(span(steps[0].at))
		case <-next:
			ending = true
			steps[0].do()
			if steps = steps[1:]; len(steps) > 0 {
				next = time.After(span(p.stopTold + steps[0].at - p.now()))
			}
		case <-accepted:
			accepted = nil
			p.endClients()
		}
		p.pace()
		p.catchUp()
		batch = p.box.Take(batch)
		p.turn(p.now(), batch)
		if accepted == nil && p.served() {
			break
		}
		if ending { // connections are ending
			p.timer.Reset(min(5*time.Millisecond, span(max(0, p.due-p.now()))))
		}
	}
	p.tell()
	p.log.Info().Msg("no job is left in hand")
	p.closeAll()
}

// apart is how far apart turns are at least, where the settings' tick is shorter: each asks again for every held job, and
// a thousand a second with 150 held took a quarter of a core. It is a hundredth of the shortest start target.
const apart = 3_000

// answersRead is for how long the readers of connections run after this process was stopped before the turn that may find the
// time of executions up: their answers may have come meanwhile. Reading what waits on some hundred connections takes less.
const answersRead = 10 * time.Millisecond

// pace keeps turns apart, so that what comes close together costs one.
func (p *Platform) pace() {
	now := p.now()
	if p.due > 0 && attempt.Stopped(now-p.due, p.told.grace) {
		p.count("the router stood still")
		time.Sleep(answersRead)
		return
	}
	least := max(apart, p.told.Deployment.Tick)
	if wait := p.clock + least - now; wait > 0 {
		time.Sleep(span(min(wait, least)))
	}
}

// catchUp has all that the notice board told taken in by the turn that comes next. It comes after the last wait before the
// turn's batch is taken: whenever this process was stopped, the turn's choices are no younger than their list.
func (p *Platform) catchUp() {
	p.listBefore = p.listAsOf
	if attempt.MustCatchUp(p.now()-p.listAsOf, p.told.grace) {
		p.listAsOf = p.at(p.follower.CatchUp())
		if complete := p.follower.Complete(); !complete.IsZero() { // before the batch is taken: it holds all told by then
			p.listWhole = p.at(complete)
		}
	}
}

func (p *Platform) turn(now control.Micros, heard []func(control.Micros)) {
	p.clock = now
	for _, f := range heard {
		f(now)
	}
	p.fleet.Complete(p.listWhole)
	p.core.Turn(now)
	p.prune(now)
}

// close ends the clients' connections, and the listener after those that wait there: they are ended in their turn.
func (p *Platform) close() {
	p.listenNoMore()
	p.endClients()
}

// listenNoMore has connections accepted that wait already, and no others.
func (p *Platform) listenNoMore() { p.listener.SetDeadline(time.Now().Add(lastLook)) }

// endClients ends the clients' connections, each once nothing is open on it and nothing left to read.
func (p *Platform) endClients() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.clients {
		c.end(lingerIdle)
	}
}

// readNoMore ends those that are still read, after a last look.
func (p *Platform) readNoMore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.clients {
		c.endBy(lastReads)
	}
}

// pushBackHeld pushes back what was never sent and whose client waits longer than this router can.
func (p *Platform) pushBackHeld() {
	kill := p.stopTold + killedFrom(p.told.Deployment)
	p.giveBack(func(j *job) bool { return len(j.executions) == 0 && j.read+j.ask.Patience > kill-answersBefore })
}

// answerAll gives all that is in hand its answer: whatever is not answered now meets the kill.
func (p *Platform) answerAll() { p.giveBack(func(*job) bool { return true }) }

// giveBack ends those jobs in hand that are meant. Nobody is harmed by trying one again that was never written, or whose repeats
// do no harm: that has time left with another router.
func (p *Platform) giveBack(meant func(j *job) bool) {
	now := p.now()
	for _, j := range slices.SortedFunc(maps.Values(p.jobs), func(a, b *job) int { return cmp.Compare(a.id, b.id) }) {
		if j.state.Given || !meant(j) {
			continue
		}
		p.count("ended by the stop")
		p.core.Left(now, j.id)
		mayHaveRun := slices.ContainsFunc(j.executions, func(s *sending) bool { return !s.withdraw() && s.reached() == attempt.Writing })
		if mayHaveRun && !p.told.Deployment.Workloads[j.workload].RepeatsAnywhere() {
			p.finish(j, msgrpc.Killed(j.number))
		} else {
			p.finish(j, msgrpc.PushedBack(j.number, p.told.Deployment.MaxStayAway))
		}
	}
}

// served tells whether every client's connection has ended, and with them all that was owed.
func (p *Platform) served() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.clients) == 0
}

// caught keeps a fault of our own on one connection from ending the others. It is told, since it needs mending.
func (p *Platform) caught(at string) {
	if fault := recover(); fault != nil {
		p.count("fault of our own " + at)
		p.log.Error().Str("at", at).Interface("fault", fault).Bytes("stack", debug.Stack()).Msg("fault of our own")
	}
}

func (p *Platform) closeAll() {
	for _, pl := range p.pools {
		for _, l := range pl.links {
			l.close()
		}
	}
}

// hearBoard takes in what the notice board told.
func (p *Platform) hearBoard(now control.Micros, news fleet.Update) {
	if news.Whole {
		p.listed(now, news.Entries)
		return
	}
	changed := p.fleet.Changes(now, news.Entries)
	p.core.Listed(now, control.ListChanges, changed)
	for _, l := range changed {
		if pl := p.pools[l.Server]; pl != nil {
			p.relist(now, pl)
		}
	}
}

// listed takes in the complete list of servers.
func (p *Platform) listed(now control.Micros, all []fleet.Entry) {
	p.core.Listed(now, control.ListWhole, p.fleet.Whole(now, all))
	for _, pl := range p.pools {
		p.relist(now, pl)
	}
}

// relist ends the connections to a server that takes nothing new, or lives another life.
func (p *Platform) relist(now control.Micros, pl *pool) {
	s := p.fleet.Get(pl.id)
	if s == nil || s.State != control.Ready || s.Address != pl.address || control.Micros(s.Told.Born) != pl.born {
		p.afterDrain.note(pl.firstByte.Load() - int64(p.listBefore))
		p.unlist(now, pl)
		if s != nil && s.State == control.Ready { // another life: other connections
			delete(p.pools, pl.id)
		}
	}
	if s == nil || s.State == control.Gone {
		p.leaving[pl.id] = pl
	}
}

// onTheWay is what of a client's patience goes by before its job is here, and before its answer is there: a millisecond or
// two each, and several where the core is shared.
const onTheWay = 10_000

// arrived takes a job in hand.
func (p *Platform) arrived(now control.Micros, j *job) {
	if j.client.left(j) {
		return // before this turn
	}
	if p.stopTold > 0 && now >= p.stopTold+takesOn {
		p.finish(j, msgrpc.PushedBack(j.number, p.told.Deployment.MaxStayAway))
		return
	}
	if p.jobs[j.id] != nil {
		p.badInput(&msgrpc.Fault{Number: j.number, Text: "ref: open already"})
		if other := p.jobs[j.id]; other.client == j.client && !other.state.Given { // which of the two was meant?
			p.core.Left(now, other.id)
			p.finish(other, msgrpc.Invalid(other.number, "ref: sent twice"))
		}
		p.finish(j, msgrpc.Invalid(j.number, "ref: open already"))
		return
	}
	p.jobs[j.id] = j
	err := p.core.Arrived(now, control.Job{ID: j.id, Workload: j.workload, Tenant: j.tenant, Function: j.ask.FunctionID(),
		Lanes: j.ask.Lanes, Work: j.ask.Work, LoadTime: j.ask.LoadTime, Arrived: now,
		Patience: max(now, j.read+j.ask.Patience-onTheWay), Repeat: j.ask.Repeat})
	if err != nil {
		p.log.Error().Err(err).Msg("job not taken")
		delete(p.jobs, j.id)
		p.finish(j, msgrpc.PushedBack(j.number, p.told.Deployment.MaxStayAway))
	}
}

// left tells whether the client has no use for an answer any more.
func (c *client) left(j *job) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[j.number] != j
}

// finish gives a job its one final answer.
func (p *Platform) finish(j *job, data []byte) {
	if !j.state.Give() {
		return
	}
	for _, s := range j.executions { // nothing is sent for a job that has its answer
		s.withdraw()
	}
	j.client.answer(j, data)
	p.release(j)
}

// release forgets a job that has its answer and no execution out.
func (p *Platform) release(j *job) {
	if j.state.Over() && p.jobs[j.id] == j {
		delete(p.jobs, j.id)
	}
}

// left takes in that a job's client no longer waits.
func (p *Platform) left(now control.Micros, j *job) {
	j.client.mu.Lock()
	if j.client.open[j.number] == j {
		delete(j.client.open, j.number)
	}
	j.client.mu.Unlock()
	if j.state.Given || p.jobs[j.id] != j {
		return
	}
	p.core.Left(now, j.id)
	p.finish(j, nil)
}

// Send starts an execution.
func (p *Platform) Send(cj *control.Job, no control.ExecutionID, to control.ServerID, allow control.Micros) {
	j := p.jobs[cj.ID]
	s := p.sending(to, allow)
	s.job, s.no, s.id = j, no, binframe.ID(j.id)
	if w := p.told.Deployment.Workloads[j.workload]; w.Effect == control.Fingerprinted {
		for _, e := range cj.Executions[:no] {
			if e.MayRun { // the group must still remember it when this one comes
				s.until = min(s.until, e.Sent+w.Window-onTheWay)
			}
		}
	}
	j.executions = append(j.executions, s)
	j.state.Sent()
	s.ends = min(s.deadline, j.came+j.ask.Patience-onTheWay)
	s.until = min(s.until, s.ends)
	s.request = &binframe.Execution{ID: s.id, Class: j.ask.Class, Function: j.ask.Function, Mark: j.ask.Mark, Body: j.ask.Body}
	p.dispatch(p.clock, s, nil)
}

func (p *Platform) sending(to control.ServerID, allow control.Micros) *sending {
	return &sending{p: p, to: to, chosen: p.clock, deadline: p.clock + allow, ends: p.clock + allow, listAsOf: p.listAsOf,
		until: min(p.clock+allow, attempt.WriteUntil(p.listAsOf, p.told.grace))}
}

// PushBack and Kill end a job.
func (p *Platform) PushBack(id control.JobID, stayAway control.Micros) {
	j := p.jobs[id]
	p.finish(j, msgrpc.PushedBack(j.number, stayAway))
}

// Kill ends a job of which nothing may be promised.
func (p *Platform) Kill(id control.JobID) {
	j := p.jobs[id]
	p.finish(j, msgrpc.Killed(j.number))
}

// CallOff stops waiting for an execution.
func (p *Platform) CallOff(id control.JobID, no control.ExecutionID) {
	j := p.jobs[id]
	if j == nil || int(no) >= len(j.executions) {
		return
	}
	s := j.executions[no]
	if !s.state.CallOff() {
		return
	}
	result := control.Cancelled
	if s.withdraw() {
		result = control.NeverSent
	} else {
		p.giveUp(s)
	}
	p.box.Tell(func(now control.Micros) { p.ended(now, s, result, nil) })
}

// Order orders copies of a job's function.
func (p *Platform) Order(_ *control.Job, o control.Order) {
	s := p.sending(o.Server, p.told.orderLimit)
	s.order, s.id = o, p.orderID()
	p.dispatch(p.clock, s, binframe.Order(s.id, o.Function, o.Copies))
}

// Subscribe has nothing to do: the board is followed in any case.
func (p *Platform) Subscribe() {}

// Note writes a line in the log.
func (p *Platform) Note(text string) { p.log.Info().Msg(text) }

// Alarm sets the one timer.
func (p *Platform) Alarm(at control.Micros) {
	p.due = at
	p.timer.Reset(span(max(0, at-p.now())))
}

// executed takes in the end of an execution.
func (p *Platform) executed(now control.Micros, s *sending, o control.Outcome, a *binframe.Answer) {
	j := s.job
	if j.state.Ended(o.Result) == attempt.Deliver {
		o.JobOver = true
		p.core.Answered(now, j.id, o)
		p.finish(j, msgrpc.Finished(j.number, a.Body))
		return
	}
	p.core.Answered(now, j.id, o)
	p.release(j)
}

// inOrder gives what is open on a connection in an order of its own: never that of a map.
func inOrder(open map[binframe.ID]*sending) []*sending {
	return slices.SortedFunc(maps.Values(open), func(a, b *sending) int { return cmp.Compare(a.id, b.id) })
}

// count notes what is out of order; one line tells of all in some seconds, so that a flood costs no log.
func (p *Platform) count(what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[what]++
}

func (p *Platform) badInput(f *msgrpc.Fault) { p.count("bad message: " + f.Text) }

// tell writes that line.
func (p *Platform) tell() {
	p.mu.Lock()
	var parts []string
	for what, n := range p.counts {
		parts = append(parts, fmt.Sprintf("%s: %d", what, n))
	}
	clear(p.counts)
	clients := len(p.clients)
	p.mu.Unlock()
	slices.Sort(parts)
	p.log.Info().Int("clients", clients).Int("server_connections", p.linked).Int("jobs", len(p.jobs)).Int("held", p.core.Held()).
		Uint64("list", p.follower.Last()).Int64("oldest_list_us", p.oldestList.take()).Int64("after_drain_us", p.afterDrain.take()).
		Str("out_of_order", strings.Join(parts, "; ")).Msg("state")
}

// maximum is the largest of some numbers that several goroutines note; none: 0.
type maximum struct{ atomic.Int64 }

func (m *maximum) note(n int64) {
	for {
		old := m.Load()
		if n <= old || m.CompareAndSwap(old, n) {
			return
		}
	}
}

// take gives it and begins anew.
func (m *maximum) take() int64 { return m.Swap(0) }

// traceChoices tells why jobs are turned away, where the log is told to.
func (p *Platform) traceChoices() error {
	if p.log.Trace() == nil {
		return nil
	}
	return p.core.Trace(&control.Trace{Placed: func(w control.Why) {
		if w.Placement.Verb != control.PushBack && w.Placement.Verb != control.Kill {
			return
		}
		var warm, coming, waiting, shunned, suspect int
		for _, b := range w.Servers {
			waiting += b.Waiting
			warm, coming = warm+one(b.Warm), coming+one(b.Coming)
			shunned, suspect = shunned+one(b.Shunned), suspect+one(b.Suspect)
		}
		p.log.Trace().Str("why", w.Ended).Str("function", fmt.Sprintf("%016x", uint64(w.Function))).Int64("exec", int64(w.Exec)).
			Int64("slack", int64(w.Slack)).Int64("load", int64(w.LoadTime)).Int("held", w.Held).Float64("B", w.B).Int("warm", warm).
			Int("coming", coming).Int("waiting", waiting).Int("shunned", shunned).Int("suspect", suspect).
			Int("servers", len(w.Servers)).Msg("turned away")
	}})
}

func one(is bool) int {
	if is {
		return 1
	}
	return 0
}

// trace tells of one execution or order, where the log is told to.
func (p *Platform) trace(now control.Micros, s *sending, result control.Result, a *binframe.Answer) {
	e := p.log.Debug()
	if e == nil {
		return
	}
	function := uint64(s.order.Function)
	if s.job != nil {
		function = uint64(s.job.ask.FunctionID())
	}
	if a != nil {
		e = e.Uint8("found", uint8(a.Found))
	}
	e.Str("id", fmt.Sprintf("%016x", uint64(s.id))).Bool("order", s.job == nil).Str("function", fmt.Sprintf("%016x", function)).
		Str("server", s.address()).Int64("chosen", int64(s.chosen)).Bool("whole", s.whole.Load()).
		Int64("answered", int64(now)).Uint8("result", uint8(result)).Msg("execution")
}
