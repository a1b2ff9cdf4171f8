package modelcheck

import (
	"context"
	"errors"
	"os"
	"runtime"
	"slices"
	"time"
)

// Exploration visits all reachable states of a system breadth first, so that the first violation found has a shortest
// trace.
type Exploration struct {
	Config            Config
	Properties        []Property // nil: all
	Rules             *Rules     // nil: ProductionRules
	MaxDepth          int        // in steps; 0: unlimited
	MaxStates         int        // checked after each depth, so that it can be exceeded; 0: unlimited
	Workers           int        // goroutines; 0: one per processor
	MaxStatesInMemory int        // states of a depth kept in memory, the others are spilled to files; 0: all
	Dir               string     // for resuming and for spilled states; empty: no resuming, a temporary directory
	Progress          func(p Progress)
}

// Progress counts what an exploration has done so far. It is reported after each depth.
type Progress struct {
	Depth     int           `cbor:"Depth"`
	NewStates int           `cbor:"Frontier"` // states first reached at this depth
	States    int           `cbor:"States"`
	Steps     int           `cbor:"Steps"`
	Elapsed   time.Duration `cbor:"Took"`
}

// Result is the outcome of an exploration.
type Result struct {
	Progress
	Complete  bool   // all reachable states were visited and no property failed
	Trace     *Trace // nil: no property failed
	HeapBytes uint64 // in use at the end
}

// run is the state of a running exploration.
type run struct {
	*Exploration
	workers  int
	spillDir string
	visited  *visitedStates
	root     Key
	frontier *frontier
	result   *Result
}

// Run explores until all states are visited, a bound is reached, a property fails or the context is done. In the last
// case it returns the result so far together with the context's error. If Dir is set, an interrupted exploration
// resumes after the last depth that it completed.
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

// start fills in the defaults and returns a run whose frontier is the initial state.
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

// close removes the files with spilled states, but not the file from which the exploration can be resumed.
func (r *run) close() {
	r.frontier.removeFiles()
	if r.Dir == "" && r.spillDir != "" {
		os.RemoveAll(r.spillDir)
	}
}

func (r *run) withinBounds() bool {
	return (r.MaxDepth == 0 || r.result.Depth < r.MaxDepth) && (r.MaxStates == 0 || r.result.States < r.MaxStates)
}

// exploreDepth expands the states of one depth and replaces the frontier. If the context is done meanwhile, it returns
// the context's error and leaves the frontier and the result unchanged.
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

// maxTraceSteps limits the reconstruction of a trace: if the resumed data is corrupt, the origins may form a cycle.
const maxTraceSteps = 10_000

// errNoOrigin is returned if a trace cannot be reconstructed up to the initial state.
var errNoOrigin = errors.New("no trace leads from the initial state to the violation: the resumed data is incomplete or corrupt")

// trace reconstructs the trace to a violation by following the origins back to the initial state.
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
