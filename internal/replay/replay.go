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

// Options selects which commands are compared. With the zero value all are.
type Options struct {
	From, Until uint64            // first and last step to compare; Until 0: to the end
	Request     control.RequestID // compare only commands for this request; 0: for all
	// OnCommand, if not nil, is called with each command that was compared and found equal.
	OnCommand func(step uint64, clock control.Micros, c record.Command)
}

// Summary describes what was replayed.
type Summary struct {
	Segments, Steps, Commands uint64         // Commands: number of commands compared
	First, Last               control.Micros // times of the first and last step
	LostSteps                 uint64         // number of steps lost, according to the headers of the segments
	Damaged                   []string       // errors of corrupt or truncated segments
	Stalls                    uint64         // number of steps more than stallThreshold after the preceding one
	LongestStall              control.Micros
}

// stallThreshold is the time between two steps above which a router counts as stalled. Within it, maintenance is due five times.
const stallThreshold control.Micros = 1_000_000

// Play replays segments in the given order. The error is a *Difference if a command or a state differs. The summary covers everything
// that was replayed until then.
func Play(files []string, options Options) (Summary, error) {
	p := playback{options: options}
	for _, file := range files {
		if err := p.playFile(file); errors.Is(err, errRangeEnd) {
			break
		} else if err != nil {
			return p.summary, err
		}
	}
	return p.summary, nil
}

var errRangeEnd = errors.New("end of the selected range")

// playback is the state of Play between segments.
type playback struct {
	options     Options
	summary     Summary
	player      *Player // nil: the next segment is replayed from its checkpoint
	incarnation string
	next        uint64 // number of the player's next step
}

// playFile replays a segment. A corrupt segment is replayed up to the first corrupt frame.
func (p *playback) playFile(file string) error {
	err := p.playSegment(file)
	if errors.Is(err, record.ErrCorrupt) { // a router that is killed during a write leaves a truncated segment
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
	if err := p.enterSegment(s); err != nil {
		return err
	}
	return s.ForEachStep(func(number uint64, step record.Step) error {
		if p.options.Until > 0 && number > p.options.Until {
			return errRangeEnd
		}
		p.next = number + 1
		return p.summary.playStep(p.player, p.options, file, number, step)
	})
}

// enterSegment moves the player to the beginning of a segment. If the segment directly follows the preceding one, the state reached must
// equal its checkpoint; otherwise a new player starts from the checkpoint.
func (p *playback) enterSegment(s *record.Segment) error {
	follows := p.player != nil && p.incarnation == s.Incarnation && p.next == s.FirstStep && s.LostSteps == 0
	p.incarnation, p.next = s.Incarnation, s.FirstStep
	if !follows {
		var err error
		if p.player, err = NewPlayer(s.Checkpoint); err != nil {
			return fmt.Errorf("%s: %w", s.File, err)
		}
		return nil
	}
	if s.FirstStep < p.options.From {
		return nil
	}
	same, err := sameState(p.player.Core, s.Checkpoint)
	if err == nil && !same {
		err = &Difference{File: s.File, Step: s.FirstStep, Clock: s.Clock, AtCheckpoint: true}
	}
	return err
}

// playStep replays a step and compares its commands.
func (s *Summary) playStep(p *Player, options Options, file string, number uint64, step record.Step) error {
	s.addStep(step.Clock)
	replayed := p.Step(step)
	for i := range max(len(replayed), len(step.Commands)) {
		recorded, current := commandAt(step.Commands, i), commandAt(replayed, i)
		if number < options.From || options.Request != 0 && recorded.Request != options.Request && current.Request != options.Request {
			continue
		}
		if s.Commands++; recorded != current {
			return &Difference{File: file, Step: number, Clock: step.Clock, Request: cmp.Or(recorded.Request, current.Request),
				Recorded: recorded.String(), Replayed: current.String()}
		}
		if options.OnCommand != nil {
			options.OnCommand(number, step.Clock, recorded)
		}
	}
	return nil
}

// addStep counts a step, and a stall if there was one before it.
func (s *Summary) addStep(clock control.Micros) {
	if s.Steps++; s.First == 0 {
		s.First = clock
	} else if pause := clock - s.Last; pause > stallThreshold {
		s.Stalls++
		s.LongestStall = max(s.LongestStall, pause)
	}
	s.Last = clock
}

// commandAt returns the command at an index, or the zero command if the index is beyond the end.
func commandAt(commands []record.Command, i int) (c record.Command) {
	if i < len(commands) {
		c = commands[i]
	}
	return c
}

// sameState reports whether a core's state equals a checkpoint.
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
