package main

import (
	"fmt"
	"hollymast/internal/baseline"
	"hollymast/internal/chaostest"
	experiments "hollymast/internal/experiment"
	"hollymast/internal/inifile"
	"hollymast/internal/program"
	"os"
	"path/filepath"
	"slices"
)

// asked is an experiment's file.
type experimentSpec struct {
	plan         experiments.Plan
	script       string
	scenarioText []byte
	sizes        map[string]scenarioSize
	programs     map[string]string // arms that are other builds
}

// size is what of a day's script is replaced.
type scenarioSize struct {
	routers, workers, jobs, clients int
	manners                         string
}

const defaultSizeName = "as told" // where the file has no section for a size

func readSpec(name string) (*experimentSpec, error) {
	f, err := inifile.Load(name)
	if err != nil {
		return nil, err
	}
	s := f.Section("experiment")
	a := &experimentSpec{sizes: map[string]scenarioSize{}, programs: map[string]string{}}
	if a.script = s.String("script", ""); !filepath.IsAbs(a.script) {
		a.script = filepath.Join(filepath.Dir(name), a.script)
	}
	a.plan = experiments.Plan{Arms: s.Strings("arms"), FirstSeed: uint64(s.Int("first_seed", 1, 1, 1<<30)), MaxSeeds: s.Int("seeds", 20, 2, 100_000),
		MinSeeds: s.Int("least_seeds", 5, 2, 100_000), Tolerance: s.Float("indifferent", 0.005, 0, 1e9),
		Measure: experiments.Measures[s.OneOf("measure", experiments.Measures[0], experiments.Measures...)]}
	if a.scenarioText, err = os.ReadFile(a.script); err != nil {
		s.Errorf("script", "%v", err)
	} else if _, err := chaostest.ParseScenario(a.script, a.scenarioText); err != nil {
		s.Errorf("script", "%v", err)
	}
	for _, x := range f.Sections("size ") {
		n := x.Name[len("size "):]
		a.plan.Sizes = append(a.plan.Sizes, n)
		a.sizes[n] = scenarioSize{x.Int("routers", 0, 0, 5000), x.Int("workers", 0, 0, 5000), x.Int("jobs", 0, 0, 10_000_000), x.Int("clients", 0, 0, 20_000),
			append([]string{""}, chaostest.ClientBehaviors...)[x.OneOf("manners", "", append([]string{""}, chaostest.ClientBehaviors...)...)]}
	}
	if len(a.plan.Sizes) == 0 {
		a.plan.Sizes, a.sizes[defaultSizeName] = []string{defaultSizeName}, scenarioSize{}
	}
	for _, x := range f.Sections("arm ") {
		p := x.String("program", "")
		if a.programs[x.Name[len("arm "):]] = p; program.BuildIDOf(p) == "" {
			x.Errorf("program", "%q can't be read", p)
		}
	}
	if len(a.plan.Arms) < 2 {
		s.Errorf("arms", "fewer than two")
	}
	for _, arm := range a.plan.Arms {
		if arm != "module" && arm != "undamped" && a.programs[arm] == "" && !slices.Contains(baseline.Names, arm) {
			s.Errorf("arms", "%q is none of module, undamped, %v, and no section [arm %s] names its program", arm, baseline.Names, arm)
		}
	}
	return a, f.Check()
}

// origin names what plays an arm on which day: rows of another build or script are others.
func (a *experimentSpec) origin(arm string) string {
	build := program.BuildID()
	if p := a.programs[arm]; p != "" {
		build = program.BuildIDOf(p)
	}
	return build + " " + fmt.Sprintf("%x", chaostest.ScenarioHash(a.scenarioText)) + " " + fmt.Sprint(a.sizes)
}
