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
	tape record.Recorder
	did  []record.Command
}

// From gives a player at a checkpoint.
func NewPlayer(s *core.Snapshot) (*Player, error) {
	p := &Player{}
	p.tape.OnStep = func(t record.Step) { p.did = t.Commands }
	var err error
	p.Core, err = core.Restore(s, &p.tape)
	return p, err
}

// Turn has the core hear a recorded turn and gives what it decides.
func (p *Player) Step(t record.Step) []record.Command {
	p.Apply(t)
	return p.EndStep(t.Clock)
}

// Hear has the core hear what a turn brought; Decide must follow.
func (p *Player) Apply(t record.Step) {
	for _, n := range t.Events {
		switch {
		case n.Added != nil:
			p.Core.Add(t.Clock, *n.Added) // one that came twice was refused then too
		case n.Outcome != nil:
			p.Core.HandleOutcome(t.Clock, n.RequestID, *n.Outcome)
		case n.Endpoints != nil:
			p.Core.UpdateEndpoints(t.Clock, n.Endpoints.Kind, n.Endpoints.Endpoints)
		case n.Cancelled:
			p.Core.Cancel(t.Clock, n.RequestID)
		case n.LoadResult != nil:
			l := n.LoadResult
			p.Core.HandleLoadResult(t.Clock, l.Server, l.Function, l.Result, l.Duration, l.Replicas)
		}
	}
}

// Decide ends a turn.
func (p *Player) EndStep(now control.Micros) []record.Command {
	p.Core.Step(now)
	p.tape.StepEnded(now)
	return p.did
}

// Difference is the first deed that came out otherwise.
type Difference struct {
	File               string
	Step               uint64
	Clock              control.Micros
	Request            control.RequestID
	Recorded, Replayed string // what was decided
	Checkpoint         bool   // it is no deed that differs but the state at the segment's beginning
}

// Error tells the difference in a line.
func (d *Difference) Error() string {
	if d.Checkpoint {
		return fmt.Sprintf("%s: the state reached by replay differs from the checkpoint at turn %d", d.File, d.Step)
	}
	return fmt.Sprintf("%s: turn %d at %d us, job %d: then %q, now %q", d.File, d.Step, d.Clock, d.Request, d.Recorded, d.Replayed)
}

// Range limits what is compared. The zero value is everything.
type Range struct {
	From, Until uint64            // turns; Until 0: to the end
	Request     control.RequestID // only deeds for this job; 0: all
	OnCommand   func(turn uint64, clock control.Micros, d record.Command)
}

// Account is what a replay went through.
type Summary struct {
	Segments, Steps, Commands uint64
	First, Last               control.Micros // clocks
	LostSteps                 uint64         // turns that recordings say they lost
	Damaged                   []string       // segments that end before they should
	Stalls                    uint64         // turns that came over a second after the one before
	LongestStall              control.Micros
}

// Play replays segments in the order given. The error is a *Difference where decisions differ.
func Play(files []string, r Range) (a Summary, err error) {
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
		a.LostSteps += s.LostSteps
		goesOn := p != nil && life == s.Incarnation && next == s.FirstStep && s.LostSteps == 0
		if goesOn && s.FirstStep >= r.From {
			same, err := alike(p.Core, s.Checkpoint)
			if err != nil || !same {
				s.Close()
				if err == nil {
					err = &Difference{File: name, Step: s.FirstStep, Clock: s.Clock, Checkpoint: true}
				}
				return a, err
			}
		}
		if !goesOn {
			if p, err = NewPlayer(s.Checkpoint); err != nil {
				s.Close()
				return a, fmt.Errorf("%s: %w", name, err)
			}
		}
		life, next = s.Incarnation, s.FirstStep
		err = s.ForEachStep(func(number uint64, t record.Step) error {
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
func (a *Summary) turn(p *Player, r Range, file string, number uint64, t record.Step) error {
	if a.Steps++; a.First == 0 {
		a.First = t.Clock
	} else if pause := t.Clock - a.Last; pause > 1_000_000 { // five upkeeps were due meanwhile
		a.Stalls++
		a.LongestStall = max(a.LongestStall, pause)
	}
	a.Last = t.Clock
	now := p.Step(t)
	for i := range max(len(now), len(t.Commands)) {
		var x, y record.Command
		if i < len(t.Commands) {
			x = t.Commands[i]
		}
		if i < len(now) {
			y = now[i]
		}
		if number < r.From || r.Request != 0 && x.Request != r.Request && y.Request != r.Request {
			continue
		}
		if a.Commands++; x != y {
			job := x.Request
			if job == 0 {
				job = y.Request
			}
			return &Difference{File: file, Step: number, Clock: t.Clock, Request: job, Recorded: x.String(), Replayed: y.String()}
		}
		if r.OnCommand != nil {
			r.OnCommand(number, t.Clock, x)
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
