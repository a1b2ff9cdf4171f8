package gateway

import (
	"fmt"
	"time"

	"hollymast/control"
	"hollymast/internal/history"
	"hollymast/internal/record"
)

// HistoryFile is the history's name in the folder of a router's memory.
const HistoryFile = "history.db"

// useEvery is how often the history is written: what a killed router loses of it.
const historyInterval = 10 * time.Second

// tenantName gives a tenant's name; empty of one that no share is told for.
func (c *Config) tenantName(id control.TenantID) string {
	if int(id) < len(c.TenantNames) {
		return c.TenantNames[id]
	}
	return ""
}

// who names a job's function and tenant for the history; with a name_key the function only by its id.
func (g *Gateway) historyKey(req *request) history.Subject {
	if g.config.NameKey != "" {
		return history.Subject{Function: fmt.Sprintf("#%016x", record.Tag(g.config.NameKey, req.function)), Tenant: req.tenant}
	}
	return history.Subject{Function: req.function, Tenant: req.tenant}
}

func (g *Gateway) keepsHistory() bool { return g.state != nil && g.state.historyTally != nil }

func (g *Gateway) historyAnswered(req *request, word string) {
	if !g.keepsHistory() {
		return
	}
	verb := control.NoAction
	switch word {
	case "finished":
	case "pushed back":
		verb = control.Reject
	default:
		verb = control.Fail
	}
	g.state.historyTally.RequestDone(g.stepTime, g.historyKey(req), verb, g.stepTime > req.objectiveAt)
}

func (g *Gateway) historyAttempt(now control.Micros, req *request, outcome control.Outcome) {
	if g.keepsHistory() {
		g.state.historyTally.AttemptEnded(now, g.historyKey(req), outcome)
	}
}

func (g *Gateway) historyLoadCommand(req *request) {
	if g.keepsHistory() {
		g.state.historyTally.LoadCommanded(g.stepTime, g.historyKey(req))
	}
}
