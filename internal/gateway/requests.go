package gateway

import (
	"strconv"
	"sync/atomic"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/persistence"
	"hollymast/internal/record"
	"hollymast/internal/rest"
	"hollymast/kserve"
)

// request is a client's request as its connection and its attempts see it. Its connection's goroutine fills the first
// part; from then on the event loop owns it, except clientCheckedAt.
type request struct {
	function string
	call     kserve.Call
	message  *rest.Request
	params   kserve.InferRequest
	pattern  Pattern
	tenant   control.TenantID
	client   *rest.Conn
	response chan *rest.Response // holds one: the final answer
	// clientCheckedAt is when the client was last seen not to have closed its side, on the router's clock.
	clientCheckedAt atomic.Int64

	id             control.RequestID
	idempotencyKey string
	journalKey     persistence.IdempotencyKey // 0: the journal need not know of its attempts
	objectiveAt    control.Micros             // when it is to be answered by its class's latency objective
	answer         attempt.FinalResponse
	attempts       []*serverCall // nil: an attempt of an earlier incarnation
}

// finalAnswer is how a request ended, as metrics and the history count it.
type finalAnswer string

// The final answers: label values of a metric, which dashboards name.
const (
	answerFinished finalAnswer = "finished"
	answerRejected finalAnswer = "pushed back" // may be repeated anywhere
	answerFailed   finalAnswer = "killed"      // may have run
	answerLeft     finalAnswer = "left"        // its client has closed its side
)

// reasonStopping is the error text of what a stopping router does not accept.
const reasonStopping = "this router is stopping"

// functionID returns a function's id. It is the same in every router, since all share one order of servers for a
// function. With a key, which must be the same in all routers, the ids in a recording can be checked against
// guessed names only with that key.
func functionID(key, name string) control.FunctionID {
	return control.FunctionID(record.KeyedHash(key, name))
}

// handleRequest hands a request to the core, or rejects it.
func (g *Gateway) handleRequest(now control.Micros, req *request) {
	key := g.config.journalKey(req.function, req.params, req.pattern.Class)
	if resp := g.rejectionOf(now, req, key); resp != nil {
		req.answer.Decide()
		req.response <- resp
		g.metrics.countAnswer(answerRejected)
		return
	}
	class := g.config.Deployment.Classes[req.pattern.Class]
	timeout := class.MaxDeadline
	if req.params.Timeout > 0 {
		timeout = min(timeout, control.Micros(req.params.Timeout))
	}
	g.lastID++
	req.id, req.journalKey = g.lastID, key
	arrivedAt := now - micros(time.Since(req.message.ReceivedAt))
	req.objectiveAt = arrivedAt + class.LatencyObjective
	if req.idempotencyKey = req.params.IdempotencyKey; req.idempotencyKey == "" {
		req.idempotencyKey = g.incarnation + "-" + strconv.FormatUint(uint64(req.id), 36)
	}
	g.requests[req.id] = req
	g.countAdmitted(now)
	earlier := g.earlierAttempts(now, req.journalKey)
	req.attempts = make([]*serverCall, len(earlier))
	err := g.core.Add(now, control.Request{
		ID: req.id, Class: req.pattern.Class, Tenant: req.tenant, Function: functionID(g.config.NameKey, req.function),
		Lanes: req.pattern.Lanes, ExecTimeHint: req.pattern.Work, LoadTimeHint: req.pattern.LoadTime, ArrivedAt: arrivedAt,
		Deadline: max(now, arrivedAt+timeout-micros(g.config.AnswerMargin)), Attempts: earlier,
		IsRetry: req.params.IsRetry, RetriesUnmarked: !req.params.HasAttemptCount,
	})
	if err != nil {
		g.log.Error().Err(err).Msg("request not accepted")
	} else if g.recorder != nil && req.params.ID != "" {
		g.recorder.SetClientIDHash(record.KeyedHash(g.config.NameKey, req.params.ID))
	}
	g.log.Debug().Uint64("request", uint64(req.id)).Str("client_id", req.params.ID).Str("function", req.function).Msg("request accepted")
}

// rejectionOf returns the response to a request that is not accepted, or nil.
func (g *Gateway) rejectionOf(now control.Micros, req *request, key persistence.IdempotencyKey) *rest.Response {
	if g.stopping {
		return rejection(reasonStopping, g.config.Deployment.MaxRetryAfter)
	}
	if len(g.requests) >= g.config.MaxRequests {
		return rejection("too many jobs are in hand", g.config.Deployment.MaxRetryAfter)
	}
	if decision := g.admit(now, req); !decision.Admitted {
		reason := decision.Reason.String()
		g.metrics.overloadRejections.WithLabelValues(reason).Inc()
		return overloadRejection("a storm of calls: "+reason, decision.RetryAfter, reason)
	}
	if reason := g.journalRefusal(now, key); reason != "" {
		g.metrics.journalRejections.Inc()
		return rejection(reason, g.config.Deployment.MaxRetryAfter)
	}
	return nil
}

// finish gives a request its one final answer and withdraws what of it is not written yet.
func (g *Gateway) finish(req *request, answer finalAnswer, resp *rest.Response) {
	if !req.answer.Decide() {
		return
	}
	for _, call := range req.attempts { // an answered request is not sent any more
		if call != nil {
			call.withdraw()
		}
	}
	req.response <- resp
	g.metrics.countAnswer(answer)
	g.historyAnswered(req, answer)
	g.log.Debug().Uint64("request", uint64(req.id)).Str("answer", string(answer)).Int("attempts", len(req.attempts)).Msg("request answered")
	g.release(req)
}

// release forgets a request that is answered and has no attempt in flight.
func (g *Gateway) release(req *request) {
	if req.answer.Done() {
		delete(g.requests, req.id)
	}
}

// handleClientClosed ends a request whose client has closed its side. The answer is still written: a client that closed
// only its own side reads it.
func (g *Gateway) handleClientClosed(now control.Micros, req *request) {
	if req.answer.Decided {
		return
	}
	g.core.Cancel(now, req.id)
	g.finish(req, answerLeft, failure(reasonClientClosed))
}

// Forward starts an attempt of a request on a server, to end within timeout. It is part of core.Executor, as are
// Reject, Fail, CancelAttempt, Load, SubscribeEndpoints, LogServerEvent and SetTimer; the core calls them within a step.
func (g *Gateway) Forward(
	coreReq *control.Request, attemptID control.AttemptID, to control.ServerID, timeout control.Micros,
) {
	req := g.requests[coreReq.ID]
	call := g.newCall(to, timeout)
	call.request, call.attempt = req, attemptID
	call.message, call.journalBatch = g.attemptMessage(req, attemptID), g.journalAttempt(req.journalKey, to)
	if attemptID > 0 && g.config.Deployment.Classes[req.pattern.Class].Idempotency == control.IdempotentByKey {
		call.writeBefore = min(call.writeBefore, g.loop.StepTime+attempt.MaxKeyedRetryDelay)
	}
	req.attempts = append(req.attempts, call)
	req.answer.AttemptBegan()
	g.loadTally.AttemptBegan(g.fleet.Get(to).Address)
	g.decisions.add(g.loop.StepTime, record.Command{
		Kind: record.CommandForward, Request: coreReq.ID, Attempt: attemptID, Server: to, Time: timeout,
	})
	g.dispatch(call)
}

// Reject ends a request that did not run; its client may retry after retryAfter.
func (g *Gateway) Reject(id control.RequestID, retryAfter control.Micros, _ control.Reason) {
	g.decisions.add(g.loop.StepTime, record.Command{Kind: record.CommandReject, Request: id, Time: retryAfter})
	req := g.requests[id]
	retryAfter = g.spreadRetryAfter(req, retryAfter)
	g.finish(req, answerRejected, rejection("not now: it could not be finished in time", retryAfter))
}

// Fail ends a request that may have run and must not be repeated.
func (g *Gateway) Fail(id control.RequestID, _ control.Reason) {
	g.decisions.add(g.loop.StepTime, record.Command{Kind: record.CommandFail, Request: id})
	g.finish(g.requests[id], answerFailed, failure("the job may have run; its end is not known"))
}

// CancelAttempt stops waiting for an attempt.
func (g *Gateway) CancelAttempt(id control.RequestID, attemptID control.AttemptID) {
	g.decisions.add(g.loop.StepTime, record.Command{Kind: record.CommandCancelAttempt, Request: id, Attempt: attemptID})
	if req := g.requests[id]; req != nil && int(attemptID) < len(req.attempts) {
		req.attempts[attemptID].abandon()
	}
}

// Load sends a load command for a request's function to a server.
func (g *Gateway) Load(coreReq *control.Request, command control.LoadCommand) {
	req := g.requests[coreReq.ID]
	call := g.newCall(command.Server, micros(g.config.LoadTimeout))
	call.load = command
	if g.state != nil && g.config.Deployment.LoadRateWindow > 0 { // without a rate limit a restart need not know of it
		call.journalBatch = g.state.Append(persistence.Entry{
			Kind: persistence.EntryLoadCommand, At: g.loop.StepTime, Server: command.Server,
		})
	}
	call.message = &rest.Request{
		Method: "POST", Target: kserve.Call{Operation: kserve.RepositoryLoad, Model: req.function}.Target(),
		Header: rest.Header{"Content-Type": {"application/json"}}, Body: kserve.LoadCommandBody(command.Replicas),
	}
	g.openLoadCommands++
	g.metrics.loadCommands.Inc()
	g.historyLoadCommand(req)
	g.decisions.add(g.loop.StepTime, record.Command{
		Kind: record.CommandLoad, Request: coreReq.ID, Server: command.Server, Function: command.Function,
		Replicas: command.Replicas,
	})
	g.dispatch(call)
}

// attemptEnded reports an attempt's outcome to the core, and delivers its response where that is final.
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
		class := g.config.Deployment.Classes[req.pattern.Class]
		req.objectiveAt += control.Micros(class.ObjectivePerExecTime * float64(outcome.Duration))
		resp.Header = forwardedHeader(resp.Header)
		resp.Close, resp.ChunkSize = false, 0
		g.finish(req, answerFinished, resp)
		if g.overload != nil {
			g.overload.RecordAnswer(now)
		}
		return
	}
	if delivery == attempt.Drop {
		g.metrics.lateAnswers.Inc()
	}
	g.core.HandleOutcome(now, req.id, outcome)
	g.release(req)
}
