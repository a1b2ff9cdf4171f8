// Package replay plays recordings through a core and compares what it decides now with what was recorded.
package replay

import (
	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/record"
)

// Player is a core that goes through recorded steps.
type Player struct {
	Core     *core.Core
	recorder record.Recorder
	commands []record.Command // of the last step
}

// NewPlayer returns a player at a checkpoint.
func NewPlayer(checkpoint *core.Snapshot) (*Player, error) {
	p := &Player{}
	p.recorder.OnStep = func(step record.Step) { p.commands = step.Commands }
	var err error
	p.Core, err = core.Restore(checkpoint, &p.recorder)
	return p, err
}

// Step plays a recorded step and returns the commands that the core gives now.
func (p *Player) Step(step record.Step) []record.Command {
	p.Apply(step)
	return p.EndStep(step.Clock)
}

// Apply hands a step's events to the core. EndStep must follow.
func (p *Player) Apply(step record.Step) {
	for _, e := range step.Events {
		switch {
		case e.Added != nil:
			p.Core.Add(step.Clock, *e.Added) // one that was added twice was refused when it was recorded too
		case e.Outcome != nil:
			p.Core.HandleOutcome(step.Clock, e.RequestID, *e.Outcome)
		case e.Endpoints != nil:
			p.Core.UpdateEndpoints(step.Clock, e.Endpoints.Kind, e.Endpoints.Endpoints)
		case e.Cancelled:
			p.Core.Cancel(step.Clock, e.RequestID)
		case e.LoadResult != nil:
			l := e.LoadResult
			p.Core.HandleLoadResult(step.Clock, l.Server, l.Function, l.Result, l.Duration, l.Replicas)
		}
	}
}

// EndStep ends a step and returns the commands that the core gives.
func (p *Player) EndStep(now control.Micros) []record.Command {
	p.Core.Step(now)
	p.recorder.StepEnded(now)
	return p.commands
}
