package replay

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/record"
)

// Options limits what is compared. The zero value is everything.
type Options struct {
	From, Until uint64            // first and last step; Until 0: to the end
	Request     control.RequestID // compare only commands for this request; 0: for all
	OnCommand   func(step uint64, clock control.Micros, c record.Command)
}

// Summary is what a replay went through.
type Summary struct {
	Segments, Steps, Commands uint64
	First, Last               control.Micros // clocks of the first and last step
	LostSteps                 uint64         // steps that the recordings say they lost
	Damaged                   []string       // errors of segments that end before they should
	Stalls                    uint64         // steps that came more than stallThreshold after the one before
	LongestStall              control.Micros
}

// stallThreshold is the time between two steps after which a router counts as stalled: five times its maintenance was due.
const stallThreshold control.Micros = 1_000_000

// Play replays segments in the given order. The error is a *Difference where commands differ; the summary covers what was played.
func Play(files []string, r Options) (Summary, error) {
	p := playback{limits: r}
	for _, file := range files {
		if err := p.playFile(file); errors.Is(err, errEndOfRange) {
			break
		} else if err != nil {
			return p.summary, err
		}
	}
	return p.summary, nil
}

var errEndOfRange = errors.New("the end that was asked for")

// playback is the state of Play between segments.
type playback struct {
	limits      Options
	summary     Summary
	player      *Player // nil: the next segment begins at its checkpoint
	incarnation string
	next        uint64 // number of the player's next step
}

// playFile plays a segment. A damaged one is played up to the damage.
func (p *playback) playFile(file string) error {
	err := p.playSegment(file)
	if errors.Is(err, record.ErrCorrupt) { // a router that is killed during a write leaves one
		p.summary.Damaged = append(p.summary.Damaged, err.Error())
		p.player = nil
		return nil
	}
	return err
}

func (p *playback) playSegment(file string) error {
	s, err := record.OpenSegment(file)
	if err != nil {
		return err
	}
	defer s.Close()
	p.summary.Segments++
	p.summary.LostSteps += s.LostSteps
	if err := p.enter(s); err != nil {
		return err
	}
	return s.ForEachStep(func(number uint64, step record.Step) error {
		if p.limits.Until > 0 && number > p.limits.Until {
			return errEndOfRange
		}
		p.next = number + 1
		return p.summary.playStep(p.player, p.limits, file, number, step)
	})
}

// enter brings the player to the beginning of a segment. If the segment follows the one before, the state reached has to be that of its
// checkpoint; else the player begins there.
func (p *playback) enter(s *record.Segment) error {
	follows := p.player != nil && p.incarnation == s.Incarnation && p.next == s.FirstStep && s.LostSteps == 0
	p.incarnation, p.next = s.Incarnation, s.FirstStep
	if !follows {
		var err error
		if p.player, err = NewPlayer(s.Checkpoint); err != nil {
			return fmt.Errorf("%s: %w", s.File, err)
		}
		return nil
	}
	if s.FirstStep < p.limits.From {
		return nil
	}
	same, err := sameState(p.player.Core, s.Checkpoint)
	if err == nil && !same {
		err = &Difference{File: s.File, Step: s.FirstStep, Clock: s.Clock, AtCheckpoint: true}
	}
	return err
}

// playStep replays a step and compares its commands.
func (s *Summary) playStep(p *Player, r Options, file string, number uint64, step record.Step) error {
	s.addStep(step.Clock)
	replayed := p.Step(step)
	for i := range max(len(replayed), len(step.Commands)) {
		was, is := commandAt(step.Commands, i), commandAt(replayed, i)
		if number < r.From || r.Request != 0 && was.Request != r.Request && is.Request != r.Request {
			continue
		}
		if s.Commands++; was != is {
			return &Difference{File: file, Step: number, Clock: step.Clock, Request: cmp.Or(was.Request, is.Request),
				Recorded: was.String(), Replayed: is.String()}
		}
		if r.OnCommand != nil {
			r.OnCommand(number, step.Clock, was)
		}
	}
	return nil
}

// addStep counts a step, and a stall before it.
func (s *Summary) addStep(clock control.Micros) {
	if s.Steps++; s.First == 0 {
		s.First = clock
	} else if pause := clock - s.Last; pause > stallThreshold {
		s.Stalls++
		s.LongestStall = max(s.LongestStall, pause)
	}
	s.Last = clock
}

// commandAt returns a command, or the zero command beyond the end.
func commandAt(commands []record.Command, i int) (c record.Command) {
	if i < len(commands) {
		c = commands[i]
	}
	return c
}

// sameState reports whether a core's state is that of a checkpoint.
func sameState(c *core.Core, checkpoint *core.Snapshot) (bool, error) {
	restored, err := core.Restore(checkpoint, nil)
	if err != nil {
		return false, err
	}
	reached, err := encodeState(c)
	if err != nil {
		return false, err
	}
	recorded, err := encodeState(restored)
	return bytes.Equal(reached, recorded), err
}

func encodeState(c *core.Core) ([]byte, error) {
	s, err := c.Snapshot()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(s)
}
