// Package explain tells, from a recording, why the decisions about one job came out as they did. It plays the recording
// through the same core and hears the module's own trace; it knows no condition itself.
package explain

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/record"
	"hollymast/internal/replay"
)

// Answer is one decision about a job.
type Decision struct {
	File        string                `json:"File"`
	Step        uint64                `json:"Turn"`
	Endpoints   EndpointList          `json:"List"` // what the decision rests on
	Check       *control.ReplicaCheck `json:"Check"`
	Explanation control.Explanation   `json:"Why"`
	WhatIf      string                `json:"If,omitempty"` // what was changed before it was asked again
}

// List names the list of servers that was known: when it was heard, and how many had been heard in the recording before.
// Heard is 0 where it came before the recording began.
type EndpointList struct {
	ReceivedAt control.Micros `json:"Heard"`
	Version    int            `json:"Version"`
}

// Change is something to be different before a decision is asked again.
type Change struct {
	Kind   string // drain, ready, slot or no-report
	Server control.ServerID
}

// ReadChange reads a change as drain=SERVER, ready=SERVER, slot=SERVER or no-report=SERVER, the server's id in hex.
func ParseChange(text string) (Change, error) {
	what, id, ok := strings.Cut(text, "=")
	n, err := strconv.ParseUint(id, 16, 64)
	if !ok || err != nil {
		return Change{}, fmt.Errorf("%q is no change: drain, ready, slot or no-report, then = and a server's id in hex", text)
	}
	switch what {
	case "drain", "ready", "slot", "no-report":
		return Change{what, control.ServerID(n)}, nil
	}
	return Change{}, fmt.Errorf("%q is none of drain, ready, slot, no-report", what)
}

// apply makes the change in a snapshot.
func (c Change) apply(s *core.Snapshot) error {
	for i := range s.Balancer.Servers {
		v := &s.Balancer.Servers[i]
		if v.Endpoint.Server != c.Server {
			continue
		}
		switch c.Kind {
		case "drain":
			v.Endpoint.State = control.Draining
		case "ready":
			v.Endpoint.State, v.Ejected, v.BackoffUntil = control.Ready, false, 0
		case "slot":
			v.ConcurrencyLimit++
		case "no-report":
			v.Report, v.ReportedAt = control.LoadReport{}, 0
		}
		return nil
	}
	return fmt.Errorf("server %x is not known at that time", c.Server)
}

// Question says which decisions are meant.
type Question struct {
	Request control.RequestID
	WhatIf  *Change // asked again, at the job's first decision, with this changed
}

// Near lists the jobs that were decided about within a span round a time, in order, each once.
func RequestsNear(files []string, at, span control.Micros) (jobs []control.RequestID, err error) {
	seen := map[control.RequestID]bool{}
	for _, name := range files {
		s, err := record.OpenSegment(name)
		if err != nil {
			return jobs, err
		}
		err = s.ForEachStep(func(_ uint64, t record.Step) error {
			if t.Clock < at-span || t.Clock > at+span {
				return nil
			}
			for _, d := range t.Commands {
				if d.Request != 0 && !seen[d.Request] {
					seen[d.Request], jobs = true, append(jobs, d.Request)
				}
			}
			return nil
		})
		s.Close()
		if err != nil && !errors.Is(err, record.ErrDamaged) {
			return jobs, err
		}
	}
	return jobs, nil
}

// Requested finds a request's job by the tag of its id; the last one, where an id was used again.
func FindRequest(files []string, tag uint64) (job control.RequestID, err error) {
	for _, name := range files {
		s, err := record.OpenSegment(name)
		if err != nil {
			return job, err
		}
		err = s.ForEachStep(func(_ uint64, t record.Step) error {
			for _, n := range t.Events {
				if n.Added != nil && n.ClientTag == tag {
					job = n.Added.ID
				}
			}
			return nil
		})
		s.Close()
		if err != nil && !errors.Is(err, record.ErrDamaged) {
			return job, err
		}
	}
	if job == 0 {
		return 0, errors.New("the recording holds no request of this id (under this key)")
	}
	return job, nil
}

// ErrNoDecision tells that the recording holds no decision about the job.
var ErrNoDecision = errors.New("the recording holds no decision about this job")

// Job explains all decisions about a job.
func Request(files []string, q Question) (answers []Decision, err error) {
	for _, name := range files {
		found, err := segment(name, q)
		if err != nil && !errors.Is(err, record.ErrDamaged) {
			return answers, err
		}
		answers = append(answers, found...)
		if q.WhatIf != nil && len(answers) > 0 {
			return answers[:min(2, len(answers))], nil
		}
	}
	if len(answers) == 0 {
		return nil, ErrNoDecision
	}
	return answers, nil
}

// All plays recordings and holds every explanation against the decision that was recorded. It gives how many were alike;
// the error names the first that was not.
func VerifyAll(files []string) (alike uint64, err error) {
	for _, name := range files {
		err := func() error {
			s, err := record.OpenSegment(name)
			if err != nil {
				return err
			}
			defer s.Close()
			p, err := replay.NewPlayer(s.Checkpoint)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			var whys []control.Explanation
			if err := p.Core.SetTrace(&control.Trace{OnDecision: func(w control.Explanation) {
				if w.Decision.Action != control.NoAction && w.Decision.Action != control.Hold {
					whys = append(whys, w)
				}
			}}); err != nil {
				return err
			}
			return s.ForEachStep(func(n uint64, t record.Step) error {
				whys = whys[:0]
				p.Step(t)
				i := 0
				for _, d := range t.Commands {
					if d.Kind != record.CommandForward && d.Kind != record.CommandReject && d.Kind != record.CommandFail {
						continue
					}
					if i >= len(whys) || !fits(whys[i], d) {
						return fmt.Errorf("%s: turn %d: recorded is %q, and the explanation says otherwise", name, n, d)
					}
					i++
					alike++
				}
				if i < len(whys) {
					return fmt.Errorf("%s: turn %d: job %d is explained, but no decision was recorded", name, n, whys[i].Request)
				}
				return nil
			})
		}()
		if err != nil && !errors.Is(err, record.ErrDamaged) {
			return alike, err
		}
	}
	return alike, nil
}

// fits tells whether an explanation is of a recorded deed.
func fits(w control.Explanation, d record.Command) bool {
	p := w.Decision
	switch d.Kind {
	case record.CommandForward:
		return p.Action == control.Forward && w.Request == d.Request && p.Server == d.Server && p.Timeout == d.Time
	case record.CommandReject:
		return p.Action == control.Reject && w.Request == d.Request && p.RetryAfter == d.Time
	}
	return p.Action == control.Fail && w.Request == d.Request
}

// listener gathers what the module tells about one job.
type listener struct {
	job     control.RequestID
	at      Decision
	checks  map[control.FunctionID]control.ReplicaCheck
	answers []Decision
}

func (l *listener) trace() *control.Trace {
	return &control.Trace{
		OnReplicaCheck: func(c control.ReplicaCheck) { l.checks[c.Function] = c },
		OnDecision: func(w control.Explanation) {
			if w.Request != l.job {
				return
			}
			a := l.at
			a.Explanation = w
			if c, ok := l.checks[w.Function]; ok {
				a.Check = &c
			}
			l.answers = append(l.answers, a)
		}}
}

func segment(name string, q Question) ([]Decision, error) {
	s, err := record.OpenSegment(name)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	p, err := replay.NewPlayer(s.Checkpoint)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	l := &listener{job: q.Request, at: Decision{File: name}, checks: map[control.FunctionID]control.ReplicaCheck{}}
	if err := p.Core.SetTrace(l.trace()); err != nil {
		return nil, err
	}
	err = s.ForEachStep(func(n uint64, t record.Step) error {
		l.at.Step = n
		for _, news := range t.Events {
			if news.Endpoints != nil {
				l.at.Endpoints = EndpointList{t.Clock, l.at.Endpoints.Version + 1}
			}
		}
		var before *core.Snapshot
		if q.WhatIf != nil && arrives(t, q.Request) {
			if before, err = p.Core.Snapshot(); err != nil {
				return err
			}
		}
		p.Step(t)
		if before != nil {
			return l.again(before, t, *q.WhatIf)
		}
		return nil
	})
	if errors.Is(err, errAsked) {
		err = nil
	}
	return l.answers, err
}

func arrives(t record.Step, id control.RequestID) bool {
	for _, n := range t.Events {
		if n.Added != nil && n.Added.ID == id {
			return true
		}
	}
	return false
}

var errAsked = errors.New("asked again")

// again plays one turn a second time with something changed, and ends.
func (l *listener) again(before *core.Snapshot, t record.Step, c Change) error {
	if err := c.apply(before); err != nil {
		return err
	}
	p, err := replay.NewPlayer(before)
	if err != nil {
		return err
	}
	first := len(l.answers)
	if err := p.Core.SetTrace(l.trace()); err != nil {
		return err
	}
	p.Step(t)
	for i := first; i < len(l.answers); i++ {
		l.answers[i].WhatIf = fmt.Sprintf("%s=%x", c.Kind, c.Server)
	}
	return errAsked
}

var verbs = [...]string{"nothing", "send", "hold", "push back", "kill"}

// Text tells an answer in plain words.
func (a Decision) Text() string {
	w := a.Explanation
	var b strings.Builder
	put := func(format string, args ...any) { fmt.Fprintf(&b, format, args...) }
	put("turn %d at %d us: %s", a.Step, w.Now, verbs[w.Decision.Action])
	if w.Decision.Action == control.Forward {
		put(" to server %x", w.Decision.Server)
	}
	if a.WhatIf != "" {
		put(", if %s", a.WhatIf)
	}
	put("\n  because %s\n", w.Reason)
	if a.Endpoints.ReceivedAt == 0 {
		put("  list: as known when the recording began\n")
	} else {
		put("  list: number %d of the recording, heard at %d us\n", a.Endpoints.Version, a.Endpoints.ReceivedAt)
	}
	put("  execution time %d us, start target %d us, B %.2f, slack left %d us (margin %d us), load time %d us, held for the function %d\n",
		w.ExecTime, w.Objective, w.B, w.Slack, w.Margin, w.LoadTime, w.Held)
	if c := a.Check; c != nil {
		put("  last check at %d us: D_f %d us = held %d x target %d us / slots %d, against load time %d us; delay %d us against slack %d us; %d loads due\n",
			c.Now, c.QueueDelay(), c.Held, c.Objective, c.Slots, c.LoadTime, c.Delay, c.Slack, w.LoadsDue)
	}
	for _, s := range w.Servers {
		put("  server %x: ", s.Server)
		switch {
		case s.Loaded:
			put("%d copies warm, %d of ours out, %d slots", s.Replicas, s.InFlight, s.Slots)
		case s.LoadingNow:
			put("%d copies loading, %d of ours out, %d slots", s.Loading, s.InFlight, s.Slots)
		default:
			put("no copy believed")
		}
		put("; window %.1f, busy %d, behind loads %d", s.ConcurrencyLimit, s.Running, s.PendingLoads)
		for _, x := range []struct {
			is   bool
			word string
		}{{s.Ejected, "suspect"}, {s.Overloaded, "shunned"}, {s.SlowStart, "cold"}, {s.Unusable != "", "unusable: " + string(s.Unusable)}} {
			if x.is {
				put("; %s", x.word)
			}
		}
		if s.ReportAge >= 0 {
			put("; reported %d us ago: %.2f of its cores, %g loads", s.ReportAge, s.Report.Utilization, s.Report.PendingLoads)
		}
		put("\n")
	}
	return b.String()
}
