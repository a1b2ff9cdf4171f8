package gateway

import (
	"fmt"
	"time"

	"hollymast/control"
	"hollymast/internal/history"
	"hollymast/internal/record"
)

// HistoryFile is the name of the history's file in the folder of learned state.
const HistoryFile = "history.db"

// historyInterval is how often the history is written: what a killed router loses of it.
const historyInterval = 10 * time.Second

// tenantName returns a tenant's name; empty for one without a quota.
func (c *Config) tenantName(id control.TenantID) string {
	if int(id) < len(c.TenantNames) {
		return c.TenantNames[id]
	}
	return ""
}

// historySubject returns the function and tenant that the history counts a request for; with a name key, the function
// only by its id.
func (g *Gateway) historySubject(req *request) history.Subject {
	subject := history.Subject{Function: req.function, Tenant: g.config.tenantName(req.tenant)}
	if g.config.NameKey != "" {
		subject.Function = fmt.Sprintf("#%016x", record.KeyedHash(g.config.NameKey, req.function))
	}
	return subject
}

// keepsHistory reports whether a history is kept.
func (g *Gateway) keepsHistory() bool { return g.state != nil && g.state.historyTally != nil }

// historyAnswered counts a request's final answer.
func (g *Gateway) historyAnswered(req *request, answer finalAnswer) {
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
	g.state.historyTally.RequestDone(g.loop.StepTime, g.historySubject(req), action, g.loop.StepTime > req.objectiveAt)
}

// historyAttempt counts the end of an attempt.
func (g *Gateway) historyAttempt(now control.Micros, req *request, outcome control.Outcome) {
	if g.keepsHistory() {
		g.state.historyTally.AttemptEnded(now, g.historySubject(req), outcome)
	}
}

// historyLoadCommand counts a load command for a request's function.
func (g *Gateway) historyLoadCommand(req *request) {
	if g.keepsHistory() {
		g.state.historyTally.LoadCommandSent(g.loop.StepTime, g.historySubject(req))
	}
}
