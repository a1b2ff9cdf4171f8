package platform

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"hollymast/control"
	"hollymast/internal/fleet"
)

// The log of endpoint changes and slow starts: what discovery announced about a server, when, and what this router
// then sent to that server.

// maxEndpointsPerLine limits the servers named in a log line about the endpoint list, and minEndpointLogInterval
// (microseconds) is the minimum time between two such lines, because a fleet of thousands of servers may be replaced
// within seconds. Omitted changes are counted.
const (
	maxEndpointsPerLine                   = 16
	minEndpointLogInterval control.Micros = 100_000
)

// serverIDFormat is the format of server ids in the log.
const serverIDFormat = "%x"

var stateTexts = [...]string{control.Removed: "removed", control.Draining: "draining", control.Ready: "ready"}

// endpointLog collects the endpoint changes since the last log line. The event loop owns it.
type endpointLog struct {
	changes  []string
	omitted  int
	loggedAt control.Micros
}

// add adds the changes of an update that was applied at now.
func (l *endpointLog) add(now control.Micros, update fleet.Update, known *fleet.Fleet) {
	for _, endpoint := range update.Endpoints {
		if update.Full || len(l.changes) >= maxEndpointsPerLine {
			l.omitted++
			continue
		}
		text := endpoint.Name + " " + stateTexts[endpoint.State]
		if s := known.Get(fleet.ID(endpoint.Name)); s != nil && endpoint.State == control.Ready && s.StartedAt() > 0 {
			text += fmt.Sprintf(" started %d ms ago", (now-s.StartedAt())/1000)
		}
		l.changes = append(l.changes, text)
	}
}

// due reports whether a line should be logged.
func (l *endpointLog) due(now control.Micros) bool {
	return len(l.changes)+l.omitted > 0 && now >= l.loggedAt+minEndpointLogInterval
}

// logEndpoints logs the endpoint changes if a line is due.
func (r *Router) logEndpoints(now control.Micros) {
	l := &r.endpointLog
	if !l.due(now) {
		return
	}
	servers, ready := r.fleet.Count()
	r.log.Info().Uint64("list_revision", r.discovery.Revision()).Int("servers", servers).Int("ready", ready).
		Str("changes", strings.Join(l.changes, "; ")).Int("omitted", l.omitted).Msg("endpoints changed")
	*l = endpointLog{changes: l.changes[:0], loggedAt: now}
}

// slowStart records what this router sent to one incarnation of a server in slow start.
type slowStart struct {
	startedAt   control.Micros
	sent        int
	maxInWindow int            // the largest number of requests sent in one overload window
	budgetAtMax int            // this router's budget when maxInWindow was reached
	ageAtMax    control.Micros // the server's age when maxInWindow was reached
}

// recordSlowStartSend counts a request that was sent to a server, if the server is in slow start.
func (r *Router) recordSlowStartSend(now control.Micros, id control.ServerID) {
	status, ok := r.core.SlowStartStatus(now, id)
	if !ok {
		return
	}
	record := r.slowStarts[id]
	if record == nil || record.startedAt != status.StartedAt {
		record = &slowStart{startedAt: status.StartedAt}
		r.slowStarts[id] = record
	}
	record.sent++
	if status.Sent > record.maxInWindow {
		record.maxInWindow, record.budgetAtMax, record.ageAtMax = status.Sent, status.Budget, now-status.StartedAt
	}
}

// addSlowStart adds to a log event what this router sent to a server in slow start.
func (r *Router) addSlowStart(event *zerolog.Event, now control.Micros, id control.ServerID) *zerolog.Event {
	record := r.slowStarts[id]
	if record == nil {
		return event
	}
	return event.Int64("age_ms", int64(now-record.startedAt)/1000).Int("slow_start_sent", record.sent).
		Int("slow_start_most_in_window", record.maxInWindow).Int("slow_start_budget_then", record.budgetAtMax).
		Int64("slow_start_most_at_ms", int64(record.ageAtMax)/1000)
}

// endSlowStarts logs what was sent to each server whose slow start has ended, or that was removed from the endpoint
// list.
func (r *Router) endSlowStarts(now control.Micros) {
	var ended []control.ServerID
	for id, record := range r.slowStarts {
		s := r.fleet.Get(id)
		if s == nil || s.State == control.Removed || now >= record.startedAt+r.config.Deployment.SlowStartDuration {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		r.addSlowStart(r.log.Info().Str("server", fmt.Sprintf(serverIDFormat, id)), now, id).Msg("slow start ended")
		delete(r.slowStarts, id)
	}
}
