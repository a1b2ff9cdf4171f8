package gateway

import (
	"fmt"
	"time"

	"hollymast/control"
	"hollymast/internal/history"
	"hollymast/internal/record"
)

// HistoryFile is the name of the history file in the folder for learned state.
const HistoryFile = "history.db"

// historyInterval is the interval at which the history is written. A router that is killed loses that much of it.
const historyInterval = 10 * time.Second

// tenantName returns a tenant's name, or "" for a tenant without a quota.
func (c *Config) tenantName(id control.TenantID) string {
	if int(id) < len(c.TenantNames) {
		return c.TenantNames[id]
	}
	return ""
}

// historySubject returns the function and tenant under which the history counts a request. With a name key, the
// function is identified by its id instead of its name.
func (g *Gateway) historySubject(req *request) history.Subject {
	subject := history.Subject{Function: req.function, Tenant: g.config.tenantName(req.tenant)}
	if g.config.NameKey != "" {
		subject.Function = fmt.Sprintf("#%016x", record.KeyedHash(g.config.NameKey, req.function))
	}
	return subject
}

// keepsHistory reports whether a history is kept.
func (g *Gateway) keepsHistory() bool { return g.state != nil && g.state.historyCollector != nil }

// recordAnswerInHistory counts a request's final answer, and whether it met the latency objective.
func (g *Gateway) recordAnswerInHistory(req *request, answer finalAnswer) {
	if !g.keepsHistory() {
		return
	}
	action := control.Fail
	switch answer {
	case answerFinished:
		action = control.NoAction
	case answerRejected:
		action = control.Reject
	}
	g.state.historyCollector.RequestDone(g.loop.StepTime, g.historySubject(req), action, g.loop.StepTime > req.objectiveAt)
}

// recordAttemptInHistory counts the end of an attempt.
func (g *Gateway) recordAttemptInHistory(now control.Micros, req *request, outcome control.Outcome) {
	if g.keepsHistory() {
		g.state.historyCollector.AttemptEnded(now, g.historySubject(req), outcome)
	}
}

// recordLoadCommandInHistory counts a load command for a request's function.
func (g *Gateway) recordLoadCommandInHistory(req *request) {
	if g.keepsHistory() {
		g.state.historyCollector.LoadCommandSent(g.loop.StepTime, g.historySubject(req))
	}
}
