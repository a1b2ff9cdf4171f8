package gateway

import (
	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/persistence"
	"hollymast/internal/record"
	"hollymast/internal/rest"
	"hollymast/kserve"
	"strconv"
	"sync/atomic"
	"time"
)

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

func micros(d time.Duration) control.Micros { return control.Micros(d.Microseconds()) }
