package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"hollymast/internal/baseline"
	"hollymast/internal/chaostest"
	"hollymast/internal/experiment"
	"hollymast/internal/inifile"
	"hollymast/internal/program"
)

// experimentSpec is the content of an experiment's file.
type experimentSpec struct {
	plan         experiment.Plan
	script       string
	scenarioText []byte
	sizes        map[string]overrides // what each size changes in the scenario, by name of the size
	programs     map[string]string    // other builds of this program, by arm
}

const (
	sizeSectionPrefix = "size "
	armSectionPrefix  = "arm "
	defaultSizeName   = "as told" // the scenario's own size, for a file without sections for sizes
)

// Upper limits of a size.
const (
	maxProcesses = 5000 // routers, or workers
	maxRequests  = 10_000_000
	maxClients   = 20_000
)

// readSpec reads an experiment's file.
func readSpec(name string) (*experimentSpec, error) {
	file, err := inifile.Load(name)
	if err != nil {
		return nil, err
	}
	section := file.Section("experiment")
	spec := &experimentSpec{sizes: map[string]overrides{}, programs: map[string]string{}}
	spec.plan = experiment.Plan{
		Arms:      section.Strings("arms"),
		FirstSeed: uint64(section.Int("first_seed", 1, 1, 1<<30)),
		MaxSeeds:  section.Int("seeds", 20, 2, 100_000),
		MinSeeds:  section.Int("least_seeds", 5, 2, 100_000),
		Tolerance: section.Float("indifferent", 0.005, 0, 1e9),
		Measure:   inifile.OneOf(section, "measure", experiment.MeasureInTime, experiment.Measures...),
	}
	if spec.script = section.String("script", ""); !filepath.IsAbs(spec.script) {
		spec.script = filepath.Join(filepath.Dir(name), spec.script)
	}
	if spec.scenarioText, err = os.ReadFile(spec.script); err != nil {
		section.Errorf("script", "%v", err)
	} else if _, err := chaostest.ParseScenario(spec.script, spec.scenarioText); err != nil {
		section.Errorf("script", "%v", err)
	}
	spec.readSizes(file)
	spec.readArms(file, section)
	return spec, file.Check()
}

func (spec *experimentSpec) readSizes(file *inifile.File) {
	behaviors := append([]chaostest.ClientBehavior{""}, chaostest.ClientBehaviors...)
	for _, section := range file.Sections(sizeSectionPrefix) {
		name := strings.TrimPrefix(section.Name, sizeSectionPrefix)
		spec.plan.Sizes = append(spec.plan.Sizes, name)
		spec.sizes[name] = overrides{
			routers:  section.Int("routers", 0, 0, maxProcesses),
			workers:  section.Int("workers", 0, 0, maxProcesses),
			calls:    section.Int("jobs", 0, 0, maxRequests),
			clients:  section.Int("clients", 0, 0, maxClients),
			behavior: inifile.OneOf(section, "manners", "", behaviors...),
		}
	}
	if len(spec.plan.Sizes) == 0 {
		spec.plan.Sizes, spec.sizes[defaultSizeName] = []string{defaultSizeName}, overrides{}
	}
}

func (spec *experimentSpec) readArms(file *inifile.File, experimentSection *inifile.Section) {
	for _, section := range file.Sections(armSectionPrefix) {
		name := section.String("program", "")
		if program.BuildIDOf(name) == "" {
			section.Errorf("program", "%q can't be read", name)
		}
		spec.programs[strings.TrimPrefix(section.Name, armSectionPrefix)] = name
	}
	if len(spec.plan.Arms) < 2 {
		experimentSection.Errorf("arms", "requires at least two arms")
	}
	for _, arm := range spec.plan.Arms {
		if arm != balancerArm && arm != undampedArm && spec.programs[arm] == "" && !slices.Contains(baseline.PolicyNames, arm) {
			experimentSection.Errorf("arms", "%q is not one of module, undamped and %v, and no section [arm %s] names its executable", arm, baseline.PolicyNames, arm)
		}
	}
}

// origin identifies what an arm's results depend on besides the trial: the build, the scenario and the sizes.
func (spec *experimentSpec) origin(arm string) string {
	build := program.BuildID()
	if name := spec.programs[arm]; name != "" {
		build = program.BuildIDOf(name)
	}
	return build + " " + fmt.Sprintf("%x", chaostest.ScenarioHash(spec.scenarioText)) + " " + fmt.Sprint(spec.sizes)
}
