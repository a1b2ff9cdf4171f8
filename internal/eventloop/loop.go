// Package eventloop is the frame of the event loop that each service runs round one core: its clock, queue and timer, how
// fresh its endpoint list is, the step, and when a stopping process may be killed. What wakes the loop, and what a service
// does besides in a step, is the service's own.
//
// An iteration of the loop waits until Ready or Timer is readable, lets ReadEndpoints bring the endpoint list up to date,
// drains the queue and takes a step, in that order: wherever the process stalls, the step's choices are no newer than its
// endpoint list.
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
	StepTime      control.Micros // of this step, or of the last one
	TimerAt       control.Micros // when the timer fires; 0: it was not set
	EndpointsAsOf control.Micros // when the endpoint list that this step chooses from was complete
	// PreviousEndpointsAsOf is EndpointsAsOf of the step before: an endpoint change that this step handles was announced
	// after that time.
	PreviousEndpointsAsOf control.Micros
	// EndpointsCompleteAsOf is the latest time for which the endpoint list is known to be complete; 0: none.
	EndpointsCompleteAsOf control.Micros

	queue        *eventqueue.Queue
	batch        []func(control.Micros)
	timer        *time.Timer
	grace        control.Micros
	readRequired bool
}

// noTimer is the timer's duration while it is not set.
const noTimer = time.Hour

// New returns a loop. The grace period, in microseconds, is that for which new requests may still go to a server after it
// is listed as draining.
func New(clock Clock, grace control.Micros) *Loop {
	return &Loop{Clock: clock, grace: grace, queue: eventqueue.New(), timer: time.NewTimer(noTimer)}
}

// Post has f called in the next step. Any goroutine may call it.
func (l *Loop) Post(f func(now control.Micros)) { l.queue.Post(f) }

// PostEndpoints has f, which applies an endpoint update, called in the next step before all other events. Any goroutine
// may call it.
func (l *Loop) PostEndpoints(f func(now control.Micros)) { l.queue.PostEndpoints(f) }

// Ready is readable when events are queued.
func (l *Loop) Ready() <-chan struct{} { return l.queue.Ready() }

// Timer is readable when the timer has fired.
func (l *Loop) Timer() <-chan time.Time { return l.timer.C }

// SetTimer sets the one timer, replacing its time.
func (l *Loop) SetTimer(at control.Micros) {
	l.TimerAt = at
	l.timer.Reset(duration(max(0, at-l.Now())))
}

// WakeWithin has the timer fire within d, also if it is set to a later time, which TimerAt keeps.
func (l *Loop) WakeWithin(d time.Duration) {
	l.timer.Reset(min(d, duration(max(0, l.TimerAt-l.Now()))))
}

// StopTimer stops the timer, at the end of the loop.
func (l *Loop) StopTimer() { l.timer.Stop() }

// Stalled reports whether the process was stalled: whether this iteration comes so much later than the timer.
func (l *Loop) Stalled() (late control.Micros, stalled bool) {
	late = l.Now() - l.TimerAt
	return late, l.TimerAt > 0 && attempt.Stalled(late, l.grace)
}

// RequireEndpointsRead makes the next ReadEndpoints read, however fresh the list is.
func (l *Loop) RequireEndpointsRead() { l.readRequired = true }

// ReadEndpoints makes the next step handle everything that the source of endpoints has announced, unless the list is fresh
// enough. read brings the source up to date, and returns as of when it then was. It must run after the last wait before
// Drain.
func (l *Loop) ReadEndpoints(read func() (asOf control.Micros)) {
	l.PreviousEndpointsAsOf = l.EndpointsAsOf
	if l.readRequired || attempt.MustReadEndpoints(l.Now()-l.EndpointsAsOf, l.grace) {
		l.readRequired = false
		l.EndpointsAsOf = read()
	}
}

// WriteDeadline returns until when a call that is chosen in this step may begin to be written.
func (l *Loop) WriteDeadline() control.Micros { return attempt.WriteDeadline(l.EndpointsAsOf, l.grace) }

// Drain returns the queued events, endpoint updates first. They are valid until the next call.
func (l *Loop) Drain() []func(control.Micros) {
	l.batch = l.queue.Drain(l.batch)
	return l.batch
}

// Step handles a batch of events, which Drain has returned before now, and lets the core decide on them.
func (l *Loop) Step(now control.Micros, events []func(control.Micros), fleet *fleet.Fleet, core *core.Core) {
	l.StepTime = now
	for _, f := range events {
		f(now)
	}
	fleet.SetCompleteAsOf(l.EndpointsCompleteAsOf)
	core.Step(now)
}
