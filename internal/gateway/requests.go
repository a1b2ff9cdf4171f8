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

// request is a client's request. The goroutine of the client connection sets the first group of fields; after that the
// event loop owns the request, except clientCheckedAt.
type request struct {
	function string
	call     kserve.Call
	message  *rest.Request
	params   kserve.InferRequest
	pattern  FunctionPattern
	tenant   control.TenantID
	client   *rest.Conn
	response chan *rest.Response // the final answer; buffered, so that sending does not block
	// clientCheckedAt is the last time, on the router's clock, at which the client was known not to have closed its
	// side.
	clientCheckedAt atomic.Int64

	id             control.RequestID
	idempotencyKey string
	journalKey     persistence.IdempotencyKey // 0: its attempts are not journaled
	objectiveAt    control.Micros             // when its class's latency objective requires the answer
	answer         attempt.FinalResponse
	attempts       []*serverCall // by attempt number; nil: an attempt of an earlier incarnation
}

// finalAnswer says how a request ended, for the metrics and the history.
type finalAnswer string

// The final answers. They are label values of hollymast_jobs_total, which dashboards use.
const (
	answerFinished finalAnswer = "finished"
	answerRejected finalAnswer = "pushed back" // did not run, or may safely run again: the client may retry anywhere
	answerFailed   finalAnswer = "killed"      // may have run and must not be retried
	answerLeft     finalAnswer = "left"        // the client closed its side of the connection
)

// reasonStopping is the error text of responses to requests that end because this router is stopping.
const reasonStopping = "this router is stopping"

// functionID returns the id of a function. It must be the same in every router, since all routers rank the servers of a
// function in the same order by it. A key, which must then be the same in all routers, prevents readers of a recording
// from checking guessed names against the ids.
func functionID(key, name string) control.FunctionID {
	return control.FunctionID(record.KeyedHash(key, name))
}

// handleRequest passes a request to the core, or rejects it.
func (g *Gateway) handleRequest(now control.Micros, req *request) {
	key := g.config.journalKey(req.function, req.params, req.pattern.Class)
	if resp := g.rejectionFor(now, req, key); resp != nil {
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
	g.replaceWaiting(now, key)
	g.requests[req.id] = req
	g.addOpen(req)
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

// rejectionFor returns the rejection of a request that this router does not accept, or nil if it does.
func (g *Gateway) rejectionFor(now control.Micros, req *request, key persistence.IdempotencyKey) *rest.Response {
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
	if reason := g.journalRejectionReason(now, key); reason != "" {
		g.metrics.journalRejections.Inc()
		return rejection(reason, g.config.Deployment.MaxRetryAfter)
	}
	return nil
}

// finish sends a request's final answer and withdraws its attempts that are not being written yet. It does nothing if
// the request has its answer already.
func (g *Gateway) finish(req *request, answer finalAnswer, resp *rest.Response) {
	if !req.answer.Decide() {
		return
	}
	for _, call := range req.attempts { // an answered request must not be sent any more
		if call != nil {
			call.withdraw()
		}
	}
	req.response <- resp
	g.metrics.countAnswer(answer)
	g.recordAnswerInHistory(req, answer)
	g.log.Debug().Uint64("request", uint64(req.id)).Str("answer", string(answer)).Int("attempts", len(req.attempts)).Msg("request answered")
	g.release(req)
}

// release deletes a request that is answered and has no attempt in flight.
func (g *Gateway) release(req *request) {
	if req.answer.Done() {
		delete(g.requests, req.id)
		g.removeOpen(req)
	}
}

// handleClientClosed ends a request whose client closed its side of the connection. The answer is still written, since
// a client that is only half closed can read it.
func (g *Gateway) handleClientClosed(now control.Micros, req *request) {
	if req.answer.Decided {
		return
	}
	g.core.Cancel(now, req.id)
	g.finish(req, answerLeft, failure(reasonClientClosed))
}

// Forward starts an attempt of a request on a server, with a timeout. Forward, Reject, Fail, CancelAttempt, Load,
// SubscribeEndpoints, LogServerEvent and SetTimer implement core.Executor; the core calls them within a step.
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
	g.loadCollector.AttemptBegan(g.fleet.Get(to).Address)
	g.latestDecisions.add(g.loop.StepTime, record.Command{
		Kind: record.CommandForward, Request: coreReq.ID, Attempt: attemptID, Server: to, Time: timeout,
	})
	g.dispatch(call)
}

// Reject answers a request that did not run; the client may retry after retryAfter.
func (g *Gateway) Reject(id control.RequestID, retryAfter control.Micros, _ control.Reason) {
	g.latestDecisions.add(g.loop.StepTime, record.Command{Kind: record.CommandReject, Request: id, Time: retryAfter})
	req := g.requests[id]
	retryAfter = g.spreadRetryAfter(req, retryAfter)
	g.finish(req, answerRejected, rejection("not now: it could not be finished in time", retryAfter))
}

// Fail answers a request that may have run and must not be retried.
func (g *Gateway) Fail(id control.RequestID, _ control.Reason) {
	g.latestDecisions.add(g.loop.StepTime, record.Command{Kind: record.CommandFail, Request: id})
	g.finish(g.requests[id], answerFailed, failure("the job may have run; its end is not known"))
}

// CancelAttempt withdraws or aborts an attempt.
func (g *Gateway) CancelAttempt(id control.RequestID, attemptID control.AttemptID) {
	g.latestDecisions.add(g.loop.StepTime, record.Command{Kind: record.CommandCancelAttempt, Request: id, Attempt: attemptID})
	if req := g.requests[id]; req != nil && int(attemptID) < len(req.attempts) {
		req.attempts[attemptID].abandon()
	}
}

// Load sends a load command for a request's function to a server.
func (g *Gateway) Load(coreReq *control.Request, command control.LoadCommand) {
	req := g.requests[coreReq.ID]
	call := g.newCall(command.Server, micros(g.config.LoadTimeout))
	call.load = command
	if g.state != nil && g.config.Deployment.LoadRateWindow > 0 { // only the rate limit needs load commands after a restart
		call.journalBatch = g.state.Append(persistence.Entry{
			Kind: persistence.EntryLoadCommand, At: g.loop.StepTime, Server: command.Server,
		})
	}
	call.message = &rest.Request{
		Method: "POST", Target: kserve.Call{Operation: kserve.RepositoryLoad, Model: req.function}.Target(),
		Header: rest.Header{"Content-Type": {"application/json"}}, Body: kserve.LoadCommandBody(command.Replicas),
	}
	g.loadCommandsInFlight++
	g.metrics.loadCommands.Inc()
	g.recordLoadCommandInHistory(req)
	g.latestDecisions.add(g.loop.StepTime, record.Command{
		Kind: record.CommandLoad, Request: coreReq.ID, Server: command.Server, Function: command.Function,
		Replicas: command.Replicas,
	})
	g.dispatch(call)
}

// attemptEnded reports the outcome of an attempt to the core, and sends its response to the client if that is the final
// answer.
func (g *Gateway) attemptEnded(now control.Micros, call *serverCall, outcome control.Outcome, resp *rest.Response) {
	req := call.request
	delivery := req.answer.AttemptEnded(outcome.Result)
	g.metrics.countAttempt(outcome.Result)
	g.loadCollector.AttemptEnded(g.pools[call.server].address, outcome.Result, outcome.Report)
	g.recordAttemptInHistory(now, req, outcome)
	if outcome.Result.ProvesNotRun() {
		g.journalNotRun(req.journalKey, call.server)
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
