// Package gateway sets client and worker connections round one core. One goroutine owns the core, takes its turns and
// carries out what it asks; connections have goroutines of their own, which feed it and are fed by it. Nothing that
// may wait happens within a turn.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/certstore"
	"hollymast/internal/core"
	"hollymast/internal/eventqueue"
	"hollymast/internal/fleet"
	"hollymast/internal/loadreport"
	"hollymast/internal/overload"
	"hollymast/internal/persistence"
	"hollymast/internal/record"
	"hollymast/internal/rest"
	"hollymast/internal/xds"
	"hollymast/kserve"
)

// Gateway is one router.
type Gateway struct {
	told    *Config
	log     zerolog.Logger
	started time.Time
	epoch   control.Micros // the router's time at its start
	run     string         // tells marks that we make from those of other runs
	via     string         // names this router to servers (RFC 9110, 7.6.3)
	metrics *metrics

	// The turn's own; touched by no other goroutine.
	core       *core.Core
	writer     *record.Writer // nil: nothing is recorded
	tape       *record.Tape   // the writer's
	recent     recent
	view       *xds.View // nil: ours is not served
	tally      *loadreport.Tally
	storm      *overload.Watch            // nil: storms are not damped
	counted    *counted                   // the tally, for others; nil: it is not reported
	keeper     *keeper                    // nil: nothing outlasts this run
	unknown    control.Micros             // until when an earlier life's marked jobs may be owed and are not known
	between    []func(now control.Micros) // to be called after the turn
	clock      control.Micros             // of the turn under way
	listAsOf   control.Micros             // as of when the list that this turn chooses from was complete
	looking    chan struct{}              // closed when the look that was asked for has ended; nil: none is awaited
	recordings int
	fleet      *fleet.Fleet
	jobs       map[control.RequestID]*job
	last       control.RequestID
	pools      map[control.ServerID]*pool
	timer      *time.Timer
	due        control.Micros // when the timer fires
	pruned     control.Micros
	stopping   bool
	orders     int // without an answer
	// complete is the last time of which it is known that the list was complete; 0: none is.
	complete control.Micros

	// Shared.
	listWhole  atomic.Int64 // complete, as whoever follows the list's source knows it
	box        *eventqueue.Queue
	bytes      atomic.Int64 // of bodies in hand
	clients    atomic.Int64 // connections
	ready      atomic.Bool  // a list was read, and we take jobs
	stopTold   atomic.Int64 // the router's time at which it was; 0: not
	dials      chan struct{}
	connect    func(ctx context.Context, address string) (*rest.Client, error) // to a server; tests have it fail
	refresh    chan chan struct{}                                              // holds one
	lookNow    atomic.Bool                                                     // the list is read before the next turn, however young it is
	rings      map[string]*certstore.Ring                                      // by kind of connections
	serving    context.Context                                                 // ends with the last turn
	distrusted sync.Map                                                        // address of a worker to what was last said of its certificate
	links      sync.WaitGroup
	asked      sync.WaitGroup // client connections
	listeners  []net.Listener
	listening  sync.WaitGroup
	conns      sync.Map // of *rest.Conn
	ended      chan struct{}
}

// job is a job as its client's connection and its executions see it.
type job struct {
	id         control.RequestID
	name       string // of the function
	call       kserve.Call
	request    *rest.Request
	client     *rest.Conn
	seen       atomic.Int64 // when the client was last looked at and had not gone, the router's time
	mark       string
	kept       persistence.Mark // for the journal
	patience   control.Micros
	workload   control.ClassID
	tenant     string
	due        control.Micros      // its start target
	answer     chan *rest.Response // holds one
	state      attempt.FinalAnswer
	executions []*sending
}

// New opens the router's listeners. Errors are those of listening.
func New(told *Config, log zerolog.Logger) (*Gateway, error) {
	seed := told.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	g := &Gateway{told: told, log: log, started: time.Now(), box: eventqueue.New(),
		jobs: map[control.RequestID]*job{}, pools: map[control.ServerID]*pool{}, dials: make(chan struct{}, told.MaxDials),
		refresh: make(chan chan struct{}, 1), ended: make(chan struct{}), metrics: newMetrics(told)}
	// Lists tell starts by the wall clock, and a memory its times, so the router's time begins there; from then on it is monotonic,
	// whatever is done to that clock.
	g.epoch = control.Micros(g.started.UnixMicro())
	g.connect = func(ctx context.Context, address string) (*rest.Client, error) {
		return rest.DialWith(ctx, address, &workerLimits, g.secure())
	}
	g.run = fmt.Sprintf("%x-%x", told.Deployment.Number, g.epoch)
	g.via = fmt.Sprintf("1.1 hollymast-%d", told.Deployment.Number)
	if err := g.openRings(); err != nil {
		return nil, err
	}
	g.fleet, g.tally = fleet.New(0), loadreport.NewTally(g.epoch)
	g.fleet.SetSlowStartDuration(told.Deployment.SlowStartDuration)
	if told.LoadReports {
		g.counted = &counted{g: g}
	}
	if told.DampOverload {
		shares := make([]float64, len(told.Deployment.Quotas))
		for i, s := range told.Deployment.Quotas {
			shares[i] = s / float64(told.Deployment.Routers)
		}
		g.storm = overload.NewWatch(g.epoch, shares, told.Priorities, told.Deployment.MaxRetryAfter, seed)
	}
	deployment := told.Deployment
	deployment.Zone = g.fleet.Zone(told.Zone)
	module := control.New(g.epoch, seed, deployment)
	if told.StateDir != "" {
		g.keeper, g.unknown = openKeeper(told, g.now(), module, log)
		g.metrics.journal(g.keeper)
		if g.keeper != nil && g.keeper.usual != nil && g.storm != nil {
			g.storm.Recall(g.epoch, *g.keeper.usual, g.keeper.age)
		}
	}
	g.core = core.New(module, g)
	for _, address := range []string{told.Listen, told.AdminListen} {
		if address == "" {
			continue
		}
		l, err := listen(address)
		if err != nil {
			g.closeListeners()
			g.keeper.close()
			return nil, err
		}
		g.listeners = append(g.listeners, l)
	}
	if told.ServeView != "" {
		var err error
		if g.view, err = xds.NewView(told.ServeView, g.credentials(fromViewers)); err != nil {
			g.closeListeners()
			g.keeper.close()
			return nil, err
		}
	}
	if told.RecordDir != "" {
		if err := g.startRecording(g.epoch, told.RecordDir); err != nil {
			g.closeListeners()
			g.keeper.close()
			if g.view != nil {
				g.view.Close()
			}
			return nil, err
		}
	}
	return g, nil
}

// Address is where clients are listened to; useful where port 0 was told.
func (g *Gateway) Address() string { return g.listeners[0].Addr().String() }

// AdminAddress is where health and metrics are told; empty without.
func (g *Gateway) AdminAddress() string {
	if len(g.listeners) < 2 {
		return ""
	}
	return g.listeners[1].Addr().String()
}

// span is a time of the module's as the standard library has it.
func span(t control.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

func (g *Gateway) now() control.Micros { return g.epoch + micros(time.Since(g.started)) }

// tell has f called in the next turn.
func (g *Gateway) tell(f func(now control.Micros)) { g.box.Post(f) }

// Serve routes until the context ends; then it stops taking jobs, gives each one in hand its answer within its own
// limits, and returns. A nil error means that none was left.
func (g *Gateway) Serve(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	g.serving = serving
	g.followRings(serving)
	if g.counted != nil {
		g.listening.Add(1)
		go func() {
			defer g.listening.Done()
			g.report(serving)
		}()
	}
	for i, l := range g.listeners {
		g.listening.Add(1)
		go func() {
			defer g.listening.Done()
			g.accept(l, i > 0)
		}()
	}
	g.listening.Add(1)
	go func() {
		defer g.listening.Done()
		g.follow(serving)
	}()
	if g.keeper != nil {
		g.listening.Add(1)
		go func() {
			defer g.listening.Done()
			g.keeper.keep(g)
		}()
		if g.keeper.tally != nil {
			g.listening.Add(1)
			go func() {
				defer g.listening.Done()
				g.keeper.keepUse(g)
			}()
		}
	}
	if g.view != nil {
		g.listening.Add(1)
		go func() {
			defer g.listening.Done()
			g.publish()
		}()
	}
	g.timer = time.NewTimer(time.Hour)
	defer g.timer.Stop()
	done := ctx.Done()
	var last <-chan time.Time // when all jobs are to have their answers
	var batch []func(control.Micros)
	g.turn(g.now(), nil)
	for {
		select {
		case <-g.box.Ready():
		case <-g.timer.C:
		case <-done:
			done = nil
			g.beginStop()
			last = time.After(g.told.stopTimes().answered)
		case <-last:
			g.tell(g.answerAll)
		}
		g.noteStop(g.now() - g.due)
		g.catchUp()
		batch = g.box.Drain(batch)
		g.turn(g.now(), batch)
		if g.stopping && len(g.jobs) == 0 {
			if g.orders == 0 {
				break
			}
			g.dropOrders()
		}
	}
	g.log.Info().Msg("no job is left in hand")
	return g.finish(stop)
}

// noteStop tells of a time in which this process was stopped.
func (g *Gateway) noteStop(late control.Micros) {
	if !attempt.Stalled(late, micros(g.told.GracePeriod)) {
		return
	}
	g.log.Warn().Int64("late_us", int64(late)).Msg("the router stood still")
	if g.storm != nil {
		g.storm.Woke(g.now(), late)
	}
}

// catchUp has all that the list's source told taken in by the turn that comes next.
func (g *Gateway) catchUp() {
	asOf := g.now()
	if g.lookNow.Swap(false) || attempt.MustReadEndpoints(asOf-g.listAsOf, micros(g.told.GracePeriod)) {
		g.look()
		g.listAsOf = asOf
	}
	g.complete = control.Micros(g.listWhole.Load()) // before the batch is taken: it holds all told by then
}

// look waits until the list's source was looked at. A source that gives no word for a quarter of the grace counts as one that
// can't be reached: the router goes on with what it knows, and waits for no other look before that one has ended.
func (g *Gateway) look() {
	if g.looking != nil {
		select {
		case <-g.looking:
		default:
			return
		}
	}
	g.looking = make(chan struct{})
	g.refresh <- g.looking // has room: the look before has ended
	timer := time.NewTimer(g.told.GracePeriod / 4)
	defer timer.Stop()
	select {
	case <-g.looking:
	case <-timer.C:
	}
}

func (g *Gateway) turn(now control.Micros, heard []func(control.Micros)) {
	begun := time.Now()
	g.clock = now
	for _, f := range heard {
		f(now)
	}
	g.fleet.SetCompleteAsOf(g.complete)
	g.core.Step(now)
	for _, f := range g.between {
		f(now)
	}
	clear(g.between)
	g.between = g.between[:0]
	g.prune(now)
	g.watchStorm()
	g.metrics.turn.Observe(time.Since(begun).Seconds())
	g.metrics.inHand.Set(float64(len(g.jobs)))
	g.metrics.held.Set(float64(g.core.Held()))
}

// Refresh has the list read again at once.
func (g *Gateway) RefreshEndpoints() {
	g.lookNow.Store(true)
	g.tell(func(control.Micros) {})
}

// dropOrders stops waiting for answers to orders: with no job in hand they serve nobody here.
func (g *Gateway) dropOrders() {
	for _, p := range g.pools {
		for s := range p.out {
			if s.job == nil {
				s.callOff()
			}
		}
	}
}

func (g *Gateway) finish(stop context.CancelFunc) error {
	if g.keeper != nil {
		g.keeper.last = g.kept(g.now())
		if g.keeper.tally != nil {
			g.keeper.lastUse = g.keeper.tally.Take()
		}
	}
	close(g.ended)
	stop()
	if g.writer != nil {
		g.core.SetRecorder(nil)
		g.tape = nil
		g.writer.Close()
		g.log.Info().Int64("bytes", g.writer.Written()).Int64("lost_turns", g.writer.Lost()).Msg("recording ended")
	}
	g.closePools()
	settled := make(chan struct{})
	go func() {
		g.listening.Wait()
		g.asked.Wait()
		g.links.Wait()
		close(settled)
	}()
	// Answers are written; only those who may still ask are left, and slow readers.
	timer := time.NewTimer(time.Until(g.sinceStop(g.told.stopTimes().closed)))
	defer timer.Stop()
	select {
	case <-settled:
		return nil
	case <-timer.C:
	}
	n := 0
	g.conns.Range(func(c, _ any) bool {
		n++
		c.(*rest.Conn).Close()
		return true
	})
	<-settled
	if n > 0 {
		g.log.Warn().Int("connections", n).Msg("closed on clients that did not read or go")
	}
	return nil
}

func (g *Gateway) closeListeners() {
	for _, l := range g.listeners {
		l.Close()
	}
}

// functionID is the same in every router, since all share one order of servers for a function. With a key, which all
// routers must be told alike, nobody without it can check guessed names against the ids in a recording.
func functionID(key, name string) control.FunctionID {
	return control.FunctionID(record.Tag(key, name))
}

// arrived takes a job in hand, or pushes it back at once beyond the bounds.
func (g *Gateway) arrived(now control.Micros, j *job, p Pattern, tenant control.TenantID, ask kserve.Ask, age control.Micros) {
	if g.stopping || len(g.jobs) >= g.told.MaxRequests {
		why := "too many jobs are in hand"
		if g.stopping {
			why = "this router is stopping"
		}
		j.state.Give()
		j.answer <- pushedBack(why, g.told.Deployment.MaxRetryAfter)
		g.metrics.answered("pushed back")
		return
	}
	if v := g.admitted(now, j.name, p.Class, tenant, ask); !v.Admit {
		j.state.Give()
		j.answer <- refusal("a storm of calls: "+v.Why.String(), v.StayAway, v.Why.String())
		g.metrics.answered("pushed back")
		g.metrics.damped.WithLabelValues(v.Why.String()).Inc()
		return
	}
	if why := g.unrecorded(now, g.told.mark(j.name, ask, p.Class)); why != "" {
		j.state.Give()
		j.answer <- pushedBack(why, g.told.Deployment.MaxRetryAfter)
		g.metrics.answered("pushed back")
		g.metrics.unrecorded.Inc()
		return
	}
	w := g.told.Deployment.Classes[p.Class]
	limit := w.MaxDeadline
	if ask.Timeout > 0 {
		limit = min(limit, control.Micros(ask.Timeout))
	}
	g.last++
	j.id, j.workload = g.last, p.Class
	begun := now - age
	j.due = begun + w.LatencyObjective
	j.patience = begun + limit - micros(g.told.AnswerMargin)
	if j.mark = ask.Mark; j.mark == "" {
		j.mark = g.run + "-" + strconv.FormatUint(uint64(j.id), 36)
	}
	g.jobs[j.id] = j
	j.kept = g.told.mark(j.name, ask, p.Class)
	g.took(now)
	earlier := g.earlier(now, j.kept)
	j.executions = make([]*sending, len(earlier))
	err := g.core.Add(now, control.Request{Attempts: earlier,
		ID: j.id, Class: p.Class, Tenant: tenant, Function: functionID(g.told.NameKey, j.name),
		Lanes: p.Lanes, Work: p.Work, LoadTime: p.LoadTime, ArrivedAt: begun, Deadline: max(now, j.patience), IsRetry: ask.Repeat, RetriesUnmarked: !ask.Counts})
	if err != nil {
		g.log.Error().Err(err).Msg("job not taken")
	} else if g.tape != nil && ask.ID != "" {
		g.tape.Asked(record.Tag(g.told.NameKey, ask.ID))
	}
	g.log.Debug().Uint64("job", uint64(j.id)).Str("request", ask.ID).Str("function", j.name).Msg("taken")
}

// end gives a job its one final answer.
func (g *Gateway) end(j *job, word string, p *rest.Response) {
	if !j.state.Give() {
		return
	}
	for _, s := range j.executions { // nothing is sent for a job that has its answer: the module's recall comes with its next upkeep
		if s != nil {
			s.withdraw()
		}
	}
	j.answer <- p
	g.metrics.answered(word)
	g.useAnswered(j, word)
	g.log.Debug().Uint64("job", uint64(j.id)).Str("answer", word).Int("executions", len(j.executions)).Msg("answered")
	g.release(j)
}

// release forgets a job that has its answer and no execution out.
func (g *Gateway) release(j *job) {
	if j.state.Done() {
		delete(g.jobs, j.id)
	}
}

// left takes in that a job's client is gone. Its answer is still due: a client that closed only its own side reads it.
func (g *Gateway) left(now control.Micros, j *job) {
	if j.state.Given {
		return
	}
	g.core.Cancel(now, j.id)
	g.end(j, "left", killed("the client closed its side of the connection"))
}

// Forward starts an execution.
func (g *Gateway) Forward(cj *control.Request, no control.AttemptID, to control.ServerID, allow control.Micros) {
	j := g.jobs[cj.ID]
	s := g.sending(to, allow)
	s.job, s.no, s.request, s.round = j, no, g.execution(j, no), g.enter(j.kept, to)
	if no > 0 && g.told.Deployment.Classes[j.workload].Effect == control.IdempotentByKey {
		s.until = min(s.until, g.clock+attempt.MaxKeyedRetryDelay)
	}
	j.executions = append(j.executions, s)
	j.state.AttemptBegan()
	g.tally.Chosen(g.fleet.Get(to).Address)
	g.recent.add(g.clock, record.Deed{Verb: record.Send, Job: cj.ID, No: no, Server: to, Time: allow})
	g.dispatch(s)
}

// Reject and Kill end a job.
func (g *Gateway) Reject(id control.RequestID, stayAway control.Micros) {
	g.recent.add(g.clock, record.Deed{Verb: record.PushBack, Job: id, Time: stayAway})
	g.end(g.jobs[id], "pushed back", pushedBack("not now: it could not be finished in time", g.spread(g.jobs[id], stayAway)))
}

// Fail ends a job of which nothing may be promised.
func (g *Gateway) Fail(id control.RequestID) {
	g.recent.add(g.clock, record.Deed{Verb: record.Kill, Job: id})
	g.end(g.jobs[id], "killed", killed("the job may have run; its end is not known"))
}

// CancelAttempt stops waiting for an execution.
func (g *Gateway) CancelAttempt(id control.RequestID, no control.AttemptID) {
	g.recent.add(g.clock, record.Deed{Verb: record.CallOff, Job: id, No: no})
	if j := g.jobs[id]; j != nil && int(no) < len(j.executions) {
		j.executions[no].callOff()
	}
}

// Load orders copies of a job's function.
func (g *Gateway) Load(cj *control.Request, o control.LoadCommand) {
	name := g.jobs[cj.ID].name
	s := g.sending(o.Server, micros(g.told.LoadTimeout))
	s.order = o
	if g.keeper != nil && g.told.Deployment.LoadRateWindow > 0 { // without a ration nothing is owed
		s.round = g.keeper.Append(persistence.Entry{Kind: persistence.Ordered, At: g.clock, Server: o.Server})
	}
	s.request = &rest.Request{Method: "POST", Target: kserve.Call{Kind: kserve.RepositoryLoad, Model: name}.Target(),
		Header: rest.Header{"Content-Type": {"application/json"}}, Body: kserve.LoadBody(o.Replicas)}
	g.orders++
	g.metrics.orders.Inc()
	g.useOrdered(g.jobs[cj.ID])
	g.recent.add(g.clock, record.Deed{Verb: record.Order, Job: cj.ID, Server: o.Server, Function: o.Function, Copies: o.Replicas})
	g.dispatch(s)
}

// SubscribeEndpoints has the list looked at; it is followed in any case.
func (g *Gateway) SubscribeEndpoints() {}

// LogServerEvent logs that a server was ejected or readmitted.
func (g *Gateway) LogServerEvent(event control.ServerEvent) {
	e := g.log.Info()
	if s := g.fleet.Get(event.Server); s != nil {
		e = e.Str("server", s.Address)
	}
	e.Msg(event.LogMessage())
}

// SetTimer sets the one timer.
func (g *Gateway) SetTimer(at control.Micros) {
	g.due = at
	g.timer.Reset(time.Duration(max(0, at-g.now())) * time.Microsecond)
}

// executed takes in the end of an execution.
func (g *Gateway) executed(now control.Micros, s *sending, o control.Outcome, p *rest.Response) {
	j := s.job
	delivery := j.state.AttemptEnded(o.Result)
	g.metrics.executed(o.Result)
	g.tally.Ended(g.pools[s.to].address, o.Result, o.Report)
	g.useExecuted(now, j, o)
	if o.Result.ProvesNotRun() {
		g.proved(j.kept, s.to)
	}
	if o.CacheStatus == control.CacheMiss {
		g.metrics.loads.Inc()
	}
	if delivery == attempt.Deliver {
		o.RequestDone = true
		g.core.HandleOutcome(now, j.id, o)
		j.due += control.Micros(g.told.Deployment.Classes[j.workload].ObjectivePerWork * float64(o.Duration))
		p.Header = forwarded(p.Header)
		p.Close, p.ChunkSize = false, 0
		g.end(j, "finished", p)
		if g.storm != nil {
			g.storm.Answered(now)
		}
		return
	}
	if delivery == attempt.Drop {
		g.metrics.late.Inc() // its job has its answer: the late one is dropped
	}
	g.core.HandleOutcome(now, j.id, o)
	g.release(j)
}

// ordered takes in the answer to an order.
func (g *Gateway) ordered(now control.Micros, s *sending, result control.Result, took control.Micros, copies int) {
	g.orders--
	g.core.HandleLoadResult(now, s.order.Server, s.order.Function, result, took, copies)
}

var errNoList = errors.New("no list of servers could be read yet")
