package modelcheck

import (
	"context"
	"errors"
	"os"
	"runtime"
	"slices"
	"time"
)

// Exploration goes through all states of a world, breadth first, so that the first violation found has the shortest trace.
type Exploration struct {
	Config            Config
	Properties        []Property // nil: all
	Rules             *Rules     // nil: ProductionRules
	MaxDepth          int        // in steps; 0: to the end
	MaxStates         int        // by whole depths; 0: all there are
	Workers           int        // 0: one for each processor
	MaxStatesInMemory int        // states of one depth kept in memory; more are written to files. 0: all
	Dir               string     // to resume from, and for those files; empty: a temporary one for them alone
	Progress          func(p Progress)
}

// Progress is how far an exploration has got; it is reported after each depth.
type Progress struct {
	Depth     int           `cbor:"Depth"`
	NewStates int           `cbor:"Frontier"` // states first reached at this depth
	States    int           `cbor:"States"`
	Steps     int           `cbor:"Steps"`
	Elapsed   time.Duration `cbor:"Took"`
}

// Result is an exploration's end.
type Result struct {
	Progress
	Complete  bool   // all states were seen
	Trace     *Trace // nil: no property failed
	HeapBytes uint64 // in use at the end
}

// run is an exploration that is running.
type run struct {
	*Exploration
	workers  int
	spillDir string
	visited  *visitedStates
	root     Key
	frontier *frontier
	result   *Result
}

// Run explores until all states are seen, a bound is reached, a property fails or the context ends; then the result so far comes with the
// context's error. With a folder an exploration that was ended goes on where its last whole depth ended.
func (x *Exploration) Run(ctx context.Context) (*Result, error) {
	r, err := x.start()
	if err != nil {
		return nil, err
	}
	defer r.close()
	if x.Dir != "" {
		if err := r.resume(); err != nil {
			return nil, err
		}
	}
	started := time.Now().Add(-r.result.Elapsed)
	for r.result.Trace == nil && r.frontier.count() > 0 && r.withinBounds() {
		if err := r.exploreDepth(ctx, started); err != nil {
			if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
				return r.result, err
			}
			return nil, err
		}
	}
	r.result.Complete = r.result.Trace == nil && r.result.NewStates == 0
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	r.result.HeapBytes = memory.HeapAlloc
	return r.result, nil
}

func (x *Exploration) start() (*run, error) {
	if x.Rules == nil {
		x.Rules = &ProductionRules
	}
	if x.Properties == nil {
		x.Properties = Properties
	}
	initial, err := InitialState(&x.Config, x.Rules)
	if err != nil {
		return nil, err
	}
	r := &run{Exploration: x, workers: x.Workers, spillDir: x.Dir, visited: newVisitedStates(), root: initial.Key(),
		frontier: &frontier{states: []*State{initial}}, result: &Result{Progress: Progress{NewStates: 1, States: 1}}}
	if r.workers == 0 {
		r.workers = runtime.GOMAXPROCS(0)
	}
	if r.spillDir == "" && x.MaxStatesInMemory > 0 {
		if r.spillDir, err = os.MkdirTemp("", "hmmodelcheck-"); err != nil {
			return nil, err
		}
	}
	r.visited.add(r.root, origin{}, 0)
	return r, nil
}

// close removes the files of an exploration, but for what it can be resumed from.
func (r *run) close() {
	r.frontier.removeFiles()
	if r.Dir == "" && r.spillDir != "" {
		os.RemoveAll(r.spillDir)
	}
}

func (r *run) withinBounds() bool {
	return (r.MaxDepth == 0 || r.result.Depth < r.MaxDepth) && (r.MaxStates == 0 || r.result.States < r.MaxStates)
}

// exploreDepth explores the states of one depth and replaces the frontier. If the context ends meanwhile it returns the context's error, and
// the depth doesn't count.
func (r *run) exploreDepth(ctx context.Context, started time.Time) error {
	next := &frontierWriter{maxInMemory: r.MaxStatesInMemory, dir: r.spillDir, depth: r.result.Depth + 1}
	level, err := r.expand(ctx, next)
	err = errors.Join(err, next.close())
	if ctx.Err() != nil && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return err
	}
	r.frontier.removeFiles()
	r.frontier = &next.frontier
	r.result.Depth++
	r.result.Steps += level.steps
	r.result.NewStates = r.frontier.count()
	r.result.States += r.result.NewStates
	r.result.Elapsed = time.Since(started)
	if r.Progress != nil {
		r.Progress(r.result.Progress)
	}
	if len(level.violations) > 0 {
		slices.SortFunc(level.violations, func(a, b violation) int { return slices.Compare(a.key[:], b.key[:]) })
		r.result.Trace, err = r.trace(level.violations[0])
		return err
	}
	if r.Dir != "" {
		return r.save()
	}
	return nil
}

// maxTraceSteps bounds the way back from a violation, which would not end if what was resumed were corrupt.
const maxTraceSteps = 10_000

// errNoOrigin is the error of a state whose way back to the beginning is not known.
var errNoOrigin = errors.New("the way to a state is not known")

// trace goes back from a violation to the beginning.
func (r *run) trace(v violation) (*Trace, error) {
	t := &Trace{Config: r.Config, Violation: v.text}
	for key := v.key; key != r.root; {
		from, ok := r.visited.origin(key)
		if !ok || len(t.Steps) > maxTraceSteps {
			return nil, errNoOrigin
		}
		t.Steps = append(t.Steps, from.Step)
		key = from.Parent
	}
	slices.Reverse(t.Steps)
	return t, nil
}
