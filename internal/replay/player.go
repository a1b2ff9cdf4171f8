// Package replay replays recordings through a core and compares its commands with the recorded ones.
package replay

import (
	"hollymast/control"
	"hollymast/internal/core"
	"hollymast/internal/record"
)

// Player replays recorded steps through a core.
type Player struct {
	Core     *core.Core
	recorder record.Recorder
	commands []record.Command // commands of the last step
}

// NewPlayer returns a player whose core is in the state of a checkpoint.
func NewPlayer(checkpoint *core.Snapshot) (*Player, error) {
	p := &Player{}
	p.recorder.OnStep = func(step record.Step) { p.commands = step.Commands }
	var err error
	p.Core, err = core.Restore(checkpoint, &p.recorder)
	return p, err
}

// Step replays a recorded step and returns the commands that the core gives.
func (p *Player) Step(step record.Step) []record.Command {
	p.Apply(step)
	return p.EndStep(step.Clock)
}

// Apply passes the events of a step to the core. EndStep must be called next.
func (p *Player) Apply(step record.Step) {
	for _, e := range step.Events {
		switch {
		case e.Added != nil:
			p.Core.Add(step.Clock, *e.Added) // the error doesn't matter: a duplicate request was refused during the recording too
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

// EndStep ends the current step and returns the commands that the core gives.
func (p *Player) EndStep(now control.Micros) []record.Command {
	p.Core.Step(now)
	p.recorder.StepEnded(now)
	return p.commands
}
