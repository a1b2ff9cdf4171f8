// Package eventloop is the common part of the event loop that each service runs around one core: the clock, the event
// queue, the timer, the freshness of the endpoint list, and the step. What wakes the loop, and what else a service does
// in a step, is up to the service.
//
// An iteration of the loop waits until Ready or Timer is readable, calls ReadEndpoints to bring the endpoint list up to
// date, drains the queue and takes a step, in this order. A stall of the process at any point can then not make the
// endpoint list of a step look fresher than it is.
package eventloop

import (
	"time"

	"hollymast/control"
	"hollymast/internal/attempt"
	"hollymast/internal/core"
	"hollymast/internal/eventqueue"
	"hollymast/internal/fleet"
)

// Loop is the state of an event loop. One goroutine owns it; others may only use the clock, Post and PostEndpoints.
type Loop struct {
	Clock
	StepTime      control.Micros // time of the current step, or of the last one
	TimerAt       control.Micros // when the timer fires; 0 if it was never set
	EndpointsAsOf control.Micros // when the endpoint list that this step uses was complete
	// PreviousEndpointsAsOf is EndpointsAsOf of the previous step: an endpoint change that this step handles was
	// announced after that time.
	PreviousEndpointsAsOf control.Micros
	// EndpointsCompleteAsOf is the latest time for which the endpoint list is known to be complete; 0 if there is none.
	EndpointsCompleteAsOf control.Micros

	queue        *eventqueue.Queue
	batch        []func(control.Micros)
	timer        *time.Timer
	grace        control.Micros
	readRequired bool
}

// unsetTimer is the timer's duration while it is not in use.
const unsetTimer = time.Hour

// New returns a loop. grace is how long, in microseconds, new requests may still go to a server after it is listed as
// draining.
func New(clock Clock, grace control.Micros) *Loop {
	return &Loop{Clock: clock, grace: grace, queue: eventqueue.New(), timer: time.NewTimer(unsetTimer)}
}

// Post queues f to be called in the next step. Any goroutine may call it.
func (l *Loop) Post(f func(now control.Micros)) { l.queue.Post(f) }

// PostEndpoints queues f, which applies an endpoint update, to be called in the next step before all other events. Any
// goroutine may call it.
func (l *Loop) PostEndpoints(f func(now control.Micros)) { l.queue.PostEndpoints(f) }

// Ready returns a channel that is readable when events are queued.
func (l *Loop) Ready() <-chan struct{} { return l.queue.Ready() }

// Timer returns a channel that is readable when the timer has fired.
func (l *Loop) Timer() <-chan time.Time { return l.timer.C }

// SetTimer sets the timer, replacing its previous time.
func (l *Loop) SetTimer(at control.Micros) {
	l.TimerAt = at
	l.timer.Reset(duration(max(0, at-l.Now())))
}

// WakeWithin makes the timer fire within d even if it is set to a later time, which TimerAt keeps.
func (l *Loop) WakeWithin(d time.Duration) {
	l.timer.Reset(min(d, duration(max(0, l.TimerAt-l.Now()))))
}

// StopTimer stops the timer, at the end of the loop.
func (l *Loop) StopTimer() { l.timer.Stop() }

// Stalled reports whether the process was stalled, that is, whether this iteration comes too long after the timer's
// time.
func (l *Loop) Stalled() (late control.Micros, stalled bool) {
	late = l.Now() - l.TimerAt
	return late, l.TimerAt > 0 && attempt.Stalled(late, l.grace)
}

// RequireEndpointsRead makes the next ReadEndpoints read even if the list is fresh.
func (l *Loop) RequireEndpointsRead() { l.readRequired = true }

// ReadEndpoints makes the next step handle everything that the source of endpoints has announced, unless the list is
// fresh enough. read brings the source up to date, and returns the time as of which it is. ReadEndpoints must be called
// after the last wait before Drain.
func (l *Loop) ReadEndpoints(read func() (asOf control.Micros)) {
	l.PreviousEndpointsAsOf = l.EndpointsAsOf
	if l.readRequired || attempt.MustReadEndpoints(l.Now()-l.EndpointsAsOf, l.grace) {
		l.readRequired = false
		l.EndpointsAsOf = read()
	}
}

// WriteDeadline returns the latest time at which writing an attempt that is chosen in this step may begin.
func (l *Loop) WriteDeadline() control.Micros { return attempt.WriteDeadline(l.EndpointsAsOf, l.grace) }

// TakeQueuePeaks returns the longest queue and the longest wait in it since the previous call. Any goroutine may call it.
func (l *Loop) TakeQueuePeaks() eventqueue.Peaks { return l.queue.TakePeaks() }

// Drain returns the queued events, endpoint updates first. They are valid until the next call.
func (l *Loop) Drain() []func(control.Micros) {
	l.batch = l.queue.Drain(l.batch)
	return l.batch
}

// Step handles a batch of events that Drain returned before now, and then takes the core's step.
func (l *Loop) Step(now control.Micros, events []func(control.Micros), fleet *fleet.Fleet, core *core.Core) {
	l.StepTime = now
	for _, f := range events {
		f(now)
	}
	fleet.SetCompleteAsOf(l.EndpointsCompleteAsOf)
	core.Step(now)
}
