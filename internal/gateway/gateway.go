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
	"strings"
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
	config      *Config
	log         zerolog.Logger
	startedAt   time.Time
	epoch       control.Micros // the router's time at its start
	incarnation string         // tells marks that we make from those of other runs
	via         string         // names this router to servers (RFC 9110, 7.6.3)
	metrics     *metrics

	// The turn's own; touched by no other goroutine.
	core             *core.Core
	recordWriter     *record.Writer   // nil: nothing is recorded
	recorder         *record.Recorder // the writer's
	decisions        decisionLog
	view             *xds.View // nil: ours is not served
	loadTally        *loadreport.Collector
	overload         *overload.Controller       // nil: storms are not damped
	loadReporter     *loadReporter              // the tally, for others; nil: it is not reported
	state            *stateKeeper               // nil: nothing outlasts this run
	keysUnknownUntil control.Micros             // until when an earlier life's marked jobs may be owed and are not known
	afterStepFuncs   []func(now control.Micros) // to be called after the turn
	stepTime         control.Micros             // of the turn under way
	endpointsAsOf    control.Micros             // as of when the list that this turn chooses from was complete
	pendingRead      chan struct{}              // closed when the look that was asked for has ended; nil: none is awaited
	recordingCount   int
	fleet            *fleet.Fleet
	requests         map[control.RequestID]*request
	lastID           control.RequestID
	pools            map[control.ServerID]*serverPool
	timer            *time.Timer
	timerAt          control.Micros // when the timer fires
	prunedAt         control.Micros
	stopping         bool
	openLoadCommands int // without an answer
	// complete is the last time of which it is known that the list was complete; 0: none is.
	endpointsCompleteAsOf control.Micros

	// Shared.
	sourceCompleteAsOf atomic.Int64 // complete, as whoever follows the list's source knows it
	queue              *eventqueue.Queue
	bodyBytes          atomic.Int64 // of bodies in hand
	clientCount        atomic.Int64 // connections
	ready              atomic.Bool  // a list was read, and we take jobs
	stopRequestedAt    atomic.Int64 // the router's time at which it was; 0: not
	dialing            chan struct{}
	dial               func(ctx context.Context, address string) (*rest.Client, error) // to a server; tests have it fail
	sourceReads        chan chan struct{}                                              // holds one
	readRequested      atomic.Bool                                                     // the list is read before the next turn, however young it is
	certStores         map[string]*certstore.Store                                     // by kind of connections
	serveContext       context.Context                                                 // ends with the last turn
	lastTLSErrors      sync.Map                                                        // address of a worker to what was last said of its certificate
	serverConns        sync.WaitGroup
	clientReaders      sync.WaitGroup // client connections
	listeners          []net.Listener
	background         sync.WaitGroup
	clientConns        sync.Map // of *rest.Conn
	loopEnded          chan struct{}
}

// job is a job as its client's connection and its executions see it.
type request struct {
	id              control.RequestID
	function        string // of the function
	call            kserve.Call
	message         *rest.Request
	client          *rest.Conn
	clientCheckedAt atomic.Int64 // when the client was last looked at and had not gone, the router's time
	idempotencyKey  string
	journalKey      persistence.IdempotencyKey // for the journal
	deadline        control.Micros
	class           control.ClassID
	tenant          string
	objectiveAt     control.Micros      // its start target
	response        chan *rest.Response // holds one
	answer          attempt.FinalAnswer
	attempts        []*serverCall
}

// New opens the router's listeners. Errors are those of listening.
func New(config *Config, log zerolog.Logger) (*Gateway, error) {
	seed := config.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	g := &Gateway{config: config, log: log, startedAt: time.Now(), queue: eventqueue.New(),
		requests: map[control.RequestID]*request{}, pools: map[control.ServerID]*serverPool{}, dialing: make(chan struct{}, config.MaxDials),
		sourceReads: make(chan chan struct{}, 1), loopEnded: make(chan struct{}), metrics: newMetrics(config)}
	// Lists tell starts by the wall clock, and a memory its times, so the router's time begins there; from then on it is monotonic,
	// whatever is done to that clock.
	g.epoch = control.Micros(g.startedAt.UnixMicro())
	g.dial = func(ctx context.Context, address string) (*rest.Client, error) {
		return rest.DialWith(ctx, address, &serverLimits, g.serverHandshake())
	}
	g.incarnation = fmt.Sprintf("%x-%x", config.Deployment.Number, g.epoch)
	g.via = fmt.Sprintf("1.1 hollymast-%d", config.Deployment.Number)
	if err := g.openCertStores(); err != nil {
		return nil, err
	}
	g.fleet, g.loadTally = fleet.New(0), loadreport.NewCollector(g.epoch)
	g.fleet.SetSlowStartDuration(config.Deployment.SlowStartDuration)
	if config.LoadReports {
		g.loadReporter = &loadReporter{gateway: g}
	}
	if config.DampOverload {
		shares := make([]float64, len(config.Deployment.Quotas))
		for i, s := range config.Deployment.Quotas {
			shares[i] = s / float64(config.Deployment.Routers)
		}
		g.overload = overload.NewController(g.epoch, shares, config.Priorities, config.Deployment.MaxRetryAfter, seed)
	}
	deployment := config.Deployment
	deployment.Zone = g.fleet.Zone(config.Zone)
	module := control.New(g.epoch, seed, deployment)
	if config.StateDir != "" {
		g.state, g.keysUnknownUntil = openStateKeeper(config, g.now(), module, log)
		g.metrics.registerJournal(g.state)
		if g.state != nil && g.state.usualLoad != nil && g.overload != nil {
			g.overload.Restore(g.epoch, *g.state.usualLoad, g.state.usualLoadAge)
		}
	}
	g.core = core.New(module, g)
	for _, address := range []string{config.Listen, config.AdminListen} {
		if address == "" {
			continue
		}
		l, err := listenTCP(address)
		if err != nil {
			g.closeListeners()
			g.state.close()
			return nil, err
		}
		g.listeners = append(g.listeners, l)
	}
	if config.ServeView != "" {
		var err error
		if g.view, err = xds.NewView(config.ServeView, g.credentials(viewConnections)); err != nil {
			g.closeListeners()
			g.state.close()
			return nil, err
		}
	}
	if config.RecordDir != "" {
		if err := g.startRecording(g.epoch, config.RecordDir); err != nil {
			g.closeListeners()
			g.state.close()
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
func duration(t control.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

func (g *Gateway) now() control.Micros { return g.epoch + micros(time.Since(g.startedAt)) }

// tell has f called in the next turn.
func (g *Gateway) post(f func(now control.Micros)) { g.queue.Post(f) }

// Serve routes until the context ends; then it stops taking jobs, gives each one in hand its answer within its own
// limits, and returns. A nil error means that none was left.
func (g *Gateway) Serve(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	g.serveContext = serving
	g.watchCertStores(serving)
	if g.loadReporter != nil {
		g.background.Add(1)
		go func() {
			defer g.background.Done()
			g.reportLoads(serving)
		}()
	}
	for i, l := range g.listeners {
		g.background.Add(1)
		go func() {
			defer g.background.Done()
			g.accept(l, i > 0)
		}()
	}
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		g.followEndpoints(serving)
	}()
	if g.state != nil {
		g.background.Add(1)
		go func() {
			defer g.background.Done()
			g.state.run(g)
		}()
		if g.state.historyTally != nil {
			g.background.Add(1)
			go func() {
				defer g.background.Done()
				g.state.runHistory(g)
			}()
		}
	}
	if g.view != nil {
		g.background.Add(1)
		go func() {
			defer g.background.Done()
			g.publishView()
		}()
	}
	g.timer = time.NewTimer(time.Hour)
	defer g.timer.Stop()
	done := ctx.Done()
	var last <-chan time.Time // when all jobs are to have their answers
	var batch []func(control.Micros)
	g.step(g.now(), nil)
	for {
		select {
		case <-g.queue.Ready():
		case <-g.timer.C:
		case <-done:
			done = nil
			g.beginStop()
			last = time.After(g.config.shutdownTimes().answerBy)
		case <-last:
			g.post(g.answerOpen)
		}
		g.logStall(g.now() - g.timerAt)
		g.readEndpoints()
		batch = g.queue.Drain(batch)
		g.step(g.now(), batch)
		if g.stopping && len(g.requests) == 0 {
			if g.openLoadCommands == 0 {
				break
			}
			g.cancelLoadCommands()
		}
	}
	g.log.Info().Msg("no job is left in hand")
	return g.closeAll(stop)
}

// noteStop tells of a time in which this process was stopped.
func (g *Gateway) logStall(late control.Micros) {
	if !attempt.Stalled(late, micros(g.config.GracePeriod)) {
		return
	}
	g.log.Warn().Int64("late_us", int64(late)).Msg("the router stood still")
	if g.overload != nil {
		g.overload.RecordStall(g.now(), late)
	}
}

// catchUp has all that the list's source told taken in by the turn that comes next.
func (g *Gateway) readEndpoints() {
	asOf := g.now()
	if g.readRequested.Swap(false) || attempt.MustReadEndpoints(asOf-g.endpointsAsOf, micros(g.config.GracePeriod)) {
		g.awaitSourceRead()
		g.endpointsAsOf = asOf
	}
	g.endpointsCompleteAsOf = control.Micros(g.sourceCompleteAsOf.Load()) // before the batch is taken: it holds all told by then
}

// look waits until the list's source was looked at. A source that gives no word for a quarter of the grace counts as one that
// can't be reached: the router goes on with what it knows, and waits for no other look before that one has ended.
func (g *Gateway) awaitSourceRead() {
	if g.pendingRead != nil {
		select {
		case <-g.pendingRead:
		default:
			return
		}
	}
	g.pendingRead = make(chan struct{})
	g.sourceReads <- g.pendingRead // has room: the look before has ended
	timer := time.NewTimer(g.config.GracePeriod / 4)
	defer timer.Stop()
	select {
	case <-g.pendingRead:
	case <-timer.C:
	}
}

func (g *Gateway) step(now control.Micros, events []func(control.Micros)) {
	begun := time.Now()
	g.stepTime = now
	for _, f := range events {
		f(now)
	}
	g.fleet.SetCompleteAsOf(g.endpointsCompleteAsOf)
	g.core.Step(now)
	for _, f := range g.afterStepFuncs {
		f(now)
	}
	clear(g.afterStepFuncs)
	g.afterStepFuncs = g.afterStepFuncs[:0]
	g.prune(now)
	g.logOverload()
	g.metrics.stepSeconds.Observe(time.Since(begun).Seconds())
	g.metrics.inFlight.Set(float64(len(g.requests)))
	g.metrics.held.Set(float64(g.core.Held()))
}

// Refresh has the list read again at once.
func (g *Gateway) RefreshEndpoints() {
	g.readRequested.Store(true)
	g.post(func(control.Micros) {})
}

// dropOrders stops waiting for answers to orders: with no job in hand they serve nobody here.
func (g *Gateway) cancelLoadCommands() {
	for _, pool := range g.pools {
		for call := range pool.open {
			if call.request == nil {
				call.abandon()
			}
		}
	}
}

func (g *Gateway) closeAll(stop context.CancelFunc) error {
	if g.state != nil {
		g.state.finalState = g.learnedState(g.now())
		if g.state.historyTally != nil {
			g.state.finalHistory = g.state.historyTally.Drain()
		}
	}
	close(g.loopEnded)
	stop()
	if g.recordWriter != nil {
		g.core.SetRecorder(nil)
		g.recorder = nil
		g.recordWriter.Close()
		g.log.Info().Int64("bytes", g.recordWriter.WrittenBytes()).Int64("lost_turns", g.recordWriter.LostSteps()).Msg("recording ended")
	}
	g.closePools()
	settled := make(chan struct{})
	go func() {
		g.background.Wait()
		g.clientReaders.Wait()
		g.serverConns.Wait()
		close(settled)
	}()
	// Answers are written; only those who may still ask are left, and slow readers.
	timer := time.NewTimer(time.Until(g.afterStop(g.config.shutdownTimes().closeBy)))
	defer timer.Stop()
	select {
	case <-settled:
		return nil
	case <-timer.C:
	}
	n := 0
	g.clientConns.Range(func(c, _ any) bool {
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
func (g *Gateway) handleRequest(now control.Micros, req *request, pattern Pattern, tenant control.TenantID, ask kserve.Ask, age control.Micros) {
	if g.stopping || len(g.requests) >= g.config.MaxRequests {
		reason := "too many jobs are in hand"
		if g.stopping {
			reason = "this router is stopping"
		}
		req.answer.Give()
		req.response <- rejection(reason, g.config.Deployment.MaxRetryAfter)
		g.metrics.countAnswer("pushed back")
		return
	}
	if v := g.admit(now, req.function, pattern.Class, tenant, ask); !v.Admitted {
		req.answer.Give()
		req.response <- overloadRejection("a storm of calls: "+v.Reason.String(), v.RetryAfter, v.Reason.String())
		g.metrics.countAnswer("pushed back")
		g.metrics.overloadRejections.WithLabelValues(v.Reason.String()).Inc()
		return
	}
	if reason := g.journalRefusal(now, g.config.journalKey(req.function, ask, pattern.Class)); reason != "" {
		req.answer.Give()
		req.response <- rejection(reason, g.config.Deployment.MaxRetryAfter)
		g.metrics.countAnswer("pushed back")
		g.metrics.journalRejections.Inc()
		return
	}
	class := g.config.Deployment.Classes[pattern.Class]
	limit := class.MaxDeadline
	if ask.Timeout > 0 {
		limit = min(limit, control.Micros(ask.Timeout))
	}
	g.lastID++
	req.id, req.class = g.lastID, pattern.Class
	begun := now - age
	req.objectiveAt = begun + class.LatencyObjective
	req.deadline = begun + limit - micros(g.config.AnswerMargin)
	if req.idempotencyKey = ask.Mark; req.idempotencyKey == "" {
		req.idempotencyKey = g.incarnation + "-" + strconv.FormatUint(uint64(req.id), 36)
	}
	g.requests[req.id] = req
	req.journalKey = g.config.journalKey(req.function, ask, pattern.Class)
	g.countAdmitted(now)
	earlier := g.earlierAttempts(now, req.journalKey)
	req.attempts = make([]*serverCall, len(earlier))
	err := g.core.Add(now, control.Request{Attempts: earlier,
		ID: req.id, Class: pattern.Class, Tenant: tenant, Function: functionID(g.config.NameKey, req.function),
		Lanes: pattern.Lanes, Work: pattern.Work, LoadTime: pattern.LoadTime, ArrivedAt: begun, Deadline: max(now, req.deadline), IsRetry: ask.Repeat, RetriesUnmarked: !ask.Counts})
	if err != nil {
		g.log.Error().Err(err).Msg("job not taken")
	} else if g.recorder != nil && ask.ID != "" {
		g.recorder.SetClientTag(record.Tag(g.config.NameKey, ask.ID))
	}
	g.log.Debug().Uint64("job", uint64(req.id)).Str("request", ask.ID).Str("function", req.function).Msg("taken")
}

// end gives a job its one final answer.
func (g *Gateway) finish(req *request, word string, resp *rest.Response) {
	if !req.answer.Give() {
		return
	}
	for _, call := range req.attempts { // nothing is sent for a job that has its answer: the module's recall comes with its next upkeep
		if call != nil {
			call.withdraw()
		}
	}
	req.response <- resp
	g.metrics.countAnswer(word)
	g.historyAnswered(req, word)
	g.log.Debug().Uint64("job", uint64(req.id)).Str("answer", word).Int("executions", len(req.attempts)).Msg("answered")
	g.release(req)
}

// release forgets a job that has its answer and no execution out.
func (g *Gateway) release(req *request) {
	if req.answer.Done() {
		delete(g.requests, req.id)
	}
}

// left takes in that a job's client is gone. Its answer is still due: a client that closed only its own side reads it.
func (g *Gateway) handleClientClosed(now control.Micros, req *request) {
	if req.answer.Given {
		return
	}
	g.core.Cancel(now, req.id)
	g.finish(req, "left", failure("the client closed its side of the connection"))
}

// Forward starts an execution.
func (g *Gateway) Forward(coreReq *control.Request, attemptID control.AttemptID, to control.ServerID, timeout control.Micros) {
	req := g.requests[coreReq.ID]
	call := g.newCall(to, timeout)
	call.request, call.attempt, call.message, call.journalRound = req, attemptID, g.attemptMessage(req, attemptID), g.journalAttempt(req.journalKey, to)
	if attemptID > 0 && g.config.Deployment.Classes[req.class].Effect == control.IdempotentByKey {
		call.writeBefore = min(call.writeBefore, g.stepTime+attempt.MaxKeyedRetryDelay)
	}
	req.attempts = append(req.attempts, call)
	req.answer.AttemptBegan()
	g.loadTally.AttemptBegan(g.fleet.Get(to).Address)
	g.decisions.add(g.stepTime, record.Command{Kind: record.CommandForward, Request: coreReq.ID, Attempt: attemptID, Server: to, Time: timeout})
	g.dispatch(call)
}

// Reject and Kill end a job.
func (g *Gateway) Reject(id control.RequestID, retryAfter control.Micros) {
	g.decisions.add(g.stepTime, record.Command{Kind: record.CommandReject, Request: id, Time: retryAfter})
	g.finish(g.requests[id], "pushed back", rejection("not now: it could not be finished in time", g.spreadRetryAfter(g.requests[id], retryAfter)))
}

// Fail ends a job of which nothing may be promised.
func (g *Gateway) Fail(id control.RequestID) {
	g.decisions.add(g.stepTime, record.Command{Kind: record.CommandFail, Request: id})
	g.finish(g.requests[id], "killed", failure("the job may have run; its end is not known"))
}

// CancelAttempt stops waiting for an execution.
func (g *Gateway) CancelAttempt(id control.RequestID, attemptID control.AttemptID) {
	g.decisions.add(g.stepTime, record.Command{Kind: record.CommandCancelAttempt, Request: id, Attempt: attemptID})
	if req := g.requests[id]; req != nil && int(attemptID) < len(req.attempts) {
		req.attempts[attemptID].abandon()
	}
}

// Load orders copies of a job's function.
func (g *Gateway) Load(coreReq *control.Request, o control.LoadCommand) {
	name := g.requests[coreReq.ID].function
	call := g.newCall(o.Server, micros(g.config.LoadTimeout))
	call.load = o
	if g.state != nil && g.config.Deployment.LoadRateWindow > 0 { // without a ration nothing is owed
		call.journalRound = g.state.Append(persistence.Entry{Kind: persistence.EntryLoadCommand, At: g.stepTime, Server: o.Server})
	}
	call.message = &rest.Request{Method: "POST", Target: kserve.Call{Kind: kserve.RepositoryLoad, Model: name}.Target(),
		Header: rest.Header{"Content-Type": {"application/json"}}, Body: kserve.LoadBody(o.Replicas)}
	g.openLoadCommands++
	g.metrics.loadCommands.Inc()
	g.historyLoadCommand(g.requests[coreReq.ID])
	g.decisions.add(g.stepTime, record.Command{Kind: record.CommandLoad, Request: coreReq.ID, Server: o.Server, Function: o.Function, Replicas: o.Replicas})
	g.dispatch(call)
}

// SubscribeEndpoints has the list looked at; it is followed in any case.
func (g *Gateway) SubscribeEndpoints() {}

// Log writes a line in the log, with the address of the server that it names by its id.
func (g *Gateway) Log(text string) {
	event := g.log.Info()
	if words := strings.Fields(text); len(words) > 1 && words[0] == "server" {
		if id, err := strconv.ParseUint(words[1], 16, 64); err == nil {
			if s := g.fleet.Get(control.ServerID(id)); s != nil {
				event = event.Str("server", s.Address)
			}
		}
	}
	event.Msg(text)
}

// SetTimer sets the one timer.
func (g *Gateway) SetTimer(at control.Micros) {
	g.timerAt = at
	g.timer.Reset(time.Duration(max(0, at-g.now())) * time.Microsecond)
}

// executed takes in the end of an execution.
func (g *Gateway) attemptEnded(now control.Micros, call *serverCall, outcome control.Outcome, resp *rest.Response) {
	req := call.request
	delivery := req.answer.AttemptEnded(outcome.Result)
	g.metrics.countAttempt(outcome.Result)
	g.loadTally.AttemptEnded(g.pools[call.to].address, outcome.Result, outcome.Report)
	g.historyAttempt(now, req, outcome)
	if outcome.Result.ProvesNotRun() {
		g.journalNotRun(req.journalKey, call.to)
	}
	if outcome.CacheStatus == control.CacheMiss {
		g.metrics.loads.Inc()
	}
	if delivery == attempt.Deliver {
		outcome.RequestDone = true
		g.core.HandleOutcome(now, req.id, outcome)
		req.objectiveAt += control.Micros(g.config.Deployment.Classes[req.class].ObjectivePerWork * float64(outcome.Duration))
		resp.Header = forwardedHeader(resp.Header)
		resp.Close, resp.ChunkSize = false, 0
		g.finish(req, "finished", resp)
		if g.overload != nil {
			g.overload.RecordAnswer(now)
		}
		return
	}
	if delivery == attempt.Drop {
		g.metrics.lateAnswers.Inc() // its job has its answer: the late one is dropped
	}
	g.core.HandleOutcome(now, req.id, outcome)
	g.release(req)
}

// ordered takes in the answer to an order.
func (g *Gateway) loadCommandEnded(now control.Micros, call *serverCall, result control.Result, took control.Micros, copies int) {
	g.openLoadCommands--
	g.core.HandleLoadResult(now, call.load.Server, call.load.Function, result, took, copies)
}

var errNoEndpoints = errors.New("no list of servers could be read yet")
