package modelcheck

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"

	"hollymast/internal/core"
)

// Exploration goes through all states of a setup, breadth first, so that the first find is of the shortest story.
type Exploration struct {
	Config      Config
	Properties  []Property
	Rules       *Rules
	MaxDepth    int    // steps at most; 0: to the end
	MaxStates   int    // at most; 0: as many as there are
	Workers     int    // 0: all processors
	MaxInMemory int    // states of one depth kept in memory; more are written to files. 0: all
	Dir         string // for resuming, and for those files; empty: a temporary one for them alone
	Progress    func(p Progress)
}

// Progress is told after each depth.
type Progress struct {
	Depth    int           `cbor:"Depth"`
	Frontier int           `cbor:"Frontier"`
	States   int           `cbor:"States"`
	Steps    int           `cbor:"Steps"`
	Elapsed  time.Duration `cbor:"Took"`
}

// Found is an exploration's end.
type Result struct {
	Progress
	Complete  bool   // all states were seen
	Trace     *Trace // nil: no property failed
	HeapBytes uint64 // bytes in use at the end
}

// from is how a state was first reached.
type from struct {
	Parent Key  `cbor:"Parent"`
	Step   Step `cbor:"Step"`
}

// seen is all states that were reached, in parts so that workers seldom wait for each other.
type seen struct {
	parts [64]struct {
		sync.Mutex
		m map[Key]from
	}
}

// add takes in a state; fresh is false where it was known.
func (s *seen) add(k Key, f from) (fresh bool) {
	p := &s.parts[k[0]%64]
	p.Lock()
	defer p.Unlock()
	_, known := p.m[k]
	if !known {
		p.m[k] = f
	}
	return !known
}

func (s *seen) get(k Key) (from, bool) {
	p := &s.parts[k[0]%64]
	p.Lock()
	defer p.Unlock()
	f, ok := p.m[k]
	return f, ok
}

// lower keeps the least of several steps that reach a state at one depth, so that stories are the same whatever the number of workers.
func (s *seen) lower(k Key, f from) {
	p := &s.parts[k[0]%64]
	p.Lock()
	defer p.Unlock()
	if old := p.m[k]; slices.Compare(f.Parent[:], old.Parent[:]) < 0 || f.Parent == old.Parent && f.Step.less(old.Step) {
		p.m[k] = f
	}
}

func (s Step) less(o Step) bool {
	return cmp.Or(cmp.Compare(s.Kind, o.Kind), cmp.Compare(s.Index, o.Index), cmp.Compare(s.Outcome, o.Outcome)) < 0
}

// breach is a state in which a property failed.
type breach struct {
	key  Key
	what string
}

// Run explores until all is seen, a bound is reached, a property fails or the context ends. With a folder an exploration that was
// ended goes on where its last whole depth ended.
func (x *Exploration) Run(ctx context.Context) (*Result, error) {
	if x.Rules == nil {
		x.Rules = &ProductionRules
	}
	if x.Properties == nil {
		x.Properties = Properties
	}
	workers := x.Workers
	if workers == 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	first, err := InitialState(&x.Config, x.Rules)
	if err != nil {
		return nil, err
	}
	all := &seen{}
	for i := range all.parts {
		all.parts[i].m = map[Key]from{}
	}
	spill := x.Dir
	if spill == "" && x.MaxInMemory > 0 {
		if spill, err = os.MkdirTemp("", "hmmodelcheck-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(spill)
	}
	root := first.Key()
	all.add(root, from{})
	f := &Result{Progress: Progress{Frontier: 1, States: 1}}
	frontier := &frontier{worlds: []*State{first}}
	defer func() { frontier.discard() }()
	if x.Dir != "" {
		if err := x.resume(all, frontier, f); err != nil {
			return nil, err
		}
	}
	begun := time.Now().Add(-f.Elapsed)
	for frontier.count() > 0 && (x.MaxDepth == 0 || f.Depth < x.MaxDepth) && (x.MaxStates == 0 || f.States < x.MaxStates) {
		next := &frontierWriter{most: x.MaxInMemory, folder: spill, depth: f.Depth + 1}
		breaches, steps, err := x.level(ctx, workers, all, frontier, next)
		if err != nil {
			return nil, errors.Join(err, next.close())
		}
		if ctx.Err() != nil {
			next.close()
			return f, ctx.Err()
		}
		if err := next.close(); err != nil {
			return nil, err
		}
		frontier.discard()
		frontier = next.frontier()
		f.Depth++
		f.Steps += steps
		f.Frontier = frontier.count()
		f.States += f.Frontier
		f.Elapsed = time.Since(begun)
		if x.Progress != nil {
			x.Progress(f.Progress)
		}
		if len(breaches) > 0 {
			slices.SortFunc(breaches, func(a, b breach) int { return slices.Compare(a.key[:], b.key[:]) })
			if f.Trace, err = x.story(all, root, breaches[0]); err != nil {
				return nil, err
			}
			break
		}
		if x.Dir != "" {
			if err := x.save(all, frontier, f); err != nil {
				return nil, err
			}
		}
	}
	f.Complete = f.Trace == nil && f.Frontier == 0
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	f.HeapBytes = m.HeapAlloc
	return f, nil
}

// level takes all states of one depth through all of their steps.
func (x *Exploration) level(ctx context.Context, workers int, all *seen, source *frontier, to *frontierWriter) (breaches []breach, steps int, err error) {
	var mu sync.Mutex
	level := &sync.Map{} // states first reached at this depth
	jobs := make(chan *State, 4*workers)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			count := 0
			for w := range jobs {
				key := w.Key()
				for _, step := range w.EnabledSteps(&x.Config, x.Rules) {
					count++
					n, e := w.Apply(&x.Config, x.Rules, step)
					if e != nil {
						mu.Lock()
						err = errors.Join(err, fmt.Errorf("%s: %w", w.Describe(&x.Config, step), e))
						mu.Unlock()
						continue
					}
					k := n.Key()
					if !all.add(k, from{key, step}) {
						if _, this := level.Load(k); this {
							all.lower(k, from{key, step})
						}
						continue
					}
					level.Store(k, true)
					what := x.wrong(n)
					mu.Lock()
					if what != "" {
						breaches = append(breaches, breach{k, what})
					}
					if e := to.add(n); e != nil {
						err = errors.Join(err, e)
					}
					mu.Unlock()
				}
			}
			mu.Lock()
			steps += count
			mu.Unlock()
		})
	}
	e := source.each(func(w *State) bool {
		select {
		case jobs <- w:
			return true
		case <-ctx.Done():
			return false
		}
	})
	close(jobs)
	wg.Wait()
	return breaches, steps, errors.Join(err, e)
}

// wrong gives the first property that fails, with what it says.
func (x *Exploration) wrong(w *State) string {
	for _, p := range x.Properties {
		if text := p.Check(&x.Config, w); text != "" {
			return p.Name + ": " + text
		}
	}
	return ""
}

// story goes back from a breach to the beginning.
func (x *Exploration) story(all *seen, root Key, b breach) (*Trace, error) {
	s := &Trace{Config: x.Config, Violation: b.what}
	for k := b.key; k != root; {
		f, ok := all.get(k)
		if !ok || len(s.Steps) > 10_000 {
			return nil, errors.New("the way to a state is not known")
		}
		s.Steps = append(s.Steps, f.Step)
		k = f.Parent
	}
	slices.Reverse(s.Steps)
	return s, nil
}

// frontier is the states of one depth, in memory and in files.
type frontier struct {
	worlds []*State
	files  []string
	n      int // in files
}

func (f *frontier) count() int { return len(f.worlds) + f.n }

// stored is a world with its routers' states.
type stored struct {
	World *State           `cbor:"World"`
	Cores []*core.Snapshot `cbor:"Cores"`
}

func (f *frontier) each(do func(*State) bool) error {
	for _, w := range f.worlds {
		if !do(w) {
			return nil
		}
	}
	for _, name := range f.files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		dec := cbor.NewDecoder(file)
		for {
			w, err := load(dec)
			if err != nil {
				file.Close()
				if errors.Is(err, errEnd) {
					break
				}
				return fmt.Errorf("%s: %w", name, err)
			}
			if !do(w) {
				file.Close()
				return nil
			}
		}
	}
	return nil
}

func (f *frontier) discard() {
	for _, name := range f.files {
		os.Remove(name)
	}
}

// frontierWriter gathers the states of the next depth.
type frontierWriter struct {
	f      frontier
	most   int
	folder string
	depth  int
	file   *os.File
	enc    *cbor.Encoder
}

func (w *frontierWriter) add(x *State) error {
	if w.most == 0 || w.folder == "" || len(w.f.worlds) < w.most {
		w.f.worlds = append(w.f.worlds, x)
		return nil
	}
	if w.file == nil {
		var err error
		if w.file, err = os.Create(filepath.Join(w.folder, fmt.Sprintf("depth-%d", w.depth))); err != nil {
			return err
		}
		w.enc = cbor.NewEncoder(w.file)
		w.f.files = append(w.f.files, w.file.Name())
	}
	w.f.n++
	return w.enc.Encode(keep(x))
}

func (w *frontierWriter) close() error {
	if w.file == nil {
		return nil
	}
	return w.file.Close()
}

func (w *frontierWriter) frontier() *frontier { return &w.f }

func keep(w *State) stored {
	s := stored{World: w}
	for _, r := range w.Routers {
		s.Cores = append(s.Cores, r.core)
	}
	return s
}

var errEnd = errors.New("end")

func load(dec *cbor.Decoder) (*State, error) {
	var s stored
	if err := dec.Decode(&s); err != nil {
		if err.Error() == "EOF" {
			return nil, errEnd
		}
		return nil, err
	}
	return s.world()
}

func (s stored) world() (*State, error) {
	if s.World == nil || len(s.Cores) != len(s.World.Routers) {
		return nil, errors.New("a state without its routers")
	}
	for i, c := range s.Cores {
		restored, err := core.Restore(c, nil)
		if err != nil {
			return nil, err
		}
		if err := s.World.keep(i, restored); err != nil {
			return nil, err
		}
	}
	return s.World, nil
}

// saved is an exploration between two depths.
type saved struct {
	Setup    Config   `cbor:"Setup"`
	Progress Progress `cbor:"Progress"`
	Keys     []Key    `cbor:"Keys"`
	From     []from   `cbor:"From"`
	Frontier []stored `cbor:"Frontier"`
}

const resumeName = "resume.cbor"

// save writes all that is needed to go on.
func (x *Exploration) save(all *seen, f *frontier, found *Result) error {
	s := saved{Setup: x.Config, Progress: found.Progress}
	for i := range all.parts {
		for k, v := range all.parts[i].m {
			s.Keys = append(s.Keys, k)
			s.From = append(s.From, v)
		}
	}
	if err := f.each(func(w *State) bool { s.Frontier = append(s.Frontier, keep(w)); return true }); err != nil {
		return err
	}
	b, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(x.Dir, resumeName), b, 0o600)
}

// resume goes on from what was saved of the same setup; of another it is an error.
func (x *Exploration) resume(all *seen, f *frontier, found *Result) error {
	b, err := os.ReadFile(filepath.Join(x.Dir, resumeName))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var s saved
	if err := cbor.Unmarshal(b, &s); err != nil {
		return err
	}
	mine, err := cbor.Marshal(x.Config)
	if err != nil {
		return err
	}
	if theirs, err := cbor.Marshal(s.Setup); err != nil || string(mine) != string(theirs) {
		return fmt.Errorf("%s holds an exploration of another world", x.Dir)
	}
	for i, k := range s.Keys {
		all.add(k, s.From[i])
	}
	f.worlds = nil
	for _, w := range s.Frontier {
		world, err := w.world()
		if err != nil {
			return err
		}
		f.worlds = append(f.worlds, world)
	}
	found.Progress = s.Progress
	return nil
}
