// Package replay plays recordings through the core and compares what it decides now with what was decided then.
package replay

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/record"
)

// Player is a core that goes through recorded turns.
type Player struct {
	Core *core.Core
	tape record.Tape
	did  []record.Deed
}

// From gives a player at a checkpoint.
func From(s *core.Snapshot) (*Player, error) {
	p := &Player{}
	p.tape.End = func(t record.Turn) { p.did = t.Did }
	var err error
	p.Core, err = core.Restore(s, &p.tape)
	return p, err
}

// Turn has the core hear a recorded turn and gives what it decides.
func (p *Player) Turn(t record.Turn) []record.Deed {
	p.Hear(t)
	return p.Decide(t.Clock)
}

// Hear has the core hear what a turn brought; Decide must follow.
func (p *Player) Hear(t record.Turn) {
	for _, n := range t.Heard {
		switch {
		case n.Arrived != nil:
			p.Core.Add(t.Clock, *n.Arrived) // one that came twice was refused then too
		case n.Answered != nil:
			p.Core.HandleOutcome(t.Clock, n.Job, *n.Answered)
		case n.Listed != nil:
			p.Core.UpdateEndpoints(t.Clock, n.Listed.Kind, n.Listed.List)
		case n.Left:
			p.Core.Cancel(t.Clock, n.Job)
		case n.Loaded != nil:
			l := n.Loaded
			p.Core.HandleLoadResult(t.Clock, l.Server, l.Function, l.Result, l.Took, l.Copies)
		}
	}
}

// Decide ends a turn.
func (p *Player) Decide(now control.Micros) []record.Deed {
	p.Core.Step(now)
	p.tape.StepEnded(now)
	return p.did
}

// Difference is the first deed that came out otherwise.
type Difference struct {
	File       string
	Turn       uint64
	Clock      control.Micros
	Job        control.RequestID
	Then, Now  string // what was decided
	Checkpoint bool   // it is no deed that differs but the state at the segment's beginning
}

// Error tells the difference in a line.
func (d *Difference) Error() string {
	if d.Checkpoint {
		return fmt.Sprintf("%s: the state reached by replay differs from the checkpoint at turn %d", d.File, d.Turn)
	}
	return fmt.Sprintf("%s: turn %d at %d us, job %d: then %q, now %q", d.File, d.Turn, d.Clock, d.Job, d.Then, d.Now)
}

// Range limits what is compared. The zero value is everything.
type Range struct {
	From, Until uint64            // turns; Until 0: to the end
	Job         control.RequestID // only deeds for this job; 0: all
	Shown       func(turn uint64, clock control.Micros, d record.Deed)
}

// Account is what a replay went through.
type Account struct {
	Segments, Turns, Deeds uint64
	First, Last            control.Micros // clocks
	Lost                   uint64         // turns that recordings say they lost
	Damaged                []string       // segments that end before they should
	Stalls                 uint64         // turns that came over a second after the one before
	LongestStall           control.Micros
}

// Play replays segments in the order given. The error is a *Difference where decisions differ.
func Play(files []string, r Range) (a Account, err error) {
	var p *Player
	var life string
	next := uint64(0)
	for _, name := range files {
		s, err := record.OpenSegment(name)
		if err != nil {
			if errors.Is(err, record.ErrDamaged) { // a router killed in mid-write leaves one
				a.Damaged = append(a.Damaged, err.Error())
				p = nil
				continue
			}
			return a, err
		}
		a.Segments++
		a.Lost += s.Gap
		goesOn := p != nil && life == s.Life && next == s.Turn && s.Gap == 0
		if goesOn && s.Turn >= r.From {
			same, err := alike(p.Core, s.Checkpoint)
			if err != nil || !same {
				s.Close()
				if err == nil {
					err = &Difference{File: name, Turn: s.Turn, Clock: s.Clock, Checkpoint: true}
				}
				return a, err
			}
		}
		if !goesOn {
			if p, err = From(s.Checkpoint); err != nil {
				s.Close()
				return a, fmt.Errorf("%s: %w", name, err)
			}
		}
		life, next = s.Life, s.Turn
		err = s.Turns(func(number uint64, t record.Turn) error {
			if r.Until > 0 && number > r.Until {
				return errUntil
			}
			next = number + 1
			return a.turn(p, r, name, number, t)
		})
		s.Close()
		switch {
		case errors.Is(err, errUntil):
			return a, nil
		case errors.Is(err, record.ErrDamaged):
			a.Damaged = append(a.Damaged, err.Error())
			p = nil
		case err != nil:
			return a, err
		}
	}
	return a, nil
}

var errUntil = errors.New("the end that was asked for")

// turn replays one turn and compares it.
func (a *Account) turn(p *Player, r Range, file string, number uint64, t record.Turn) error {
	if a.Turns++; a.First == 0 {
		a.First = t.Clock
	} else if pause := t.Clock - a.Last; pause > 1_000_000 { // five upkeeps were due meanwhile
		a.Stalls++
		a.LongestStall = max(a.LongestStall, pause)
	}
	a.Last = t.Clock
	now := p.Turn(t)
	for i := range max(len(now), len(t.Did)) {
		var x, y record.Deed
		if i < len(t.Did) {
			x = t.Did[i]
		}
		if i < len(now) {
			y = now[i]
		}
		if number < r.From || r.Job != 0 && x.Job != r.Job && y.Job != r.Job {
			continue
		}
		if a.Deeds++; x != y {
			job := x.Job
			if job == 0 {
				job = y.Job
			}
			return &Difference{File: file, Turn: number, Clock: t.Clock, Job: job, Then: x.String(), Now: y.String()}
		}
		if r.Shown != nil {
			r.Shown(number, t.Clock, x)
		}
	}
	return nil
}

// alike tells whether a core stands where a checkpoint says.
func alike(c *core.Core, checkpoint *core.Snapshot) (bool, error) {
	then, err := core.Restore(checkpoint, nil)
	if err != nil {
		return false, err
	}
	var encoded [2][]byte
	for i, c := range []*core.Core{c, then} {
		s, err := c.Snapshot()
		if err != nil {
			return false, err
		}
		if encoded[i], err = cbor.Marshal(s); err != nil {
			return false, err
		}
	}
	return bytes.Equal(encoded[0], encoded[1]), nil
}
