// Command hmmodelcheck takes small worlds of jobs, servers and routers through all orderings of what can happen in them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"hollymast/control"
	"hollymast/internal/modelcheck"
	"hollymast/internal/program"
	"hollymast/internal/record"
	"hollymast/internal/replay"
)

type cli struct {
	program.CommonFlags
	Run        run        `cmd:"" help:"Explore a world breadth first; exit 1 with the shortest story where a property fails."`
	Walk       walk       `cmd:"" help:"Walk through a world by chance, again and again."`
	Moment     moment     `cmd:"" help:"Explore from a moment of a recorded day."`
	Replay     replaying  `cmd:"" help:"Replay a saved story with this build."`
	Properties properties `cmd:"" help:"Tell the properties in plain words."`
	Diagram    diagram    `cmd:"" help:"Print the states of executions and connections as a Mermaid diagram."`
}

func main() {
	var c cli
	ctx := program.Parse(&c, "hmmodelcheck", `Explores rare orderings, on the code that decides.

Examples:

  hmmodelcheck run --breaks 1 --effects run-once

  hmmodelcheck run --jobs 2 --servers 2 --drains 1 --breaks 1 --depth 14

  hmmodelcheck walk --jobs 3 --servers 3 --routers 2 --breaks 3 --restarts 1 --walks 1000

  hmmodelcheck replay internal/modelcheck/traces/left-before-written.json`)
	program.Exit("hmmodelcheck", ctx.Run())
}

// world is the flags that describe one.
type world struct {
	Jobs       int           `default:"1" help:"Jobs, 1 to 3."`
	Servers    int           `default:"1" help:"Servers, 1 to 3."`
	Routers    int           `default:"1" help:"Routers, 1 or 2."`
	Effects    []string      `default:"restartable" help:"Of the jobs, in turn: restartable, fingerprinted, run-once."`
	Scope      string        `default:"fleet" enum:"fleet,zone" help:"Group of fingerprinted jobs."`
	Apart      time.Duration `help:"Between two jobs' arrivals."`
	Target     time.Duration `default:"150ms" help:"Start target."`
	Limit      time.Duration `default:"500ms" help:"Time limit."`
	Window     time.Duration `default:"300ms" help:"For which a group knows a fingerprinted job."`
	Orders     bool          `help:"Copies are ordered; without, jobs load them."`
	Warm       bool          `default:"true" negatable:"" help:"All servers have the function loaded."`
	ColdServer bool          `help:"Server 0 has just started."`
	Check      []string      `help:"Properties to check; without, all."`
	faults
}

// faults are the flags that say what may go wrong, and how often.
type faults struct {
	Breaks   int      `help:"Exchanges that go wrong."`
	Ways     []string `help:"How they do: no-connection, refused, reset-before, reset-after, lost, silent; without, in any way."`
	Drains   int      `help:"Servers that are drained."`
	Restarts int      `help:"Servers that die and come back."`
	Leaves   int      `help:"Clients that go."`
	Stalls   int      `help:"Choices that are written late."`
	Freezes  int      `help:"Routers that stand still for a while."`
}

func (f faults) add(s *modelcheck.Config) {
	s.CallFailures, s.FailureModes, s.Drains, s.Restarts, s.ClientCancels, s.DelayedWrites, s.RouterStalls = f.Breaks, f.Ways, f.Drains, f.Restarts, f.Leaves, f.Stalls, f.Freezes
}

func (w world) setup() (modelcheck.Config, []modelcheck.Property, error) {
	us := func(d time.Duration) control.Micros { return control.Micros(d.Microseconds()) }
	s := modelcheck.Config{Requests: w.Jobs, Servers: w.Servers, Routers: w.Routers, Effects: w.Effects, Scope: w.Scope, ArrivalInterval: us(w.Apart), LatencyObjective: us(w.Target),
		MaxDeadline: us(w.Limit), DedupWindow: us(w.Window), LoadCommands: w.Orders, FunctionLoaded: w.Warm, SlowStartServer: w.ColdServer}
	w.faults.add(&s)
	if err := s.Validate(); err != nil {
		return s, nil, program.UsageError{Err: err}
	}
	ps, ok := modelcheck.SelectProperties(w.Check)
	if !ok {
		return s, nil, program.UsageError{Err: fmt.Errorf("a property of %s is not known; hmmodelcheck properties lists them", strings.Join(w.Check, ", "))}
	}
	return s, ps, nil
}

// tell prints a find and saves it where that is wanted.
func tell(s *modelcheck.Trace, save string) error {
	fmt.Print(s.Text(&modelcheck.ProductionRules))
	if save != "" {
		b, err := s.Marshal()
		if err != nil {
			return err
		}
		if err := os.WriteFile(save, append(b, '\n'), 0o644); err != nil {
			return err
		}
	}
	return fmt.Errorf("a property fails: %s", s.Violation)
}

type run struct {
	world
	Depth   int    `help:"Steps at most; 0: to the end."`
	States  int    `help:"States at most, by whole depths; 0: all."`
	Workers int    `help:"Workers; 0: one for each processor."`
	Memory  int    `default:"400000" help:"States of one depth kept in memory; more go to files."`
	Folder  string `help:"Folder to resume from and to spill to." type:"path"`
	Save    string `help:"File for the story of a find." type:"path"`
	Quiet   bool   `help:"No progress."`
}

func (r run) Run() error {
	s, ps, err := r.setup()
	if err != nil {
		return err
	}
	if r.Folder != "" {
		if err := os.MkdirAll(r.Folder, 0o700); err != nil {
			return err
		}
	}
	x := modelcheck.Exploration{Config: s, Properties: ps, MaxDepth: r.Depth, MaxStates: r.States, Workers: r.Workers, MaxInMemory: r.Memory, Dir: r.Folder}
	if !r.Quiet {
		before := 1
		x.Progress = func(p modelcheck.Progress) {
			growth := float64(p.Frontier) / float64(max(1, before))
			before = p.Frontier
			fmt.Fprintf(os.Stderr, "depth %d: %d states, %d new (%.2f times the last), %d steps, %.0f states/s\n", p.Depth, p.States, p.Frontier, growth, p.Steps,
				float64(p.States)/max(0.001, p.Elapsed.Seconds()))
		}
	}
	return explored(x, r.Save)
}

// explored runs an exploration and tells its end.
func explored(x modelcheck.Exploration, save string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f, err := x.Run(ctx)
	if errors.Is(err, context.Canceled) && f != nil {
		return fmt.Errorf("ended after depth %d, %d states; with a folder it can be resumed", f.Depth, f.States)
	}
	if err != nil {
		return err
	}
	word := "bounded"
	if f.Complete {
		word = "complete"
	}
	fmt.Printf("%s: depth=%d states=%d steps=%d seconds=%.1f heap_mb=%d\n", word, f.Depth, f.States, f.Steps, f.Elapsed.Seconds(), f.HeapBytes>>20)
	if f.Trace != nil {
		return tell(f.Trace, save)
	}
	return nil
}

type moment struct {
	Recording string   `arg:"" help:"Segment of a recording." type:"path"`
	Turn      uint64   `required:"" help:"Number of the turn after which to begin."`
	Job       []uint64 `help:"Jobs in hand to follow, up to 3; without, the last that came."`
	faults
	Depth  int    `default:"12" help:"Steps at most."`
	States int    `default:"2000000" help:"States at most, by whole depths."`
	Save   string `help:"File for the story of a find." type:"path"`
}

var errThere = errors.New("there")

func (m moment) Run() error {
	s, err := record.OpenSegment(m.Recording)
	if err != nil {
		return program.UsageError{Err: err}
	}
	defer s.Close()
	p, err := replay.NewPlayer(s.Checkpoint)
	if err != nil {
		return err
	}
	now := control.Micros(0)
	err = s.ForEachStep(func(n uint64, t record.Step) error {
		if n > m.Turn {
			return errThere
		}
		p.Step(t)
		now = t.Clock
		return nil
	})
	if err != nil && !errors.Is(err, errThere) {
		return err
	}
	if now == 0 {
		return program.UsageError{Err: fmt.Errorf("turn %d is not in %s", m.Turn, m.Recording)}
	}
	c, err := p.Core.Snapshot()
	if err != nil {
		return err
	}
	var jobs []control.RequestID
	for _, j := range m.Job {
		jobs = append(jobs, control.RequestID(j))
	}
	at, err := modelcheck.NewRecordedState(now, c, jobs)
	if err != nil {
		return program.UsageError{Err: err}
	}
	setup := at.Config()
	m.faults.add(&setup)
	return explored(modelcheck.Exploration{Config: setup, MaxDepth: m.Depth, MaxStates: m.States}, m.Save)
}

type walk struct {
	world
	Walks int    `default:"1000" help:"Walks."`
	Steps int    `default:"200" help:"Steps of each at most."`
	Seed  uint64 `default:"1" help:"Seed of the first walk; each further has the next."`
	Save  string `help:"File for the story of a find." type:"path"`
}

func (w walk) Run() error {
	s, ps, err := w.setup()
	if err != nil {
		return err
	}
	steps := 0
	begun := time.Now()
	for i := range w.Walks {
		story, n, err := modelcheck.RandomWalk(s, &modelcheck.ProductionRules, ps, w.Steps, modelcheck.RandomChoice(w.Seed+uint64(i)))
		steps += n
		if err != nil {
			return err
		}
		if story != nil {
			fmt.Printf("seed %d:\n", w.Seed+uint64(i))
			return tell(story, w.Save)
		}
	}
	fmt.Printf("%d walks, %d steps, %.1f s: no property fails\n", w.Walks, steps, time.Since(begun).Seconds())
	return nil
}

type replaying struct {
	File []string `arg:"" help:"Saved stories." type:"path"`
}

func (r replaying) Run() error {
	bad := 0
	for _, name := range r.File {
		b, err := os.ReadFile(name)
		if err != nil {
			return program.UsageError{Err: err}
		}
		s, err := modelcheck.ParseTrace(b)
		if err != nil {
			return program.UsageError{Err: fmt.Errorf("%s: %w", name, err)}
		}
		switch wrong, after, err := s.Replay(&modelcheck.ProductionRules, modelcheck.Properties); {
		case wrong != "":
			bad++
			fmt.Printf("%s: after %d steps %s\n", filepath.Base(name), after, wrong)
		case err != nil:
			fmt.Printf("%s: nothing fails; %v any more\n", filepath.Base(name), err)
		default:
			fmt.Printf("%s: nothing fails\n", filepath.Base(name))
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d stories fail", bad)
	}
	return nil
}

type properties struct{}

func (properties) Run() error {
	for _, p := range modelcheck.Properties {
		fmt.Printf("%-15s %s\n", p.Name, p.Description)
	}
	return nil
}

type diagram struct{}

func (diagram) Run() error {
	fmt.Print(modelcheck.Diagram())
	return nil
}
