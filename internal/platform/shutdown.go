package platform

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/msgrpc"
)

// A stopping router takes jobs for takesOn: they keep coming for 0.6 s. What comes after 0.7 s must have its answer before it is
// killed, however long the job would take, so that it is pushed back at once; connections are taken for servesOn, longer, for
// that answer, where the kill doesn't come sooner.
const (
	acceptRequestsFor    = 650_000
	acceptConnectionsFor = 800 * time.Millisecond
)

// A stopping router is killed no sooner than killAfter and the longest deadline of its settings, of which killCounts counts at most,
// after it was told to stop. The times before that: connections end from endsBefore on, since on a quarter of a core some hundred
// take tens of milliseconds, and not before endsFrom, up to when requests come; what is still in hand gets its answer at answersBefore, by which a job taken at takesOn has had its own
// time; and nothing is read any more from readsBefore on, so that clients which never pause keep no connection open.
// A job that is only held, and whose client waits beyond the kill, is pushed back holdsBefore it: there is time to be served elsewhere.
const (
	killAfter, maxCountedDeadline = 700_000, 3_000_000
	closeBeforeKill               = 130_000
	closeNotBefore                = 600_000
	answerBeforeKill              = 80_000
	stopReadingBeforeKill         = 60_000
	rejectHeldBeforeKill          = 550_000
)

// earliestKill is how long after the order to stop the kill may come.
func earliestKill(d control.Deployment) control.Micros {
	var longest control.Micros
	for _, class := range d.Classes {
		longest = max(longest, class.MaxDeadline)
	}
	return killAfter + min(longest, maxCountedDeadline)
}

// stopAction is what a stopping router does at its time after the order.
type stopAction struct {
	at control.Micros
	do func()
}

// stopActions gives them in their order.
func (r *Router) stopActions() []stopAction {
	kill := earliestKill(r.config.Deployment)
	return []stopAction{
		{min(control.Micros(acceptConnectionsFor/time.Microsecond), max(closeNotBefore, kill-closeBeforeKill)), r.close},
		{kill - rejectHeldBeforeKill, r.rejectHeld},
		{kill - answerBeforeKill, r.answerOpen},
		{kill - stopReadingBeforeKill, r.stopReading},
	}
}

// close ends the clients' connections, and the listener after those that wait there: they are ended in their turn.
func (r *Router) close() {
	r.stopListening()
	r.closeClients()
}

// stopListening has connections accepted that wait already, and no others.
func (r *Router) stopListening() { r.listener.SetDeadline(time.Now().Add(lastReadTime)) }

// closeClients ends the clients' connections, each once nothing is open on it and nothing left to read.
func (r *Router) closeClients() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.clients {
		c.closeWhenIdle(drainAfterIdle)
	}
}

// stopReading ends those that are still read, after a last look.
func (r *Router) stopReading() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.clients {
		c.closeBy(finalReadTime)
	}
}

// rejectHeld pushes back what was never sent and whose client waits longer than this router can.
func (r *Router) rejectHeld() {
	kill := r.stopRequestedAt + earliestKill(r.config.Deployment)
	r.endRequests(func(req *request) bool {
		return len(req.attempts) == 0 && req.readAt+req.message.Timeout > kill-answerBeforeKill
	})
}

// answerOpen gives all that is in hand its answer: whatever is not answered now meets the kill.
func (r *Router) answerOpen() { r.endRequests(func(*request) bool { return true }) }

// endRequests ends those jobs in hand that are meant. Nobody is harmed by trying one again that was never written, or whose repeats
// do no harm: that has time left with another router.
func (r *Router) endRequests(selected func(req *request) bool) {
	now := r.now()
	for _, req := range slices.SortedFunc(maps.Values(r.requests), func(a, b *request) int { return cmp.Compare(a.id, b.id) }) {
		if req.answer.Given || !selected(req) {
			continue
		}
		r.countAnomaly("ended by the stop")
		r.core.Cancel(now, req.id)
		mayHaveRun := slices.ContainsFunc(req.attempts, func(call *serverCall) bool { return !call.withdraw() && call.currentStage() == attempt.Writing })
		if mayHaveRun && !r.config.Deployment.Classes[req.class].SafeToRetryAnywhere() {
			r.finish(req, msgrpc.Failure(req.number))
		} else {
			r.finish(req, msgrpc.Rejection(req.number, r.config.Deployment.MaxRetryAfter))
		}
	}
}

// allClientsClosed tells whether every client's connection has ended, and with them all that was owed.
func (r *Router) allClientsClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.clients) == 0
}

func (r *Router) closeAll() {
	for _, pool := range r.pools {
		for _, sc := range pool.conns {
			sc.close()
		}
	}
}
